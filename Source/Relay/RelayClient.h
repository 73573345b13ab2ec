/// \file
/// Sends statements through one other proxy.

#ifndef CORIANDERDYKE_RELAY_RELAYCLIENT_H
#define CORIANDERDYKE_RELAY_RELAYCLIENT_H

#include "Common/Clock.h"
#include "Loop/Scheduler.h"
#include "Pipeline/FloorTable.h"
#include "Relay/RelayCodec.h"
#include "Transport/PeerStreams.h"

#include <deque>
#include <map>

namespace corianderdyke {

/// One stream to one gateway, opened with the first link and again after it
/// has ended. Its links close when it ends: what was on its way may have run.
class RelayClient final : public TargetConnector {
public:
  RelayClient(Clock &Time, Scheduler &Timers, PeerStreams &Streams,
              RelayCodec &Frames, FloorTable &Floors, Endpoint At);
  ~RelayClient() override;
  RelayClient(const RelayClient &) = delete;
  RelayClient &operator=(const RelayClient &) = delete;

  std::unique_ptr<TargetLink> open(const TargetAddress &To,
                                   TargetLink::Events Events) override;

  /// False while it stops, while it owes answers and is silent, and for a
  /// moment after it couldn't be reached.
  bool isAvailable() const;

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
  void closeStream();
  void checkLiveness();
  void startLivenessCheck();
  /// Tells those that wait for answers that none may come.
  void notifySilent();
  bool awaitsAnswers() const;

  Clock &Time;
  Scheduler &Timers;
  PeerStreams &Streams;
  FloorTable &Floors;
  RelayCodec &Frames;
  Endpoint At;
  RelayOutbox Outbox; ///< Open while there is a stream.
  std::map<std::uint32_t, Link *> Links;
  std::uint32_t NextLink = 1;
  bool IsLeaving = false; ///< Until the stream is opened anew.
  Millis LastReceived;
  bool IsPingPending = false; ///< Of life, since it was asked for one.
  Millis AvoidUntil;
  Scheduler::TimerId LivenessTimer = 0;
};

} // namespace corianderdyke

#endif
