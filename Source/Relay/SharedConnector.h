/// \file
/// Decides for each database group whether this proxy holds connections of
/// its own to the targets or shares them with other proxies, and through
/// which gateway a statement goes.

#ifndef CORIANDERDYKE_RELAY_SHAREDCONNECTOR_H
#define CORIANDERDYKE_RELAY_SHAREDCONNECTOR_H

#include "Plan/RoutePlan.h"
#include "Relay/GatewayTable.h"
#include "Relay/RelayClient.h"
#include "Relay/TargetBroker.h"

namespace corianderdyke {

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
  };

  /// \p Self is this proxy's name in the list of proxies.
  SharedConnector(Dependencies Deps, std::string Self);
  ~SharedConnector() override;

  std::unique_ptr<TargetLink> open(const TargetAddress &To,
                                   TargetLink::Events Events) override;
  bool sharesConnections(const std::string &Group) const override;
  bool knowsShares() const override;

  /// What control said.
  void setPlan(const RoutePlan &New);
  void updateTargets(const TargetDirectory &Known);
  void setProxies(std::vector<ProxyRecord> All);

private:
  class Link;
  friend class Link;

  /// A gateway of one target; Peer is null for this process itself.
  struct Gateway {
    TargetConnector *Connector = nullptr;
    RelayClient *Peer = nullptr;
    std::string Name;
  };

  /// The gateway that should carry the next statement of a link; nothing
  /// where none is believed to reach the target.
  std::optional<Gateway> chooseGateway(const TargetAddress &To);
  /// Where among a target's gateways the search for one begins.
  std::size_t firstGatewayIndex(const TargetAddress &To);
  bool isUsable(const Gateway &Which, const std::string &Target) const;
  /// The gateway said that it doesn't reach the target.
  void avoid(const std::string &Gateway, const std::string &Target);
  /// Destroys a link that ended once its callbacks have returned. It's kept
  /// here, since it refers to the broker or a peer: held by a timer it would
  /// outlive them in a process that stops.
  void retire(std::unique_ptr<TargetLink> Ended);
  Gateway gatewayOf(const ProxyRecord &Which);
  void decideSharing();
  void rebuildTable();
  /// True where the list says the same of where targets are.
  static bool hasSamePlacement(const std::vector<TargetRecord> &Left,
                               const std::vector<TargetRecord> &Right);

  Dependencies Deps;
  std::string Self;
  RoutePlan Plan;
  std::vector<TargetRecord> Targets;
  std::vector<ProxyRecord> Proxies;
  std::optional<Millis> FirstPlanAt; ///< When the first plan was adopted.
  GatewayTable Table;
  std::map<std::string, std::size_t> Gateways; ///< Of groups that share.
  std::map<Endpoint, std::unique_ptr<RelayClient>> Peers;
  /// By gateway and target.
  std::map<std::pair<std::string, std::string>, Millis> AvoidUntil;
  std::vector<std::unique_ptr<TargetLink>> Retired; ///< After Peers.
  std::size_t NextGateway; ///< Begins elsewhere at each proxy.
};

} // namespace corianderdyke

#endif
