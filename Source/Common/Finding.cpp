/// \file
/// Text form of findings.

#include "Common/Finding.h"

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

std::string text(const Findings &All) {
  std::string Out;
  for (const Finding &Each : All)
    Out += Each.text() + "\n";
  return Out;
}

} // namespace corianderdyke
