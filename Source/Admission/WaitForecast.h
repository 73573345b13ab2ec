/// \file
/// Estimates how long a statement that is queued now will wait.
///
/// When more statements arrive than can be served, a queue as long as the
/// objective serves every statement too late and refuses the rest only when
/// their time is over. Based on the recent rate of departures from the queue, a
/// statement that cannot be served in time is refused on arrival with a time to
/// retry, and its caller has time for another proxy; statements that are queued
/// are served in time.

#ifndef CORIANDERDYKE_ADMISSION_WAITFORECAST_H
#define CORIANDERDYKE_ADMISSION_WAITFORECAST_H

#include "Common/Millis.h"

#include <algorithm>
#include <cstddef>

namespace corianderdyke {

class WaitForecast {
public:
  /// Records that a statement left the queue for a target while \p Behind
  /// others still waited.
  void recordDeparture(std::size_t Behind, Millis Now) {
    if (IsBacklogged)
      MeanInterval +=
          Gain *
          (static_cast<double>((Now - LastDeparture).count()) - MeanInterval);
    LastDeparture = Now;
    IsBacklogged = Behind > 0;
  }

  /// Returns the expected wait behind \p Ahead others. The time since the last
  /// departure counts, so that a stopped target does not look fast.
  Millis expectedWait(std::size_t Ahead, Millis Now) const {
    if (Ahead == 0)
      return Millis(0);
    const double Since =
        IsBacklogged ? static_cast<double>((Now - LastDeparture).count()) : 0;
    const double Each =
        std::max(MeanInterval, Since / static_cast<double>(Ahead + 1));
    return Millis(static_cast<std::int64_t>(Each * static_cast<double>(Ahead)));
  }

private:
  /// Moving mean over about eight departures.
  static constexpr double Gain = 0.125;

  bool IsBacklogged = false;
  Millis LastDeparture;
  double MeanInterval = 2; ///< In milliseconds, while others wait.
};

} // namespace corianderdyke

#endif
