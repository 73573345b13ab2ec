/// \file
/// Limits the statements that the proxy retries by itself.

#include "Admission/RetryBudget.h"

#include <algorithm>

namespace corianderdyke {

namespace {

constexpr std::uint32_t OneRetry = 100;

} // namespace

void RetryBudget::recordFirstAttempt() {
  Tokens = std::min(Tokens + RatioPercent, Burst * OneRetry);
}

bool RetryBudget::tryTake() {
  if (Tokens < OneRetry) {
    ++Refused;
    return false;
  }
  Tokens -= OneRetry;
  ++Taken;
  return true;
}

} // namespace corianderdyke
