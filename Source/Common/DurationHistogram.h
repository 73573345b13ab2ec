/// \file
/// Counts of spans of time by length.

#ifndef CORIANDERDYKE_COMMON_DURATIONHISTOGRAM_H
#define CORIANDERDYKE_COMMON_DURATIONHISTOGRAM_H

#include "Common/Millis.h"

#include <array>
#include <cstddef>

namespace corianderdyke {

/// Spans counted in fixed buckets, as metrics want them. The bounds fit
/// failover gaps: a good one lies below a second, and beyond a minute the
/// exact length no longer matters.
class DurationHistogram {
public:
  static constexpr std::array<Millis, 12> Bounds = {
      Millis(50),   Millis(100),   Millis(250),   Millis(500),
      Millis(750),  Millis(1000),  Millis(1500),  Millis(2500),
      Millis(5000), Millis(10000), Millis(30000), Millis(60000)};

  void observe(Millis Span) {
    std::size_t Index = 0;
    while (Index < Bounds.size() && Span > Bounds[Index])
      ++Index;
    ++Counts[Index];
    ++Total;
    Sum += Span;
  }

  /// Spans in a bucket; the last one holds those beyond all bounds.
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
