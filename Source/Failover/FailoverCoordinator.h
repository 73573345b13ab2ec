/// \file
/// Replaces failed primaries. Runs on the leading control host.
///
/// A change of primary takes these steps. A new leader can resume at any of
/// them from the replicated state:
///   1. Enough proxies report the primary as unhealthy: the fence is committed.
///   2. In parallel, every proxy applies the fence or loses its lease, and
///      the targets receive the new term and answer with their positions.
///   3. Once enough targets have answered, the one with the highest position
///      is selected. The promotion is committed, the target receives the
///      promote order, and the other targets are ordered to follow it.
///
/// No acknowledged write is lost: a write is acknowledged when
/// AcknowledgedCopies targets hold it, and a promotion reads the positions of
/// Targets - AcknowledgedCopies + 1 targets after they have started to refuse
/// the old term. At least one of these targets holds the write.

#ifndef CORIANDERDYKE_FAILOVER_FAILOVERCOORDINATOR_H
#define CORIANDERDYKE_FAILOVER_FAILOVERCOORDINATOR_H

#include "Failover/ReplacementBackoff.h"
#include "Lease/LeaseRegistry.h"
#include "State/Command.h"

#include <set>

namespace corianderdyke {

/// Answer of a target to an order.
struct TargetPosition {
  std::uint64_t Term = 0;    ///< The term in force at the target.
  std::uint64_t LogTerm = 0; ///< Term of its last log entry.
  std::uint64_t Position = 0;

  auto operator<=>(const TargetPosition &) const = default;
};

enum class TargetOrderKind : std::uint8_t { Fence, Promote, Follow };

/// An order to one target. The caller sends it.
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
  /// Discards the state of a former leadership.
  void reset() { Databases.clear(); }

  /// Returns the proposals and orders that are due now. Must be called after
  /// every event and tick.
  FailoverActions step(const ClusterView &View, const LeaseRegistry &Leases,
                       Millis Now);

  /// Records the answer of a target that has carried out an order.
  void recordAnswer(const TargetOrderRequest &Order,
                    const TargetPosition &Answer);

private:
  /// The position that one incarnation of a target reported in answer to the
  /// fence order.
  struct PositionReport {
    std::uint64_t Sequence = 0;
    TargetPosition Position;
  };

  /// A target whose log is not yet known to be complete. It is complete once it
  /// has reached a position that the primary reported after every proxy knew of
  /// the target. Everything that was acknowledged with the copy of a target
  /// that left lies below that position.
  struct CatchUp {
    std::string LogId;
    /// Manifest version in force when the check began. A new version restarts
    /// the check.
    std::uint64_t ManifestVersion = 0;
    std::uint64_t Revision = 0; ///< Must be in force first.
    bool PrimaryAsked = false;  ///< For its position.
    std::optional<std::uint64_t> PrimaryPosition;
    bool Reached = false;
  };

  struct Progress {
    std::uint64_t Term = 0;
    GroupPhase Phase = GroupPhase::Forming;
    Millis Since;
    /// Revision of the view when the phase was first seen, which is at or after
    /// the entry that began it.
    std::uint64_t Revision = 0;
    /// No further proposal is made before this time, so that the last one can
    /// be committed.
    Millis ProposedUntil;
    std::map<std::string, Millis> OrderedAt;
    std::map<std::string, PositionReport> Positions;
    /// Announcement sequence with which each target confirmed its role. A
    /// target that restarts announces a new sequence and receives its order
    /// again.
    std::map<std::string, std::uint64_t> Confirmed;
    std::map<std::string, CatchUp> CatchUps;
    /// Start of the current uninterrupted suspicion of the primary.
    std::optional<Millis> SuspectedSince;
    bool ShortageRecorded = false; ///< The shortage is in the audit trail.
  };

  /// State of one database group that outlives its phases.
  struct GroupState {
    Progress Current;
    ReplacementBackoff Backoff;
    /// The primary that was replaced last, unless it left.
    std::string Replaced;
  };

  /// Inputs and outputs of a step of one group.
  struct StepContext {
    const ClusterView &View;
    const GroupRecord &Group;
    const DatabasePolicy &Policy;
    const LeaseRegistry &Leases;
    Millis Now;
    FailoverActions &Out;
  };

  static void stepForming(const StepContext &Context, Progress &Current);
  static void stepPromoted(const StepContext &Context, GroupState &State);
  static void stepDraining(const StepContext &Context, GroupState &State);
  static void startHandOver(const StepContext &Context, Progress &Current);
  static void stepFencing(const StepContext &Context, GroupState &State);
  /// Returns why the primary should be replaced now, or an empty string.
  static std::string reasonToReplace(const StepContext &Context,
                                     GroupState &State);
  static void assignRoles(const StepContext &Context, Progress &Current);
  static void confirmCaughtUpTargets(const StepContext &Context,
                                     Progress &Current);
  static bool shouldSendOrder(const std::string &Target, Progress &Current,
                              Millis Now);
  static bool hasPosition(const TargetAnnouncement &Target,
                          const Progress &Current);
  static std::vector<TargetAnnouncement>
  targetsWithPosition(const StepContext &Context, const Progress &Current,
                      bool CompleteLogsOnly);
  /// Removes the former primary from \p Candidates if the others suffice.
  /// Returns false if the answers of others are still worth waiting for.
  static bool excludeFormerPrimary(const StepContext &Context,
                                   const GroupState &State,
                                   std::vector<TargetAnnouncement> &Candidates);
  static TargetAnnouncement
  mostAdvanced(const std::vector<TargetAnnouncement> &Candidates,
               const Progress &Current);

  std::map<std::string, GroupState> Databases;
};

/// True if more than half of the proxies that have a view and requested a lease
/// within the last lease duration report that they cannot reach the target or
/// that it does not copy writes to enough replicas.
bool isSuspected(const std::string &Target, const LeaseRegistry &Leases,
                 const FailoverPolicy &Policy, Millis Now);

} // namespace corianderdyke

#endif
