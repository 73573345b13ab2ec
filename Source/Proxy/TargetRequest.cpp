/// \file
/// The HTTP request that sends a statement to a target.

#include "Proxy/TargetRequest.h"

#include "Proxy/TargetProtocol.h"

namespace corianderdyke {

namespace {

const char *pathOf(StatementOperation Operation) {
  switch (Operation) {
  case StatementOperation::Begin:
    return "/v1/begin";
  case StatementOperation::Commit:
    return "/v1/commit";
  case StatementOperation::Rollback:
    return "/v1/rollback";
  case StatementOperation::Run:
    break;
  }
  return "/v1/statement";
}

} // namespace

HttpRequest requestFor(const StatementRequest &Statement, const Route &Chosen,
                       bool InTransaction) {
  HttpRequest Out;
  Out.Method = HttpMethod::Post;
  Out.Path = pathOf(Statement.Operation);
  Out.Headers[statement_header::Access] =
      Statement.Kind.Mode == Access::Read ? "read" : "write";
  Out.Headers[statement_header::Term] = std::to_string(Chosen.Term);
  Out.Headers[statement_header::Floor] = std::to_string(Chosen.MinPosition);
  if (InTransaction)
    Out.Headers[statement_header::Transaction] = "open";
  if (Statement.Key)
    Out.Headers[statement_header::Key] =
        Statement.Key->textFor(Statement.Organisation);
  Out.Body = Statement.Body;
  return Out;
}

} // namespace corianderdyke
