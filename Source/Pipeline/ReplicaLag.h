/// \file
/// Tracks the position of a target's log, as observed in its answers.

#ifndef CORIANDERDYKE_PIPELINE_REPLICALAG_H
#define CORIANDERDYKE_PIPELINE_REPLICALAG_H

#include "Common/Millis.h"
#include "Statements/Statement.h"

#include <algorithm>

namespace corianderdyke {

class ReplicaLag {
public:
  /// Records the log position of an answer.
  void recordPosition(LogPosition Reported, Millis Now) {
    Position = Reported;
    PositionAt = Now;
  }
  /// Records that the target refused a read because its log lacks the floor. A
  /// target that lags by more than callers accept does so for seconds, and each
  /// read that tries it loses a round trip: it is retried with exponential
  /// backoff.
  void recordLagRefusal(Millis Now) {
    // Reads that were in flight together count once.
    if (isBackingOff(Now))
      return;
    LastBackoff = LastBackoff == Millis()
                      ? InitialBackoff
                      : std::min(LastBackoff * 2, MaxBackoff);
    BackoffUntil = Now + LastBackoff;
  }
  /// Records that the target served a read with a floor.
  void recordCaughtUp() { LastBackoff = BackoffUntil = Millis(); }
  bool isBackingOff(Millis Now) const { return Now < BackoffUntil; }
  /// True if the target is likely to refuse a read with the floor \p Floor. An
  /// old position does not count: the target has received more of the log
  /// since.
  bool isBehind(LogPosition Floor, Millis Now) const {
    return Position < Floor && Now - PositionAt < PositionMaxAge;
  }

private:
  /// Healthy replicas catch up in a fraction of this.
  static constexpr Millis PositionMaxAge = Millis(150);
  static constexpr Millis InitialBackoff = Millis(100);
  static constexpr Millis MaxBackoff = Millis(1600);

  LogPosition Position;
  Millis PositionAt = Millis(-1000000);
  Millis BackoffUntil;
  Millis LastBackoff;
};

} // namespace corianderdyke

#endif
