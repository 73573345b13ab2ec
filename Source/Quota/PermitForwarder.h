/// \file
/// Passes requests for permits from proxies to holders of quota seats that they
/// cannot reach.

#ifndef CORIANDERDYKE_QUOTA_PERMITFORWARDER_H
#define CORIANDERDYKE_QUOTA_PERMITFORWARDER_H

#include "Common/Identity.h"
#include "Quota/Messages.h"

#include <map>
#include <optional>

namespace corianderdyke {

/// Counts for metrics.
struct PermitForwardCounts {
  std::uint64_t Passed = 0;       ///< Requests sent to a holder.
  std::uint64_t Returned = 0;     ///< Replies sent to a proxy.
  std::uint64_t OverLimit = 0;    ///< Requests dropped beyond the rate.
  std::uint64_t UnknownProxy = 0; ///< Dropped for an unknown sender or holder.

  auto operator<=>(const PermitForwardCounts &) const = default;
};

/// Decides which requests a control host passes on, and to whom a reply
/// returns. A request is passed on once: the holder gets a plain PermitRequest,
/// which no process passes on. Nothing is kept on disk; a request whose control
/// host or holder dies ends with the timeout of its proxy.
class PermitForwarder {
public:
  struct PassedRequest {
    Endpoint To;
    PermitRequest Request;

    auto operator<=>(const PassedRequest &) const = default;
  };

  struct ReturnedReply {
    Endpoint To;
    PermitReply Reply;

    auto operator<=>(const ReturnedReply &) const = default;
  };

  /// Returns what to send for a request of the proxy at \p From, or
  /// std::nullopt if the request is dropped. \p Holder is the endpoint of the
  /// subscribed proxy at the address that the request names, std::nullopt if
  /// there is none.
  std::optional<PassedRequest> forward(const Endpoint &From,
                                       bool IsSenderSubscribed,
                                       const std::optional<Endpoint> &Holder,
                                       const PermitRequest &Request,
                                       Millis Now);

  /// Returns what to send for a reply of the proxy at \p From, or std::nullopt
  /// if it answers no request that was passed to that proxy.
  std::optional<ReturnedReply> takeReply(const Endpoint &From,
                                         const PermitReply &Reply);

  const PermitForwardCounts &counts() const { return Counts; }

private:
  /// In thousandths of a token, and of a token per millisecond. Burst and
  /// tokens per second add up to 50, so that no second has more requests.
  static constexpr std::int64_t BucketSize = 10000;
  static constexpr std::int64_t RefillPerMilli = 40;

  struct Pending {
    Endpoint Proxy;
    Endpoint Holder;
    std::uint64_t Number = 0; ///< Of the proxy.
    Millis At;
  };

  /// Takes a token if there is one.
  bool takeToken(Millis Now);

  /// In thousandths of a token; starts full.
  std::int64_t Tokens = BucketSize;
  Millis CountedAt;
  /// Separate from the numbers of OperationPermits, which may belong to the
  /// same process and receive the same replies.
  std::uint64_t NextNumber = std::uint64_t(1) << 63U;
  std::map<std::uint64_t, Pending> Requests; ///< Unanswered, by own number.
  PermitForwardCounts Counts;
};

} // namespace corianderdyke

#endif
