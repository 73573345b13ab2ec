/// \file
/// Formats and sorts findings.

#include "Common/Finding.h"

#include <algorithm>
#include <tuple>

namespace corianderdyke {

std::string Finding::text() const {
  std::string Out = File;
  if (Line > 0)
    Out += ":" + std::to_string(Line) + ":" + std::to_string(Column);
  Out += ": " + Message;
  if (!Suggestion.empty())
    Out += "; " + Suggestion;
  return Out;
}

Findings sortByPosition(Findings All) {
  std::stable_sort(All.begin(), All.end(),
                   [](const Finding &Left, const Finding &Right) {
                     return std::tie(Left.Line, Left.Column) <
                            std::tie(Right.Line, Right.Column);
                   });
  return All;
}

std::string findingsText(const Findings &All) {
  std::string Out;
  for (const Finding &Each : All)
    Out += Each.text() + "\n";
  return Out;
}

} // namespace corianderdyke
