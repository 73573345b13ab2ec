/// \file
/// What is known of how far one replica has applied its log.
///
/// A read that a replica refuses because its log lacks the floor costs a round
/// trip. The record of the replica's positions tells which reads it can serve.
/// It only directs reads: the target itself checks the floor of each read, so a
/// record that is wrong costs a round trip and never weakens a read.

#ifndef CORIANDERDYKE_REPLICAS_REPLICAPROGRESS_H
#define CORIANDERDYKE_REPLICAS_REPLICAPROGRESS_H

#include "Common/Millis.h"
#include "Statements/Statement.h"

#include <optional>

namespace corianderdyke {

/// Whether a replica may get a read.
enum class ReplicaReadiness {
  Ready,  ///< Its log holds the floor, or is expected to when the read arrives.
  MayTry, ///< Unknown; one read may be tried.
  Behind,
};

class ReplicaProgress {
public:
  /// A position that the replica's log held at a time.
  struct Observation {
    LogPosition Position;
    Millis At;

    auto operator<=>(const Observation &) const = default;
  };

  /// Records the position of an answer to a command sent at \p SentAt, received
  /// at \p Now. A smaller position than one known before \p SentAt shows that
  /// the log has lost its tail: the rate and the position are discarded.
  void recordAnswer(LogPosition Position, Millis SentAt, Millis Now);
  /// Records a position that another process observed \p Age before \p Now.
  /// Reports may arrive out of order, so a smaller position proves nothing.
  void recordReport(LogPosition Position, Millis Age, Millis Now);
  /// Records that the replica lacked the floor of a read, in an answer that
  /// stated no position.
  void recordLagging(LogPosition Floor, Millis Now);
  /// Discards everything: a later incarnation of the target has begun.
  void reset(Millis Now);

  /// Latest position and when it was observed; nothing if none is known.
  const std::optional<Observation> &latest() const { return Latest; }
  /// Latest position that this process itself observed, for other processes.
  /// Reports are not passed on: each passing dates them later by the time in
  /// transit, so they would never expire.
  const std::optional<Observation> &latestOwn() const { return LatestOwn; }

  /// True if the log holds \p Floor. Within a term, a log that is kept never
  /// shrinks, so the age of the position does not matter.
  bool holdsNow(LogPosition Floor) const {
    return Latest && Latest->Position >= Floor;
  }
  /// Returns when the log is expected to hold \p Floor: a past time if it is
  /// known to hold it, nothing if the rate of applying is not known.
  std::optional<Millis> expectedAt(LogPosition Floor, Millis Now) const;
  /// Positions applied per second, nothing if not known at \p Now.
  std::optional<double> rate(Millis Now) const;
  /// For how long the log had not advanced when it was last observed.
  Millis stalledFor() const;

  /// Decides about a read that arrives at the replica at \p ArrivesAt.
  ReplicaReadiness readiness(LogPosition Floor, Millis ArrivesAt,
                             Millis Now) const;
  /// True if one read may be tried at a replica of which neither the position
  /// nor the rate says enough: no other trial is outstanding, and the pause
  /// since the latest observation has passed.
  bool mayTry(Millis Now) const;
  void beginTrial(Millis Now);
  /// Ends a trial whose answer stated no position.
  void endTrial() { IsTrialOutstanding = false; }

private:
  void accept(LogPosition Position, Millis At);
  void measureRate();

  /// Shortest time over which a rate is measured. A group with 20 commits a
  /// second has 5 in it.
  static constexpr Millis MinRateWindow = Millis(250);
  /// A rate predicts for this long: less than a wave or a burst of the load
  /// lasts (7 to 13 s).
  static constexpr Millis RateMaxAge = Millis(4000);
  /// Part of the measured rate that predictions rely on. The replica follows
  /// the commits of its primary, whose number per second varies by this.
  static constexpr double RateShare = 0.75;
  /// Pauses between trials. The pause is as long as the log has not advanced,
  /// so that it doubles with each trial in vain. A replica that has advanced is
  /// tried within the shortest one.
  static constexpr Millis MinTrialPause = Millis(200);
  static constexpr Millis MaxTrialPause = Millis(1600);

  std::optional<Observation> Latest;
  std::optional<Observation> LatestOwn;
  Millis AdvancedAt; ///< When Latest's position was first observed.
  /// Reports of observations before this are ignored.
  Millis DiscardedAt = Millis(-1000000);
  std::optional<Observation> RateSince; ///< Start of the current window.
  /// Rates of the last two windows. A replica that was held up by one record
  /// applies its backlog at once, which is no rate at which it goes on; the
  /// smaller of the two is used.
  std::optional<double> LastRate;
  std::optional<double> PreviousRate;
  Millis TriedAt = Millis(-1000000);
  bool IsTrialOutstanding = false;
};

} // namespace corianderdyke

#endif
