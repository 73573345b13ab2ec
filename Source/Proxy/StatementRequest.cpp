/// \file
/// A caller's statement, parsed from its HTTP headers.

#include "Proxy/StatementRequest.h"

#include <algorithm>

namespace corianderdyke {

namespace {

tl::unexpected<Error> badHeader(const std::string &Name,
                                const std::string &Reason) {
  return fail(ErrorCode::BadInput, Name + ": " + Reason);
}

/// Statements inside a transaction take effect with its commit, which has the
/// key for all of them.
bool needsKey(const StatementRequest &Statement) {
  if (Statement.Operation == StatementOperation::Commit)
    return true;
  return Statement.Operation == StatementOperation::Run &&
         Statement.Transaction.empty() && !Statement.Kind.Idempotent;
}

bool needsTransaction(StatementOperation Operation) {
  return Operation == StatementOperation::Commit ||
         Operation == StatementOperation::Rollback;
}

} // namespace

std::optional<StatementOperation> operationFor(const std::string &Path) {
  if (Path == "/statement")
    return StatementOperation::Run;
  if (Path == "/transaction/begin")
    return StatementOperation::Begin;
  if (Path == "/transaction/commit")
    return StatementOperation::Commit;
  if (Path == "/transaction/rollback")
    return StatementOperation::Rollback;
  return std::nullopt;
}

Expected<StatementRequest> parseStatement(StatementOperation Operation,
                                          const HttpRequest &Request,
                                          const Manifest &Current,
                                          const std::string &SessionKey) {
  StatementRequest Out;
  Out.Operation = Operation;
  Out.CallerConnection = Request.Peer;
  Out.Transaction = Request.header(caller_header::Transaction);
  Out.Database = Request.header(caller_header::Database);
  if (Current.database(Out.Database) == nullptr)
    return badHeader(caller_header::Database,
                     "the manifest has no database '" + Out.Database + "'");
  Out.Organisation = Request.header(caller_header::Organisation);
  if (Current.organisation(Out.Organisation) == nullptr)
    return badHeader(caller_header::Organisation,
                     "the manifest has no organisation '" + Out.Organisation +
                         "'");
  const std::string &KindName = Request.header(caller_header::Kind);
  const RequestKindPolicy *Kind = Current.kind(KindName);
  if (Kind == nullptr)
    return badHeader(caller_header::Kind,
                     "the manifest has no kind '" + KindName + "'");
  Out.Kind = *Kind;
  const std::string &KeyText = Request.header(caller_header::Key);
  if (needsKey(Out) && KeyText.empty())
    return badHeader(caller_header::Key, "kind '" + KindName +
                                             "' must not run twice and needs "
                                             "an idempotency key");
  if (!KeyText.empty()) {
    const auto Key = IdempotencyKey::parse(KeyText);
    if (!Key)
      return badHeader(caller_header::Key, Key.error().Message);
    Out.Key = *Key;
  }
  if (needsTransaction(Operation) && Out.Transaction.empty())
    return badHeader(caller_header::Transaction, "it's missing");
  auto Session =
      verifyToken(Request.header(caller_header::Session), SessionKey);
  if (!Session)
    return badHeader(caller_header::Session, Session.error().Message);
  Out.Session = *Session;
  Out.Timeout = Kind->Deadline;
  const std::string &DeadlineText = Request.header(caller_header::DeadlineMs);
  if (!DeadlineText.empty()) {
    const std::uint64_t Requested = numberOr(DeadlineText, 0);
    if (Requested == 0)
      return badHeader(caller_header::DeadlineMs,
                       "'" + DeadlineText + "' isn't a number of milliseconds");
    // The comparison precedes the conversion: a value beyond the signed range
    // would become negative, and the longest timeout would expire at once.
    if (Requested < static_cast<std::uint64_t>(Out.Timeout.count()))
      Out.Timeout = Millis(static_cast<std::int64_t>(Requested));
  }
  Out.Body = Request.Body;
  return Out;
}

} // namespace corianderdyke
