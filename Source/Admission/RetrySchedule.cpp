/// \file
/// Computes when refused callers may retry.

#include "Admission/RetrySchedule.h"

#include <algorithm>

namespace corianderdyke {

double RetrySchedule::uniform() {
  constexpr double Range = 18446744073709551616.0;
  return static_cast<double>(Random()) / Range;
}

Millis RetrySchedule::reserve(const std::string &Organisation, double Wait,
                              double Interval, Millis Now) {
  const auto Start = static_cast<double>(Now.count());
  const auto MaxSpan = static_cast<double>(MaxRetryAfter.count());
  double &Next = NextAt[Organisation];
  Next = std::max(Next, Start + Wait) + Interval;
  double Span = Next - Start + uniform() * Interval;
  if (Span > MaxSpan) {
    Next = std::min(Next, Start + MaxSpan);
    Span = MaxSpan * (1 + uniform()) / 2;
  }
  return Millis(std::max<std::int64_t>(static_cast<std::int64_t>(Span), 1));
}

} // namespace corianderdyke
