/// \file
/// Message transport between the processes of the system.

#ifndef CORIANDERDYKE_TRANSPORT_TRANSPORT_H
#define CORIANDERDYKE_TRANSPORT_TRANSPORT_H

#include "Transport/Envelope.h"

#include <sigc++/sigc++.h>

namespace corianderdyke {

enum class Delivery : std::uint8_t {
  Datagram, ///< UDP: may be lost and must be small.
  Stream,   ///< TCP: in order while the connection is open.
};

/// Counters for metrics.
struct PeerTraffic {
  std::uint64_t SentBytes = 0;
  std::uint64_t ReceivedBytes = 0;
  std::uint64_t Rejected = 0; ///< Invalid size, signature or content.

  auto operator<=>(const PeerTraffic &) const = default;
};

/// A message for several receivers. When the whole system starts at once,
/// hundreds of proxies request the same three long messages from the new
/// leader. Such a message is encoded, compressed and signed once instead of
/// once for each receiver.
struct PreparedMessage {
  Message Body;
  std::string SignedBytes; ///< Empty if the transport does not sign.
};

/// Sends and receives messages. Delivery is not guaranteed: senders repeat
/// every important request until it is answered.
class Transport {
public:
  virtual ~Transport() = default;

  virtual void send(const Endpoint &To, Delivery How, Message Body) = 0;

  /// Prepares a message that is sent to several receivers, or several times.
  virtual PreparedMessage prepare(Message Body) const {
    return {std::move(Body), ""};
  }
  virtual void send(const Endpoint &To, Delivery How,
                    const PreparedMessage &Prepared) {
    send(To, How, Prepared.Body);
  }

  virtual PeerTraffic traffic() const { return {}; }

  /// Emitted for each message that arrives with a valid signature.
  sigc::signal<void(const Envelope &)> &signalReceived() { return Received; }

private:
  sigc::signal<void(const Envelope &)> Received;
};

} // namespace corianderdyke

#endif
