/// \file
/// A bound on what the proxy sends a second time by itself.
///
/// Load pattern: a target fails half of what it gets. Without this module
/// every failure is tried again, the load on what is left grows with each
/// failure, and the retries keep the overload going after its cause is gone.
///
/// A token bucket that is filled by first tries and not by time: retries are
/// at most RatioPercent of the load, whatever the load is. At 10 % the load
/// grows by a tenth at the worst, which the headroom of a pool that runs at
/// up to 90 % of its capacity takes in.

#ifndef CORIANDERDYKE_ADMISSION_RETRYBUDGET_H
#define CORIANDERDYKE_ADMISSION_RETRYBUDGET_H

#include <cstdint>

namespace corianderdyke {

class RetryBudget {
public:
  static constexpr std::uint32_t RatioPercent = 10;
  /// Retries that are allowed after a quiet time, before there is any load.
  static constexpr std::uint32_t Burst = 10;

  void recordFirstAttempt();

  /// True where a retry may be sent; it's paid for then.
  bool tryTake();

  std::uint64_t taken() const { return Taken; }
  std::uint64_t refused() const { return Refused; }

private:
  /// In hundredths of a retry.
  std::uint32_t Tokens = Burst * 100;
  std::uint64_t Taken = 0;
  std::uint64_t Refused = 0;
};

} // namespace corianderdyke

#endif
