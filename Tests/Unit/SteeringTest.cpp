/// \file
/// Control hosts and proxies where targets enforce their leadership, on a
/// network in memory: who learns of plans, targets and proxies, and when.

#include "FakeFleet.h"

using namespace corianderdyke;

TEST_CASE("A plan reaches every proxy, whoever leads next", "[steering]") {
  // The leader is killed right after it acknowledged a plan. The proxies get
  // the plan from its successor.
  const auto Seed = GENERATE(range(1, 11));
  CAPTURE(Seed);
  ReadyFleet Setup(static_cast<std::uint64_t>(Seed));
  FakeFleet &On = Setup.Fleet;
  REQUIRE(On.acceptPlan(2));
  On.killControl(On.leader()->consensus().log().diskId().empty()
                     ? ""
                     : On.Controls.begin()->second.Node->leader());
  CHECK(
      On.Loop.runUntilTrue([&] { return On.allProxiesHave(2); }, Millis(3000)));
}

TEST_CASE("The highest version of a plan wins, an older one changes nothing",
          "[steering]") {
  ReadyFleet Setup;
  FakeFleet &On = Setup.Fleet;
  REQUIRE(On.acceptPlan(5));
  CHECK(On.acceptPlan(4));
  CHECK(On.acceptPlan(5));
  CHECK(On.leader()->state().plan().Version == 5);
  CHECK(On.leader()->state().plan().Document == "document 5");
}

TEST_CASE("A control host that isn't sure shows no plan", "[steering]") {
  // The leader is cut off from the others while a newer plan is accepted
  // there. Asked for the plan it answers nothing or an error, never the old
  // one.
  ReadyFleet Setup;
  FakeFleet &On = Setup.Fleet;
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
  REQUIRE(On.acceptPlan(2));
  On.Net.heal();
  CHECK(Shown.empty());
}

TEST_CASE("A control host that can't pass it on promises no leaving target",
          "[steering]") {
  // A target tells a leader that is cut off from the others that it leaves.
  // An answer would be a promise that proxies stop sending to it.
  ReadyFleet Setup;
  FakeFleet &On = Setup.Fleet;
  const std::string Old = On.leader()->leader();
  for (const std::string &Other : On.Names)
    On.Net.cutBoth(Old, Other);
  TargetRecord Said = *On.leader()->directory().find("b");
  Said.Sequence = 1000;
  Said.IsLeaving = true;
  bool Acknowledged = false;
  On.Controls[Old].Node->applyHeartbeat(Said, [&](const Expected<void> &Done) {
    Acknowledged = Done.has_value();
  });
  On.Loop.runFor(Millis(3000));
  CHECK_FALSE(Acknowledged);
}

TEST_CASE("A leader after a loss of all power knows the targets at once",
          "[steering]") {
  ReadyFleet Setup;
  FakeFleet &On = Setup.Fleet;
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

TEST_CASE("What a restarted control host reads isn't told as decided now",
          "[steering]") {
  // All control hosts restart with their disks, as after a loss of power. Who
  // reads their logs would find a plan accepted "from version 0" and each
  // target seen for the first time, at a moment when nobody changed anything.
  ReadyFleet Setup;
  FakeFleet &On = Setup.Fleet;
  REQUIRE(On.acceptPlan(2));
  On.Loop.runFor(Millis(500));
  for (const std::string &Name : On.Names)
    On.killControl(Name);
  std::vector<AuditRecord> Told;
  std::size_t Recalled = 0;
  for (const std::string &Name : On.Names) {
    On.startControl(Name, false);
    SteeringNode &Node = *On.Controls[Name].Node;
    Node.signalAudited().connect(
        [&Told](const AuditRecord &Each) { Told.push_back(Each); });
    Node.signalReplayed().connect([&Recalled] { ++Recalled; });
  }
  REQUIRE(On.awaitLeader());
  On.Loop.runFor(Millis(1000));
  CHECK(Recalled == On.Names.size());
  CHECK(Told.empty());
  REQUIRE(On.acceptPlan(3));
  On.Loop.runFor(Millis(500));
  CHECK(Told.size() == On.Names.size());
}

TEST_CASE("A host that was away for long says that its disk was read",
          "[steering]") {
  // While a host was down the others decided so much that they keep only a
  // snapshot of it. The host takes that over, and none of the entries that its
  // disk held is applied one by one; who waits for word that its state is
  // there again must get it all the same.
  ReadyFleet Setup;
  FakeFleet &On = Setup.Fleet;
  std::string Away;
  for (const std::string &Name : On.Names)
    if (!On.Controls[Name].Node->leads())
      Away = Name;
  On.killControl(Away);
  RoutePlan Plan;
  Plan.Groups = {{"ledger", 16, 0}};
  Plan.Document = std::string(1U << 20U, 'x');
  const std::uint64_t Before = On.leader()->consensus().log().lastIndex();
  for (Plan.Version = 2; Plan.Version < 10; ++Plan.Version) {
    On.leader()->acceptPlan(Plan, [](const Expected<void> &) {});
    On.Loop.runFor(Millis(300));
  }
  REQUIRE(On.leader()->consensus().log().snapshotIndex() > Before);
  On.startControl(Away, false);
  std::size_t Recalled = 0;
  On.Controls[Away].Node->signalReplayed().connect([&Recalled] { ++Recalled; });
  REQUIRE(On.Loop.runUntilTrue(
      [&] { return On.Controls[Away].Node->state().plan().Version == 9; },
      Millis(5000)));
  CHECK(Recalled == 1);
}

TEST_CASE("Proxies learn of each other, and a new leader changes nothing",
          "[steering]") {
  // The leader dies, then all control hosts at once. Each time the next
  // leader knows the proxies from the group's log: a list of those that it
  // had heard so far would move all connections to targets, twice.
  ReadyFleet On(3, 6);
  On.Fleet.runWithHeartbeats(Millis(2000));
  for (const auto &[Name, Lists] : On.Fleet.ProxyLists)
    CHECK(Lists.back() == 6);
  const auto Before = On.Fleet.ProxyLists;
  for (const auto &[Name, Each] : On.Fleet.Controls)
    if (Each.Node->leads()) {
      On.Fleet.killControl(Name);
      break;
    }
  On.Fleet.runWithHeartbeats(Millis(4000));
  CHECK(On.Fleet.ProxyLists == Before);
  for (const std::string &Name : On.Fleet.Names) {
    if (On.Fleet.Controls.count(Name) != 0)
      On.Fleet.killControl(Name);
    On.Fleet.startControl(Name, false);
  }
  On.Fleet.runWithHeartbeats(Millis(4000));
  CHECK(On.Fleet.ProxyLists == Before);
}

TEST_CASE("A new leader makes its long messages once for all proxies",
          "[steering][load]") {
  // Everything starts at the same moment, and sixty proxies ask the new leader
  // for the plan, the targets and the list of proxies. Made for each of
  // hundreds on its own, these keep it from anything else for a fifth of a
  // second, in which no caller is served anywhere.
  constexpr std::size_t Proxies = 60;
  ReadyFleet Setup(3, Proxies);
  FakeFleet &On = Setup.Fleet;
  REQUIRE(On.acceptPlan(2));
  On.runWithHeartbeats(Millis(2000));
  for (const std::string &Name : On.Names)
    On.killControl(Name);
  On.killProxies();
  On.Net.Traffic.clear();
  On.Net.BuiltMessages.clear();
  for (const std::string &Name : On.Names)
    On.startControl(Name, false);
  for (std::size_t Each = 1; Each <= Proxies; ++Each)
    On.startProxy("10.0.1." + std::to_string(Each));
  REQUIRE(On.awaitLeader());
  On.Loop.runFor(Millis(300));
  for (const Message &Long : {Message(PlanUpdate{}), Message(DirectoryUpdate{}),
                              Message(ProxyListUpdate{})}) {
    CHECK(On.Net.Traffic[Long.index()].first >= Proxies);
    CHECK(On.Net.BuiltMessages[Long.index()] <= 5);
  }
}

TEST_CASE("A proxy begins only with a plan that a quorum has confirmed",
          "[steering]") {
  // A proxy starts and reaches only a control host that is cut off from the
  // others, where a newer plan was accepted meanwhile.
  ReadyFleet Setup;
  FakeFleet &On = Setup.Fleet;
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
