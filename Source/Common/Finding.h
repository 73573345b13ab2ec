/// \file
/// Errors in a settings file or manifest, with their positions.

#ifndef CORIANDERDYKE_COMMON_FINDING_H
#define CORIANDERDYKE_COMMON_FINDING_H

#include <cstdint>
#include <string>
#include <vector>

namespace corianderdyke {

/// One error in a settings file or manifest.
struct Finding {
  std::string File;
  std::uint32_t Line = 0;   ///< From 1; 0 if the error has no line.
  std::uint32_t Column = 0; ///< From 1; 0 if the error has no column.
  std::string Message;
  std::string Suggestion; ///< Proposed correction; may be empty.

  bool operator==(const Finding &) const = default;

  /// "file:line:column: message; suggestion".
  std::string text() const;
};

using Findings = std::vector<Finding>;

/// The findings in the order of their positions in the file.
Findings sortByPosition(Findings All);

/// The findings, one per line.
std::string findingsText(const Findings &All);

} // namespace corianderdyke

#endif
