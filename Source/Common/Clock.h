/// \file
/// Interface of the clock, which is passed to all code that needs the time.

#ifndef CORIANDERDYKE_COMMON_CLOCK_H
#define CORIANDERDYKE_COMMON_CLOCK_H

#include "Common/Millis.h"

namespace corianderdyke {

/// A monotonic clock, and the wall clock.
class Clock {
public:
  virtual ~Clock() = default;

  /// Milliseconds since an arbitrary origin, which is fixed while the process
  /// runs. Never decreases.
  virtual Millis now() const = 0;

  /// Milliseconds since 1970 in UTC, for display and idempotency keys only. No
  /// safety property may depend on it, because it may be set back.
  virtual Millis wallTime() const = 0;
};

} // namespace corianderdyke

#endif
