/// \file
/// Computes the stages of a proxy's graceful stop.

#include "Proxy/GracefulStop.h"

namespace corianderdyke {

bool GracefulStop::update(OpenWork Remaining, Millis Now) {
  if (intake(Now) != Intake::Closed || Remaining.Statements != 0 ||
      Remaining.Transactions != 0)
    LastWorkAt = Now;
  return Now - LastWorkAt >= QuietPeriod;
}

} // namespace corianderdyke
