/// \file
/// A bound on what the proxy sends a second time by itself.

#include "Admission/RetryBudget.h"

#include <algorithm>

namespace corianderdyke {

namespace {

constexpr std::uint32_t OneRetry = 100;

} // namespace

void RetryBudget::noteFirstTry() {
  Level = std::min(Level + RatioPercent, Burst * OneRetry);
}

bool RetryBudget::take() {
  if (Level < OneRetry) {
    ++Refused;
    return false;
  }
  Level -= OneRetry;
  ++Taken;
  return true;
}

} // namespace corianderdyke
