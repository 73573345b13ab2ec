/// \file
/// What a proxy knows of the targets: reach, terms, positions and ages.

#ifndef CORIANDERDYKE_ROUTING_TARGETTABLE_H
#define CORIANDERDYKE_ROUTING_TARGETTABLE_H

#include "Lease/Messages.h"
#include "State/ClusterView.h"

#include <deque>
#include <set>

namespace corianderdyke {

/// What a target said of itself in an answer.
struct TargetObservation {
  std::uint64_t Term = 0;
  /// Term of the last entry of its log.
  std::uint64_t LogTerm = 0;
  std::uint64_t Position = 0;
  bool IsPrimary = false;
  /// It obeys the term but wasn't promoted and follows nobody in it: what its
  /// log holds may be no part of the term's log.
  bool IsFenced = false;

  auto operator<=>(const TargetObservation &) const = default;
};

/// The age of a replica's data is worked out without anyone's wall clock:
/// when the primary was asked at time T and answered with position P, then a
/// replica at P or later shows everything that was written before T.
class TargetTable {
public:
  /// Takes in the targets of a view; those that are gone are forgotten.
  void update(const ClusterView &View, Millis Now);

  /// An answer to a question that was sent at \p AskedAt.
  void observe(const std::string &Target, const TargetObservation &Observation,
               Millis AskedAt, Millis Now);

  /// The target refused a connection: no process listens there.
  void markRefused(const std::string &Target);

  bool isReachable(const std::string &Target, Millis SuspectAfter,
                   Millis Now) const;

  /// Targets that can't be reached now.
  std::set<std::string> unreachable(Millis SuspectAfter, Millis Now) const;

  /// What is seen of all targets; nothing before the first manifest.
  std::vector<TargetReport> reports(const ClusterView &View, Millis Now) const;
  /// Of those, the targets in trouble: what control is told.
  std::vector<TargetReport> unhealthyReports(const ClusterView &View,
                                             Millis Now) const;

  /// True where a primary is ahead of replicas that answer but took nothing
  /// for long, so that no write can be acknowledged. A replica that lags far
  /// and still takes something counts as copying.
  bool isStalled(const std::string &Primary, const DatabasePolicy &Policy,
                 Millis SuspectAfter, Millis Now) const;

  /// Replicas that take nothing are borne this many times SuspectAfter: 3.2 s
  /// with the default, less than a write's usual deadline and well above the
  /// pauses of a replica that applies what it got in large pieces.
  static constexpr std::int64_t StallTimeoutFactor = 8;

  /// How many targets of a group hold the write at \p Position of its log.
  std::size_t countCopies(const GroupRecord &Group,
                          std::uint64_t Position) const;

  /// How old the target's data may be at the most; nothing where that can't
  /// be told. A target of another term than the group's has no age, nor one
  /// whose log isn't part of the group's: it follows a fork.
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
    /// Since when it has been behind the primary without taking anything.
    std::optional<Millis> StalledSince;
  };

  /// The primary's position was at most Position when it was asked.
  struct Sample {
    Millis AskedAt;
    std::uint64_t Position = 0;
  };

  struct PositionHistory {
    std::uint64_t Term = 0;
    std::uint64_t Position = 0; ///< The highest that the primary told.
    std::deque<Sample> Samples; ///< Rising in both members.
  };

  void updateProgress(TargetState &Of, bool Moved, Millis Now);
  void addSample(PositionHistory &Of, std::uint64_t Term, const Sample &New);

  std::map<std::string, TargetState> Targets;
  std::map<std::string, PositionHistory> Databases;
};

} // namespace corianderdyke

#endif
