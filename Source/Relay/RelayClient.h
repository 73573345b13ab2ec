/// \file
/// Sends statements through another proxy.

#ifndef CORIANDERDYKE_RELAY_RELAYCLIENT_H
#define CORIANDERDYKE_RELAY_RELAYCLIENT_H

#include "Common/Clock.h"
#include "Loop/Scheduler.h"
#include "Pipeline/FloorTable.h"
#include "Relay/RelayCodec.h"
#include "Replicas/ReplicaTable.h"
#include "Transport/PeerStreams.h"

#include <deque>
#include <map>

namespace corianderdyke {

/// One stream to one gateway, opened with the first link and reopened with the
/// next link after it has ended. All links close when the stream ends, because
/// unanswered statements may have run.
class RelayClient final : public TargetConnector {
public:
  /// \p Replicas records the gateway's reports; null: they are ignored.
  RelayClient(Clock &Time, Scheduler &Timers, PeerStreams &Streams,
              RelayCodec &Frames, FloorTable &Floors, Endpoint At,
              ReplicaTable *Replicas = nullptr);
  ~RelayClient() override;
  RelayClient(const RelayClient &) = delete;
  RelayClient &operator=(const RelayClient &) = delete;

  std::unique_ptr<TargetLink> open(const TargetAddress &To,
                                   TargetLink::Events Events) override;

  /// False while the gateway is stopping, while answers are outstanding and
  /// nothing arrives, and for a short time after the stream ended.
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
  /// Notifies links with outstanding answers that the gateway is silent.
  void notifySilent();
  bool awaitsAnswers() const;

  Clock &Time;
  Scheduler &Timers;
  PeerStreams &Streams;
  FloorTable &Floors;
  RelayCodec &Frames;
  Endpoint At;
  ReplicaTable *Replicas;
  RelayOutbox Outbox; ///< Open while there is a stream.
  std::map<std::uint32_t, Link *> Links;
  std::uint32_t NextLink = 1;
  bool IsLeaving = false; ///< Until the stream is reopened.
  Millis LastReceived;
  bool IsPingPending = false; ///< Sent, and nothing received since.
  Millis AvoidUntil;
  Scheduler::TimerId LivenessTimer = 0;
};

} // namespace corianderdyke

#endif
