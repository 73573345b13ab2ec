/// \file
/// Replaces failed primaries. Runs on the leading control host.
///
/// A change of primary takes these steps, each of which a new leader can take
/// up from the replicated state:
///   1. Enough proxies report the primary silent: the fence is committed.
///   2. In parallel, every proxy applies the fence or loses its lease, and
///      the targets are told the new term and answer with their positions.
///   3. Of enough answers the highest position wins; the promotion is
///      committed, the winner is told, and the others follow it.
///
/// Nothing acknowledged is lost: a write is acknowledged when Copies targets
/// hold it, and a promotion reads Targets - Copies + 1 of them after they
/// have refused the old term, so that at least one of those has it.

#ifndef CORIANDERDYKE_FAILOVER_FAILOVERCOORDINATOR_H
#define CORIANDERDYKE_FAILOVER_FAILOVERCOORDINATOR_H

#include "Lease/LeaseRegistry.h"
#include "State/Command.h"

#include <set>

namespace corianderdyke {

/// What a target answers when it's told a term.
struct TargetPosition {
  std::uint64_t Term = 0;    ///< The term that it obeys now.
  std::uint64_t LogTerm = 0; ///< Term of its last log entry.
  std::uint64_t Position = 0;

  auto operator<=>(const TargetPosition &) const = default;
};

enum class TargetOrder : std::uint8_t { Fence, Promote, Follow };

/// An order to one target, to be sent by the caller.
struct TargetCall {
  TargetOrder Order = TargetOrder::Fence;
  TargetAnnouncement Target;
  std::uint64_t Term = 0;
  Endpoint Primary; ///< Follow only.
  std::vector<Fork> Forks;

  auto operator<=>(const TargetCall &) const = default;
};

struct FailoverActions {
  std::vector<CommandBody> Proposals;
  std::vector<TargetCall> Calls;
};

class FailoverCoordinator {
public:
  /// Forgets all that a former leadership left.
  void begin() { Databases.clear(); }

  /// What there is to do now. To be called after every event and tick.
  FailoverActions step(const ClusterView &View, const LeaseRegistry &Leases,
                       Millis Now);

  /// A target has carried out an order.
  void answered(const TargetCall &Call, const TargetPosition &Answer);

private:
  struct Progress {
    std::uint64_t Term = 0;
    GroupPhase Phase = GroupPhase::Forming;
    Millis Since;
    /// The view's revision when the phase was first seen; at or after the
    /// entry that began it.
    std::uint64_t Revision = 0;
    /// Until then a proposal that was made is given time to be committed.
    Millis ProposedUntil;
    std::map<std::string, Millis> CalledAt;
    std::map<std::string, TargetPosition> Positions;
    /// Announcement sequence with which a target confirmed its role: one
    /// that restarted announces anew and must be told again.
    std::map<std::string, std::uint64_t> Confirmed;
  };

  void stepForming(const ClusterView &View, const GroupRecord &Group,
                   const DatabasePolicy &Policy, Progress &At, Millis Now,
                   FailoverActions &Out);
  void stepPromoted(const ClusterView &View, const GroupRecord &Group,
                    const LeaseRegistry &Leases, Progress &At, Millis Now,
                    FailoverActions &Out);
  void stepFencing(const ClusterView &View, const GroupRecord &Group,
                   const DatabasePolicy &Policy, const LeaseRegistry &Leases,
                   Progress &At, Millis Now, FailoverActions &Out);

  std::map<std::string, Progress> Databases;
};

/// True where most of the proxies that have been heard of late report that
/// they can't reach the target.
bool isSuspected(const std::string &Target, const LeaseRegistry &Leases,
                 const FailoverPolicy &Policy, Millis Now);

} // namespace corianderdyke

#endif
