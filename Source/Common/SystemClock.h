/// \file
/// The clocks of the operating system.

#ifndef CORIANDERDYKE_COMMON_SYSTEMCLOCK_H
#define CORIANDERDYKE_COMMON_SYSTEMCLOCK_H

#include "Common/Clock.h"

namespace corianderdyke {

/// Reads CLOCK_BOOTTIME. The leases of a host must expire while it is
/// suspended: CLOCK_MONOTONIC does not advance during a suspension, so that a
/// response of a replaced primary could be acknowledged.
class SystemClock final : public Clock {
public:
  Millis now() const override;
  Millis wallTime() const override;
};

} // namespace corianderdyke

#endif
