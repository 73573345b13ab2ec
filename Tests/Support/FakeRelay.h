/// \file
/// Streams between proxies in memory, and a system of proxies before one group
/// that takes fewer connections than there are proxies.

#ifndef CORIANDERDYKE_TESTS_SUPPORT_FAKERELAY_H
#define CORIANDERDYKE_TESTS_SUPPORT_FAKERELAY_H

#include "FakeGroup.h"
#include "Relay/RelayServer.h"
#include "Relay/SharedConnector.h"

namespace corianderdyke {

/// Streams of frames with a latency. A killed host's streams close, a frozen
/// host's stay open and silent.
class FakePeerStreams {
public:
  explicit FakePeerStreams(FakeLoop &Loop) : Loop(Loop) {}

  /// A host's end; it stays good after the host's death.
  std::unique_ptr<PeerStreams> attach(FakeHost &Host, const Endpoint &At);

  Millis Latency = Millis(1);

private:
  class End;
  class Stream;
  struct Pipe;

  FakeLoop &Loop;
  std::map<Endpoint, End *> Listening;
};

/// One proxy's way to the targets: those in Cut refuse it.
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

/// One proxy with everything that shares connections.
struct FakeProxy {
  FakeHost Host;
  FakeTargetConnector Access;
  FloorTable Floors;
  std::unique_ptr<PeerStreams> Streams;
  RelayCodec Frames;
  TargetBroker Broker;
  SharedConnector Shared;
  RelayServer Relay;
  SessionPipeline Pipeline;

  FakeProxy(FakeLoop &Loop, FakePeerStreams &Net, TargetConnector &Targets,
            const std::string &Name);
};

/// Proxies "p0", "p1" and so on before one group.
class FakeRelaySystem {
public:
  /// Where \p KnowsList is false the proxies have a plan and know the targets,
  /// but not each other, as when everything starts at the same moment.
  FakeRelaySystem(FakeLoop &Loop, FakeGroup &Group, std::size_t Count,
                  std::uint32_t MaxConnections, bool KnowsList = true);
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
  /// All get a plan; the group takes as many connections as before.
  void applyPlan(RoutePlan New);
  /// All learn what targets say of themselves now.
  void updateDirectories();
  /// All learn that only these proxies are there.
  void setProxyList(const std::vector<std::size_t> &Present);
  void resetProxyList() { setProxyList(Listed); }
  FakeProxy &proxy(std::size_t Index) { return *Proxies[Index]; }
  /// Proxies that hold a connection to any target.
  std::vector<std::size_t> proxiesWithConnections() const;
  /// A proxy that isn't a gateway of the target, and those that are.
  std::size_t nonGateway(const std::string &Target) const;
  std::vector<std::size_t> gateways(const std::string &Target) const;

private:
  ProxyRecord recordOf(std::size_t Index) const;

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
                      std::uint32_t MaxConnections = 10)
      : Proxies(Proxies), System(Loop, Group, Proxies, MaxConnections) {
    Loop.runFor(Millis(50));
  }

  /// Opens so many sessions, at all proxies in turn, and sends a write on each:
  /// "w0", "w1" and so on.
  std::vector<FakeRelaySystem::Session> sendWrites(std::size_t Count);

  std::size_t Proxies;
  FakeLoop Loop;
  FakeGroup Group{Loop, {"a", "b", "c"}};
  FakeRelaySystem System;
};

} // namespace corianderdyke

#endif
