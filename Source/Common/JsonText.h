/// \file
/// Serialises JSON documents.

#ifndef CORIANDERDYKE_COMMON_JSONTEXT_H
#define CORIANDERDYKE_COMMON_JSONTEXT_H

#include <nlohmann/json.hpp>
#include <string>

namespace corianderdyke {

/// Serialises \p Document as one line, or as lines indented by \p Indent. Bytes
/// that are not UTF-8 are replaced: names, ids and quoted input come from
/// callers, and the library's default is to throw, which would end the process.
inline std::string jsonText(const nlohmann::json &Document, int Indent = -1) {
  return Document.dump(Indent, ' ', false,
                       nlohmann::json::error_handler_t::replace);
}

} // namespace corianderdyke

#endif
