/// \file
/// Passes requests for permits on to holders of quota seats.

#include "Quota/PermitForwarder.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// A proxy uses late replies for this long.
constexpr Millis RequestRetention(2000);
constexpr std::int64_t WholeToken = 1000;

} // namespace

bool PermitForwarder::takeToken(Millis Now) {
  const Millis Passed = std::max(Millis(0), Now - CountedAt);
  CountedAt = std::max(CountedAt, Now);
  // Limited before the multiplication, which could overflow.
  Tokens = std::min(BucketSize, Tokens + std::min(BucketSize, Passed.count()) *
                                             RefillPerMilli);
  if (Tokens < WholeToken)
    return false;
  Tokens -= WholeToken;
  return true;
}

std::optional<PermitForwarder::PassedRequest>
PermitForwarder::forward(const Endpoint &From, bool IsSenderSubscribed,
                         const std::optional<Endpoint> &Holder,
                         const PermitRequest &Request, Millis Now) {
  std::erase_if(Requests, [Now](const auto &Each) {
    return Now - Each.second.At >= RequestRetention;
  });
  if (!IsSenderSubscribed || !Holder) {
    ++Counts.UnknownProxy;
    return std::nullopt;
  }
  if (!takeToken(Now)) {
    ++Counts.OverLimit;
    return std::nullopt;
  }
  ++Counts.Passed;
  const std::uint64_t Number = NextNumber++;
  Requests[Number] = {From, *Holder, Request.Number, Now};
  return PassedRequest{*Holder, {Number, Request.Organisation, Request.Count}};
}

std::optional<PermitForwarder::ReturnedReply>
PermitForwarder::takeReply(const Endpoint &From, const PermitReply &Reply) {
  const auto Found = Requests.find(Reply.Number);
  if (Found == Requests.end() || Found->second.Holder != From)
    return std::nullopt;
  ++Counts.Returned;
  ReturnedReply Out{Found->second.Proxy, Reply};
  Out.Reply.Number = Found->second.Number;
  Requests.erase(Found);
  return Out;
}

} // namespace corianderdyke
