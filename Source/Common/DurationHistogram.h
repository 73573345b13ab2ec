/// \file
/// A histogram of durations.

#ifndef CORIANDERDYKE_COMMON_DURATIONHISTOGRAM_H
#define CORIANDERDYKE_COMMON_DURATIONHISTOGRAM_H

#include "Common/Millis.h"

#include <array>
#include <cstddef>

namespace corianderdyke {

/// Counts durations in fixed buckets, for export as a metric. The bounds suit
/// the write gap of a failover: a normal one is below a second, and beyond a
/// minute the exact length no longer matters.
class DurationHistogram {
public:
  static constexpr std::array<Millis, 12> Bounds = {
      Millis(50),   Millis(100),   Millis(250),   Millis(500),
      Millis(750),  Millis(1000),  Millis(1500),  Millis(2500),
      Millis(5000), Millis(10000), Millis(30000), Millis(60000)};

  void observe(Millis Duration) {
    std::size_t Index = 0;
    while (Index < Bounds.size() && Duration > Bounds[Index])
      ++Index;
    ++Counts[Index];
    ++Total;
    Sum += Duration;
  }

  /// Durations in a bucket; the last bucket counts those above all bounds.
  std::uint64_t count(std::size_t Bucket) const { return Counts[Bucket]; }
  std::uint64_t total() const { return Total; }
  Millis sum() const { return Sum; }

  bool operator==(const DurationHistogram &) const = default;

private:
  std::array<std::uint64_t, Bounds.size() + 1> Counts = {};
  std::uint64_t Total = 0;
  Millis Sum;
};

} // namespace corianderdyke

#endif
