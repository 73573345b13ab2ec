/// \file
/// The proxy's replies to callers and their outcomes.

#ifndef CORIANDERDYKE_PROXY_STATEMENTREPLY_H
#define CORIANDERDYKE_PROXY_STATEMENTREPLY_H

#include "Common/Millis.h"
#include "Http/HttpMessage.h"

namespace corianderdyke {

/// The outcome of one attempt of a statement, as far as the caller may rely on
/// it. It applies to this attempt alone: after an unknown outcome, only a later
/// "done" or a target's answer about the key settles the statement.
enum class Outcome : std::uint8_t {
  Done,    ///< It ran; its writes survive a failover.
  NotRun,  ///< No byte of it reached a target, or the target itself refused
           ///< it before running it.
  Unknown, ///< It may have run; retry with the same key.
};

/// The value of the outcome header.
std::string outcomeHeader(Outcome Value);

namespace reply_status {
constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int Conflict = 409;
constexpr int Gone = 410;
constexpr int Unprocessable = 422;
constexpr int Unavailable = 503;
constexpr int Unknown = 504;
} // namespace reply_status

/// Computes the retry delay of refused callers. Callers that are refused
/// together would retry together and be refused again, so the delays are
/// uniformly distributed between the minimum and twice the minimum.
class RetryAfterJitter {
public:
  explicit RetryAfterJitter(std::uint64_t Seed) : State(Seed) {}

  Millis next(Millis Minimum);

private:
  std::uint64_t State;
};

/// A reply that does not come from a target.
HttpResponse plainReply(int Status, const std::string &Reason);

/// A reply that does not come from a target, with a retry delay.
HttpResponse refusalReply(int Status, const std::string &Reason,
                          Millis RetryAfter);

} // namespace corianderdyke

#endif
