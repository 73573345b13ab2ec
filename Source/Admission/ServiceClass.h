/// \file
/// The class and order of a waiting statement, and when it must start.

#ifndef CORIANDERDYKE_ADMISSION_SERVICECLASS_H
#define CORIANDERDYKE_ADMISSION_SERVICECLASS_H

#include "Common/Millis.h"

#include <compare>
#include <cstdint>

namespace corianderdyke {

enum class ServiceClass : std::uint8_t {
  InTime, ///< May still meet its objective.
  Late,   ///< Misses its objective and may still be answered in its timeout.
};

/// Statements of a smaller rank start first, those of equal rank in the order
/// of arrival.
struct ServiceRank {
  ServiceClass Class = ServiceClass::InTime;
  std::uint32_t Priority = 0; ///< 0 is the highest.

  auto operator<=>(const ServiceRank &) const = default;
};

/// Returns the last time at which a statement can start and be answered before
/// its timeout.
inline Millis latestStart(Millis Arrival, Millis Timeout, Millis UsualAnswer) {
  /// Answers of one kind differ by several times, so one and a half of the
  /// usual answer time is kept free, in halves.
  constexpr std::int64_t AnswerHalves = 3;
  /// For the way back to the caller, and for queues that are checked at
  /// intervals.
  constexpr Millis Reserve(20);
  return Arrival + Timeout - UsualAnswer * AnswerHalves / 2 - Reserve;
}

} // namespace corianderdyke

#endif
