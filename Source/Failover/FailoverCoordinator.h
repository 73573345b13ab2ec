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

#include "Failover/ReplacementBackoff.h"
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

enum class TargetOrderKind : std::uint8_t { Fence, Promote, Follow };

/// An order to one target, to be sent by the caller.
struct TargetOrderRequest {
  TargetOrderKind Kind = TargetOrderKind::Fence;
  TargetAnnouncement Target;
  std::uint64_t Term = 0;
  Endpoint Primary; ///< Follow only.
  std::vector<Fork> Forks;

  auto operator<=>(const TargetOrderRequest &) const = default;
};

struct FailoverActions {
  std::vector<CommandBody> Proposals;
  std::vector<TargetOrderRequest> Orders;
};

class FailoverCoordinator {
public:
  /// Forgets all that a former leadership left.
  void reset() { Databases.clear(); }

  /// What there is to do now. To be called after every event and tick.
  FailoverActions step(const ClusterView &View, const LeaseRegistry &Leases,
                       Millis Now);

  /// A target has carried out an order.
  void recordAnswer(const TargetOrderRequest &Call,
                    const TargetPosition &Answer);

private:
  /// What one life of a target answered to the fence.
  struct PositionReport {
    std::uint64_t Sequence = 0;
    TargetPosition At;
  };

  /// A target whose log isn't settled yet. It is once it has reached a
  /// position that the primary told after every proxy knew of the target:
  /// all that was acknowledged with the copy of one that left is below that.
  struct CatchUp {
    std::string LogId;
    /// Proof counts from the manifest that was in force when it began.
    std::uint64_t ManifestVersion = 0;
    std::uint64_t Revision = 0; ///< To be in force first.
    bool PrimaryAsked = false;  ///< The primary, for its position.
    std::optional<std::uint64_t> PrimaryPosition;
    bool Reached = false;
  };

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
    std::map<std::string, PositionReport> Readings;
    /// Announcement sequence with which a target confirmed its role: one
    /// that restarted announces anew and must be told again.
    std::map<std::string, std::uint64_t> Confirmed;
    std::map<std::string, CatchUp> CatchUps;
    /// Since when the primary has been missed without a break.
    std::optional<Millis> SuspectedSince;
    bool ShortageRecorded = false; ///< That too few targets are left.
  };

  /// One database group, with what outlives its phases.
  struct GroupState {
    Progress At;
    ReplacementBackoff Pace;
    /// The primary that was replaced last, unless it left.
    std::string Replaced;
  };

  /// All that a step of one group looks at.
  struct Step {
    const ClusterView &View;
    const GroupRecord &Group;
    const DatabasePolicy &Policy;
    const LeaseRegistry &Leases;
    Millis Now;
    FailoverActions &Out;
  };

  static void stepForming(const Step &In, Progress &At);
  static void stepPromoted(const Step &In, GroupState &Of);
  static void stepDraining(const Step &In, GroupState &Of);
  static void startHandOver(const Step &In, Progress &At);
  static void stepFencing(const Step &In, GroupState &Of);
  /// Why the primary should be replaced now; empty where it shouldn't.
  static std::string reasonToReplace(const Step &In, GroupState &Of);
  static void assignRoles(const Step &In, Progress &At);
  static void confirmCaughtUpTargets(const Step &In, Progress &At);
  static bool mayCall(const std::string &Target, Progress &At, Millis Now);
  static bool hasPosition(const TargetAnnouncement &Target, const Progress &At);
  static std::vector<TargetAnnouncement>
  targetsWithPosition(const Step &In, const Progress &At, bool SettledOnly);
  /// Leaves the former primary out where the others suffice; false where
  /// they are worth waiting for.
  static bool excludeFormerPrimary(const Step &In, const GroupState &Of,
                                   std::vector<TargetAnnouncement> &Read);
  static TargetAnnouncement
  mostAdvanced(const std::vector<TargetAnnouncement> &Of, const Progress &At);

  std::map<std::string, GroupState> Databases;
};

/// True where most of the proxies that have been heard of late report that
/// they can't reach the target, or that it copies nothing.
bool isSuspected(const std::string &Target, const LeaseRegistry &Leases,
                 const FailoverPolicy &Policy, Millis Now);

} // namespace corianderdyke

#endif
