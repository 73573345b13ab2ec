/// \file
/// Sends statements through one other proxy.

#ifndef CORIANDERDYKE_RELAY_RELAYPEER_H
#define CORIANDERDYKE_RELAY_RELAYPEER_H

#include "Common/Clock.h"
#include "Loop/Scheduler.h"
#include "Pipeline/FloorTable.h"
#include "Relay/RelayFrames.h"
#include "Transport/PeerStreams.h"

#include <deque>
#include <map>

namespace corianderdyke {

/// One stream to one gateway, opened with the first link and again after it
/// has ended. Its links close when it ends: what was on its way may have run.
class RelayPeer final : public TargetConnector {
public:
  RelayPeer(Clock &Time, Scheduler &Timers, PeerStreams &Streams,
            RelayFrames &Frames, FloorTable &Floors, Endpoint At);
  ~RelayPeer() override;
  RelayPeer(const RelayPeer &) = delete;
  RelayPeer &operator=(const RelayPeer &) = delete;

  std::unique_ptr<TargetLink> open(const TargetAddress &To,
                                   TargetLink::Events Events) override;

  /// False while it stops, while it owes answers and is silent, and for a
  /// moment after it couldn't be reached.
  bool takesWork() const;

private:
  class Link;
  friend class Link;

  void connect();
  void send(RelayMessage Body);
  void receive(const std::string &Frame);
  void on(const RelayAnswer &Body);
  void on(const RelayClose &Body);
  void on(const RelayLeaving &Body);
  template <class Other> void on(const Other &) {}
  void ended();
  void watch();
  void keepWatching();
  /// Tells those that wait for answers that none may come.
  void tellSilence();
  bool awaitsAnswers() const;

  Clock &Time;
  Scheduler &Timers;
  PeerStreams &Streams;
  FloorTable &Floors;
  RelayFrames &Frames;
  Endpoint At;
  RelayOutbox Outbox; ///< Open while there is a stream.
  std::map<std::uint32_t, Link *> Links;
  std::uint32_t NextLink = 1;
  bool IsLeaving = false; ///< Until the stream is opened anew.
  Millis LastHeard;
  bool OwesSign = false; ///< Of life, since it was asked for one.
  Millis AvoidUntil;
  Scheduler::TimerId Watching = 0;
};

} // namespace corianderdyke

#endif
