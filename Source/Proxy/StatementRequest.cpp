/// \file
/// A caller's statement, as its headers say it.

#include "Proxy/StatementRequest.h"

#include <algorithm>

namespace corianderdyke {

namespace {

tl::unexpected<Error> badHeader(const std::string &Name,
                                const std::string &Why) {
  return fail(ErrorCode::BadInput, Name + ": " + Why);
}

/// Statements inside a transaction take effect with its commit, which carries
/// the key for all of them.
bool needsKey(const StatementRequest &Of) {
  if (Of.What == Verb::Commit)
    return true;
  return Of.What == Verb::Run && Of.Transaction.empty() && !Of.Kind.Repeatable;
}

bool needsTransaction(Verb What) {
  return What == Verb::Commit || What == Verb::Rollback;
}

} // namespace

std::optional<Verb> verbOf(const std::string &Path) {
  if (Path == "/statement")
    return Verb::Run;
  if (Path == "/transaction/begin")
    return Verb::Begin;
  if (Path == "/transaction/commit")
    return Verb::Commit;
  if (Path == "/transaction/rollback")
    return Verb::Rollback;
  return std::nullopt;
}

Expected<StatementRequest> parseStatement(Verb What, const HttpRequest &From,
                                          const Manifest &Current,
                                          const std::string &SessionKey) {
  StatementRequest Out;
  Out.What = What;
  Out.Peer = From.Peer;
  Out.Transaction = From.header(caller_header::Transaction);
  Out.Database = From.header(caller_header::Database);
  if (Current.database(Out.Database) == nullptr)
    return badHeader(caller_header::Database,
                     "the manifest has no database '" + Out.Database + "'");
  Out.Organisation = From.header(caller_header::Organisation);
  if (Current.organisation(Out.Organisation) == nullptr)
    return badHeader(caller_header::Organisation,
                     "the manifest has no organisation '" + Out.Organisation +
                         "'");
  const std::string &KindName = From.header(caller_header::Kind);
  const KindPolicy *Kind = Current.kind(KindName);
  if (Kind == nullptr)
    return badHeader(caller_header::Kind,
                     "the manifest has no kind '" + KindName + "'");
  Out.Kind = *Kind;
  const std::string &KeyText = From.header(caller_header::Key);
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
  if (needsTransaction(What) && Out.Transaction.empty())
    return badHeader(caller_header::Transaction, "it's missing");
  auto Session = openToken(From.header(caller_header::Session), SessionKey);
  if (!Session)
    return badHeader(caller_header::Session, Session.error().Message);
  Out.Session = *Session;
  Out.Deadline = Kind->Deadline;
  const std::string &Asked = From.header(caller_header::DeadlineMs);
  if (!Asked.empty()) {
    const std::uint64_t Span = numberOr(Asked, 0);
    if (Span == 0)
      return badHeader(caller_header::DeadlineMs,
                       "'" + Asked + "' isn't a number of milliseconds");
    // Compared before it's converted: a span beyond the signed range would
    // turn negative, and the caller that waits longest were refused at once.
    if (Span < static_cast<std::uint64_t>(Out.Deadline.count()))
      Out.Deadline = Millis(static_cast<std::int64_t>(Span));
  }
  Out.Body = From.Body;
  return Out;
}

} // namespace corianderdyke
