/// \file
/// Encodes messages between proxies into compressed frames.

#ifndef CORIANDERDYKE_RELAY_RELAYCODEC_H
#define CORIANDERDYKE_RELAY_RELAYCODEC_H

#include "Common/FrameCompressor.h"
#include "Loop/Scheduler.h"
#include "Relay/Messages.h"
#include "Transport/PeerStreams.h"

namespace corianderdyke {

/// Hosts may have little bandwidth (2 Mbit/s: 4 ms for 1,000 bytes), and the
/// path through a gateway uses two more network links. Each statement waits for
/// the transmission of its own bytes and of all others of the gateway, which
/// for a busy primary are most of the traffic on its network link.
///
/// Frames are therefore compressed with a dictionary of typical content, and
/// all messages of one event loop iteration are sent in one frame.
class RelayCodec {
public:
  RelayCodec();

  std::string write(const std::vector<RelayMessage> &Messages);
  /// Returns Corrupt if \p Frame is not a complete frame of this format.
  Expected<std::vector<RelayMessage>> read(const std::string &Frame);

  /// The first byte of a frame. It must change with the messages and with the
  /// dictionary: a frame compressed with another dictionary would decompress to
  /// wrong content.
  static constexpr char FormatVersion = 4;
  /// The dictionary for compression and decompression.
  static std::string compressionDictionary();

private:
  FrameCompressor Compressor;
};

/// Collects messages for the peer until the end of the event loop iteration.
class RelayOutbox {
public:
  RelayOutbox(Scheduler &Timers, RelayCodec &Frames)
      : Timers(Timers), Frames(Frames) {}
  ~RelayOutbox();
  RelayOutbox(const RelayOutbox &) = delete;
  RelayOutbox &operator=(const RelayOutbox &) = delete;

  /// Replaces the stream and discards messages queued for the previous one.
  void reset(std::shared_ptr<PeerStream> To);
  bool isOpen() const { return Stream != nullptr; }
  /// Discards the message if there is no stream.
  void send(RelayMessage Message);

private:
  void flush();

  /// Largest number of messages in a frame, so that in a long iteration an
  /// answer does not wait for all others.
  static constexpr std::size_t MaxBatch = 16;

  Scheduler &Timers;
  RelayCodec &Frames;
  std::shared_ptr<PeerStream> Stream;
  std::vector<RelayMessage> Batch;
  Scheduler::TimerId FlushTimer = 0;
};

} // namespace corianderdyke

#endif
