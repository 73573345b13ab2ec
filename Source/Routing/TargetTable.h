/// \file
/// A proxy's observations of targets: reachability, terms, positions and ages.

#ifndef CORIANDERDYKE_ROUTING_TARGETTABLE_H
#define CORIANDERDYKE_ROUTING_TARGETTABLE_H

#include "Lease/Messages.h"
#include "State/ClusterView.h"

#include <deque>
#include <set>

namespace corianderdyke {

/// The state that a target reports in an answer.
struct TargetObservation {
  std::uint64_t Term = 0;
  /// Term of the last entry of its log.
  std::uint64_t LogTerm = 0;
  std::uint64_t Position = 0;
  bool IsPrimary = false;
  /// True if the target has accepted the term but neither was promoted nor
  /// follows a primary in it. Its log may differ from the log of the term.
  bool IsFenced = false;

  auto operator<=>(const TargetObservation &) const = default;
};

/// Computes the age of a replica's data without wall clocks: if a request sent
/// to the primary at time T was answered with position P, a replica at P or
/// later contains everything that was written before T.
class TargetTable {
public:
  /// Applies the targets of a view and removes targets that are not in it.
  void update(const ClusterView &View, Millis Now);

  /// Applies an answer to a request that was sent at \p AskedAt.
  void observe(const std::string &Target, const TargetObservation &Observation,
               Millis AskedAt, Millis Now);

  /// Records that the target refused a connection: no process listens there.
  void markRefused(const std::string &Target);

  bool isReachable(const std::string &Target, Millis SuspectAfter,
                   Millis Now) const;

  /// Targets that are not reachable at \p Now.
  std::set<std::string> unreachable(Millis SuspectAfter, Millis Now) const;

  /// Reports on all targets; empty before the first manifest.
  std::vector<TargetReport> reports(const ClusterView &View, Millis Now) const;
  /// The reports on unhealthy targets, which are sent to the control leader.
  std::vector<TargetReport> unhealthyReports(const ClusterView &View,
                                             Millis Now) const;

  /// True if a primary is ahead of replicas that answer but have made no
  /// progress for long, so that no write can be acknowledged. A replica that
  /// lags far behind but still makes progress counts as copying.
  bool isStalled(const std::string &Primary, const DatabasePolicy &Policy,
                 Millis SuspectAfter, Millis Now) const;

  /// Replicas without progress are tolerated for this many times SuspectAfter:
  /// 3.2 s with the default, which is less than a write's usual deadline and
  /// well above the pauses of a replica that applies its log in large batches.
  static constexpr std::int64_t StallTimeoutFactor = 8;

  /// Counts the targets of a group that have the write at \p Position of its
  /// log.
  std::size_t countCopies(const GroupRecord &Group,
                          std::uint64_t Position) const;

  /// An upper bound on the age of the target's data, or nothing if unknown. It
  /// is unknown if the target's term differs from the group's, or if its log
  /// has forked from the group's log.
  std::optional<Millis> age(const std::string &Target, const GroupRecord &Group,
                            Millis Now) const;

  std::optional<TargetObservation>
  lastObservation(const std::string &Target) const;

private:
  struct TargetState {
    std::string Database;
    std::uint64_t Sequence = 0; ///< Of its announcement.
    TargetObservation LastObservation;
    bool IsObserved = false;
    bool ConnectionRefused = false;
    Millis LastAnswer;
    /// Since when it has been behind the primary without progress.
    std::optional<Millis> StalledSince;
  };

  /// The primary's position was at most Position at AskedAt.
  struct Sample {
    Millis AskedAt;
    std::uint64_t Position = 0;
  };

  struct PositionHistory {
    std::uint64_t Term = 0;
    std::uint64_t Position = 0; ///< The highest that the primary reported.
    std::deque<Sample> Samples; ///< Ascending in both members.
  };

  void updateProgress(TargetState &Entry, bool HasAdvanced, Millis Now);
  void addSample(PositionHistory &History, std::uint64_t Term,
                 const Sample &New);

  std::map<std::string, TargetState> Targets;
  std::map<std::string, PositionHistory> Databases;
};

} // namespace corianderdyke

#endif
