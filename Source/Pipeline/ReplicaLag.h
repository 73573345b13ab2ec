/// \file
/// What a target's log holds, as far as its answers showed.

#ifndef CORIANDERDYKE_PIPELINE_REPLICALAG_H
#define CORIANDERDYKE_PIPELINE_REPLICALAG_H

#include "Common/Millis.h"
#include "Statements/Statement.h"

#include <algorithm>

namespace corianderdyke {

class ReplicaLag {
public:
  /// An answer showed where its log stands.
  void recordPosition(LogPosition Shown, Millis Now) {
    Position = Shown;
    PositionAt = Now;
  }
  /// It refused a read for want of a floor, or ran one that had a floor. One
  /// that lags by more than callers accept does so for seconds, and each read
  /// that tries it loses the way there and back: it's tried again later each
  /// time.
  void recordLagRefusal(Millis Now) {
    // Reads that were on their way together count once.
    if (isBackingOff(Now))
      return;
    LastBackoff = LastBackoff == Millis()
                      ? InitialBackoff
                      : std::min(LastBackoff * 2, MaxBackoff);
    BackoffUntil = Now + LastBackoff;
  }
  void recordCaughtUp() { LastBackoff = BackoffUntil = Millis(); }
  bool isBackingOff(Millis Now) const { return Now < BackoffUntil; }
  /// True where it's likely to refuse a read that asks for \p Floor. What an
  /// answer showed some time ago says nothing: it has received since.
  bool isBehind(LogPosition Floor, Millis Now) const {
    return Position < Floor && Now - PositionAt < PositionMaxAge;
  }

private:
  /// Replicas that are well catch up in a fraction of this.
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
