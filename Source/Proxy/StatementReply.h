/// \file
/// What a caller is told of its statement.

#ifndef CORIANDERDYKE_PROXY_STATEMENTREPLY_H
#define CORIANDERDYKE_PROXY_STATEMENTREPLY_H

#include "Common/Millis.h"
#include "Http/HttpMessage.h"

namespace corianderdyke {

/// What became of one try of a statement, as far as the caller may rely on
/// it. It speaks of this try alone: after an unknown outcome only a later
/// "done", or an answer of the target about the key, settles the statement.
enum class Outcome : std::uint8_t {
  Done,    ///< It ran; what it wrote survives a failover.
  NotRun,  ///< No byte of it reached a target, or the target itself refused
           ///< it before running it.
  Unknown, ///< It may have run; ask again with the same key.
};

/// The outcome as it stands in the header.
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

/// Says when refused callers should come back. Those refused together would
/// come back together and be refused again; so each is told a little more
/// than the least, spread evenly up to twice as much.
class RetryAfterJitter {
public:
  explicit RetryAfterJitter(std::uint64_t Seed) : State(Seed) {}

  Millis next(Millis Least);

private:
  std::uint64_t State;
};

/// An answer that the proxy gives itself.
HttpResponse plainReply(int Status, const std::string &Reason);

/// Such an answer with the time to come back.
HttpResponse refusalReply(int Status, const std::string &Why,
                          Millis RetryAfter);

} // namespace corianderdyke

#endif
