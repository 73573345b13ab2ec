/// \file
/// The proxy's replies to callers and their outcomes.

#include "Proxy/StatementReply.h"

#include "Proxy/StatementRequest.h"

#include <algorithm>
#include <xxhash.h>

namespace corianderdyke {

std::string outcomeHeader(Outcome Value) {
  switch (Value) {
  case Outcome::Done:
    return "done";
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Unknown:
    break;
  }
  return "unknown";
}

Millis RetryAfterJitter::next(Millis Minimum) {
  State = XXH64(&State, sizeof(State), 0);
  const auto Span =
      static_cast<std::uint64_t>(std::max<std::int64_t>(Minimum.count(), 1));
  return Minimum + Millis(static_cast<std::int64_t>(State % Span));
}

HttpResponse plainReply(int Status, const std::string &Reason) {
  return {Status, {}, Reason + "\n"};
}

HttpResponse refusalReply(int Status, const std::string &Reason,
                          Millis RetryAfter) {
  HttpResponse Out = plainReply(Status, Reason);
  Out.Headers[caller_header::RetryAfterMs] = std::to_string(RetryAfter.count());
  return Out;
}

} // namespace corianderdyke
