/// \file
/// Takes statements of other proxies for the targets that this one is a
/// gateway of.

#ifndef CORIANDERDYKE_RELAY_RELAYSERVER_H
#define CORIANDERDYKE_RELAY_RELAYSERVER_H

#include "Common/Clock.h"
#include "Pipeline/FloorTable.h"
#include "Relay/RelayCodec.h"
#include "Transport/PeerStreams.h"

#include <map>
#include <set>

namespace corianderdyke {

/// Every link of a stream ends with it: what another proxy left open is
/// rolled back as soon as its process is gone.
class RelayServer {
public:
  RelayServer(Clock &Time, Scheduler &Timers, PeerStreams &Streams,
              RelayCodec &Frames, TargetConnector &Targets,
              const FloorTable &Floors);
  ~RelayServer();
  RelayServer(const RelayServer &) = delete;
  RelayServer &operator=(const RelayServer &) = delete;

  /// Tells the others to send nothing new here.
  void announceStop();

private:
  struct Peer;

  PeerStreamEvents accepted(const std::shared_ptr<PeerStream> &Stream);
  void receive(Peer &From, const std::string &Frame);
  void on(Peer &From, const RelayOpen &Body);
  void on(Peer &From, const RelayCommands &Body);
  void on(Peer &From, const RelayClose &Body);
  void on(Peer &From, const RelayPing &Body);
  template <class Other> void on(Peer &, const Other &) {}
  void drop(Peer &Gone);

  std::optional<RelayFloor> floorUpdateFor(Peer &To,
                                           const std::string &Group) const;

  Clock &Time;
  Scheduler &Timers;
  RelayCodec &Frames;
  TargetConnector &Targets;
  const FloorTable &Floors;
  std::set<std::shared_ptr<Peer>> Peers;
  bool IsStopping = false;
};

} // namespace corianderdyke

#endif
