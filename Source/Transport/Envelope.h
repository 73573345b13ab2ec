/// \file
/// The frame around every message between the system's own processes.

#ifndef CORIANDERDYKE_TRANSPORT_ENVELOPE_H
#define CORIANDERDYKE_TRANSPORT_ENVELOPE_H

#include "Consensus/Messages.h"
#include "Lease/Messages.h"
#include "Rights/Messages.h"
#include "State/ViewDelta.h"
#include "Steering/Messages.h"

#include <variant>

namespace corianderdyke {

/// New kinds of message are added at the end, so that an older process still
/// reads the ones it knows.
using Message =
    std::variant<ConsensusMessage, LeaseRequest, LeaseGrant, NotLeader,
                 ViewUpdate, ViewApplied, ForwardedAnnouncement, ViewDelta,
                 RightsRequest, RightsGrant, SubscribeRequest, SubscribeReply,
                 SubscribeRedirect, PlanUpdate, DirectoryUpdate,
                 ProxyListUpdate, ReachabilityQuery, SeatGrant, PermitRequest,
                 PermitReply>;

/// The longest message before it's packed.
constexpr std::size_t MaxUncompressedBytes = 64U << 20U;

struct Envelope {
  static constexpr std::uint32_t CurrentVersion = 1;

  std::uint32_t Version = CurrentVersion;
  std::string From; ///< The sender's process name.
  Endpoint ReplyTo; ///< Where the sender's peers listener is.
  Message Body;

  bool operator==(const Envelope &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Version, From, ReplyTo, Body);
  }
};

/// Bytes of an envelope, sealed with the key that the processes share.
std::string signAndEncode(const Envelope &Message, const std::string &Key);

/// The envelope in \p Bytes; BadInput where the seal isn't the key's,
/// Corrupt where the content can't be read.
Expected<Envelope> verifyAndDecode(const std::string &Bytes,
                                   const std::string &Key);

} // namespace corianderdyke

#endif
