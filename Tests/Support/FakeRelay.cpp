/// \file
/// Implements the simulated streams between proxies and the proxy system.

#include "FakeRelay.h"

#include <stdexcept>

namespace corianderdyke {

/// State shared by both ends of a stream.
struct FakePeerStreams::Pipe {
  struct Side {
    FakeHost *Host = nullptr;
    PeerStreamEvents Events;
    bool IsOpen = true;
  };
  Side Sides[2];
};

class FakePeerStreams::Stream final : public PeerStream {
public:
  Stream(FakePeerStreams &Net, std::shared_ptr<Pipe> Of, int Self)
      : Net(Net), Of(std::move(Of)), Self(Self) {}

  ~Stream() override { close(Net, Of, Self); }

  void send(const std::string &Frame) override {
    if (!Of->Sides[Self].IsOpen)
      return;
    toOther([Frame](Pipe::Side &To) {
      const auto Handler = To.Events.OnFrame;
      if (Handler)
        Handler(Frame);
    });
  }

  /// Closes one side; the other side is notified after the latency.
  static void close(FakePeerStreams &Net, const std::shared_ptr<Pipe> &Of,
                    int Which) {
    if (!std::exchange(Of->Sides[Which].IsOpen, false))
      return;
    Of->Sides[Which].Events = {};
    const int Other = 1 - Which;
    Net.Loop.at(Net.Loop.now() + Net.Latency, [&Net, Of, Other] {
      Pipe::Side &To = Of->Sides[Other];
      const FakeHost *From = Of->Sides[1 - Other].Host;
      if (To.Host != nullptr && From != nullptr &&
          Net.isCut(To.Host->name(), From->name()))
        return;
      if (To.Host != nullptr && To.IsOpen)
        To.Host->run([Of, Other] {
          Pipe::Side &Peer = Of->Sides[Other];
          if (!std::exchange(Peer.IsOpen, false))
            return;
          const auto Handler = std::exchange(Peer.Events, {}).OnClose;
          if (Handler)
            Handler();
        });
    });
  }

private:
  void toOther(std::function<void(Pipe::Side &)> Action) {
    const int Other = 1 - Self;
    Net.Loop.at(Net.Loop.now() + Net.Latency,
                [&Net = Net, Of = Of, Other, Action = std::move(Action)] {
                  FakeHost *Host = Of->Sides[Other].Host;
                  const FakeHost *From = Of->Sides[1 - Other].Host;
                  if (Host == nullptr || From == nullptr ||
                      Net.isCut(Host->name(), From->name()))
                    return;
                  Host->run([Of, Other, Action] {
                    if (Of->Sides[Other].IsOpen)
                      Action(Of->Sides[Other]);
                  });
                });
  }

  FakePeerStreams &Net;
  std::shared_ptr<Pipe> Of;
  int Self;
};

class FakePeerStreams::End final : public PeerStreams {
public:
  End(FakePeerStreams &Net, FakeHost &Host, Endpoint At)
      : Net(Net), Host(Host), At(std::move(At)) {
    Net.Listening[this->At] = this;
    Host.onKill([this] {
      this->Net.Listening.erase(this->At);
      for (const auto &[Each, Side] : Pipes)
        Stream::close(this->Net, Each, Side);
    });
  }

  std::shared_ptr<PeerStream> connect(const Endpoint &To,
                                      PeerStreamEvents Events) override {
    auto Made = std::make_shared<Pipe>();
    Made->Sides[0].Host = &Host;
    Made->Sides[0].Events = std::move(Events);
    Pipes.emplace_back(Made, 0);
    Net.Loop.at(Net.Loop.now() + Net.Latency, [&Net = Net, Made, To] {
      if (Net.isCut(Made->Sides[0].Host->name(), To.Address))
        return;
      const auto Other = Net.Listening.find(To);
      if (Other == Net.Listening.end()) {
        Made->Sides[1].IsOpen = true;
        return Stream::close(Net, Made, 1);
      }
      Made->Sides[1].Host = &Other->second->Host;
      Other->second->take(Made);
    });
    return std::make_shared<Stream>(Net, Made, 0);
  }

  void setAcceptHandler(OnAccept Handler) override {
    Accepting = std::move(Handler);
  }

private:
  void take(const std::shared_ptr<Pipe> &Made) {
    Pipes.emplace_back(Made, 1);
    Host.run([this, Made] {
      Made->Sides[1].Events = Accepting(std::make_shared<Stream>(Net, Made, 1));
    });
  }

  FakePeerStreams &Net;
  FakeHost &Host;
  Endpoint At;
  OnAccept Accepting;
  std::vector<std::pair<std::shared_ptr<Pipe>, int>> Pipes;
};

std::unique_ptr<PeerStreams> FakePeerStreams::attach(FakeHost &Host,
                                                     const Endpoint &At) {
  return std::make_unique<End>(*this, Host, At);
}

namespace {

constexpr std::uint16_t RelayPort = 7000;

} // namespace

std::unique_ptr<TargetLink>
FakeTargetConnector::open(const TargetAddress &To, TargetLink::Events Events) {
  class Refused final : public TargetLink {
  public:
    void send(const std::vector<TargetCommand> &) override {}
    std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
    ~Refused() override { *Alive = false; }
  };
  if (Cut.count(To.Id) == 0)
    return Targets.open(To, std::move(Events));
  auto Made = std::make_unique<Refused>();
  Loop.at(Loop.now() + Millis(1),
          [Still = Made->Alive, Handler = Events.OnClose] {
            if (*Still)
              Handler(std::nullopt);
          });
  return Made;
}

FakeProxy::FakeProxy(FakeLoop &Loop, FakePeerStreams &Net,
                     TargetConnector &Targets, const std::string &Name,
                     const LoadOptions &Load)
    : Host(Loop, Name), Access(Loop, Targets),
      Streams(Net.attach(Host, {Name, RelayPort})),
      Broker(Host, Host, Access, Load),
      Shared({Host, Host, Access, Broker, *Streams, Frames, Floors, Load,
              Load.ReplicaProgress ? &Replicas : nullptr},
             Name),
      Relay(Host, Host, *Streams, Frames, Broker, Floors,
            Load.ReplicaProgress ? &Replicas : nullptr),
      Pipeline({.Time = Host,
                .Timers = Host,
                .Targets = Shared,
                .Floors = Floors,
                .Load = Load,
                .Replicas = Load.ReplicaProgress ? &Replicas : nullptr},
               {"region", "here", Name}) {
  if (Load.ReachReports)
    Relay.reportReach(Broker);
}

FakeRelaySystem::FakeRelaySystem(FakeLoop &Loop, FakeGroup &Group,
                                 std::size_t Count,
                                 std::uint32_t MaxConnections, bool KnowsList,
                                 const LoadOptions &Load)
    : Loop(Loop), Group(Group), Net(Loop), Plan(planOfThreeRoutes()) {
  for (GroupPolicy &Each : Plan.Groups)
    Each.MaxConnections = MaxConnections;
  for (auto &[Name, Each] : Group.Servers)
    Each.MaxConnections = MaxConnections;
  Listed.reserve(Count);
  Proxies.reserve(Count);
  for (std::size_t Each = 0; Each < Count; ++Each) {
    Listed.push_back(Each);
    Proxies.push_back(std::make_unique<FakeProxy>(
        Loop, Net, Group, "p" + std::to_string(Each), Load));
  }
  for (auto &Each : Proxies) {
    Each->Shared.setPlan(Plan);
    Each->Pipeline.adopt(Plan);
  }
  if (KnowsList)
    resetProxyList();
  updateDirectories();
}

FakeRelaySystem::~FakeRelaySystem() { Loop.clear(); }

ProxyRecord FakeRelaySystem::recordOf(std::size_t Index) const {
  const std::string &Name = Proxies[Index]->Host.name();
  return {Name, {Name, RelayPort}, "here"};
}

void FakeRelaySystem::setProxyList(const std::vector<std::size_t> &Present) {
  Listed = Present;
  std::vector<ProxyRecord> All;
  All.reserve(Present.size());
  for (const std::size_t Each : Present)
    All.push_back(recordOf(Each));
  for (auto &Each : Proxies) {
    if (Each->Host.isKilled())
      continue;
    Each->Shared.setProxies(All);
    Each->Pipeline.setProxyCount(All.size());
  }
}

void FakeRelaySystem::applyPlan(RoutePlan New) {
  for (GroupPolicy &Each : New.Groups)
    Each.MaxConnections = Plan.Groups.front().MaxConnections;
  Plan = replaceKeysByDigests(std::move(New), "");
  for (auto &Each : Proxies) {
    Each->Shared.setPlan(Plan);
    Each->Pipeline.adopt(Plan);
  }
  updateDirectories();
}

void FakeRelaySystem::updateDirectories() {
  for (auto &Each : Proxies) {
    if (Each->Host.isKilled())
      continue;
    Each->Shared.updateTargets(Group.directory());
    Each->Pipeline.updateTargets(Group.directory());
  }
}

FakeRelaySystem::Session FakeRelaySystem::connect(std::size_t Proxy,
                                                  const std::string &Database,
                                                  const std::string &Key) {
  Session Out;
  Out.At = Proxies[Proxy].get();
  Out.Caller = std::make_shared<FakeCaller>();
  Out.Id = Out.At->Pipeline.open(Database, Key, Out.Caller);
  return Out;
}

void FakeRelaySystem::send(const Session &On, StatementKind Kind,
                           const std::string &Id, const std::string &Text) {
  Statement What;
  What.Kind = Kind;
  What.Id = Id;
  What.Text = Kind == StatementKind::Commit ? "COMMIT" : Text;
  On.At->Pipeline.receive(On.Id, What);
}

StatementAnswer FakeRelaySystem::ask(const Session &On, StatementKind Kind,
                                     const std::string &Id,
                                     const std::string &Text) {
  const std::size_t Before = On.Caller->Answers.size();
  send(On, Kind, Id, Text);
  const bool Arrived = Loop.runUntilTrue(
      [&] { return On.Caller->Answers.size() > Before; }, Millis(5000));
  if (!Arrived)
    throw std::runtime_error("a statement was not answered in time");
  return On.Caller->last();
}

std::vector<std::size_t> FakeRelaySystem::proxiesWithConnections() const {
  std::vector<std::size_t> Out;
  for (std::size_t Each = 0; Each < Proxies.size(); ++Each)
    if (Proxies[Each]->Broker.connections() > 0)
      Out.push_back(Each);
  return Out;
}

GatewayTable FakeRelaySystem::table() const {
  std::vector<ProxyRecord> All;
  All.reserve(Listed.size());
  for (const std::size_t Each : Listed)
    All.push_back(recordOf(Each));
  return {All,
          Group.directory().all(),
          {{Plan.Groups.front().Name, gatewayCountOfGroup()}}};
}

std::vector<std::size_t>
FakeRelaySystem::ranking(const std::string &Target) const {
  const GatewayTable Table = table();
  std::vector<std::size_t> Out;
  for (std::size_t Rank = 0; Rank < Table.candidates(Target); ++Rank)
    Out.push_back(static_cast<std::size_t>(
        std::stoi(Table.candidate(Target, Rank).Name.substr(1))));
  return Out;
}

std::vector<std::size_t>
FakeRelaySystem::gateways(const std::string &Target) const {
  std::vector<std::size_t> Out = ranking(Target);
  Out.resize(std::min(Out.size(), gatewayCountOfGroup()));
  return Out;
}

std::size_t FakeRelaySystem::nonGateway(const std::string &Target) const {
  const std::vector<std::size_t> Inside = gateways(Target);
  for (const std::size_t Each : Listed)
    if (std::find(Inside.begin(), Inside.end(), Each) == Inside.end())
      return Each;
  return 0;
}

std::vector<FakeRelaySystem::Session>
RelaySetup::sendWrites(std::size_t Count) {
  std::vector<FakeRelaySystem::Session> Out;
  Out.reserve(Count);
  for (std::size_t Each = 0; Each < Count; ++Each) {
    Out.push_back(System.connect(Each % Proxies, "primary"));
    System.send(Out.back(), StatementKind::Write, "w" + std::to_string(Each),
                "STORE x 1");
  }
  return Out;
}

} // namespace corianderdyke
