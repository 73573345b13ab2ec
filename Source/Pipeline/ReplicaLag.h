/// \file
/// What a target's log holds by now, as far as its answers showed.
///
/// Load pattern: a replica applies its primary's log seconds late, for
/// seconds. Reads accept different ages: one that may miss the last 2.5 s finds
/// its floor there, one that may miss 1.5 s doesn't. If a single refusal kept
/// all reads away, the group's other targets would carry what this one can
/// take; if none did, every read would lose the way there and back.
///
/// The position that a target shows tells up to which moment it held all that
/// a leader had shown. It goes on receiving at the same pace, so some time
/// later it holds a moment that much later.

#ifndef CORIANDERDYKE_PIPELINE_REPLICALAG_H
#define CORIANDERDYKE_PIPELINE_REPLICALAG_H

#include "Common/Millis.h"
#include "Statements/Statement.h"

#include <algorithm>

namespace corianderdyke {

class ReplicaLag {
public:
  /// An answer showed \p Shown. All that leaders had shown by \p HeldUntil is
  /// in there.
  void notePosition(LogPosition Shown, Millis HeldUntil, Millis Now) {
    Position = Shown;
    Behind = Now - HeldUntil;
    IsKnown = true;
  }

  /// It refused a read for want of a floor, or ran one that had a floor. Where
  /// the position promises nothing, it's tried again later each time.
  void noteRefused(Millis Now) {
    // Reads that were on their way together count once.
    if (Now < PausedUntil)
      return;
    LastPause = LastPause == Millis() ? FirstPause
                                      : std::min(LastPause * 2, LongestPause);
    PausedUntil = Now + LastPause;
  }
  void noteFresh() { LastPause = PausedUntil = Millis(); }

  /// False for a read that it would most likely refuse: one that needs \p
  /// Floor, which a leader first showed at \p ShownAt.
  bool mayServe(LogPosition Floor, Millis ShownAt, Millis Now) const {
    return Now >= PausedUntil || holds(Floor, ShownAt, Now);
  }

  /// True where it holds \p Floor by now, by its last position or its pace.
  bool holds(LogPosition Floor, Millis ShownAt, Millis Now) const {
    return IsKnown &&
           (Floor <= Position || Now - ShownAt >= Behind + Behind / Margin);
  }

private:
  /// Part of the lag that is added to it: it changes from one entry of the log
  /// to the next.
  static constexpr std::int64_t Margin = 4;
  static constexpr Millis FirstPause = Millis(100);
  static constexpr Millis LongestPause = Millis(1600);

  bool IsKnown = false;
  LogPosition Position;
  Millis Behind; ///< The age of what it held when it last answered.
  Millis PausedUntil;
  Millis LastPause;
};

} // namespace corianderdyke

#endif
