/// \file
/// Control hosts and proxies where targets enforce their leadership, on a
/// network in memory: who learns of plans and targets when, and which changes
/// of primary are ordered.

#include "FakeDisk.h"
#include "FakeNetwork.h"
#include "Steering/ControlFeed.h"
#include "Steering/SteeringNode.h"

#include <catch2/catch.hpp>
#include <memory>

using namespace corianderdyke;

namespace {

constexpr std::uint16_t PeerPort = 7000;
constexpr std::uint16_t RelayPort = 7001;

/// Targets as control meets them: their positions, and who leads.
class FakeTargets final : public TargetOrderPort, public PromotionPort {
public:
  struct Target {
    bool IsUp = true;
    bool IsBusy = false;
    bool Receives = true;
    bool IsRefusing = false;       ///< Nothing listens there any more.
    bool IsCutFromControl = false; ///< But its heartbeats come through.
    bool IsPrimary = false;
    LogPosition Received{1, 10};
    std::uint64_t BornAt = 1000;
  };

  explicit FakeTargets(FakeLoop &Loop) : Loop(Loop) {}

  void ask(const TargetAddress &To, TargetCommand::Kind What, std::uint64_t,
           Millis Timeout, OnStatus Handler) override {
    Target &At = Targets[To.Id];
    if (!At.IsUp || At.IsCutFromControl) {
      Loop.at(Loop.now() + Timeout,
              [Handler] { Handler(fail(ErrorCode::Unavailable, "silent")); });
      return;
    }
    Loop.at(Loop.now() + Millis(2), [this, &At, What, Handler] {
      if (At.IsBusy)
        return Handler(fail(ErrorCode::Conflict, "busy"));
      if (At.IsRefusing)
        return Handler(fail(ErrorCode::NotFound, "refused"));
      if (What == TargetCommand::Kind::StopReceiving)
        At.Receives = false;
      if (What == TargetCommand::Kind::ReceiveAgain)
        At.Receives = true;
      if (What == TargetCommand::Kind::StepDown) {
        At.IsPrimary = false;
        ++StepDowns;
      }
      Handler(TargetStatus{At.IsPrimary, At.Received.Term, At.Received});
    });
  }

  void promote(const std::string &, const std::string &Target,
               std::uint64_t Token, OnResult Handler) override {
    Orders.push_back({Target, Token});
    const Millis Late = DelayNext;
    DelayNext = Millis(0);
    Loop.at(Loop.now() + Millis(2) + Late, [this, Target, Token, Handler] {
      if (Token < HighestToken || !Targets[Target].IsUp)
        return Handler(Result::Rejected);
      HighestToken = Token;
      for (auto &[Id, Each] : Targets)
        Each.IsPrimary = Id == Target;
      Handler(Result::Taken);
    });
  }

  struct Order {
    std::string Target;
    std::uint64_t Token = 0;
  };

  FakeLoop &Loop;
  std::map<std::string, Target> Targets;
  std::vector<Order> Orders;
  std::uint64_t HighestToken = 0;
  std::size_t StepDowns = 0;
  Millis DelayNext;
};

struct ControlHostParts {
  std::unique_ptr<FakeHost> Host;
  std::unique_ptr<Transport> Peers;
  std::unique_ptr<Journal> Records;
  std::unique_ptr<ReplicatedLog> Log;
  std::unique_ptr<SteeringNode> Node;
};

struct ProxyParts {
  std::unique_ptr<FakeHost> Host;
  std::unique_ptr<Transport> Peers;
  std::unique_ptr<ControlFeed> Feed;
};

/// Five control hosts, some proxies, one group of three targets whose
/// heartbeats go to whoever leads.
class Fleet {
public:
  explicit Fleet(std::uint64_t Seed, std::size_t Proxies = 3)
      : Net(Loop, Seed), Targets(Loop), Random(Seed) {
    for (int Each = 1; Each <= 5; ++Each)
      Names.push_back("10.0.0." + std::to_string(Each));
    for (const std::string &Name : Names)
      startControl(Name, true);
    for (std::size_t Each = 1; Each <= Proxies; ++Each)
      startProxy("10.0.1." + std::to_string(Each));
    for (const char *Id : {"a", "b", "c"})
      Targets.Targets[Id].IsPrimary = std::string(Id) == "a";
  }

  ~Fleet() {
    Loop.clear();
    Proxies.clear();
    Controls.clear();
  }

  void startControl(const std::string &Name, bool MayFound) {
    ControlHostParts Made;
    Made.Host = std::make_unique<FakeHost>(Loop, Name);
    Made.Peers = Net.attach(*Made.Host, {Name, PeerPort});
    auto &Disk = Disks[Name];
    if (!Disk)
      Disk = std::make_unique<FakeDisk>();
    Made.Records = std::make_unique<Journal>(*Disk);
    Made.Log = std::make_unique<ReplicatedLog>(*Made.Records);
    REQUIRE(Made.Log->load("disk-" + std::to_string(++LastDisk)));
    SteeringOptions Options;
    Options.Name = Name;
    Options.Process = "control at " + Name;
    Options.PeerPort = PeerPort;
    Options.Seeds = {Names[0], Names[1], Names[2]};
    Options.MayFound = MayFound;
    Options.LostDisksBorne = 2;
    Made.Node = std::make_unique<SteeringNode>(
        Options,
        SteeringPorts{*Made.Host, *Made.Host, *Made.Peers, Targets, Targets},
        *Made.Log, Random());
    Controls[Name] = std::move(Made);
    Controls[Name].Node->start();
  }

  void startProxy(const std::string &Name) {
    ProxyParts Made;
    Made.Host = std::make_unique<FakeHost>(Loop, Name);
    Made.Peers = Net.attach(*Made.Host, {Name, PeerPort});
    Made.Feed = std::make_unique<ControlFeed>(
        FeedOptions{{Name, Random()},
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
    Graveyard.push_back(std::move(Controls[Name]));
    Controls.erase(Name);
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
                 leader()->consensus().voters().size() == 5;
        },
        Millis(10000));
  }

  /// Targets speak to the leader as they do on their own, every second.
  void beat() {
    ++Sequence;
    for (const auto &[Id, Each] : Targets.Targets) {
      if (!Each.IsUp || leader() == nullptr)
        continue;
      TargetRecord Said;
      Said.Id = Id;
      Said.Group = "ledger";
      Said.Address = {Id, 5000};
      Said.FailureDomain = "here";
      Said.BornAt = Each.BornAt;
      Said.Sequence = Sequence;
      Said.IsPrimary = Each.IsPrimary;
      Said.IsLeaving = Leaving.count(Id) != 0;
      leader()->hear(Said, [](const Expected<void> &) {});
    }
  }

  void runBeating(Millis Span) {
    for (Millis Left = Span; Left > Millis(0); Left = Left - Millis(200)) {
      beat();
      Loop.runFor(Millis(200));
    }
  }

  bool accept(std::uint64_t Version, std::uint32_t SyncReplicas = 0) {
    RoutePlan Plan;
    Plan.Version = Version;
    Plan.Groups = {{"ledger", 16, SyncReplicas}};
    Plan.Document = "document " + std::to_string(Version);
    auto Done = std::make_shared<std::optional<bool>>();
    leader()->accept(Plan, [Done](const Expected<void> &Result) {
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

  /// What proxies see of a target.
  void report(const std::string &Target, std::size_t Count) {
    for (auto &[Name, Each] : Proxies)
      if (Count-- > 0)
        Each.Feed->noteFailed(Target);
      else
        break;
  }

  FakeLoop Loop;
  FakeNetwork Net;
  FakeTargets Targets;
  std::mt19937_64 Random;
  std::vector<std::string> Names;
  std::map<std::string, std::unique_ptr<FakeDisk>> Disks;
  std::map<std::string, ControlHostParts> Controls;
  std::vector<ControlHostParts> Graveyard;
  std::map<std::string, ProxyParts> Proxies;
  /// Lengths of the lists that each proxy was told.
  std::map<std::string, std::vector<std::size_t>> ProxyLists;
  std::set<std::string> Leaving;
  std::uint64_t Sequence = 0;
  int LastDisk = 0;
};

struct ReadySetup {
  explicit ReadySetup(std::uint64_t Seed = 1, std::size_t Proxies = 3)
      : On(Seed, Proxies) {
    REQUIRE(On.awaitLeader());
    REQUIRE(On.accept(1));
    On.runBeating(Millis(1000));
    REQUIRE(On.allProxiesHave(1));
  }
  Fleet On;
};

} // namespace

TEST_CASE("A plan reaches every proxy, whoever leads next", "[steering]") {
  // The leader is killed right after it acknowledged a plan. The proxies get
  // the plan from its successor.
  const auto Seed = GENERATE(range(1, 11));
  CAPTURE(Seed);
  ReadySetup Setup(static_cast<std::uint64_t>(Seed));
  Fleet &On = Setup.On;
  REQUIRE(On.accept(2));
  On.killControl(On.leader()->consensus().log().diskId().empty()
                     ? ""
                     : On.Controls.begin()->second.Node->leader());
  CHECK(
      On.Loop.runUntilTrue([&] { return On.allProxiesHave(2); }, Millis(3000)));
}

TEST_CASE("The highest version of a plan wins, an older one changes nothing",
          "[steering]") {
  ReadySetup Setup;
  Fleet &On = Setup.On;
  REQUIRE(On.accept(5));
  CHECK(On.accept(4));
  CHECK(On.accept(5));
  CHECK(On.leader()->state().plan().Version == 5);
  CHECK(On.leader()->state().plan().Document == "document 5");
}

TEST_CASE("A control host that isn't sure shows no plan", "[steering]") {
  // The leader is cut off from the others while a newer plan is accepted
  // there. Asked for the plan it answers nothing or an error, never the old
  // one.
  ReadySetup Setup;
  Fleet &On = Setup.On;
  const std::string Old = On.leader()->leader();
  for (const std::string &Other : On.Names)
    On.Net.cutBoth(Old, Other);
  std::vector<std::uint64_t> Shown;
  SteeringNode &Stale = *On.Controls[Old].Node;
  for (int Each = 0; Each < 50; ++Each) {
    Stale.readPlan([&Shown](const Expected<const RoutePlan *> &Read) {
      if (Read)
        Shown.push_back((*Read)->Version);
    });
    On.Loop.runFor(Millis(50));
  }
  REQUIRE(On.leader() != nullptr);
  REQUIRE(On.leader() != &Stale);
  REQUIRE(On.accept(2));
  On.Net.heal();
  CHECK(Shown.empty());
}

TEST_CASE("A dead primary is replaced by the furthest replica", "[steering]") {
  // Proxies find the primary unusable and control gets no answer from it.
  // Nobody orders anything; the replica with the most of the log leads.
  ReadySetup Setup;
  Fleet &On = Setup.On;
  On.Targets.Targets["a"].IsUp = false;
  On.Targets.Targets["a"].IsPrimary = false;
  On.Targets.Targets["c"].Received = {1, 12};
  On.report("a", 3);
  On.runBeating(Millis(1600));
  REQUIRE(On.Targets.Orders.size() == 1);
  CHECK(On.Targets.Orders[0].Target == "c");
  CHECK(On.leader()->directory().primaryOf("ledger")->Id == "c");
}

TEST_CASE("A primary that is busy or cut off from few isn't replaced",
          "[steering]") {
  // One proxy of eight can't reach the primary, or it's too busy to answer
  // control. A change of primary would roll writes back for nothing.
  const bool IsBusy = GENERATE(true, false);
  CAPTURE(IsBusy);
  ReadySetup Setup(3, 8);
  Fleet &On = Setup.On;
  On.Targets.Targets["a"].IsBusy = IsBusy;
  for (int Each = 0; Each < 10; ++Each) {
    On.report("a", IsBusy ? 8 : 1);
    On.runBeating(Millis(400));
  }
  for (const AuditRecord &Each : On.leader()->state().audit())
    UNSCOPED_INFO(Each.Action << ": " << Each.To << " " << Each.Reason);
  CHECK(On.Targets.Orders.empty());
}

TEST_CASE("A new leader takes no former silence for a failure", "[steering]") {
  // The leader dies. Its successor heard nobody yet and can't ask the primary,
  // which is well. It must not be replaced.
  ReadySetup Setup;
  Fleet &On = Setup.On;
  On.runBeating(Millis(6000));
  On.killControl(On.leader()->leader());
  On.Targets.Targets["a"].IsCutFromControl = true;
  REQUIRE(On.Loop.runUntilTrue([&] { return On.leader() != nullptr; },
                               Millis(5000)));
  On.Loop.runFor(Millis(1000));
  On.runBeating(Millis(2000));
  CHECK(On.Targets.Orders.empty());
}

TEST_CASE("A primary that refuses connections is replaced at once",
          "[steering]") {
  // The primary's process ends. Two proxies have noticed, the other six were
  // served a moment ago. Control's own connection is refused, and it doesn't
  // wait for the six to notice.
  ReadySetup Setup(5, 8);
  Fleet &On = Setup.On;
  for (auto &[Name, Each] : On.Proxies)
    Each.Feed->noteReached("a");
  On.runBeating(Millis(600));
  On.Targets.Targets["a"].IsRefusing = true;
  On.Targets.Targets["a"].IsPrimary = false;
  On.report("a", 2);
  On.Loop.runFor(Millis(300));
  CHECK(On.Targets.Orders.size() == 1);
}

TEST_CASE("A leaving primary steps down before its successor leads",
          "[steering]") {
  ReadySetup Setup;
  Fleet &On = Setup.On;
  On.Targets.Targets["a"].Received = {1, 20};
  On.Leaving.insert("a");
  On.runBeating(Millis(400));
  CHECK(On.Targets.StepDowns == 1);
  CHECK(On.Targets.Orders.empty());
  On.Targets.Targets["b"].Received = {1, 20};
  On.runBeating(Millis(1000));
  REQUIRE(On.Targets.Orders.size() == 1);
  CHECK(On.Targets.Orders[0].Target == "b");
}

TEST_CASE("A late order loses against what came after it", "[steering]") {
  // The first order gets no answer and is carried out seconds later, after
  // the next leader's order. Its token is the lower one.
  ReadySetup Setup;
  Fleet &On = Setup.On;
  On.Targets.Targets["a"].IsUp = false;
  On.Targets.Targets["a"].IsPrimary = false;
  On.Targets.DelayNext = Millis(12000);
  On.report("a", 3);
  On.runBeating(Millis(800));
  REQUIRE(On.Targets.Orders.size() == 1);
  On.killControl(On.leader()->leader());
  On.Loop.runFor(Millis(2000));
  On.runBeating(Millis(6000));
  REQUIRE(On.Targets.Orders.size() >= 2);
  const std::string Now = On.leader()->directory().primaryOf("ledger")->Id;
  On.runBeating(Millis(12000));
  CHECK(On.leader()->directory().primaryOf("ledger")->Id == Now);
  for (std::size_t Each = 1; Each < On.Targets.Orders.size(); ++Each)
    CHECK(On.Targets.Orders[Each].Token > On.Targets.Orders[Each - 1].Token);
}

TEST_CASE("A primary that starts again without its log doesn't lead on",
          "[steering]") {
  // The primary's process ends and starts again under its id, before anybody
  // missed it. It says that it leads, and holds nothing of what its replicas
  // hold. Nobody reports it: it answers. The replicas' log must win.
  ReadySetup Setup;
  Fleet &On = Setup.On;
  On.Targets.Targets["c"].Received = {1, 12};
  On.Targets.Targets["a"].Received = {1, 0};
  On.Targets.Targets["a"].BornAt = 2000;
  On.runBeating(Millis(1600));
  REQUIRE(On.Targets.Orders.size() == 1);
  CHECK(On.Targets.Orders[0].Target == "c");
}

TEST_CASE("A primary that starts again with its whole log leads on",
          "[steering]") {
  ReadySetup Setup;
  Fleet &On = Setup.On;
  On.Targets.Targets["a"].BornAt = 2000;
  On.runBeating(Millis(3000));
  CHECK(On.Targets.Orders.empty());
}

TEST_CASE("What proxies met of a former life says nothing of the next",
          "[steering]") {
  // Two proxies lost their connections to a primary that ended. It's back
  // with its log before control looks, and must not be replaced for that.
  ReadySetup Setup;
  Fleet &On = Setup.On;
  On.report("a", 3);
  On.Targets.Targets["a"].BornAt = 2000;
  On.Targets.Targets["a"].IsCutFromControl = true;
  On.beat();
  On.Loop.runFor(Millis(600));
  CHECK(On.Targets.Orders.empty());
}

TEST_CASE("A control host that can't pass it on promises no leaving target",
          "[steering]") {
  // A target tells a leader that is cut off from the others that it leaves.
  // An answer would be a promise that proxies stop sending to it.
  ReadySetup Setup;
  Fleet &On = Setup.On;
  const std::string Old = On.leader()->leader();
  for (const std::string &Other : On.Names)
    On.Net.cutBoth(Old, Other);
  TargetRecord Said = *On.leader()->directory().find("b");
  Said.Sequence = 1000;
  Said.IsLeaving = true;
  bool Acknowledged = false;
  On.Controls[Old].Node->hear(Said, [&](const Expected<void> &Done) {
    Acknowledged = Done.has_value();
  });
  On.Loop.runFor(Millis(3000));
  CHECK_FALSE(Acknowledged);
}

TEST_CASE("A leader after a loss of all power knows the targets at once",
          "[steering]") {
  ReadySetup Setup;
  Fleet &On = Setup.On;
  for (const std::string &Name : On.Names) {
    On.killControl(Name);
    On.Disks[Name]->crash();
  }
  On.Loop.runFor(Millis(1000));
  for (const std::string &Name : On.Names)
    On.startControl(Name, false);
  REQUIRE(On.Loop.runUntilTrue([&] { return On.leader() != nullptr; },
                               Millis(5000)));
  CHECK(On.leader()->directory().ofGroup("ledger").size() == 3);
  CHECK(On.leader()->directory().primaryOf("ledger")->Id == "a");
}

TEST_CASE("Proxies learn of each other, and a new leader changes nothing",
          "[steering]") {
  // The leader dies, then all control hosts at once. Each time the next
  // leader knows the proxies from the group's log: a list of those that it
  // had heard so far would move all connections to targets, twice.
  ReadySetup On(3, 6);
  On.On.runBeating(Millis(2000));
  for (const auto &[Name, Lists] : On.On.ProxyLists)
    CHECK(Lists.back() == 6);
  const auto Before = On.On.ProxyLists;
  for (const auto &[Name, Each] : On.On.Controls)
    if (Each.Node->leads()) {
      On.On.killControl(Name);
      break;
    }
  On.On.runBeating(Millis(4000));
  CHECK(On.On.ProxyLists == Before);
  for (const std::string &Name : On.On.Names) {
    if (On.On.Controls.count(Name) != 0)
      On.On.killControl(Name);
    On.On.startControl(Name, false);
  }
  On.On.runBeating(Millis(4000));
  CHECK(On.On.ProxyLists == Before);
}

TEST_CASE("A proxy begins only with a plan that a quorum has confirmed",
          "[steering]") {
  // A proxy starts and reaches only a control host that is cut off from the
  // others, where a newer plan was accepted meanwhile.
  ReadySetup Setup;
  Fleet &On = Setup.On;
  const std::string Old = On.leader()->leader();
  for (const std::string &Other : On.Names)
    On.Net.cutBoth(Old, Other);
  for (const std::string &Other : On.Names)
    if (Other != Old)
      On.Net.cutBoth("10.0.1.9", Other);
  On.startProxy("10.0.1.9");
  On.Loop.runFor(Millis(3000));
  CHECK_FALSE(On.Proxies["10.0.1.9"].Feed->isCurrent());
  On.Net.heal();
  CHECK(On.Loop.runUntilTrue(
      [&] { return On.Proxies["10.0.1.9"].Feed->isCurrent(); }, Millis(3000)));
}

TEST_CASE("A commit that a replica vouched for is in the winner's log",
          "[steering]") {
  // Commits are acknowledged once one replica has them. The primary dies, and
  // the replica with the last commit doesn't answer. The other must not lead
  // without it; once it answers it leads.
  ReadySetup Setup;
  Fleet &On = Setup.On;
  REQUIRE(On.accept(2, 1));
  On.Targets.Targets["c"].Received = {1, 12};
  On.Targets.Targets["c"].IsCutFromControl = true;
  On.Targets.Targets["a"].IsUp = false;
  On.Targets.Targets["a"].IsPrimary = false;
  On.report("a", 3);
  On.runBeating(Millis(3000));
  CHECK(On.Targets.Orders.empty());
  // Whoever was told to stop receiving while nothing came of it goes on.
  CHECK(On.Targets.Targets["b"].Receives);
  On.Targets.Targets["c"].IsCutFromControl = false;
  On.runBeating(Millis(3000));
  REQUIRE(On.Targets.Orders.size() == 1);
  CHECK(On.Targets.Orders[0].Target == "c");
  On.runBeating(Millis(1000));
  CHECK(On.Targets.Targets["b"].Receives);
}

TEST_CASE("Replicas stop receiving before their positions decide",
          "[steering]") {
  // The primary is cut off from control and most proxies, and goes on with
  // the rest. What it acknowledges after the positions were read would be
  // missing from the winner's log.
  ReadySetup Setup;
  Fleet &On = Setup.On;
  REQUIRE(On.accept(2, 1));
  On.Targets.Targets["a"].IsCutFromControl = true;
  bool StoppedFirst = false;
  On.leader()->promotions().signalStep().connect(
      [&](const std::string &, const std::string &What, const std::string &) {
        if (What == "promotion-ordered")
          StoppedFirst = !On.Targets.Targets["b"].Receives &&
                         !On.Targets.Targets["c"].Receives;
      });
  On.report("a", 3);
  On.runBeating(Millis(1600));
  REQUIRE(On.Targets.Orders.size() == 1);
  CHECK(StoppedFirst);
}

TEST_CASE("Replicas that a dead leader stopped receive again", "[steering]") {
  // A control leader dies after it told the replicas to stop receiving. They
  // would fall behind for good, with a primary that is well.
  ReadySetup Setup;
  Fleet &On = Setup.On;
  REQUIRE(On.accept(2, 1));
  On.Targets.Targets["b"].Receives = false;
  On.Targets.Targets["c"].Receives = false;
  On.killControl(On.leader()->leader());
  On.Loop.runFor(Millis(2000));
  On.runBeating(Millis(2000));
  CHECK(On.Targets.Targets["b"].Receives);
  CHECK(On.Targets.Targets["c"].Receives);
  CHECK(On.Targets.Orders.empty());
}
