/// \file
/// Limits the rate of the log lines of an event.

#ifndef CORIANDERDYKE_LOGS_LOGRATELIMITER_H
#define CORIANDERDYKE_LOGS_LOGRATELIMITER_H

#include "Common/Millis.h"

#include <cstdint>
#include <utility>

namespace corianderdyke {

/// Admits at most MaxPerSecond lines per second and counts the dropped ones.
/// Without a limit every statement would write a line under load, and logging
/// would cost more than the statements.
class LogRateLimiter {
public:
  explicit LogRateLimiter(std::uint32_t MaxPerSecond = 0)
      : MaxPerSecond(MaxPerSecond) {}

  /// True if a line may be written at \p Now; always true if the limit is 0.
  bool allow(Millis Now) {
    constexpr Millis Second(1000);
    if (Now - WindowStart >= Second || Now < WindowStart) {
      WindowStart = Now;
      Written = 0;
    }
    if (MaxPerSecond != 0 && Written >= MaxPerSecond) {
      ++DroppedCount;
      return false;
    }
    ++Written;
    return true;
  }

  /// Lines dropped since the last call.
  std::uint64_t takeDroppedCount() { return std::exchange(DroppedCount, 0); }

private:
  std::uint32_t MaxPerSecond; ///< 0 for no limit.
  std::uint32_t Written = 0;
  std::uint64_t DroppedCount = 0;
  Millis WindowStart = Millis(-1000000);
};

} // namespace corianderdyke

#endif
