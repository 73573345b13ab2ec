/// \file
/// Transport on UDP and TCP sockets through libevent.

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

/// Listens on one port number with both protocols. A stream carries frames
/// of a length in four bytes and a sealed envelope.
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
            const PreparedMessage &What) override;

  PeerTraffic traffic() const override {
    return {SentBytes, ReceivedBytes, Rejected};
  }

  /// Bytes sent and received, for metrics.
  std::uint64_t bytesSent() const { return SentBytes; }
  std::uint64_t bytesReceived() const { return ReceivedBytes; }
  /// Messages thrown away for a bad seal or content.
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
  /// A stream that begins to connect; null where it can't.
  std::unique_ptr<Stream> connect(const Endpoint &To);
  /// A peer was heard: a stream to it that still connects begins anew.
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
