/// \file
/// The clock of the machine.

#ifndef CORIANDERDYKE_COMMON_SYSTEMCLOCK_H
#define CORIANDERDYKE_COMMON_SYSTEMCLOCK_H

#include "Common/Clock.h"

namespace corianderdyke {

/// Reads CLOCK_BOOTTIME. A host that was suspended must find its leases
/// ended when it wakes; CLOCK_MONOTONIC stands still meanwhile and would
/// let a replaced primary's answer be acknowledged.
class SystemClock final : public Clock {
public:
  Millis now() const override;
  Millis wallTime() const override;
};

} // namespace corianderdyke

#endif
