/// \file
/// The clocks of the operating system.

#include "Common/SystemClock.h"

#include <ctime>

namespace corianderdyke {

namespace {

Millis read(clockid_t Id) {
  timespec Time{};
  clock_gettime(Id, &Time);
  constexpr std::int64_t MillisPerSecond = 1000;
  constexpr std::int64_t NanosPerMilli = 1000000;
  return Millis(Time.tv_sec * MillisPerSecond + Time.tv_nsec / NanosPerMilli);
}

} // namespace

Millis SystemClock::now() const { return read(CLOCK_BOOTTIME); }

Millis SystemClock::wallTime() const { return read(CLOCK_REALTIME); }

} // namespace corianderdyke
