/// \file
/// Proven floors: log positions that hold everything acknowledged before a
/// known moment.

#include "Pipeline/FloorTable.h"

#include <algorithm>

namespace corianderdyke {

void FloorTable::note(const std::string &Group, LogPosition Shown,
                      Millis SentAt, Millis Now) {
  std::deque<Proof> &Known = Groups[Group];
  // A floor in the tail that a promotion rolled back is in no log any more:
  // every replica would refuse it for as long as it's kept.
  if (!Known.empty() && Known.back().Shown.Term > Shown.Term)
    return;
  if (!Known.empty() && Known.back().Shown.Term < Shown.Term)
    Known.clear();
  if (!Known.empty() && SentAt < Known.back().SentAt)
    return;
  if (Known.size() > 1 && SentAt - Known[Known.size() - 2].SentAt < Spacing) {
    Known.back() = {Shown, SentAt, Now};
    return;
  }
  Known.push_back({Shown, SentAt, Now});
  while (Known.size() > MaxProofs || SentAt - Known.front().SentAt > Kept)
    Known.pop_front();
}

bool FloorTable::hasShrunk(const std::string &Group, LogPosition Shown,
                           Millis SentAt) const {
  const auto Found = Groups.find(Group);
  if (Found == Groups.end())
    return false;
  const std::deque<Proof> &Known = Found->second;
  return std::any_of(Known.rbegin(), Known.rend(), [&](const Proof &Each) {
    return Each.Shown.Term == Shown.Term && Each.Shown > Shown &&
           Each.NotedAt <= SentAt;
  });
}

std::optional<LogPosition> FloorTable::floor(const std::string &Group,
                                             Millis ArrivedAt,
                                             Millis AcceptedAge) const {
  const auto Found = Groups.find(Group);
  if (Found == Groups.end())
    return std::nullopt;
  for (const Proof &Each : Found->second)
    if (Each.SentAt > ArrivedAt - AcceptedAge)
      return Each.Shown;
  return std::nullopt;
}

std::optional<FloorTable::Proof>
FloorTable::youngest(const std::string &Group) const {
  const auto Found = Groups.find(Group);
  if (Found == Groups.end() || Found->second.empty())
    return std::nullopt;
  return Found->second.back();
}

} // namespace corianderdyke
