/// \file
/// Formats rows as aligned columns of text.

#ifndef CORIANDERDYKE_OPERATORS_TEXTTABLE_H
#define CORIANDERDYKE_OPERATORS_TEXTTABLE_H

#include <string>
#include <vector>

namespace corianderdyke {

/// Rows under a heading, each column as wide as its widest cell.
class TextTable {
public:
  explicit TextTable(std::vector<std::string> Heading);

  void add(std::vector<std::string> Row);

  /// All lines, without trailing blanks.
  std::string text() const;

private:
  std::vector<std::vector<std::string>> Rows;
};

} // namespace corianderdyke

#endif
