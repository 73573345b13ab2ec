/// \file
/// Promotions in groups with synchronous replicas: who is promoted holds every
/// acknowledged commit, and a group whose targets are back has a primary again.

#include "SyncFleet.h"

using namespace corianderdyke;

TEST_CASE("A replica that crashes while it is promoted is waited for",
          "[steering]") {
  // Guards against promoting a replica that lacks the commits of the crashed
  // one.
  SyncFleet Setup(1);
  Setup.Deaf = {"c"};
  Setup.run(Millis(1000));
  REQUIRE(Setup.Acknowledged > Setup.target("c").Received);
  Setup.crash("a");
  Setup.Fleet.Targets.OnOrder = [&Setup](const std::string &Target) {
    Setup.Fleet.Loop.at(Setup.Fleet.Loop.now() + Millis(300),
                        [&Setup, Target] { Setup.crash(Target); });
    Setup.Fleet.Targets.OnOrder = nullptr;
  };
  Setup.run(Millis(8000));
  CHECK(Setup.ordersTo("b") == 1);
  CHECK(Setup.ordersTo("c") == 0);
  CHECK(Setup.awaited() > 0);
  Setup.restart("b");
  Setup.run(Millis(4000));
  CHECK(Setup.primary() == "b");
  CHECK(Setup.Lost.empty());
  Setup.Deaf.clear();
  CHECK(Setup.commit());
  CHECK(Setup.awaited() == 0);
}

TEST_CASE("A replica whose promotion is refused is waited for", "[steering]") {
  // Guards against promoting a replica that lacks the commits of the refused
  // one, and against never ordering that one again.
  SyncFleet Setup(1);
  Setup.Deaf = {"c"};
  Setup.run(Millis(1000));
  Setup.crash("a");
  Setup.Fleet.Targets.RefusedOrders = 1;
  Setup.Fleet.Targets.OnOrder = [&Setup](const std::string &Target) {
    Setup.target(Target).IsCutFromControl = true;
    Setup.Fleet.Targets.OnOrder = nullptr;
  };
  Setup.run(Millis(5000));
  CHECK(Setup.ordersTo("c") == 0);
  Setup.target("b").IsCutFromControl = false;
  Setup.run(Millis(3000));
  CHECK(Setup.primary() == "b");
  CHECK(Setup.Lost.empty());
}

TEST_CASE("A replica that keeps refusing is ordered at growing intervals",
          "[steering]") {
  // Guards against orders in quick succession, each of which is kept in the
  // control group's log.
  SyncFleet Setup(1);
  Setup.Deaf = {"c"};
  Setup.run(Millis(1000));
  Setup.crash("a");
  Setup.Fleet.Targets.RefusedOrders = 1000;
  Setup.run(Millis(30000));
  CHECK(Setup.ordersTo("b") >= 5);
  CHECK(Setup.ordersTo("b") <= 12);
  CHECK(Setup.ordersTo("c") == 0);
  Setup.Fleet.Targets.RefusedOrders = 0;
  Setup.run(Millis(8000));
  CHECK(Setup.primary() == "b");
}

TEST_CASE("A replica that misses the order to receive again gets it later",
          "[steering]") {
  // Guards against a replica that stays stopped after a failed attempt, so that
  // the primary acknowledges nothing.
  SyncFleet Setup(2);
  Setup.run(Millis(600));
  Setup.Fleet.Targets.DroppedOrders = 1;
  Setup.Fleet.Targets.OnOrder = [&Setup](const std::string &) {
    Setup.target("b").IsCutFromControl = true;
    Setup.Fleet.Targets.OnOrder = nullptr;
  };
  Setup.crash("a");
  Setup.run(Millis(1000));
  REQUIRE_FALSE(Setup.target("b").IsReplicating);
  Setup.restart("a");
  Setup.run(Millis(3000));
  Setup.target("b").IsCutFromControl = false;
  Setup.run(Millis(2000));
  CHECK(Setup.target("b").IsReplicating);
  CHECK(Setup.commit());
}

TEST_CASE("A replica lost for good does not hold up a planned change",
          "[steering]") {
  // Guards against waiting for all targets once the primary has stepped down,
  // though every acknowledged commit is on one of the two that answer.
  SyncFleet Setup(1);
  Setup.crash("c");
  Setup.run(Millis(1000));
  Setup.Fleet.Leaving.insert("a");
  Setup.run(Millis(6000));
  CHECK(Setup.primary() == "b");
  CHECK(Setup.Lost.empty());
}

TEST_CASE("A replaced target still counts until its commits are copied",
          "[steering]") {
  // Guards against promoting a replica while the only replica with the last
  // commits has been replaced by an empty one and the primary is down.
  SyncFleet Setup(1);
  Setup.replaceHolder();
  Setup.run(Millis(5000));
  Setup.checkPrimaryReturns();
  // The commits are on enough of the present targets again.
  Setup.crash("a");
  Setup.run(Millis(4000));
  CHECK_FALSE(Setup.primary().empty());
  CHECK(Setup.Lost.empty());
}

TEST_CASE("A replaced target still counts for the next control leader",
          "[steering]") {
  // Guards against the loss above if the control leader changes meanwhile.
  SyncFleet Setup(1);
  Setup.replaceHolder();
  Setup.run(Millis(2000));
  Setup.Fleet.killControl(Setup.Fleet.leader()->leader());
  Setup.run(Millis(6000));
  Setup.checkPrimaryReturns();
  CHECK(Setup.Lost.empty());
  // Once the commits are copied, the record of the departure is removed.
  CHECK(Setup.Fleet.leader()->state().targets().count("c") == 0);
}

TEST_CASE("A target replaced as a control leader begins still counts",
          "[steering]") {
  // Guards against a leader that learns of the replacement before its first
  // check of the group, and so never counts the target that left.
  SyncFleet Setup(1);
  Setup.Deaf = {"b"};
  Setup.run(Millis(1000));
  Setup.crash("a");
  Setup.crash("c");
  Setup.replace("c");
  FakeFleet &Fleet = Setup.Fleet;
  const std::string Old = Fleet.leader()->leader();
  for (auto &[Name, Each] : Fleet.Controls)
    Each.Node->signalLeadership().connect([&Fleet](bool IsLeading) {
      if (IsLeading)
        Fleet.Loop.at(Fleet.Loop.now(), [&Fleet] { Fleet.sendHeartbeats(); });
    });
  Fleet.killControl(Old);
  Setup.run(Millis(8000));
  Setup.checkPrimaryReturns();
  CHECK(Setup.Lost.empty());
}

TEST_CASE("Without synchronous replicas in the plan a group waits no longer",
          "[steering]") {
  // Guards against a group that stays without a primary although the operator
  // has given up the commits of the targets that are lost.
  SyncFleet Setup(1);
  Setup.Deaf = {"b"};
  Setup.run(Millis(1000));
  Setup.crash("a");
  Setup.crash("c");
  Setup.run(Millis(5000));
  REQUIRE(Setup.Fleet.Targets.Orders.empty());
  REQUIRE(Setup.awaited() > 0);
  REQUIRE(Setup.Fleet.acceptPlan(2, 0));
  Setup.SyncReplicas = 0;
  Setup.run(Millis(4000));
  CHECK(Setup.primary() == "b");
  CHECK(Setup.awaited() == 0);
}

TEST_CASE("Commits acknowledged before more replicas are required count",
          "[steering]") {
  // Guards against accepting two missing answers for commits that only two
  // targets hold.
  SyncFleet Setup(1);
  Setup.Deaf = {"b"};
  Setup.run(Millis(1000));
  REQUIRE(Setup.Fleet.acceptPlan(2, 2));
  Setup.SyncReplicas = 2;
  Setup.run(Millis(1000));
  Setup.crash("a");
  Setup.crash("c");
  Setup.run(Millis(5000));
  CHECK(Setup.Fleet.Targets.Orders.empty());
  Setup.restart("c");
  Setup.run(Millis(4000));
  CHECK(Setup.primary() == "c");
  CHECK(Setup.Lost.empty());
}

TEST_CASE("Promotions keep acknowledged commits under drawn faults",
          "[steering]") {
  // Guards against any order of crashes, returns, refused and lost orders,
  // replaced targets and changes of the control leader that loses a commit or
  // leaves no primary.
  const std::uint64_t Seed =
      GENERATE(range(std::uint64_t(1), std::uint64_t(61)));
  const std::uint32_t SyncReplicas = Seed % 3;
  const std::size_t Count = 3 + Seed / 3 % 3;
  CAPTURE(Seed, SyncReplicas, Count);
  SyncFleet Setup(SyncReplicas, Seed, Count);
  FakeTargets &Targets = Setup.Fleet.Targets;
  const auto Draw = [&Setup](std::uint64_t Limit) {
    return Setup.Random() % Limit;
  };
  Targets.OnOrder = [&](const std::string &Target) {
    if (Draw(2) == 0)
      Setup.Fleet.Loop.at(Setup.Fleet.Loop.now() +
                              Millis(static_cast<std::int64_t>(Draw(1200))),
                          [&Setup, Target] { Setup.crash(Target); });
  };
  for (int Step = 0; Step < 30; ++Step) {
    const std::vector<std::string> Ids = Setup.present();
    const std::string &Id = Ids[Draw(Ids.size())];
    switch (Draw(11)) {
    case 0:
    case 1:
      if (!Setup.primary().empty())
        Setup.crash(Setup.primary());
      break;
    case 2:
    case 3:
      if (!Setup.target(Id).IsUp)
        Setup.restart(Id);
      break;
    case 4:
    case 5:
      if (!Setup.Deaf.erase(Id))
        Setup.Deaf.insert(Id);
      break;
    case 6:
      Setup.target(Id).IsCutFromControl = !Setup.target(Id).IsCutFromControl;
      break;
    case 7:
      (Draw(2) == 0 ? Targets.RefusedOrders : Targets.DroppedOrders) = Draw(3);
      break;
    case 8:
    case 9:
      Setup.replace(Id);
      break;
    default:
      if (SteeringNode *Leader = Setup.Fleet.leader()) {
        const std::string Name = Leader->leader();
        Setup.Fleet.killControl(Name);
        Setup.Fleet.startControl(Name, false);
      }
    }
    Setup.run(Millis(100) * static_cast<std::int64_t>(1 + Draw(30)), 60);
  }
  Targets.OnOrder = nullptr;
  Targets.RefusedOrders = Targets.DroppedOrders = 0;
  Setup.Deaf.clear();
  Setup.run(Millis(1200));
  for (const std::string &Id : Setup.present()) {
    Setup.target(Id).IsCutFromControl = false;
    if (!Setup.target(Id).IsUp)
      Setup.restart(Id);
  }
  Setup.run(Millis(15000));
  CHECK(Setup.commit());
  if (SyncReplicas > 0) {
    CAPTURE(Setup.Lost);
    CHECK(Setup.Lost.empty());
  }
}
