/// \file
/// Accepts statements of other proxies for the targets for which this proxy is
/// a gateway.

#ifndef CORIANDERDYKE_RELAY_RELAYSERVER_H
#define CORIANDERDYKE_RELAY_RELAYSERVER_H

#include "Common/Clock.h"
#include "Pipeline/FloorTable.h"
#include "Reach/TargetReports.h"
#include "Relay/RelayCodec.h"
#include "Relay/TargetBroker.h"
#include "Replicas/ReplicaTable.h"
#include "Transport/PeerStreams.h"

#include <map>
#include <set>

namespace corianderdyke {

/// All links of a stream end with it, so open transactions of another proxy are
/// rolled back as soon as its process has ended.
class RelayServer : public sigc::trackable {
public:
  /// \p Replicas records the positions in relayed answers and gives the reports
  /// for other proxies; null: no reports are sent.
  RelayServer(Clock &Time, Scheduler &Timers, PeerStreams &Streams,
              RelayCodec &Frames, TargetConnector &Targets,
              const FloorTable &Floors, ReplicaTable *Replicas = nullptr);
  /// Reports to the connected proxies which targets \p Broker cannot reach.
  void reportReach(TargetBroker &Broker);
  ~RelayServer();
  RelayServer(const RelayServer &) = delete;
  RelayServer &operator=(const RelayServer &) = delete;

  /// Asks connected proxies to send nothing new to this gateway. Statements
  /// that arrive from \p RefuseFrom on are refused as not run, and their
  /// transactions rolled back.
  void announceStop(Millis RefuseFrom);

private:
  struct Peer;

  PeerStreamEvents accepted(const std::shared_ptr<PeerStream> &Stream);
  void receive(Peer &From, const std::string &Frame);
  void on(Peer &From, const RelayOpen &Body);
  void on(Peer &From, const RelayCommands &Body);
  static bool startsStatement(const std::vector<TargetCommand> &Commands);
  void refuse(Peer &From, const RelayCommands &Body);
  void on(Peer &From, const RelayClose &Body);
  void on(Peer &From, const RelayPing &Body);
  template <class Other> void on(Peer &, const Other &) {}
  void drop(Peer &Closed);
  void updateReachAfter(Millis Delay);
  void updateReach();
  void sendReach();

  std::optional<RelayFloor> floorUpdateFor(Peer &To,
                                           const std::string &Group) const;
  std::optional<ReplicaReport> reportFor(Peer &To, const TargetAddress &Asked,
                                         Millis AskedAt,
                                         const StatementAnswer &Answer);
  void forwardAnswer(Peer &To, const TargetAddress &From, std::uint32_t Number,
                     const StatementAnswer &Answer);

  Clock &Time;
  Scheduler &Timers;
  RelayCodec &Frames;
  TargetConnector &Targets;
  const FloorTable &Floors;
  ReplicaTable *Replicas;
  std::set<std::shared_ptr<Peer>> Peers;
  std::optional<Millis> RefusesFrom; ///< Set once this process stops.
  TargetBroker *Reported = nullptr;  ///< Null unless reach is reported.
  UnreachableTargets Unreachable;
  Millis ReachSentAt;
  Scheduler::TimerId ReachTimer = 0; ///< While a target is unreachable.
};

} // namespace corianderdyke

#endif
