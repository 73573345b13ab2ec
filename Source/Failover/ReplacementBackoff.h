/// \file
/// Delays repeated replacements of the primary of one group.

#ifndef CORIANDERDYKE_FAILOVER_REPLACEMENTBACKOFF_H
#define CORIANDERDYKE_FAILOVER_REPLACEMENTBACKOFF_H

#include "Common/Millis.h"

#include <deque>

namespace corianderdyke {

/// If the targets of a group keep failing and returning, each replacement
/// interrupts callers without improving anything. The first two replacements in
/// a window are made at once, since a second host may well fail right after a
/// repair. Before each further one, the primary must be suspected without
/// interruption for a delay that doubles each time.
class ReplacementBackoff {
public:
  void recordReplacement(Millis Now);

  /// Returns how long the primary must be suspected in addition to \p
  /// SuspectAfter: zero, or a multiple of \p SuspectAfter.
  Millis delay(Millis SuspectAfter, Millis Now) const;

  static constexpr Millis Window = Millis(60000);
  static constexpr std::size_t ImmediateReplacements = 2;
  /// Upper limit of the delay as a multiple of SuspectAfter: 6.4 s with the
  /// default.
  static constexpr std::int64_t MaxDelayFactor = 16;

private:
  std::deque<Millis> ReplacementTimes; ///< Times in ascending order.
};

} // namespace corianderdyke

#endif
