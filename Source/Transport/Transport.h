/// \file
/// How the system's own processes reach each other.

#ifndef CORIANDERDYKE_TRANSPORT_TRANSPORT_H
#define CORIANDERDYKE_TRANSPORT_TRANSPORT_H

#include "Transport/Envelope.h"

#include <sigc++/sigc++.h>

namespace corianderdyke {

enum class Delivery : std::uint8_t {
  Datagram, ///< May be lost; must be small. UDP.
  Stream,   ///< In order while the connection stands. TCP.
};

/// Counters for metrics.
struct PeerTraffic {
  std::uint64_t SentBytes = 0;
  std::uint64_t ReceivedBytes = 0;
  std::uint64_t Rejected = 0; ///< Too long, or a bad seal or content.

  auto operator<=>(const PeerTraffic &) const = default;
};

/// A message that goes to many. Load pattern: everything starts at the same
/// moment and hundreds of proxies ask the new leader for the same three long
/// messages. They are encoded, packed and sealed once for all, not once for
/// each receiver.
struct PreparedMessage {
  Message Body;
  std::string SignedBytes; ///< Empty where the transport seals none.
};

/// Sends and receives messages. No delivery is certain: everything that
/// matters is asked again until it's answered.
class Transport {
public:
  virtual ~Transport() = default;

  virtual void send(const Endpoint &To, Delivery How, Message Body) = 0;

  /// For a message to several, or to one several times.
  virtual PreparedMessage prepare(Message Body) const {
    return {std::move(Body), ""};
  }
  virtual void send(const Endpoint &To, Delivery How,
                    const PreparedMessage &What) {
    send(To, How, What.Body);
  }

  virtual PeerTraffic traffic() const { return {}; }

  /// Emitted for each message that arrives with a good seal.
  sigc::signal<void(const Envelope &)> &signalReceived() { return Received; }

private:
  sigc::signal<void(const Envelope &)> Received;
};

} // namespace corianderdyke

#endif
