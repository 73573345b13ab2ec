/// \file
/// Limits the statements that the proxy retries by itself.
///
/// If a target fails half of its statements and every failure is retried, the
/// load on the other targets grows with each failure, and the retries sustain
/// the overload after its cause is gone.
///
/// The budget is a token bucket that is filled by first attempts, not by time:
/// retries are at most RatioPercent of the load, whatever the load is. At 10 %
/// the load grows by at most a tenth, which fits the headroom of a pool that
/// runs at up to 90 % of its capacity.

#ifndef CORIANDERDYKE_ADMISSION_RETRYBUDGET_H
#define CORIANDERDYKE_ADMISSION_RETRYBUDGET_H

#include <cstdint>

namespace corianderdyke {

class RetryBudget {
public:
  static constexpr std::uint32_t RatioPercent = 10;
  /// Retries that are allowed after an idle period, before there is any load.
  static constexpr std::uint32_t Burst = 10;

  void recordFirstAttempt();

  /// Takes the tokens of one retry; false if there are too few.
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
