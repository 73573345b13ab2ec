/// \file
/// When control promotes a target and when it leaves the primary unchanged, for
/// targets that enforce their leadership themselves.

#include "FakeFleet.h"

using namespace corianderdyke;

TEST_CASE("A failed primary is replaced by the replica with the longest log",
          "[steering]") {
  // Proxies report the primary as unusable, and it does not answer control.
  // Without an operator's order, the replica with the longest log is promoted.
  ReadyFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  Fleet.Targets.Targets["a"].IsUp = false;
  Fleet.Targets.Targets["a"].IsPrimary = false;
  Fleet.Targets.Targets["c"].Received = {1, 12};
  Fleet.reportFailure("a", 3);
  Fleet.runWithHeartbeats(Millis(1600));
  REQUIRE(Fleet.Targets.Orders.size() == 1);
  CHECK(Fleet.Targets.Orders[0].Target == "c");
  CHECK(Fleet.leader()->directory().primaryOf("ledger")->Id == "c");
}

TEST_CASE(
    "A primary that is busy or unreachable from few proxies is not replaced",
    "[steering]") {
  // Either one proxy of eight cannot reach the primary, or the primary is too
  // busy to answer control. A failover would roll back writes needlessly.
  const bool IsBusy = GENERATE(true, false);
  CAPTURE(IsBusy);
  ReadyFleet Setup(3, 8);
  FakeFleet &Fleet = Setup.Fleet;
  Fleet.Targets.Targets["a"].IsBusy = IsBusy;
  for (int Each = 0; Each < 10; ++Each) {
    Fleet.reportFailure("a", IsBusy ? 8 : 1);
    Fleet.runWithHeartbeats(Millis(400));
  }
  for (const AuditRecord &Each : Fleet.leader()->state().audit())
    UNSCOPED_INFO(Each.Action << ": " << Each.To << " " << Each.Reason);
  CHECK(Fleet.Targets.Orders.empty());
}

TEST_CASE("A new leader does not treat missing reports as a failure",
          "[steering]") {
  // The leader crashes. Its successor has received no reports yet and cannot
  // reach the primary, which is healthy and must not be replaced.
  ReadyFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  Fleet.runWithHeartbeats(Millis(6000));
  Fleet.killControl(Fleet.leader()->leader());
  Fleet.Targets.Targets["a"].IsCutFromControl = true;
  REQUIRE(Fleet.Loop.runUntilTrue([&] { return Fleet.leader() != nullptr; },
                                  Millis(5000)));
  Fleet.Loop.runFor(Millis(1000));
  Fleet.runWithHeartbeats(Millis(2000));
  CHECK(Fleet.Targets.Orders.empty());
}

TEST_CASE("A primary that refuses connections is replaced at once",
          "[steering]") {
  // The process of the primary ends. Two proxies have reported the failure, the
  // other six got answers shortly before. The connection from control is
  // refused, so it does not wait for reports of the other six.
  ReadyFleet Setup(5, 8);
  FakeFleet &Fleet = Setup.Fleet;
  for (auto &[Name, Each] : Fleet.Proxies)
    Each.Feed->recordReachable("a");
  Fleet.runWithHeartbeats(Millis(600));
  Fleet.Targets.Targets["a"].RefusesConnections = true;
  Fleet.Targets.Targets["a"].IsPrimary = false;
  Fleet.reportFailure("a", 2);
  Fleet.Loop.runFor(Millis(300));
  CHECK(Fleet.Targets.Orders.size() == 1);
}

TEST_CASE("A leaving primary steps down before its successor is promoted",
          "[steering]") {
  ReadyFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  Fleet.Targets.Targets["a"].Received = {1, 20};
  Fleet.Leaving.insert("a");
  Fleet.runWithHeartbeats(Millis(400));
  CHECK(Fleet.Targets.StepDowns == 1);
  CHECK(Fleet.Targets.Orders.empty());
  Fleet.Targets.Targets["b"].Received = {1, 20};
  Fleet.runWithHeartbeats(Millis(1000));
  REQUIRE(Fleet.Targets.Orders.size() == 1);
  CHECK(Fleet.Targets.Orders[0].Target == "b");
}

TEST_CASE("A delayed promotion does not override a later one", "[steering]") {
  // The first order gets no answer and is executed seconds later, after the
  // order of the next leader. Its fencing token is the lower one.
  ReadyFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  Fleet.Targets.Targets["a"].IsUp = false;
  Fleet.Targets.Targets["a"].IsPrimary = false;
  Fleet.Targets.NextPromotionDelay = Millis(12000);
  Fleet.reportFailure("a", 3);
  Fleet.runWithHeartbeats(Millis(800));
  REQUIRE(Fleet.Targets.Orders.size() == 1);
  Fleet.killControl(Fleet.leader()->leader());
  Fleet.Loop.runFor(Millis(2000));
  Fleet.runWithHeartbeats(Millis(6000));
  REQUIRE(Fleet.Targets.Orders.size() >= 2);
  const std::string Primary =
      Fleet.leader()->directory().primaryOf("ledger")->Id;
  Fleet.runWithHeartbeats(Millis(12000));
  CHECK(Fleet.leader()->directory().primaryOf("ledger")->Id == Primary);
  for (std::size_t Each = 1; Each < Fleet.Targets.Orders.size(); ++Each)
    CHECK(Fleet.Targets.Orders[Each].Token >
          Fleet.Targets.Orders[Each - 1].Token);
}

TEST_CASE("A primary that restarts without its log is replaced", "[steering]") {
  // The primary restarts under the same id before a failure is detected. It
  // claims to be the primary, but has lost the log that its replicas have. No
  // proxy reports it, because it answers. A replica must be promoted.
  ReadyFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  Fleet.Targets.Targets["c"].Received = {1, 12};
  Fleet.Targets.Targets["a"].Received = {1, 0};
  Fleet.Targets.Targets["a"].BornAt = 2000;
  Fleet.runWithHeartbeats(Millis(1600));
  REQUIRE(Fleet.Targets.Orders.size() == 1);
  CHECK(Fleet.Targets.Orders[0].Target == "c");
}

TEST_CASE("A primary that restarts with its whole log remains the primary",
          "[steering]") {
  ReadyFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  Fleet.Targets.Targets["a"].BornAt = 2000;
  Fleet.runWithHeartbeats(Millis(3000));
  CHECK(Fleet.Targets.Orders.empty());
}

TEST_CASE("Reports on an earlier incarnation do not apply to the next one",
          "[steering]") {
  // Proxies lost their connections to a primary whose process ended. It has
  // restarted with its log before control checks it and must not be replaced.
  ReadyFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  Fleet.reportFailure("a", 3);
  Fleet.Targets.Targets["a"].BornAt = 2000;
  Fleet.Targets.Targets["a"].IsCutFromControl = true;
  Fleet.sendHeartbeats();
  Fleet.Loop.runFor(Millis(600));
  CHECK(Fleet.Targets.Orders.empty());
}

TEST_CASE("A replica that failed in an abandoned change may lead the next one",
          "[steering]") {
  // Guards against passing over the longest log because of an earlier failure.
  ReadyFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  Fleet.Targets.PromotionTime = Millis(1000);
  Fleet.Targets.Targets["b"].Received = {1, 12};
  const auto Report = [&Fleet](bool IsReachable, int Rounds) {
    for (int Each = 0; Each < Rounds; ++Each) {
      for (auto &[Name, Proxy] : Fleet.Proxies)
        if (IsReachable)
          Proxy.Feed->recordReachable("a");
        else
          Proxy.Feed->recordUnreachable("a");
      Fleet.runWithHeartbeats(Millis(400));
    }
  };
  Fleet.Targets.OnOrder = [&Fleet](const std::string &Target) {
    Fleet.Loop.at(Fleet.Loop.now() + Millis(300), [&Fleet, Target] {
      Fleet.Targets.Targets[Target].IsUp = false;
    });
    Fleet.Targets.OnOrder = nullptr;
  };
  Fleet.Targets.Targets["a"].IsUp = false;
  Report(false, 4);
  Fleet.Targets.Targets["a"].IsUp = Fleet.Targets.Targets["b"].IsUp = true;
  Report(true, 12);
  REQUIRE(Fleet.Targets.Orders.size() == 1);
  REQUIRE(Fleet.leader()->directory().primaryOf("ledger")->Id == "a");
  Fleet.Targets.Targets["a"].IsUp = false;
  Report(false, 4);
  REQUIRE(Fleet.Targets.Orders.size() == 2);
  CHECK(Fleet.Targets.Orders[1].Target == "b");
}

TEST_CASE("A commit that a replica acknowledged is in the promoted log",
          "[steering]") {
  // Commits are acknowledged once one replica has them. The primary fails, and
  // the replica with the last commit does not answer. The other replica must
  // not be promoted without it. Once the replica answers, it is promoted.
  ReadyFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  REQUIRE(Fleet.acceptPlan(2, 1));
  Fleet.Targets.Targets["c"].Received = {1, 12};
  Fleet.Targets.Targets["c"].IsCutFromControl = true;
  Fleet.Targets.Targets["a"].IsUp = false;
  Fleet.Targets.Targets["a"].IsPrimary = false;
  Fleet.reportFailure("a", 3);
  Fleet.runWithHeartbeats(Millis(3000));
  CHECK(Fleet.Targets.Orders.empty());
  // A replica that was stopped for the failed attempt replicates again.
  CHECK(Fleet.Targets.Targets["b"].IsReplicating);
  Fleet.Targets.Targets["c"].IsCutFromControl = false;
  Fleet.runWithHeartbeats(Millis(3000));
  REQUIRE(Fleet.Targets.Orders.size() == 1);
  CHECK(Fleet.Targets.Orders[0].Target == "c");
  Fleet.runWithHeartbeats(Millis(1000));
  CHECK(Fleet.Targets.Targets["b"].IsReplicating);
}

TEST_CASE("Replicas stop replicating before their positions are compared",
          "[steering]") {
  // The primary is partitioned from control and most proxies and still serves
  // the others. Commits that it acknowledges after the positions were read
  // would be missing from the log of the new primary.
  ReadyFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  REQUIRE(Fleet.acceptPlan(2, 1));
  Fleet.Targets.Targets["a"].IsCutFromControl = true;
  bool StoppedFirst = false;
  Fleet.leader()->promotionCoordinator().signalStep().connect(
      [&](const std::string &, const std::string &Step, const std::string &) {
        if (Step == "promotion-ordered")
          StoppedFirst = !Fleet.Targets.Targets["b"].IsReplicating &&
                         !Fleet.Targets.Targets["c"].IsReplicating;
      });
  Fleet.reportFailure("a", 3);
  Fleet.runWithHeartbeats(Millis(1600));
  REQUIRE(Fleet.Targets.Orders.size() == 1);
  CHECK(StoppedFirst);
}

TEST_CASE("Replicas that a crashed leader stopped replicate again",
          "[steering]") {
  // A control leader crashes after it ordered the replicas to stop replicating.
  // They would lag behind a healthy primary permanently.
  ReadyFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  REQUIRE(Fleet.acceptPlan(2, 1));
  Fleet.Targets.Targets["b"].IsReplicating = false;
  Fleet.Targets.Targets["c"].IsReplicating = false;
  Fleet.killControl(Fleet.leader()->leader());
  Fleet.Loop.runFor(Millis(2000));
  Fleet.runWithHeartbeats(Millis(2000));
  CHECK(Fleet.Targets.Targets["b"].IsReplicating);
  CHECK(Fleet.Targets.Targets["c"].IsReplicating);
  CHECK(Fleet.Targets.Orders.empty());
}
