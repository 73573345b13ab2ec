/// \file
/// Distribution of plans, targets and the list of proxies by control hosts on
/// an in-memory network, for targets that enforce their leadership themselves.

#include "FakeFleet.h"

using namespace corianderdyke;

TEST_CASE("An accepted plan reaches every proxy after a change of leader",
          "[steering]") {
  // The leader is killed immediately after it acknowledged a plan. The proxies
  // receive the plan from its successor.
  const auto Seed = GENERATE(range(1, 11));
  CAPTURE(Seed);
  ReadyFleet Setup(static_cast<std::uint64_t>(Seed));
  FakeFleet &Fleet = Setup.Fleet;
  REQUIRE(Fleet.acceptPlan(2));
  Fleet.killControl(Fleet.leader()->consensus().log().diskId().empty()
                        ? ""
                        : Fleet.Controls.begin()->second.Node->leader());
  CHECK(Fleet.Loop.runUntilTrue([&] { return Fleet.allProxiesHave(2); },
                                Millis(3000)));
}

TEST_CASE("The highest version of a plan is applied, older ones are ignored",
          "[steering]") {
  ReadyFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  REQUIRE(Fleet.acceptPlan(5));
  CHECK(Fleet.acceptPlan(4));
  CHECK(Fleet.acceptPlan(5));
  CHECK(Fleet.leader()->state().plan().Version == 5);
  CHECK(Fleet.leader()->state().plan().Document == "document 5");
}

TEST_CASE("A control host without a quorum returns no plan", "[steering]") {
  // The leader is partitioned from the others while they accept a newer plan.
  // A read of the plan gets no answer or an error, never the old plan.
  ReadyFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  const std::string Old = Fleet.leader()->leader();
  for (const std::string &Other : Fleet.Names)
    Fleet.Net.cutBoth(Old, Other);
  std::vector<std::uint64_t> ReadVersions;
  SteeringNode &Stale = *Fleet.Controls[Old].Node;
  for (int Each = 0; Each < 50; ++Each) {
    Stale.readPlan([&ReadVersions](const Expected<const RoutePlan *> &Read) {
      if (Read)
        ReadVersions.push_back((*Read)->Version);
    });
    Fleet.Loop.runFor(Millis(50));
  }
  REQUIRE(Fleet.leader() != nullptr);
  REQUIRE(Fleet.leader() != &Stale);
  REQUIRE(Fleet.acceptPlan(2));
  Fleet.Net.heal();
  CHECK(ReadVersions.empty());
}

TEST_CASE("A partitioned control host does not acknowledge a leaving target",
          "[steering]") {
  // A target reports that it is leaving to a leader that is partitioned from
  // the others. An acknowledgement would guarantee that proxies stop sending to
  // it.
  ReadyFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  const std::string Old = Fleet.leader()->leader();
  for (const std::string &Other : Fleet.Names)
    Fleet.Net.cutBoth(Old, Other);
  TargetRecord Report = *Fleet.leader()->directory().find("b");
  Report.Sequence = 1000;
  Report.IsLeaving = true;
  bool Acknowledged = false;
  Fleet.Controls[Old].Node->applyHeartbeat(
      Report,
      [&](const Expected<void> &Done) { Acknowledged = Done.has_value(); });
  Fleet.Loop.runFor(Millis(3000));
  CHECK_FALSE(Acknowledged);
}

TEST_CASE("A partitioned control host acknowledges no repeated leave either",
          "[steering]") {
  // Guards against an acknowledgement that the target gets because it reports
  // again.
  ReadyFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  const std::string Old = Fleet.leader()->leader();
  for (const std::string &Other : Fleet.Names)
    Fleet.Net.cutBoth(Old, Other);
  TargetRecord Report = *Fleet.leader()->directory().find("b");
  Report.IsLeaving = true;
  std::size_t Acknowledged = 0;
  for (Report.Sequence = 1000; Report.Sequence < 1020; ++Report.Sequence) {
    Fleet.Controls[Old].Node->applyHeartbeat(
        Report, [&](const Expected<void> &Done) {
          Acknowledged += Done.has_value() ? 1 : 0;
        });
    Fleet.Loop.runFor(Millis(50));
  }
  CHECK(Acknowledged == 0);
}

TEST_CASE("A leader knows the targets at once after a power loss of all hosts",
          "[steering]") {
  ReadyFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  for (const std::string &Name : Fleet.Names) {
    Fleet.killControl(Name);
    Fleet.Disks[Name]->crash();
  }
  Fleet.Loop.runFor(Millis(1000));
  for (const std::string &Name : Fleet.Names)
    Fleet.startControl(Name, false);
  REQUIRE(Fleet.Loop.runUntilTrue([&] { return Fleet.leader() != nullptr; },
                                  Millis(5000)));
  CHECK(Fleet.leader()->directory().ofGroup("ledger").size() == 3);
  CHECK(Fleet.leader()->directory().primaryOf("ledger")->Id == "a");
}

TEST_CASE("Replayed entries are not audited as new decisions", "[steering]") {
  // All control hosts restart with their disks, as after a power loss. If the
  // replay were audited, the logs would report a plan accepted "from version 0"
  // and the first record of each target, although nothing changed.
  ReadyFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  REQUIRE(Fleet.acceptPlan(2));
  Fleet.Loop.runFor(Millis(500));
  for (const std::string &Name : Fleet.Names)
    Fleet.killControl(Name);
  std::vector<AuditRecord> Published;
  std::size_t Replayed = 0;
  for (const std::string &Name : Fleet.Names) {
    Fleet.startControl(Name, false);
    SteeringNode &Node = *Fleet.Controls[Name].Node;
    Node.signalAudited().connect(
        [&Published](const AuditRecord &Each) { Published.push_back(Each); });
    Node.signalReplayed().connect([&Replayed] { ++Replayed; });
  }
  REQUIRE(Fleet.awaitLeader());
  Fleet.Loop.runFor(Millis(1000));
  CHECK(Replayed == Fleet.Names.size());
  CHECK(Published.empty());
  REQUIRE(Fleet.acceptPlan(3));
  Fleet.Loop.runFor(Millis(500));
  CHECK(Published.size() == Fleet.Names.size());
}

TEST_CASE("A host that restarts behind a snapshot signals the end of replay",
          "[steering]") {
  // While a host was down, the others committed so many entries that they keep
  // only a snapshot. The host installs it and applies none of the entries on
  // its disk one by one. The signal that its state is restored must still be
  // sent.
  ReadyFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  std::string Stopped;
  for (const std::string &Name : Fleet.Names)
    if (!Fleet.Controls[Name].Node->leads())
      Stopped = Name;
  Fleet.killControl(Stopped);
  RoutePlan Plan;
  Plan.Groups = {{"ledger", 16, 0}};
  Plan.Document = std::string(1U << 20U, 'x');
  const std::uint64_t Before = Fleet.leader()->consensus().log().lastIndex();
  for (Plan.Version = 2; Plan.Version < 10; ++Plan.Version) {
    Fleet.leader()->acceptPlan(Plan, [](const Expected<void> &) {});
    Fleet.Loop.runFor(Millis(300));
  }
  REQUIRE(Fleet.leader()->consensus().log().snapshotIndex() > Before);
  Fleet.startControl(Stopped, false);
  std::size_t Replayed = 0;
  Fleet.Controls[Stopped].Node->signalReplayed().connect(
      [&Replayed] { ++Replayed; });
  REQUIRE(Fleet.Loop.runUntilTrue(
      [&] { return Fleet.Controls[Stopped].Node->state().plan().Version == 9; },
      Millis(5000)));
  CHECK(Replayed == 1);
}

TEST_CASE("Proxies receive the proxy list, and a new leader does not change it",
          "[steering]") {
  // The leader crashes, then all control hosts at once. Each time, the next
  // leader reads the proxies from the log of the group. A list of only the
  // proxies that have reported so far would move all target connections twice.
  ReadyFleet Setup(3, 6);
  Setup.Fleet.runWithHeartbeats(Millis(2000));
  for (const auto &[Name, Lists] : Setup.Fleet.ProxyLists)
    CHECK(Lists.back() == 6);
  const auto Before = Setup.Fleet.ProxyLists;
  for (const auto &[Name, Each] : Setup.Fleet.Controls)
    if (Each.Node->leads()) {
      Setup.Fleet.killControl(Name);
      break;
    }
  Setup.Fleet.runWithHeartbeats(Millis(4000));
  CHECK(Setup.Fleet.ProxyLists == Before);
  for (const std::string &Name : Setup.Fleet.Names) {
    if (Setup.Fleet.Controls.count(Name) != 0)
      Setup.Fleet.killControl(Name);
    Setup.Fleet.startControl(Name, false);
  }
  Setup.Fleet.runWithHeartbeats(Millis(4000));
  CHECK(Setup.Fleet.ProxyLists == Before);
}

TEST_CASE("A new leader encodes its long messages once for all proxies",
          "[steering][load]") {
  // All processes start at the same time, and sixty proxies request the plan,
  // the targets and the list of proxies from the new leader. Building these for
  // each of hundreds of proxies blocks the leader for 200 ms, during which no
  // caller is served.
  constexpr std::size_t Proxies = 60;
  ReadyFleet Setup(3, Proxies);
  FakeFleet &Fleet = Setup.Fleet;
  REQUIRE(Fleet.acceptPlan(2));
  Fleet.runWithHeartbeats(Millis(2000));
  for (const std::string &Name : Fleet.Names)
    Fleet.killControl(Name);
  Fleet.killProxies();
  Fleet.Net.Traffic.clear();
  Fleet.Net.BuiltMessages.clear();
  for (const std::string &Name : Fleet.Names)
    Fleet.startControl(Name, false);
  for (std::size_t Each = 1; Each <= Proxies; ++Each)
    Fleet.startProxy("10.0.1." + std::to_string(Each));
  REQUIRE(Fleet.awaitLeader());
  Fleet.Loop.runFor(Millis(300));
  for (const Message &Long : {Message(PlanUpdate{}), Message(DirectoryUpdate{}),
                              Message(ProxyListUpdate{})}) {
    CHECK(Fleet.Net.Traffic[Long.index()].first >= Proxies);
    CHECK(Fleet.Net.BuiltMessages[Long.index()] <= 5);
  }
}

TEST_CASE("A proxy starts only with a plan that a quorum has confirmed",
          "[steering]") {
  // A proxy starts and reaches only a control host that is partitioned from the
  // others, which may have accepted a newer plan.
  ReadyFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  const std::string Old = Fleet.leader()->leader();
  for (const std::string &Other : Fleet.Names)
    Fleet.Net.cutBoth(Old, Other);
  for (const std::string &Other : Fleet.Names)
    if (Other != Old)
      Fleet.Net.cutBoth("10.0.1.9", Other);
  Fleet.startProxy("10.0.1.9");
  Fleet.Loop.runFor(Millis(3000));
  CHECK_FALSE(Fleet.Proxies["10.0.1.9"].Feed->isCurrent());
  Fleet.Net.heal();
  CHECK(Fleet.Loop.runUntilTrue(
      [&] { return Fleet.Proxies["10.0.1.9"].Feed->isCurrent(); },
      Millis(3000)));
}
