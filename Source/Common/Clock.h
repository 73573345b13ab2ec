/// \file
/// The source of time that every slice is given from outside.

#ifndef CORIANDERDYKE_COMMON_CLOCK_H
#define CORIANDERDYKE_COMMON_CLOCK_H

#include "Common/Millis.h"

namespace corianderdyke {

/// A clock that never goes back.
class Clock {
public:
  virtual ~Clock() = default;

  /// Milliseconds since an arbitrary origin, the same during a process's life.
  virtual Millis now() const = 0;

  /// Milliseconds since 1970 in UTC. For people and for idempotency keys
  /// only: no safety argument rests on it, since it may be set back.
  virtual Millis wallTime() const = 0;
};

} // namespace corianderdyke

#endif
