/// \file
/// Simulated streams between proxies, and a system of proxies in front of one
/// group that accepts fewer connections than there are proxies.

#ifndef CORIANDERDYKE_TESTS_SUPPORT_FAKERELAY_H
#define CORIANDERDYKE_TESTS_SUPPORT_FAKERELAY_H

#include "FakeGroup.h"
#include "Relay/RelayServer.h"
#include "Relay/SharedConnector.h"

namespace corianderdyke {

/// Streams of frames with a latency. The streams of a killed host close; those
/// of a frozen host stay open without traffic.
class FakePeerStreams {
public:
  explicit FakePeerStreams(FakeLoop &Loop) : Loop(Loop) {}

  /// Creates the streams of a host; they remain valid after it is killed.
  std::unique_ptr<PeerStreams> attach(FakeHost &Host, const Endpoint &At);

  Millis Latency = Millis(1);
  /// Number of the partition's side of each host; hosts not listed are on side
  /// 0. Streams between sides stay open without traffic.
  std::map<std::string, int> Sides;

  bool isCut(const std::string &Left, const std::string &Right) const {
    const auto Side = [this](const std::string &Name) {
      const auto Found = Sides.find(Name);
      return Found == Sides.end() ? 0 : Found->second;
    };
    return Side(Left) != Side(Right);
  }

private:
  class End;
  class Stream;
  struct Pipe;

  FakeLoop &Loop;
  std::map<Endpoint, End *> Listening;
};

/// Target connections of one proxy. Connections to the targets in Cut fail.
class FakeTargetConnector final : public TargetConnector {
public:
  FakeTargetConnector(FakeLoop &Loop, TargetConnector &Targets)
      : Loop(Loop), Targets(Targets) {}

  std::unique_ptr<TargetLink> open(const TargetAddress &To,
                                   TargetLink::Events Events) override;

  std::set<std::string> Cut;

private:
  FakeLoop &Loop;
  TargetConnector &Targets;
};

/// One proxy with all components that share connections.
struct FakeProxy {
  FakeHost Host;
  FakeTargetConnector Access;
  FloorTable Floors;
  ReplicaTable Replicas;
  std::unique_ptr<PeerStreams> Streams;
  RelayCodec Frames;
  TargetBroker Broker;
  SharedConnector Shared;
  RelayServer Relay;
  SessionPipeline Pipeline;

  FakeProxy(FakeLoop &Loop, FakePeerStreams &Net, TargetConnector &Targets,
            const std::string &Name, const LoadOptions &Load = {});
};

/// Proxies "p0", "p1" and so on in front of one group.
class FakeRelaySystem {
public:
  /// If \p KnowsList is false the proxies have a plan and the target directory
  /// but no proxy list, as when all processes start at the same moment.
  FakeRelaySystem(FakeLoop &Loop, FakeGroup &Group, std::size_t Count,
                  std::uint32_t MaxConnections, bool KnowsList = true,
                  const LoadOptions &Load = {});
  ~FakeRelaySystem();

  struct Session {
    FakeProxy *At = nullptr;
    std::uint64_t Id = 0;
    std::shared_ptr<FakeCaller> Caller;
  };

  Session connect(std::size_t Proxy, const std::string &Database,
                  const std::string &Key = "");
  void send(const Session &On, StatementKind Kind, const std::string &Id = "",
            const std::string &Text = "");
  StatementAnswer ask(const Session &On, StatementKind Kind,
                      const std::string &Id = "", const std::string &Text = "");
  /// Applies a plan at all proxies; the connection limit of the group stays.
  void applyPlan(RoutePlan New);
  /// Updates the target directory of all proxies from the current target state.
  void updateDirectories();
  /// Sets the proxy list of all proxies to \p Present.
  void setProxyList(const std::vector<std::size_t> &Present);
  void resetProxyList() { setProxyList(Listed); }
  FakePeerStreams &net() { return Net; }
  FakeProxy &proxy(std::size_t Index) { return *Proxies[Index]; }
  /// Returns the proxies that hold a connection to any target.
  std::vector<std::size_t> proxiesWithConnections() const;
  /// Return a proxy that is not a gateway of the target, and the proxies that
  /// are.
  std::size_t nonGateway(const std::string &Target) const;
  std::vector<std::size_t> gateways(const std::string &Target) const;
  /// Returns all proxies in the order in which they serve the target.
  std::vector<std::size_t> ranking(const std::string &Target) const;

private:
  ProxyRecord recordOf(std::size_t Index) const;
  GatewayTable table() const;
  std::size_t gatewayCountOfGroup() const {
    return gatewayCount(Plan.Groups.front().usableConnections());
  }

  FakeLoop &Loop;
  FakeGroup &Group;
  FakePeerStreams Net;
  RoutePlan Plan;
  std::vector<std::size_t> Listed;
  std::vector<std::unique_ptr<FakeProxy>> Proxies;
};

/// A system whose gateways have opened their first connections to the targets
/// "a", the primary, "b" and "c".
struct RelaySetup {
  explicit RelaySetup(std::size_t Proxies = 12,
                      std::uint32_t MaxConnections = 10,
                      const LoadOptions &Load = {})
      : Proxies(Proxies),
        System(Loop, Group, Proxies, MaxConnections, true, Load) {
    Loop.runFor(Millis(50));
  }

  /// Opens \p Count sessions, round-robin over the proxies, and sends a write
  /// on each: "w0", "w1" and so on.
  std::vector<FakeRelaySystem::Session> sendWrites(std::size_t Count);

  std::size_t Proxies;
  FakeLoop Loop;
  FakeGroup Group{Loop, {"a", "b", "c"}};
  FakeRelaySystem System;
};

} // namespace corianderdyke

#endif
