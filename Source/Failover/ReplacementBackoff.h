/// \file
/// Slows down replacements that follow each other.

#ifndef CORIANDERDYKE_FAILOVER_REPLACEMENTBACKOFF_H
#define CORIANDERDYKE_FAILOVER_REPLACEMENTBACKOFF_H

#include "Common/Millis.h"

#include <deque>

namespace corianderdyke {

/// Where every target of a group comes and goes, each replacement costs
/// callers a gap and helps nobody. The first two in a window are made at once:
/// a second host may well be lost right after a repair. Before each further
/// one the primary has to be missed without a break for twice as long.
class ReplacementBackoff {
public:
  void recordReplacement(Millis Now);

  /// How long a primary is to be missed beyond \p SuspectAfter.
  Millis delay(Millis SuspectAfter, Millis Now) const;

  static constexpr Millis Window = Millis(60000);
  static constexpr std::size_t ImmediateReplacements = 2;
  /// Longest patience, in SuspectAfter: 6.4 s with the default.
  static constexpr std::int64_t MaxDelayFactor = 16;

private:
  std::deque<Millis> Replaced; ///< Rising.
};

} // namespace corianderdyke

#endif
