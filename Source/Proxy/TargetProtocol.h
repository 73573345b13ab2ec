/// \file
/// The published protocol of targets, as HTTP headers.

#ifndef CORIANDERDYKE_PROXY_TARGETPROTOCOL_H
#define CORIANDERDYKE_PROXY_TARGETPROTOCOL_H

#include "Http/HttpMessage.h"
#include "Routing/TargetTable.h"

namespace corianderdyke {

namespace target_header {
constexpr const char *Term = "Target-Term";
constexpr const char *LogTerm = "Target-Log-Term";
constexpr const char *Position = "Target-Position";
/// Position of the write that the answer refers to, which is an earlier write
/// if the key was known.
constexpr const char *WritePosition = "Target-Write-Position";
/// How long the target held a watch before its answer, in milliseconds.
constexpr const char *HeldMs = "Target-Held-Ms";
constexpr const char *Role = "Target-Role";
constexpr const char *Reason = "Target-Reason";
constexpr const char *Replayed = "Target-Replayed";
} // namespace target_header

/// Why a target refused a statement before running it.
namespace target_reason {
constexpr const char *OtherTerm = "other term";
constexpr const char *NotPrimary = "not primary";
constexpr const char *Behind = "behind the session";
constexpr const char *NotConnected = "not connected";
constexpr const char *NoTransaction = "no transaction";
constexpr const char *TransactionOpen = "transaction open";
constexpr const char *KeyConflict = "the key stands for another statement";
constexpr const char *KeyTooOld = "the key is too old";
constexpr const char *KeyAbandoned = "the key was given up";
} // namespace target_reason

namespace statement_header {
constexpr const char *Access = "Statement-Access";
constexpr const char *Floor = "Statement-Floor";
constexpr const char *Key = "Statement-Key";
constexpr const char *Term = "Statement-Term";
/// "open" if the statement belongs to the connection's transaction.
constexpr const char *Transaction = "Statement-Transaction";
} // namespace statement_header

/// Parses a target's term, position and role from its answer.
inline TargetObservation parseObservation(const HttpResponse &Answer) {
  return {numberOr(Answer.header(target_header::Term), 0),
          numberOr(Answer.header(target_header::LogTerm), 0),
          numberOr(Answer.header(target_header::Position), 0),
          Answer.header(target_header::Role) == "primary",
          Answer.header(target_header::Role) == "fenced"};
}

} // namespace corianderdyke

#endif
