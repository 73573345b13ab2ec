/// \file
/// Bidirectional streams of frames between two processes of the system.

#ifndef CORIANDERDYKE_TRANSPORT_PEERSTREAMS_H
#define CORIANDERDYKE_TRANSPORT_PEERSTREAMS_H

#include "Common/Identity.h"

#include <functional>
#include <memory>

namespace corianderdyke {

struct PeerStreamEvents {
  std::function<void(const std::string &)> OnFrame;
  /// Called when the stream is closed. No frame follows.
  std::function<void()> OnClose;
};

/// Delivers whole frames in order. Destroying the object closes the stream
/// without further events.
class PeerStream {
public:
  virtual ~PeerStream() = default;

  virtual void send(const std::string &Frame) = 0;
};

class PeerStreams {
public:
  using OnAccept = std::function<PeerStreamEvents(std::shared_ptr<PeerStream>)>;

  virtual ~PeerStreams() = default;

  /// Opens a stream. No event is raised before this returns. A stream that
  /// cannot be opened raises OnClose.
  virtual std::shared_ptr<PeerStream> connect(const Endpoint &To,
                                              PeerStreamEvents Events) = 0;
  /// Sets the handler of streams that other processes open.
  virtual void setAcceptHandler(OnAccept Handler) = 0;
};

} // namespace corianderdyke

#endif
