/// \file
/// Limits what less urgent statements have in flight at a target while more
/// urgent ones arrive.
///
/// A target executes statements in the order of arrival. Without the limit, a
/// burst of long statements occupies its slots and its queue, and each short
/// urgent statement waits behind several of them.

#ifndef CORIANDERDYKE_ADMISSION_URGENTROOM_H
#define CORIANDERDYKE_ADMISSION_URGENTROOM_H

#include "Common/Millis.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace corianderdyke {

/// A gateway's share of a target's slots.
struct SlotShare {
  std::size_t Slots = 1;
  std::size_t Gateways = 1;

  /// Returns the share times \p Numerator / \p Denominator, rounded up, but at
  /// least 1.
  std::size_t times(std::size_t Numerator, std::size_t Denominator) const {
    const std::size_t Parts = Gateways * Denominator;
    const std::size_t Out = (Slots * Numerator + Parts - 1) / Parts;
    return Out > 0 ? Out : 1;
  }

  auto operator<=>(const SlotShare &) const = default;
};

class UrgentRoom {
public:
  void recordArrival(std::uint32_t Priority, Millis Now) {
    LastArrival[Priority] = Now;
  }

  /// Returns the highest priority that arrived recently; nothing if none did.
  std::optional<std::uint32_t> mostUrgent(Millis Now) const {
    for (const auto &[Priority, At] : LastArrival)
      if (Now - At < Period)
        return Priority;
    return std::nullopt;
  }

  /// Returns how many statements less urgent than the most urgent one may be
  /// in flight. One third more than the slots, so that a slot that becomes free
  /// has a next statement although each gateway counts only its own.
  static std::size_t limit(const SlotShare &Share) { return Share.times(4, 3); }

private:
  /// Statements of one kind that arrive more rarely than this leave a target
  /// free for others most of the time.
  static constexpr Millis Period = Millis(1000);

  std::map<std::uint32_t, Millis> LastArrival; ///< By priority.
};

} // namespace corianderdyke

#endif
