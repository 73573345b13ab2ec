/// \file
/// The envelope of every message between processes of the system.

#ifndef CORIANDERDYKE_TRANSPORT_ENVELOPE_H
#define CORIANDERDYKE_TRANSPORT_ENVELOPE_H

#include "Consensus/Messages.h"
#include "Lease/Messages.h"
#include "Rights/Messages.h"
#include "State/ViewDelta.h"
#include "Steering/Messages.h"

#include <variant>

namespace corianderdyke {

/// New message types are added at the end, so that an older process can still
/// read the types that it knows.
using Message =
    std::variant<ConsensusMessage, LeaseRequest, LeaseGrant, NotLeader,
                 ViewUpdate, ViewApplied, ForwardedAnnouncement, ViewDelta,
                 RightsRequest, RightsGrant, SubscribeRequest, SubscribeReply,
                 SubscribeRedirect, PlanUpdate, DirectoryUpdate,
                 ProxyListUpdate, ReachabilityQuery, SeatGrant, PermitRequest,
                 PermitReply, ForwardedPermitRequest>;

/// Maximum size of a message before compression.
constexpr std::size_t MaxUncompressedBytes = 64U << 20U;

struct Envelope {
  static constexpr std::uint32_t CurrentVersion = 1;

  std::uint32_t Version = CurrentVersion;
  std::string From; ///< The sender's process name.
  Endpoint ReplyTo; ///< Endpoint of the sender's peer listener.
  Message Body;

  bool operator==(const Envelope &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Version, From, ReplyTo, Body);
  }
};

/// Encodes an envelope and signs it with the key that the processes share.
std::string signAndEncode(const Envelope &Message, const std::string &Key);

/// Decodes the envelope in \p Bytes. Returns BadInput if the signature does not
/// match the key or the protocol version is not supported, and Corrupt if the
/// content cannot be decoded.
Expected<Envelope> verifyAndDecode(const std::string &Bytes,
                                   const std::string &Key);

} // namespace corianderdyke

#endif
