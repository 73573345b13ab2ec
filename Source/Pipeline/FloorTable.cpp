/// \file
/// Proven floors: log positions that hold every commit acknowledged before a
/// known moment.

#include "Pipeline/FloorTable.h"

#include <algorithm>

namespace corianderdyke {

void FloorTable::record(const std::string &Group, LogPosition Position,
                        Millis SentAt, Millis Now) {
  std::deque<ObservedPosition> &Known = Groups[Group];
  // A promotion rolls back the end of the former primary's log. A floor in that
  // part is in no log any more: every replica would refuse it for as long as it
  // is kept.
  if (!Known.empty() && Known.back().Position.Term > Position.Term)
    return;
  if (!Known.empty() && Known.back().Position.Term < Position.Term)
    Known.clear();
  if (!Known.empty() && SentAt < Known.back().SentAt)
    return;
  if (Known.size() > 1 && SentAt - Known[Known.size() - 2].SentAt < Spacing) {
    Known.back() = {Position, SentAt, Now};
    return;
  }
  Known.push_back({Position, SentAt, Now});
  while (Known.size() > MaxPositions ||
         SentAt - Known.front().SentAt > Retention)
    Known.pop_front();
}

bool FloorTable::isRegression(const std::string &Group, LogPosition Position,
                              Millis SentAt) const {
  const auto Found = Groups.find(Group);
  if (Found == Groups.end())
    return false;
  const std::deque<ObservedPosition> &Known = Found->second;
  return std::any_of(
      Known.rbegin(), Known.rend(), [&](const ObservedPosition &Each) {
        return Each.Position.Term == Position.Term &&
               Each.Position > Position && Each.ReceivedAt <= SentAt;
      });
}

std::optional<LogPosition> FloorTable::floor(const std::string &Group,
                                             Millis ArrivedAt,
                                             Millis MaxStaleness) const {
  const auto Found = Groups.find(Group);
  if (Found == Groups.end())
    return std::nullopt;
  for (const ObservedPosition &Each : Found->second)
    if (Each.SentAt > ArrivedAt - MaxStaleness)
      return Each.Position;
  return std::nullopt;
}

std::optional<FloorTable::ObservedPosition>
FloorTable::latest(const std::string &Group) const {
  const auto Found = Groups.find(Group);
  if (Found == Groups.end() || Found->second.empty())
    return std::nullopt;
  return Found->second.back();
}

} // namespace corianderdyke
