/// \file
/// Computes when refused callers may retry.
///
/// A burst may be refused within a few milliseconds. With a fixed retry delay,
/// all its callers would retry at the same time and be refused again.
///
/// Each refusal therefore reserves the next free slot of the organisation. The
/// slots are as far apart as the database serves its requests: cost divided by
/// connections and share. So callers retry no faster than they can be served,
/// whatever their number. Proxies reserve independently of each other; the time
/// within a slot is random, so that their reservations do not coincide.

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
  /// The longest delay, since the load will have changed by then. Reservations
  /// beyond it are randomised over the last half of this span.
  static constexpr Millis MaxRetryAfter = Millis(5000);

  explicit RetrySchedule(std::uint64_t Seed) : Random(Seed) {}

  /// Reserves a slot no earlier than \p Wait milliseconds from \p Now and
  /// returns the delay until then. The organisation's slots are \p Interval
  /// milliseconds apart.
  Millis reserve(const std::string &Organisation, double Wait, double Interval,
                 Millis Now);

private:
  double uniform();

  std::mt19937_64 Random;
  std::map<std::string, double> NextAt;
};

} // namespace corianderdyke

#endif
