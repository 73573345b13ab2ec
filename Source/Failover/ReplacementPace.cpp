/// \file
/// Slows down replacements that follow each other.

#include "Failover/ReplacementPace.h"

#include <algorithm>

namespace corianderdyke {

void ReplacementPace::noteReplaced(Millis Now) {
  while (!Replaced.empty() && Now - Replaced.front() > Window)
    Replaced.pop_front();
  Replaced.push_back(Now);
}

Millis ReplacementPace::patience(Millis SuspectAfter, Millis Now) const {
  const auto Recent = static_cast<std::size_t>(
      std::count_if(Replaced.begin(), Replaced.end(),
                    [&](Millis Each) { return Now - Each <= Window; }));
  if (Recent < MadeAtOnce)
    return {};
  std::int64_t Factor = 1;
  for (std::size_t Each = MadeAtOnce; Each < Recent && Factor < MostPatience;
       ++Each)
    Factor *= 2;
  return SuspectAfter * Factor;
}

} // namespace corianderdyke
