/// \file
/// Control hosts, proxies and a group of targets that enforce their leadership
/// themselves, on a simulated network.

#ifndef CORIANDERDYKE_TESTS_SUPPORT_FAKEFLEET_H
#define CORIANDERDYKE_TESTS_SUPPORT_FAKEFLEET_H

#include "Admission/LoadOptions.h"
#include "FakeDisk.h"
#include "FakeNetwork.h"
#include "Steering/ControlClient.h"
#include "Steering/SteeringNode.h"

#include <catch2/catch.hpp>
#include <memory>

namespace corianderdyke {

constexpr std::uint16_t PeerPort = 7000;
constexpr std::uint16_t RelayPort = 7001;

/// Targets as the control hosts see them: their positions and the primary.
class FakeTargets final : public TargetCommandPort, public PromotionPort {
public:
  struct Target {
    bool IsUp = true;
    bool IsBusy = false;
    bool IsReplicating = true;
    bool RefusesConnections = false; ///< No process listens.
    bool IsCutFromControl = false;   ///< Heartbeats still arrive.
    bool IsPrimary = false;
    LogPosition Received{1, 10};
    std::uint64_t BornAt = 1000;
    std::string Group = "ledger";
    Millis Lag = Millis(0);
    std::uint32_t Slots = 0;
    std::uint32_t BusySlots = 0;
    std::size_t BusyAnswers = 0;      ///< Further commands refused as busy.
    bool LosesStepDownAnswer = false; ///< Executes the order, but is silent.
    bool IsFollowing = false; ///< Receives the primary's log when asked.
    std::string Host;         ///< Of its address; its id if empty.
  };

  explicit FakeTargets(FakeLoop &Loop) : Loop(Loop) {}

  void send(const TargetAddress &To, TargetCommand::Kind What, std::uint64_t,
            Millis Timeout, OnStatus Handler) override {
    Target &At = Targets[To.Id];
    if (!At.IsUp || At.IsCutFromControl) {
      Loop.at(Loop.now() + Timeout,
              [Handler] { Handler(fail(ErrorCode::Unavailable, "silent")); });
      return;
    }
    Loop.at(Loop.now() + Millis(2), [this, &At, What, Handler] {
      if (At.IsBusy || At.BusyAnswers > 0) {
        At.BusyAnswers -= At.BusyAnswers > 0 ? 1 : 0;
        return Handler(fail(ErrorCode::Conflict, "busy"));
      }
      if (At.RefusesConnections)
        return Handler(fail(ErrorCode::NotFound, "refused"));
      if (What == TargetCommand::Kind::StopReceiving)
        At.IsReplicating = false;
      if (What == TargetCommand::Kind::ResumeReceiving)
        At.IsReplicating = true;
      if (What == TargetCommand::Kind::StepDown) {
        At.IsPrimary = false;
        ++StepDowns;
        if (At.LosesStepDownAnswer)
          return Handler(fail(ErrorCode::Unavailable, "silent"));
      }
      if (At.IsFollowing && At.IsReplicating)
        for (const auto &[Id, Each] : Targets)
          if (Each.Group == At.Group)
            At.Received = std::max(At.Received, Each.Received);
      Handler(TargetStatus{At.IsPrimary, At.Received.Term, At.Received, At.Lag,
                           At.BusySlots});
    });
  }

  void promote(const std::string &Group, const std::string &Target,
               std::uint64_t Token, OnResult Handler) override {
    Orders.push_back({Target, Token});
    if (OnOrder)
      OnOrder(Target);
    if (DroppedOrders > 0) {
      --DroppedOrders;
      Loop.at(Loop.now() + Millis(1000),
              [Handler] { Handler(Result::Unknown); });
      return;
    }
    if (LateOrders > 0) {
      --LateOrders;
      Loop.at(Loop.now() + Millis(1000),
              [Handler] { Handler(Result::Unknown); });
      Loop.at(Loop.now() + LateBy,
              [this, Group, Target, Token] { execute(Group, Target, Token); });
      return;
    }
    if (DeferredOrders > 0) {
      --DeferredOrders;
      Loop.at(Loop.now() + Millis(2), [Handler] { Handler(Result::Deferred); });
      return;
    }
    const Millis Late = NextPromotionDelay;
    NextPromotionDelay = Millis(0);
    Loop.at(Loop.now() + Millis(2) + Late, [this, Group, Target, Token,
                                            Handler] {
      const bool IsRefused = RefusedOrders > 0;
      RefusedOrders -= IsRefused ? 1 : 0;
      Handler(!IsRefused && execute(Group, Target, Token) ? Result::Accepted
                                                          : Result::Rejected);
    });
  }

  /// Checks the token when the order is executed. The present primary leads on.
  bool execute(const std::string &Group, const std::string &Target,
               std::uint64_t Token) {
    if (Token < HighestTokens[Group] || !Targets[Target].IsUp)
      return false;
    HighestTokens[Group] = Token;
    if (Targets[Target].IsPrimary)
      return true;
    if (PromotionTime == Millis(0))
      lead(Target);
    else
      Loop.at(Loop.now() + PromotionTime, [this, Group, Target, Token] {
        if (Token == HighestTokens[Group] && Targets[Target].IsUp)
          lead(Target);
      });
    return true;
  }

  void lead(const std::string &Target) {
    for (auto &[Id, Each] : Targets)
      if (Each.Group == Targets[Target].Group)
        Each.IsPrimary = Id == Target;
    if (OnPromoted)
      OnPromoted(Target);
  }

  struct Order {
    std::string Target;
    std::uint64_t Token = 0;
  };

  FakeLoop &Loop;
  std::map<std::string, Target> Targets;
  std::vector<Order> Orders;
  std::map<std::string, std::uint64_t> HighestTokens; ///< By group.
  std::size_t StepDowns = 0;
  Millis NextPromotionDelay;
  Millis PromotionTime; ///< From the acceptance of an order to its effect.
  std::size_t RefusedOrders = 0; ///< Further orders that are rejected.
  std::size_t DroppedOrders = 0; ///< Further orders that are lost.
  /// Further orders that get no answer and are executed after LateBy.
  std::size_t LateOrders = 0;
  Millis LateBy = Millis(6000);
  std::size_t DeferredOrders = 0; ///< Further orders that are not executed.
  std::function<void(const std::string &)> OnOrder;
  std::function<void(const std::string &)> OnPromoted;
};

/// The targets as one control host sees them: a host that was killed receives
/// no answers.
class ControlHostPorts final : public TargetCommandPort, public PromotionPort {
public:
  ControlHostPorts(FakeHost &Host, FakeTargets &Targets)
      : Host(Host), Targets(Targets) {}

  void send(const TargetAddress &To, TargetCommand::Kind What,
            std::uint64_t Term, Millis Timeout, OnStatus Handler) override {
    Targets.send(To, What, Term, Timeout,
                 [this, Handler](const Expected<TargetStatus> &Answer) {
                   Host.run([Handler, Answer] { Handler(Answer); });
                 });
  }

  void promote(const std::string &Group, const std::string &Target,
               std::uint64_t Token, OnResult Handler) override {
    Targets.promote(Group, Target, Token, [this, Handler](Result Answer) {
      Host.run([Handler, Answer] { Handler(Answer); });
    });
  }

private:
  FakeHost &Host;
  FakeTargets &Targets;
};

struct ControlHostParts {
  std::unique_ptr<FakeHost> Host;
  std::unique_ptr<ControlHostPorts> Ports;
  std::unique_ptr<Transport> Peers;
  std::unique_ptr<Journal> Records;
  std::unique_ptr<ReplicatedLog> Log;
  std::unique_ptr<SteeringNode> Node;
};

struct ProxyParts {
  std::unique_ptr<FakeHost> Host;
  std::unique_ptr<Transport> Peers;
  std::unique_ptr<ControlClient> Feed;
};

/// Five control hosts by default, some proxies and one group of three targets,
/// which send heartbeats to the leader.
class FakeFleet {
public:
  explicit FakeFleet(std::uint64_t Seed, std::size_t Proxies = 3,
                     int Controls = 5, const LoadOptions &Load = {})
      : Net(Loop, Seed), Targets(Loop), Random(Seed), Load(Load) {
    for (int Each = 1; Each <= Controls; ++Each)
      Names.push_back("10.0.0." + std::to_string(Each));
    for (const std::string &Name : Names)
      startControl(Name, true);
    for (std::size_t Each = 1; Each <= Proxies; ++Each)
      startProxy("10.0.1." + std::to_string(Each));
    for (const char *Id : {"a", "b", "c"})
      Targets.Targets[Id].IsPrimary = std::string(Id) == "a";
  }

  ~FakeFleet() {
    Loop.clear();
    Proxies.clear();
    KilledProxies.clear();
    Controls.clear();
  }

  void startControl(const std::string &Name, bool MayFound) {
    ControlHostParts Made;
    Made.Host = std::make_unique<FakeHost>(Loop, Name);
    Made.Ports = std::make_unique<ControlHostPorts>(*Made.Host, Targets);
    Made.Peers = Net.attach(*Made.Host, {Name, PeerPort});
    auto &Disk = Disks[Name];
    if (!Disk)
      Disk = std::make_unique<FakeDisk>();
    Made.Records = std::make_unique<Journal>(*Disk);
    Made.Log = std::make_unique<ReplicatedLog>(*Made.Records);
    REQUIRE(Made.Log->load("disk-" + std::to_string(++LastDisk)));
    SteeringOptions Options;
    Options.Name = Name;
    Options.ProcessName = "control at " + Name;
    Options.PeerPort = PeerPort;
    Options.Seeds = {Names[0], Names[1], Names[2]};
    Options.MayBootstrap = MayFound;
    Options.ToleratedDiskLosses = 2;
    Options.LeadRelief = Load.LeadRelief;
    Options.PermitForwarding = Load.PermitForwarding;
    Made.Node = std::make_unique<SteeringNode>(
        Options,
        SteeringDependencies{*Made.Host, *Made.Host, *Made.Peers, *Made.Ports,
                             *Made.Ports},
        *Made.Log, Random());
    Controls[Name] = std::move(Made);
    Controls[Name].Node->start();
  }

  void startProxy(const std::string &Name) {
    ProxyParts Made;
    Made.Host = std::make_unique<FakeHost>(Loop, Name);
    Made.Peers = Net.attach(*Made.Host, {Name, PeerPort});
    Made.Feed = std::make_unique<ControlClient>(
        ControlClientOptions{{Name, Random()},
                             PeerPort,
                             {Names[0], Names[1], Names[2]},
                             {Name, {Name, RelayPort}, "here"}},
        *Made.Host, *Made.Host, *Made.Peers);
    Made.Feed->signalProxyList().connect(
        [this, Name](const std::vector<ProxyRecord> &All) {
          ProxyLists[Name].push_back(All.size());
        });
    Proxies[Name] = std::move(Made);
    Proxies[Name].Feed->start();
  }

  void killControl(const std::string &Name) {
    Controls[Name].Host->kill();
    KilledControls.push_back(std::move(Controls[Name]));
    Controls.erase(Name);
  }

  void killProxies() {
    for (auto &[Name, Each] : Proxies) {
      Each.Host->kill();
      KilledProxies.push_back(std::move(Each));
    }
    Proxies.clear();
  }

  SteeringNode *leader() {
    SteeringNode *Best = nullptr;
    for (auto &[Name, Each] : Controls)
      if (Each.Node->leads() &&
          (Best == nullptr ||
           Each.Node->consensus().term() > Best->consensus().term()))
        Best = Each.Node.get();
    return Best;
  }

  bool awaitLeader() {
    return Loop.runUntilTrue(
        [this] {
          return leader() != nullptr &&
                 leader()->consensus().voters().size() == Names.size();
        },
        Millis(10000));
  }

  /// Sends one heartbeat from each running target to the leader, as targets do
  /// every second.
  void sendHeartbeats() {
    ++Sequence;
    for (const auto &[Id, Each] : Targets.Targets) {
      if (!Each.IsUp || leader() == nullptr)
        continue;
      TargetRecord Record;
      Record.Id = Id;
      Record.Group = Each.Group;
      Record.Slots = Each.Slots;
      Record.Address = {Each.Host.empty() ? Id : Each.Host, 5000};
      Record.FailureDomain = "here";
      Record.Incarnation = Each.BornAt;
      Record.Sequence = Sequence;
      Record.IsPrimary = Each.IsPrimary;
      Record.IsLeaving = Leaving.count(Id) != 0;
      leader()->applyHeartbeat(Record, [](const Expected<void> &) {});
    }
  }

  void runWithHeartbeats(Millis Span) {
    for (Millis Left = Span; Left > Millis(0); Left = Left - Millis(200)) {
      sendHeartbeats();
      Loop.runFor(Millis(200));
    }
  }

  bool acceptPlan(std::uint64_t Version, std::uint32_t SyncReplicas = 0) {
    RoutePlan Plan;
    Plan.Version = Version;
    Plan.Groups = {{"ledger", 16, SyncReplicas}};
    Plan.Document = "document " + std::to_string(Version);
    return acceptPlan(Plan);
  }

  bool acceptPlan(const RoutePlan &Plan) {
    auto Done = std::make_shared<std::optional<bool>>();
    leader()->acceptPlan(Plan, [Done](const Expected<void> &Result) {
      *Done = Result.has_value();
    });
    Loop.runUntilTrue([Done] { return Done->has_value(); }, Millis(5000));
    return Done->value_or(false);
  }

  bool allProxiesHave(std::uint64_t Version) {
    for (auto &[Name, Each] : Proxies)
      if (Each.Feed->plan().Version != Version)
        return false;
    return true;
  }

  /// Makes the first \p Count proxies report \p Target as unreachable.
  void reportFailure(const std::string &Target, std::size_t Count) {
    for (auto &[Name, Each] : Proxies)
      if (Count-- > 0)
        Each.Feed->recordUnreachable(Target);
      else
        break;
  }

  FakeLoop Loop;
  FakeNetwork Net;
  FakeTargets Targets;
  std::mt19937_64 Random;
  LoadOptions Load;
  std::vector<std::string> Names;
  std::map<std::string, std::unique_ptr<FakeDisk>> Disks;
  std::map<std::string, ControlHostParts> Controls;
  std::vector<ControlHostParts> KilledControls;
  std::vector<ProxyParts> KilledProxies;
  std::map<std::string, ProxyParts> Proxies;
  /// Lengths of the proxy lists that each proxy received, by name.
  std::map<std::string, std::vector<std::size_t>> ProxyLists;
  std::set<std::string> Leaving;
  std::uint64_t Sequence = 0;
  int LastDisk = 0;
};

struct ReadyFleet {
  explicit ReadyFleet(std::uint64_t Seed = 1, std::size_t Proxies = 3)
      : Fleet(Seed, Proxies) {
    REQUIRE(Fleet.awaitLeader());
    REQUIRE(Fleet.acceptPlan(1));
    Fleet.runWithHeartbeats(Millis(1000));
    REQUIRE(Fleet.allProxiesHave(1));
  }
  FakeFleet Fleet;
};

} // namespace corianderdyke

#endif
