/// \file
/// Faults found in a file that a person wrote, each with its place.

#ifndef CORIANDERDYKE_COMMON_FINDING_H
#define CORIANDERDYKE_COMMON_FINDING_H

#include <cstdint>
#include <string>
#include <vector>

namespace corianderdyke {

/// One fault in a settings file or manifest.
struct Finding {
  std::string File;
  std::uint32_t Line = 0;   ///< From 1; 0 where the fault has no line.
  std::uint32_t Column = 0; ///< From 1; 0 where the fault has no column.
  std::string Message;
  std::string Suggestion; ///< What to write instead; may be empty.

  bool operator==(const Finding &) const = default;

  /// "file:line:column: message; suggestion".
  std::string text() const;
};

using Findings = std::vector<Finding>;

/// The findings by their place in the file.
Findings sortByPosition(Findings All);

/// One finding a line.
std::string refusalText(const Findings &All);

} // namespace corianderdyke

#endif
