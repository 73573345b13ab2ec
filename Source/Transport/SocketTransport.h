/// \file
/// Transport over UDP and TCP sockets with libevent.

#ifndef CORIANDERDYKE_TRANSPORT_SOCKETTRANSPORT_H
#define CORIANDERDYKE_TRANSPORT_SOCKETTRANSPORT_H

#include "Common/SystemClock.h"
#include "Transport/Transport.h"

#include <map>
#include <memory>
#include <set>

struct event;
struct evconnlistener;

namespace corianderdyke {

class EventLoop;

/// Listens on the same port number with both protocols. A frame on a stream
/// consists of its length in four bytes and a signed envelope.
class SocketTransport final : public Transport {
public:
  static Expected<std::unique_ptr<SocketTransport>> listen(EventLoop &Loop,
                                                           const Endpoint &At,
                                                           std::string Name,
                                                           std::string Key);

  ~SocketTransport() override;
  SocketTransport(const SocketTransport &) = delete;
  SocketTransport &operator=(const SocketTransport &) = delete;

  void send(const Endpoint &To, Delivery How, Message Body) override;
  PreparedMessage prepare(Message Body) const override;
  void send(const Endpoint &To, Delivery How,
            const PreparedMessage &Prepared) override;

  PeerTraffic traffic() const override {
    return {SentBytes, ReceivedBytes, Rejected};
  }

  /// Bytes sent and received, for metrics.
  std::uint64_t bytesSent() const { return SentBytes; }
  std::uint64_t bytesReceived() const { return ReceivedBytes; }
  /// Number of messages discarded because of an invalid size, signature or
  /// content.
  std::uint64_t rejected() const { return Rejected; }

  static constexpr std::size_t MaxDatagramBytes = 60000;
  static constexpr std::size_t MaxFrameBytes = 32U << 20U;

private:
  struct Stream;

  SocketTransport(EventLoop &Loop, Endpoint At, std::string Name,
                  std::string Key);

  Expected<void> bind();
  std::string signedBytes(Message Body) const;
  void sendSigned(const Endpoint &To, Delivery How, const std::string &Bytes);
  void sendDatagram(const Endpoint &To, const std::string &Bytes);
  void sendFrame(const Endpoint &To, const std::string &Bytes);
  /// Returns a new stream that starts to connect, or null on failure.
  std::unique_ptr<Stream> connect(const Endpoint &To);
  /// Restarts a stream to \p To whose connection attempt has stalled. Called
  /// when a message from that peer arrives.
  void reconnectStalled(const Endpoint &To);
  void readDatagrams();
  void readFrames(Stream &From);
  void deliver(const std::string &Bytes);
  void closeStream(Stream *Closed);

  SystemClock Time;
  EventLoop &Loop;
  Endpoint At;
  std::string Name;
  std::string Key;
  int DatagramSocket = -1;
  event *DatagramEvent = nullptr;
  evconnlistener *Listener = nullptr;
  std::map<Endpoint, std::unique_ptr<Stream>> Outgoing;
  std::set<std::unique_ptr<Stream>> Incoming;
  std::uint64_t SentBytes = 0;
  std::uint64_t ReceivedBytes = 0;
  std::uint64_t Rejected = 0;
};

} // namespace corianderdyke

#endif
