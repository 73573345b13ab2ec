/// \file
/// When refused callers are told to come back.
///
/// Load pattern: a burst is refused within a few milliseconds. With one fixed
/// answer all of it comes back together and is refused again.
///
/// Each refusal books the next free place at the pace at which the database
/// serves the organisation: cost divided by connections and portion. So the
/// callers come back no faster than they can be served, whatever their
/// number. Several proxies book each for itself; within one pace the moment
/// is random, so that their bookings don't fall together.

#ifndef CORIANDERDYKE_ADMISSION_RETRYSCHEDULE_H
#define CORIANDERDYKE_ADMISSION_RETRYSCHEDULE_H

#include "Common/Millis.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>

namespace corianderdyke {

class RetrySchedule {
public:
  /// A caller is never sent away for longer: by then the load has changed.
  /// Past it the moments are random over the last half of the span.
  static constexpr Millis MaxRetryAfter = Millis(5000);

  explicit RetrySchedule(std::uint64_t Seed) : Random(Seed) {}

  /// Books a place no earlier than \p Wait milliseconds from now, the
  /// organisation's places being \p Interval milliseconds apart.
  Millis reserve(const std::string &Organisation, double Wait, double Interval,
                 Millis Now);

private:
  double uniform();

  std::mt19937_64 Random;
  std::map<std::string, double> NextAt;
};

} // namespace corianderdyke

#endif
