/// \file
/// Bounds the log lines of one kind of event.

#ifndef CORIANDERDYKE_LOGS_LOGRATELIMITER_H
#define CORIANDERDYKE_LOGS_LOGRATELIMITER_H

#include "Common/Millis.h"

#include <cstdint>
#include <utility>

namespace corianderdyke {

/// Lets so many lines through in each second and counts the rest. Under load
/// every statement would else cost a line, and the log more than the service.
class LogRateLimiter {
public:
  explicit LogRateLimiter(std::uint32_t PerSecond = 0) : PerSecond(PerSecond) {}

  /// True where a line may be written at \p Now; 0 a second means no bound.
  bool allow(Millis Now) {
    constexpr Millis Second(1000);
    if (Now - Began >= Second || Now < Began) {
      Began = Now;
      Written = 0;
    }
    if (PerSecond != 0 && Written >= PerSecond) {
      ++LeftOut;
      return false;
    }
    ++Written;
    return true;
  }

  /// Lines left out since the last call.
  std::uint64_t takeDroppedCount() { return std::exchange(LeftOut, 0); }

private:
  std::uint32_t PerSecond;
  std::uint32_t Written = 0;
  std::uint64_t LeftOut = 0;
  Millis Began = Millis(-1000000);
};

} // namespace corianderdyke

#endif
