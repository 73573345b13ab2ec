/// \file
/// Streams of frames between processes, over TCP with libevent.

#ifndef CORIANDERDYKE_TRANSPORT_SOCKETPEERSTREAMS_H
#define CORIANDERDYKE_TRANSPORT_SOCKETPEERSTREAMS_H

#include "Common/Millis.h"
#include "Transport/PeerStreams.h"

struct evconnlistener;

namespace corianderdyke {

class EventLoop;

/// A frame consists of its length in four bytes, an HMAC with the key that the
/// processes share, and the payload. A frame with a wrong HMAC closes its
/// stream.
class SocketPeerStreams final : public PeerStreams {
public:
  static Expected<std::unique_ptr<SocketPeerStreams>>
  listen(EventLoop &Loop, const Endpoint &At, std::string Key);

  ~SocketPeerStreams() override;
  SocketPeerStreams(const SocketPeerStreams &) = delete;
  SocketPeerStreams &operator=(const SocketPeerStreams &) = delete;

  std::shared_ptr<PeerStream> connect(const Endpoint &To,
                                      PeerStreamEvents Events) override;
  void setAcceptHandler(OnAccept Handler) override {
    AcceptHandler = std::move(Handler);
  }

  /// Maximum size of a frame: the largest answer of a target plus overhead.
  static constexpr std::size_t MaxFrameBytes = 4U << 20U;

private:
  SocketPeerStreams(EventLoop &Loop, std::string Key)
      : Loop(Loop), Key(std::move(Key)) {}

  void accepted(int Socket);

  EventLoop &Loop;
  std::string Key;
  OnAccept AcceptHandler;
  evconnlistener *Listener = nullptr;
};

} // namespace corianderdyke

#endif
