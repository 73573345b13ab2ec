/// \file
/// Delays repeated replacements of the primary of one group.

#include "Failover/ReplacementBackoff.h"

#include <algorithm>

namespace corianderdyke {

void ReplacementBackoff::recordReplacement(Millis Now) {
  while (!ReplacementTimes.empty() && Now - ReplacementTimes.front() > Window)
    ReplacementTimes.pop_front();
  ReplacementTimes.push_back(Now);
}

Millis ReplacementBackoff::delay(Millis SuspectAfter, Millis Now) const {
  const auto Recent = static_cast<std::size_t>(
      std::count_if(ReplacementTimes.begin(), ReplacementTimes.end(),
                    [&](Millis Each) { return Now - Each <= Window; }));
  if (Recent < ImmediateReplacements)
    return {};
  std::int64_t Factor = 1;
  for (std::size_t Each = ImmediateReplacements;
       Each < Recent && Factor < MaxDelayFactor; ++Each)
    Factor *= 2;
  return SuspectAfter * Factor;
}

} // namespace corianderdyke
