/// \file
/// Decides the steps of a proxy's planned stop.

#include "Proxy/GracefulStop.h"

namespace corianderdyke {

bool GracefulStop::update(OpenWork Left, Millis Now) {
  if (intake(Now) != Intake::Closed || Left.Statements != 0 ||
      Left.Transactions != 0)
    LastWork = Now;
  return Now - LastWork >= QuietPeriod;
}

} // namespace corianderdyke
