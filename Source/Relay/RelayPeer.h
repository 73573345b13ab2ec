/// \file
/// Sends statements through one other proxy.

#ifndef CORIANDERDYKE_RELAY_RELAYPEER_H
#define CORIANDERDYKE_RELAY_RELAYPEER_H

#include "Common/Clock.h"
#include "Loop/Scheduler.h"
#include "Pipeline/FloorTable.h"
#include "Relay/Messages.h"
#include "Transport/PeerStreams.h"

#include <deque>
#include <map>

namespace corianderdyke {

/// One stream to one gateway, opened with the first link and again after it
/// has ended. Its links close when it ends: what was on its way may have run.
class RelayPeer final : public TargetConnector {
public:
  RelayPeer(Clock &Time, Scheduler &Timers, PeerStreams &Streams,
            FloorTable &Floors, Endpoint At);
  ~RelayPeer() override;
  RelayPeer(const RelayPeer &) = delete;
  RelayPeer &operator=(const RelayPeer &) = delete;

  std::unique_ptr<TargetLink> open(const TargetAddress &To,
                                   TargetLink::Events Events) override;

  /// False while it stops, and for a moment after it couldn't be reached.
  bool takesWork() const;

private:
  class Link;
  friend class Link;

  void connect();
  void send(const RelayMessage &Body);
  void receive(const std::string &Frame);
  void on(const RelayAnswer &Body);
  void on(const RelayClose &Body);
  void on(const RelayLeaving &Body);
  template <class Other> void on(const Other &) {}
  void ended();
  void watch();
  void keepWatching();
  bool awaitsAnswers() const;

  Clock &Time;
  Scheduler &Timers;
  PeerStreams &Streams;
  FloorTable &Floors;
  Endpoint At;
  std::shared_ptr<PeerStream> Stream; ///< Null while there is none.
  std::map<std::uint32_t, Link *> Links;
  std::uint32_t NextLink = 1;
  bool IsLeaving = false; ///< Until the stream is opened anew.
  Millis LastHeard;
  Millis AvoidUntil;
  Scheduler::TimerId Watching = 0;
};

} // namespace corianderdyke

#endif
