/// \file
/// Streams of frames between two processes of the system, both ways.

#ifndef CORIANDERDYKE_TRANSPORT_PEERSTREAMS_H
#define CORIANDERDYKE_TRANSPORT_PEERSTREAMS_H

#include "Common/Identity.h"

#include <functional>
#include <memory>

namespace corianderdyke {

struct PeerStreamEvents {
  std::function<void(const std::string &)> OnFrame;
  /// Nothing more will come.
  std::function<void()> OnClose;
};

/// Frames arrive in order and whole. Destroying it closes the stream without
/// further events.
class PeerStream {
public:
  virtual ~PeerStream() = default;

  virtual void send(const std::string &Frame) = 0;
};

class PeerStreams {
public:
  using OnAccept = std::function<PeerStreamEvents(std::shared_ptr<PeerStream>)>;

  virtual ~PeerStreams() = default;

  /// Opens a stream; no event is raised before this returns. One that can't
  /// be opened closes.
  virtual std::shared_ptr<PeerStream> connect(const Endpoint &To,
                                              PeerStreamEvents Events) = 0;
  /// Who takes the streams that others open.
  virtual void setAcceptHandler(OnAccept Handler) = 0;
};

} // namespace corianderdyke

#endif
