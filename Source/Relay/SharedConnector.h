/// \file
/// Decides for each database group whether this proxy opens its own target
/// connections or shares connections with other proxies, and selects the
/// gateway for each statement.

#ifndef CORIANDERDYKE_RELAY_SHAREDCONNECTOR_H
#define CORIANDERDYKE_RELAY_SHAREDCONNECTOR_H

#include "Admission/LoadOptions.h"
#include "Plan/RoutePlan.h"
#include "Reach/GatewayChoice.h"
#include "Relay/GatewayTable.h"
#include "Relay/RelayClient.h"
#include "Relay/TargetBroker.h"

namespace corianderdyke {

/// Counts and state of the other proxies as seen by this one.
struct PeerReachCounts {
  std::size_t Unreachable = 0; ///< Peers at present.
  std::uint64_t Pings = 0;
  /// Statements whose gateway was silent or lost while they were there.
  std::uint64_t MovedStatements = 0;
};

class SharedConnector final : public TargetConnector {
public:
  struct Dependencies {
    Clock &Time;
    Scheduler &Timers;
    TargetConnector &Direct;
    TargetBroker &Broker;
    PeerStreams &Streams;
    RelayCodec &Frames;
    FloorTable &Floors;
    LoadOptions Load = {};
    /// Null unless reads follow the progress of replicas.
    ReplicaTable *Replicas = nullptr;
  };

  /// \p Self is this proxy's name in the list of proxies.
  SharedConnector(Dependencies Deps, std::string Self);
  ~SharedConnector() override;

  std::unique_ptr<TargetLink> open(const TargetAddress &To,
                                   TargetLink::Events Events) override;
  bool sharesConnections(const std::string &Group) const override;
  bool isShareKnown() const override;
  std::optional<ProbeTurn> probeTurn(const std::string &Group,
                                     const std::string &Leader) const override;

  /// Apply the configuration and state received from control.
  void setPlan(const RoutePlan &New);
  void updateTargets(const TargetDirectory &Directory);
  void setProxies(std::vector<ProxyRecord> All);

  PeerReachCounts reachCounts() const;
  /// Emitted with a proxy's name when it becomes unreachable (false) or
  /// reachable again (true). Only with LoadOptions::ReachReports.
  sigc::signal<void(const std::string &, bool)> &signalPeerReach() {
    return PeerReachChanged;
  }

private:
  class Link;
  friend class Link;

  /// A gateway of one target; Peer is null for this process.
  struct Gateway {
    TargetConnector *Connector = nullptr;
    RelayClient *Peer = nullptr;
    std::string Name;
  };

  /// Selects the gateway for the next statement of a link; nothing if no
  /// gateway is considered able to reach the target.
  /// \p BoundTo is the proxy that the link uses now; it may be empty.
  std::optional<Gateway> chooseGateway(const TargetAddress &To,
                                       const std::string &StatementId,
                                       const std::string &BoundTo);
  /// As chooseGateway, with LoadOptions::ReachReports.
  std::optional<Gateway> chooseReachable(const TargetAddress &To,
                                         const std::string &StatementId,
                                         const std::string &BoundTo);
  /// \p LatelySince is when something must have been received from a proxy for
  /// it to have answered lately.
  GatewayStanding standingOf(const ProxyRecord &Candidate,
                             const std::string &Target, Millis LatelySince);
  /// True if the proxy is one of the target's gateways, not a spare.
  bool isGateway(const std::string &Name, const TargetAddress &To) const;
  /// Records that a statement found its gateway silent or lost.
  void recordDeadPath(const std::string &StatementId);
  /// Returns the index at which the search among a target's gateways begins.
  std::size_t firstGatewayIndex(const TargetAddress &To);
  bool isUsable(const Gateway &Candidate, const TargetAddress &To);
  /// Skips the gateway for this target for a while, after it reported the
  /// target as unreachable.
  void avoid(const std::string &Gateway, const std::string &Target);
  /// Destroys an ended link after its callbacks have returned. The connector
  /// owns the link meanwhile, because the link refers to the broker or a peer:
  /// owned by a timer, the link would outlive them when the process stops.
  void retire(std::unique_ptr<TargetLink> Ended);
  Gateway gatewayOf(const ProxyRecord &Candidate);
  void decideSharing();
  void rebuildTable();
  /// True if both lists agree on each target's group, failure domain and
  /// presence.
  static bool hasSamePlacement(const std::vector<TargetRecord> &Left,
                               const std::vector<TargetRecord> &Right);

  Dependencies Deps;
  std::string Self;
  RoutePlan Plan;
  std::vector<TargetRecord> Targets;
  std::vector<ProxyRecord> Proxies;
  std::optional<Millis> FirstPlanAt; ///< When the first plan was adopted.
  GatewayTable Table;
  std::map<std::string, std::size_t> Gateways; ///< Count, by sharing group.
  sigc::signal<void(const std::string &, bool)> PeerReachChanged;
  std::map<Endpoint, std::unique_ptr<RelayClient>> Peers;
  /// By gateway and target.
  std::map<std::pair<std::string, std::string>, Millis> AvoidUntil;
  std::vector<std::unique_ptr<TargetLink>> Retired; ///< Destroyed before Peers.
  std::size_t NextGateway; ///< Starts at a hash of Self.

  struct DeadPaths {
    std::size_t Count = 0;
    Millis FirstAt;
    Millis LastAt;
  };
  std::map<std::string, DeadPaths> DeadPathsOf; ///< By statement.
  std::uint64_t MovedStatements = 0;
};

} // namespace corianderdyke

#endif
