/// \file
/// How long a statement that queues now will wait.
///
/// Load pattern: more comes than can be served. A queue that is as long as the
/// objective serves everyone too late, and tells the rest so only when their
/// time is over. By the pace at which statements left the queue lately, who
/// can't be served in time is told so on arrival, with when to come back, and
/// has time for another proxy; those that are taken are taken in time.

#ifndef CORIANDERDYKE_PIPELINE_WAITFORECAST_H
#define CORIANDERDYKE_PIPELINE_WAITFORECAST_H

#include "Common/Millis.h"

#include <algorithm>
#include <cstddef>

namespace corianderdyke {

class WaitForecast {
public:
  /// A statement left the queue for a target while \p Behind still waited.
  void recordDeparture(std::size_t Behind, Millis Now) {
    if (IsBacklogged)
      MeanInterval +=
          Gain * (static_cast<double>((Now - LastLeft).count()) - MeanInterval);
    LastLeft = Now;
    IsBacklogged = Behind > 0;
  }

  /// The expected wait behind \p Ahead others. The time since the last one
  /// left counts: a target that has stopped doesn't look fast.
  Millis expectedWait(std::size_t Ahead, Millis Now) const {
    if (Ahead == 0)
      return Millis(0);
    const double Since =
        IsBacklogged ? static_cast<double>((Now - LastLeft).count()) : 0;
    const double Each =
        std::max(MeanInterval, Since / static_cast<double>(Ahead + 1));
    return Millis(static_cast<std::int64_t>(Each * static_cast<double>(Ahead)));
  }

private:
  /// A moving mean over about eight that left.
  static constexpr double Gain = 0.125;

  bool IsBacklogged = false;
  Millis LastLeft;
  double MeanInterval =
      2; ///< Milliseconds from one to the next while some wait.
};

} // namespace corianderdyke

#endif
