/// \file
/// Streams of frames between processes on TCP through libevent.

#ifndef CORIANDERDYKE_TRANSPORT_SOCKETPEERSTREAMS_H
#define CORIANDERDYKE_TRANSPORT_SOCKETPEERSTREAMS_H

#include "Common/Millis.h"
#include "Transport/PeerStreams.h"

struct evconnlistener;

namespace corianderdyke {

class EventLoop;

/// A frame is a length in four bytes, a digest with the processes' key, and
/// the bytes. A frame with another digest closes its stream.
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

  /// The longest answer that a target may give, and room around it.
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
