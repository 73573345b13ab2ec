/// \file
/// A caller's statement, parsed from its HTTP headers.

#ifndef CORIANDERDYKE_PROXY_STATEMENTREQUEST_H
#define CORIANDERDYKE_PROXY_STATEMENTREQUEST_H

#include "Http/HttpMessage.h"
#include "Manifest/Manifest.h"
#include "Proxy/IdempotencyKey.h"
#include "Session/SessionToken.h"

namespace corianderdyke {

namespace caller_header {
constexpr const char *Database = "Corianderdyke-Database";
constexpr const char *Organisation = "Corianderdyke-Organisation";
constexpr const char *Kind = "Corianderdyke-Kind";
constexpr const char *Session = "Corianderdyke-Session";
constexpr const char *Key = "Corianderdyke-Key";
constexpr const char *DeadlineMs = "Corianderdyke-Deadline-Ms";
constexpr const char *Transaction = "Corianderdyke-Transaction";
constexpr const char *Outcome = "Corianderdyke-Outcome";
constexpr const char *RetryAfterMs = "Corianderdyke-Retry-After-Ms";
constexpr const char *ServedBy = "Corianderdyke-Served-By";
constexpr const char *Target = "Corianderdyke-Target";
} // namespace caller_header

/// The operation that a caller requests by its path.
enum class StatementOperation : std::uint8_t { Run, Begin, Commit, Rollback };

/// The operation of a path; nothing if the path is not one of a statement.
std::optional<StatementOperation> operationFor(const std::string &Path);

/// The attributes of a statement that the proxy uses. The body is forwarded
/// without being parsed.
struct StatementRequest {
  StatementOperation Operation = StatementOperation::Run;
  std::string Database;
  std::string Organisation;
  RequestKindPolicy Kind;
  /// Nothing if the kind is idempotent and no key was sent.
  std::optional<IdempotencyKey> Key;
  std::string Transaction; ///< Empty if it belongs to none.
  SessionToken Session;
  Millis Timeout; ///< Counted from the arrival.
  std::string Body;
  std::string CallerConnection; ///< Identifies the connection.

  bool isWrite() const {
    return Operation != StatementOperation::Run || Kind.Mode == Access::Write;
  }

  auto operator<=>(const StatementRequest &) const = default;
};

/// Reads a statement's headers; BadInput names the header at fault.
Expected<StatementRequest> parseStatement(StatementOperation Operation,
                                          const HttpRequest &Request,
                                          const Manifest &Current,
                                          const std::string &SessionKey);

} // namespace corianderdyke

#endif
