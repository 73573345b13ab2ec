/// \file
/// The frames in which messages between proxies travel.

#ifndef CORIANDERDYKE_RELAY_RELAYCODEC_H
#define CORIANDERDYKE_RELAY_RELAYCODEC_H

#include "Common/FrameCompressor.h"
#include "Loop/Scheduler.h"
#include "Relay/Messages.h"
#include "Transport/PeerStreams.h"

namespace corianderdyke {

/// Load pattern: hosts with little bandwidth (2 Mbit/s: 4 ms for 1,000 bytes),
/// and two more of their links on the way through a gateway. Each statement
/// waits for its own bytes and for those of all others of the gateway, which
/// for a busy primary are most of what its link carries.
///
/// So frames are packed, against a sample of what they usually hold, and all
/// that is said within one turn of the loop travels in one.
class RelayCodec {
public:
  RelayCodec();

  std::string write(const std::vector<RelayMessage> &Messages);
  /// Corrupt where \p Frame isn't a whole frame of this format.
  Expected<std::vector<RelayMessage>> read(const std::string &Frame);

  /// The first byte of a frame. It changes with the messages and with the
  /// sample: a frame that was packed against another would unpack to something
  /// that nobody has said.
  static constexpr char FormatVersion = 3;
  /// What frames are packed against.
  static std::string compressionDictionary();

private:
  FrameCompressor Packer;
};

/// One end's way to the other: keeps what is said until the turn is over.
class RelayOutbox {
public:
  RelayOutbox(Scheduler &Timers, RelayCodec &Frames)
      : Timers(Timers), Frames(Frames) {}
  ~RelayOutbox();
  RelayOutbox(const RelayOutbox &) = delete;
  RelayOutbox &operator=(const RelayOutbox &) = delete;

  /// From now on messages go there; what was kept for the one before is gone.
  void reset(std::shared_ptr<PeerStream> To);
  bool isOpen() const { return Stream != nullptr; }
  /// Without a stream nothing is sent.
  void send(RelayMessage What);

private:
  void flush();

  /// Messages that are kept at most: an answer of a slow turn shouldn't wait
  /// for all others of it.
  static constexpr std::size_t MaxBatch = 16;

  Scheduler &Timers;
  RelayCodec &Frames;
  std::shared_ptr<PeerStream> Stream;
  std::vector<RelayMessage> Batch;
  Scheduler::TimerId FlushTimer = 0;
};

} // namespace corianderdyke

#endif
