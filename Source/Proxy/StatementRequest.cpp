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

} // namespace

Expected<StatementRequest> parseStatement(const HttpRequest &From,
                                          const Manifest &Current,
                                          const std::string &SessionKey) {
  StatementRequest Out;
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
  Out.Key = From.header(caller_header::Key);
  if (!Kind->Repeatable && Out.Key.empty())
    return badHeader(caller_header::Key, "kind '" + KindName +
                                             "' must not run twice and needs "
                                             "an idempotency key");
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
    Out.Deadline =
        std::min(Out.Deadline, Millis(static_cast<std::int64_t>(Span)));
  }
  Out.Body = From.Body;
  return Out;
}

} // namespace corianderdyke
