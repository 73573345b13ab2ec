/// \file
/// Sends statements through another proxy.

#ifndef CORIANDERDYKE_RELAY_RELAYCLIENT_H
#define CORIANDERDYKE_RELAY_RELAYCLIENT_H

#include "Common/Clock.h"
#include "Loop/Scheduler.h"
#include "Pipeline/FloorTable.h"
#include "Reach/PeerReach.h"
#include "Reach/RoundTripEstimate.h"
#include "Reach/TargetReports.h"
#include "Relay/RelayCodec.h"
#include "Replicas/ReplicaTable.h"
#include "Transport/PeerStreams.h"

#include <deque>
#include <map>

namespace corianderdyke {

/// Whether a gateway that was lost is probed before it gets statements.
struct PeerReachHandling {
  bool IsEnabled = false;
  /// Called when the gateway becomes unreachable (false) or reachable again.
  std::function<void(bool)> OnChange = nullptr;
};

/// One stream to one gateway, opened with the first link and reopened with the
/// next link after it has ended. All links close when the stream ends, because
/// unanswered statements may have run.
class RelayClient final : public TargetConnector {
public:
  /// \p Replicas records the gateway's reports; null: they are ignored.
  RelayClient(Clock &Time, Scheduler &Timers, PeerStreams &Streams,
              RelayCodec &Frames, FloorTable &Floors, Endpoint At,
              ReplicaTable *Replicas = nullptr,
              PeerReachHandling Handling = {});
  ~RelayClient() override;
  RelayClient(const RelayClient &) = delete;
  RelayClient &operator=(const RelayClient &) = delete;

  std::unique_ptr<TargetLink> open(const TargetAddress &To,
                                   TargetLink::Events Events) override;

  /// False while the gateway is stopping, while answers are outstanding and
  /// nothing arrives, and for a short time after the stream ended. With
  /// PeerReachHandling, also from the loss of the gateway until it answers a
  /// ping.
  bool isAvailable() const;
  /// True if something has been received on the present stream.
  bool hasAnswered() const { return Outbox.isOpen() && HasReceived; }
  bool hasAnsweredSince(Millis Since) const {
    return Reach.hasAnsweredSince(Since);
  }
  /// True from the loss of the gateway until it answers a ping.
  bool isUnreachable() const { return Reach.isUnreachable(); }
  /// False if the gateway has reported that it does not reach the target.
  bool reachesTarget(const std::string &Target) const {
    return !Reported.isUnreachable(Target, Time.now());
  }
  /// Records that a statement could use this gateway, so that it is probed
  /// while it is unreachable.
  void recordWanted();
  /// Opens the stream with a ping alone, if there is none.
  void probe();
  std::uint64_t pings() const { return Pings; }

private:
  class Link;
  friend class Link;

  void connect();
  void sendPing();
  void scheduleProbe();
  void send(RelayMessage Body);
  void receive(const std::string &Frame);
  void on(const RelayAnswer &Body);
  void on(const RelayClose &Body);
  void on(const RelayLeaving &Body);
  void on(const RelayPong &Body);
  void on(const RelayReach &Body);
  template <class Other> void on(const Other &) {}
  void closeStream();
  void checkLiveness();
  void startLivenessCheck();
  /// Notifies links with outstanding answers that the gateway is silent.
  void notifySilent();
  bool awaitsAnswers() const;
  Millis silenceLimit() const;

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

  PeerReachHandling Handling;
  PeerReach Reach;
  RoundTripEstimate RoundTrip;
  ReportedTargets Reported;
  bool HasReceived = false; ///< On the present stream.
  /// Nothing arrived for the limit of silence, despite a ping.
  bool IsSilent = false;
  std::size_t ChecksSincePing = 0;
  std::deque<Millis> PingsSent; ///< Unanswered, on the present stream.
  std::uint64_t Pings = 0;
  Scheduler::TimerId ProbeTimer = 0;
};

} // namespace corianderdyke

#endif
