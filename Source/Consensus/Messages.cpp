/// \file
/// Formatting of group members.

#include "Consensus/Messages.h"

namespace corianderdyke {

std::string describe(const Members &All) {
  std::string Text;
  for (const Member &Each : All)
    Text += (Text.empty() ? "" : ", ") + Each.Name +
            (Each.isVacant() ? " (vacant)" : "");
  return Text;
}

} // namespace corianderdyke
