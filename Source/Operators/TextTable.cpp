/// \file
/// Formats rows as aligned columns of text.

#include "Operators/TextTable.h"

#include <algorithm>

namespace corianderdyke {

TextTable::TextTable(std::vector<std::string> Heading) {
  Rows.push_back(std::move(Heading));
}

void TextTable::add(std::vector<std::string> Row) {
  Row.resize(Rows.front().size());
  Rows.push_back(std::move(Row));
}

std::string TextTable::text() const {
  std::vector<std::size_t> Widths(Rows.front().size(), 0);
  for (const auto &Row : Rows)
    for (std::size_t Column = 0; Column < Row.size(); ++Column)
      Widths[Column] = std::max(Widths[Column], Row[Column].size());
  std::string Out;
  for (const auto &Row : Rows) {
    std::string Line;
    for (std::size_t Column = 0; Column < Row.size(); ++Column) {
      Line += Row[Column];
      Line.append(Widths[Column] - Row[Column].size() + 2, ' ');
    }
    Line.erase(Line.find_last_not_of(' ') + 1);
    Out += Line + "\n";
  }
  return Out;
}

} // namespace corianderdyke
