/// \file
/// Messages between proxies and control about organisations' quotas.

#ifndef CORIANDERDYKE_QUOTA_MESSAGES_H
#define CORIANDERDYKE_QUOTA_MESSAGES_H

#include "Common/Identity.h"
#include "Common/Millis.h"

#include <string>
#include <vector>

namespace corianderdyke {

/// Number of equal parts of each organisation's quota. Few, so that a proxy
/// that holds one sees most of the organisation's operations; several, so that
/// the loss of one leaves most of the quota.
constexpr std::uint32_t SeatsPerOrganisation = 3;

/// Duration of a seat without renewal. A proxy that is cut off or frozen keeps
/// its seats from others for this long; an outage of the control group that is
/// shorter than this stops no permits.
constexpr Millis SeatLeaseDuration(8000);

/// One part of an organisation's quota.
struct QuotaSeat {
  std::string Organisation;
  std::uint32_t Index = 0;

  auto operator<=>(const QuotaSeat &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Organisation, Index);
  }
};

/// Number of seats of an organisation that a proxy should hold.
struct SeatDemand {
  std::string Organisation;
  std::uint32_t Count = 0;

  auto operator<=>(const SeatDemand &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Organisation, Count);
  }
};

/// Renews seats and requests others.
struct SeatRequest {
  std::uint64_t Sequence = 0; ///< 0: no request.
  Millis SentAt; ///< By the proxy's clock; echoed and not interpreted.
  /// Term of the leader whose grants the proxy follows.
  std::uint64_t LeaderTerm = 0;
  std::uint64_t Nonce = 0;        ///< That this leader issued to the process.
  std::uint64_t AppliedGrant = 0; ///< The last grant contained in Held.
  std::vector<QuotaSeat> Held;
  std::vector<SeatDemand> Wanted;

  auto operator<=>(const SeatRequest &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Sequence, SentAt, LeaderTerm, Nonce, AppliedGrant, Held, Wanted);
  }
};

/// All seats of a proxy, valid from SentAt by its own clock. With a duration of
/// 0 it only contains the leader's term and a nonce for the next request.
struct SeatGrant {
  ProcessId Proxy;
  std::uint64_t Sequence = 0; ///< Of the request that it answers.
  Millis SentAt;
  Millis Duration;
  std::uint64_t LeaderTerm = 0;
  std::uint64_t Nonce = 0;
  std::vector<QuotaSeat> Seats;

  auto operator<=>(const SeatGrant &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Proxy, Sequence, SentAt, Duration, LeaderTerm, Nonce, Seats);
  }
};

/// Request of a proxy to the holder of a seat for permits to begin operations.
struct PermitRequest {
  std::uint64_t Number = 0; ///< New for each request of a proxy.
  std::string Organisation;
  std::uint32_t Count = 0;

  auto operator<=>(const PermitRequest &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Number, Organisation, Count);
  }
};

struct PermitReply {
  std::uint64_t Number = 0; ///< Of the request that it answers.
  std::uint32_t Granted = 0;
  bool HasSeat = false;
  Millis RetryAfter; ///< Until a permit is available; only with a seat.

  auto operator<=>(const PermitReply &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Number, Granted, HasSeat, RetryAfter);
  }
};

/// Request of a proxy to a control host to pass a PermitRequest on to a holder
/// that does not answer the proxy. The PermitReply returns through the same
/// control host.
struct ForwardedPermitRequest {
  std::string Holder; ///< Address of the holder, without a port.
  PermitRequest Request;

  auto operator<=>(const ForwardedPermitRequest &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Holder, Request); }
};

} // namespace corianderdyke

#endif
