/// \file
/// Which changes of primary control orders where targets enforce their
/// leadership, and which it leaves.

#include "FakeFleet.h"

using namespace corianderdyke;

TEST_CASE("A dead primary is replaced by the furthest replica", "[steering]") {
  // Proxies find the primary unusable and control gets no answer from it.
  // Nobody orders anything; the replica with the most of the log leads.
  ReadyFleet Setup;
  FakeFleet &On = Setup.Fleet;
  On.Targets.Targets["a"].IsUp = false;
  On.Targets.Targets["a"].IsPrimary = false;
  On.Targets.Targets["c"].Received = {1, 12};
  On.reportFailure("a", 3);
  On.runWithHeartbeats(Millis(1600));
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
  ReadyFleet Setup(3, 8);
  FakeFleet &On = Setup.Fleet;
  On.Targets.Targets["a"].IsBusy = IsBusy;
  for (int Each = 0; Each < 10; ++Each) {
    On.reportFailure("a", IsBusy ? 8 : 1);
    On.runWithHeartbeats(Millis(400));
  }
  for (const AuditRecord &Each : On.leader()->state().audit())
    UNSCOPED_INFO(Each.Action << ": " << Each.To << " " << Each.Reason);
  CHECK(On.Targets.Orders.empty());
}

TEST_CASE("A new leader takes no former silence for a failure", "[steering]") {
  // The leader dies. Its successor heard nobody yet and can't ask the primary,
  // which is well. It must not be replaced.
  ReadyFleet Setup;
  FakeFleet &On = Setup.Fleet;
  On.runWithHeartbeats(Millis(6000));
  On.killControl(On.leader()->leader());
  On.Targets.Targets["a"].IsCutFromControl = true;
  REQUIRE(On.Loop.runUntilTrue([&] { return On.leader() != nullptr; },
                               Millis(5000)));
  On.Loop.runFor(Millis(1000));
  On.runWithHeartbeats(Millis(2000));
  CHECK(On.Targets.Orders.empty());
}

TEST_CASE("A primary that refuses connections is replaced at once",
          "[steering]") {
  // The primary's process ends. Two proxies have noticed, the other six were
  // served a moment ago. Control's own connection is refused, and it doesn't
  // wait for the six to notice.
  ReadyFleet Setup(5, 8);
  FakeFleet &On = Setup.Fleet;
  for (auto &[Name, Each] : On.Proxies)
    Each.Feed->recordReachable("a");
  On.runWithHeartbeats(Millis(600));
  On.Targets.Targets["a"].RefusesConnections = true;
  On.Targets.Targets["a"].IsPrimary = false;
  On.reportFailure("a", 2);
  On.Loop.runFor(Millis(300));
  CHECK(On.Targets.Orders.size() == 1);
}

TEST_CASE("A leaving primary steps down before its successor leads",
          "[steering]") {
  ReadyFleet Setup;
  FakeFleet &On = Setup.Fleet;
  On.Targets.Targets["a"].Received = {1, 20};
  On.Leaving.insert("a");
  On.runWithHeartbeats(Millis(400));
  CHECK(On.Targets.StepDowns == 1);
  CHECK(On.Targets.Orders.empty());
  On.Targets.Targets["b"].Received = {1, 20};
  On.runWithHeartbeats(Millis(1000));
  REQUIRE(On.Targets.Orders.size() == 1);
  CHECK(On.Targets.Orders[0].Target == "b");
}

TEST_CASE("A late order loses against what came after it", "[steering]") {
  // The first order gets no answer and is carried out seconds later, after
  // the next leader's order. Its token is the lower one.
  ReadyFleet Setup;
  FakeFleet &On = Setup.Fleet;
  On.Targets.Targets["a"].IsUp = false;
  On.Targets.Targets["a"].IsPrimary = false;
  On.Targets.NextPromotionDelay = Millis(12000);
  On.reportFailure("a", 3);
  On.runWithHeartbeats(Millis(800));
  REQUIRE(On.Targets.Orders.size() == 1);
  On.killControl(On.leader()->leader());
  On.Loop.runFor(Millis(2000));
  On.runWithHeartbeats(Millis(6000));
  REQUIRE(On.Targets.Orders.size() >= 2);
  const std::string Now = On.leader()->directory().primaryOf("ledger")->Id;
  On.runWithHeartbeats(Millis(12000));
  CHECK(On.leader()->directory().primaryOf("ledger")->Id == Now);
  for (std::size_t Each = 1; Each < On.Targets.Orders.size(); ++Each)
    CHECK(On.Targets.Orders[Each].Token > On.Targets.Orders[Each - 1].Token);
}

TEST_CASE("A primary that starts again without its log doesn't lead on",
          "[steering]") {
  // The primary's process ends and starts again under its id, before anybody
  // missed it. It says that it leads, and holds nothing of what its replicas
  // hold. Nobody reports it: it answers. The replicas' log must win.
  ReadyFleet Setup;
  FakeFleet &On = Setup.Fleet;
  On.Targets.Targets["c"].Received = {1, 12};
  On.Targets.Targets["a"].Received = {1, 0};
  On.Targets.Targets["a"].BornAt = 2000;
  On.runWithHeartbeats(Millis(1600));
  REQUIRE(On.Targets.Orders.size() == 1);
  CHECK(On.Targets.Orders[0].Target == "c");
}

TEST_CASE("A primary that starts again with its whole log leads on",
          "[steering]") {
  ReadyFleet Setup;
  FakeFleet &On = Setup.Fleet;
  On.Targets.Targets["a"].BornAt = 2000;
  On.runWithHeartbeats(Millis(3000));
  CHECK(On.Targets.Orders.empty());
}

TEST_CASE("What proxies met of a former life says nothing of the next",
          "[steering]") {
  // Two proxies lost their connections to a primary that ended. It's back
  // with its log before control looks, and must not be replaced for that.
  ReadyFleet Setup;
  FakeFleet &On = Setup.Fleet;
  On.reportFailure("a", 3);
  On.Targets.Targets["a"].BornAt = 2000;
  On.Targets.Targets["a"].IsCutFromControl = true;
  On.sendHeartbeats();
  On.Loop.runFor(Millis(600));
  CHECK(On.Targets.Orders.empty());
}

TEST_CASE("A commit that a replica vouched for is in the winner's log",
          "[steering]") {
  // Commits are acknowledged once one replica has them. The primary dies, and
  // the replica with the last commit doesn't answer. The other must not lead
  // without it; once it answers it leads.
  ReadyFleet Setup;
  FakeFleet &On = Setup.Fleet;
  REQUIRE(On.acceptPlan(2, 1));
  On.Targets.Targets["c"].Received = {1, 12};
  On.Targets.Targets["c"].IsCutFromControl = true;
  On.Targets.Targets["a"].IsUp = false;
  On.Targets.Targets["a"].IsPrimary = false;
  On.reportFailure("a", 3);
  On.runWithHeartbeats(Millis(3000));
  CHECK(On.Targets.Orders.empty());
  // Whoever was told to stop receiving while nothing came of it goes on.
  CHECK(On.Targets.Targets["b"].IsReplicating);
  On.Targets.Targets["c"].IsCutFromControl = false;
  On.runWithHeartbeats(Millis(3000));
  REQUIRE(On.Targets.Orders.size() == 1);
  CHECK(On.Targets.Orders[0].Target == "c");
  On.runWithHeartbeats(Millis(1000));
  CHECK(On.Targets.Targets["b"].IsReplicating);
}

TEST_CASE("Replicas stop receiving before their positions decide",
          "[steering]") {
  // The primary is cut off from control and most proxies, and goes on with
  // the rest. What it acknowledges after the positions were read would be
  // missing from the winner's log.
  ReadyFleet Setup;
  FakeFleet &On = Setup.Fleet;
  REQUIRE(On.acceptPlan(2, 1));
  On.Targets.Targets["a"].IsCutFromControl = true;
  bool StoppedFirst = false;
  On.leader()->promotionCoordinator().signalStep().connect(
      [&](const std::string &, const std::string &What, const std::string &) {
        if (What == "promotion-ordered")
          StoppedFirst = !On.Targets.Targets["b"].IsReplicating &&
                         !On.Targets.Targets["c"].IsReplicating;
      });
  On.reportFailure("a", 3);
  On.runWithHeartbeats(Millis(1600));
  REQUIRE(On.Targets.Orders.size() == 1);
  CHECK(StoppedFirst);
}

TEST_CASE("Replicas that a dead leader stopped receive again", "[steering]") {
  // A control leader dies after it told the replicas to stop receiving. They
  // would fall behind for good, with a primary that is well.
  ReadyFleet Setup;
  FakeFleet &On = Setup.Fleet;
  REQUIRE(On.acceptPlan(2, 1));
  On.Targets.Targets["b"].IsReplicating = false;
  On.Targets.Targets["c"].IsReplicating = false;
  On.killControl(On.leader()->leader());
  On.Loop.runFor(Millis(2000));
  On.runWithHeartbeats(Millis(2000));
  CHECK(On.Targets.Targets["b"].IsReplicating);
  CHECK(On.Targets.Targets["c"].IsReplicating);
  CHECK(On.Targets.Orders.empty());
}
