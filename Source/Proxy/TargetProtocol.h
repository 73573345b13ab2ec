/// \file
/// The published protocol of targets, as HTTP headers.

#ifndef CORIANDERDYKE_PROXY_TARGETPROTOCOL_H
#define CORIANDERDYKE_PROXY_TARGETPROTOCOL_H

#include "Http/HttpMessage.h"
#include "Routing/TargetTable.h"

namespace corianderdyke {

namespace target_header {
constexpr const char *Term = "Target-Term";
constexpr const char *Position = "Target-Position";
constexpr const char *Role = "Target-Role";
constexpr const char *Reason = "Target-Reason";
constexpr const char *Replayed = "Target-Replayed";
} // namespace target_header

namespace statement_header {
constexpr const char *Access = "Statement-Access";
constexpr const char *Floor = "Statement-Floor";
constexpr const char *Key = "Statement-Key";
constexpr const char *Term = "Statement-Term";
} // namespace statement_header

/// What an answer of a target says of its term, position and role.
inline TargetSighting sightingOf(const HttpResponse &Answer) {
  return {numberOr(Answer.header(target_header::Term), 0),
          numberOr(Answer.header(target_header::Position), 0),
          Answer.header(target_header::Role) == "primary",
          Answer.header(target_header::Role) == "fenced"};
}

} // namespace corianderdyke

#endif
