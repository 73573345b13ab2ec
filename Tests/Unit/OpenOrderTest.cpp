/// \file
/// Orders to promote that get no answer and are executed late, for targets that
/// enforce their leadership themselves.

#include "Common/Codec.h"
#include "SyncFleet.h"

using namespace corianderdyke;

namespace {

/// The primary "a" is cut off from control and most proxies while control
/// orders the promotion of "b", without an answer. Then "a" works again.
void leaveOrderOpen(SyncFleet &Setup) {
  // The longest log, so that control names it.
  Setup.Deaf = {"c"};
  Setup.run(Millis(400));
  Setup.Fleet.Targets.LateOrders = 1;
  Setup.target("a").IsCutFromControl = true;
  for (int Each = 0; Each < 10 && Setup.Fleet.Targets.Orders.empty(); ++Each) {
    Setup.Fleet.reportFailure("a", 3);
    Setup.Fleet.runWithHeartbeats(Millis(200));
  }
  REQUIRE(Setup.Fleet.Targets.Orders.size() == 1);
  REQUIRE(Setup.Fleet.Targets.Orders[0].Target == "b");
  Setup.target("a").IsCutFromControl = false;
  Setup.Deaf.clear();
  Setup.run(Millis(1200));
}

std::size_t openOrders(SyncFleet &Setup) {
  return Setup.Fleet.leader()->promotionCoordinator().openOrders().at("ledger");
}

} // namespace

TEST_CASE("An order executed late does not displace a primary that works again",
          "[steering]") {
  // Guards against the loss of commits that the primary acknowledged after the
  // order, and that the named replica has not received.
  const auto SyncReplicas = GENERATE(0U, 1U);
  CAPTURE(SyncReplicas);
  SyncFleet Setup(SyncReplicas);
  leaveOrderOpen(Setup);
  Setup.run(Millis(1000));
  CHECK(openOrders(Setup) == 0);
  Setup.Deaf = {"b"};
  Setup.run(Millis(8000));
  CHECK(Setup.primary() == "a");
  CHECK(Setup.Lost.empty());
  // One confirmation suffices.
  CHECK(Setup.Fleet.Targets.Orders.size() == 2);
}

TEST_CASE("An order executed late is void after a restart of all control hosts",
          "[steering]") {
  // Guards against a new leader that does not know the orders of earlier ones.
  SyncFleet Setup(1);
  Setup.Fleet.Targets.DroppedOrders = 0;
  Setup.Deaf = {"c"};
  Setup.run(Millis(400));
  Setup.Fleet.Targets.LateOrders = 1;
  Setup.target("a").IsCutFromControl = true;
  for (int Each = 0; Each < 10 && Setup.Fleet.Targets.Orders.empty(); ++Each) {
    Setup.Fleet.reportFailure("a", 3);
    Setup.Fleet.runWithHeartbeats(Millis(200));
  }
  REQUIRE(Setup.Fleet.Targets.Orders.size() == 1);
  for (const std::string &Name : Setup.Fleet.Names)
    Setup.Fleet.killControl(Name);
  for (const std::string &Name : Setup.Fleet.Names)
    Setup.Fleet.startControl(Name, false);
  Setup.target("a").IsCutFromControl = false;
  Setup.Deaf.clear();
  REQUIRE(Setup.Fleet.Loop.runUntilTrue(
      [&] { return Setup.Fleet.leader() != nullptr; }, Millis(3000)));
  Setup.run(Millis(1500));
  Setup.Deaf = {"b"};
  Setup.run(Millis(8000));
  CHECK(Setup.primary() == "a");
  CHECK(Setup.Lost.empty());
}

TEST_CASE("A confirmation is repeated until the provider answers it",
          "[steering]") {
  // Guards against an open order that stays open because the order that ends it
  // got no answer, was executed late itself or was refused for its rate.
  SyncFleet Setup(1);
  const bool AreDeferred = GENERATE(false, true);
  CAPTURE(AreDeferred);
  leaveOrderOpen(Setup);
  // The first confirmation has been answered; begin again with a lost one.
  SyncFleet Other(1, 2);
  FakeTargets &Targets = Other.Fleet.Targets;
  Targets.OnOrder = [&Targets, AreDeferred](const std::string &Target) {
    if (Target != "a")
      return;
    (AreDeferred ? Targets.DeferredOrders : Targets.LateOrders) = 2;
    Targets.OnOrder = nullptr;
  };
  leaveOrderOpen(Other);
  Other.run(Millis(6000));
  CHECK(openOrders(Other) == 0);
  CHECK(Targets.Orders.back().Target == "a");
  Other.run(Millis(8000));
  CHECK(Other.primary() == "a");
  CHECK(Other.Lost.empty());
  CHECK(Targets.Orders.size() == 4);
}

TEST_CASE("While an order is open, its target has every acknowledged commit",
          "[steering]") {
  // Guards against commits that only another replica has when the order is
  // executed before the provider can be reached again.
  SyncFleet Setup(1);
  Setup.Fleet.Targets.OnOrder = [&Setup](const std::string &Target) {
    if (Target == "a")
      Setup.Fleet.Targets.DroppedOrders = 1;
  };
  leaveOrderOpen(Setup);
  Setup.run(Millis(3000), 50);
  CHECK(openOrders(Setup) == 1);
  CHECK(Setup.target("b").IsReplicating);
  CHECK(Setup.commit());
  Setup.run(Millis(4000), 50);
  CHECK(Setup.primary() == "b");
  CHECK(Setup.Lost.empty());
  Setup.Fleet.Targets.OnOrder = nullptr;
  Setup.run(Millis(3000));
  CHECK(Setup.target("c").IsReplicating);
  CHECK(Setup.commit());
}

TEST_CASE("Replicas receive again if the provider stays unreachable",
          "[steering]") {
  // Guards against writes that wait for a crashed replica for as long as
  // nothing ends the order that named it.
  SyncFleet Setup(1);
  Setup.Fleet.Targets.OnOrder = [&Setup](const std::string &) {
    Setup.Fleet.Targets.DroppedOrders = 1;
  };
  leaveOrderOpen(Setup);
  Setup.crash("b");
  Setup.run(Millis(22000));
  CHECK(openOrders(Setup) == 1);
  CHECK(Setup.target("c").IsReplicating);
  CHECK(Setup.commit());
}

TEST_CASE("Both replicas receive once the open order is void", "[steering]") {
  // Guards against a replica that stays stopped after the end of an order.
  SyncFleet Setup(1);
  leaveOrderOpen(Setup);
  Setup.run(Millis(2000));
  CHECK(openOrders(Setup) == 0);
  CHECK(Setup.target("b").IsReplicating);
  CHECK(Setup.target("c").IsReplicating);
}

TEST_CASE("A primary that fails while an order is open is replaced as usual",
          "[steering]") {
  // Guards against a promotion that waits for the end of an earlier order.
  SyncFleet Setup(1);
  Setup.Fleet.Targets.OnOrder = [&Setup](const std::string &Target) {
    if (Target == "a")
      Setup.Fleet.Targets.DroppedOrders = 1;
  };
  leaveOrderOpen(Setup);
  REQUIRE(openOrders(Setup) == 1);
  Setup.crash("a");
  Setup.run(Millis(2500));
  CHECK(Setup.primary() == "b");
  CHECK(openOrders(Setup) == 0);
  Setup.run(Millis(8000));
  CHECK(Setup.primary() == "b");
  CHECK(Setup.Lost.empty());
}

TEST_CASE("An order whose answer is lost but which is executed needs no other",
          "[steering]") {
  // Guards against further calls after a promotion that took effect.
  SyncFleet Setup(1);
  Setup.Fleet.Targets.LateOrders = 1;
  Setup.Fleet.Targets.LateBy = Millis(2);
  Setup.Fleet.Targets.PromotionTime = Millis(500);
  Setup.crash("a");
  Setup.run(Millis(5000));
  CHECK(Setup.primary() != "a");
  CHECK(Setup.Fleet.Targets.Orders.size() == 1);
  CHECK(openOrders(Setup) == 0);
}

TEST_CASE("Orders of two groups are open independently", "[steering]") {
  // Guards against an order of one group that ends that of another.
  OpenOrders Orders;
  Orders.add("ledger", "b", 7);
  Orders.add("stock", "y", 8);
  Orders.endUpTo("stock", 8);
  CHECK(Orders.rivalsOf("ledger", "a") == std::set<std::string>{"b"});
  CHECK(Orders.rivalsOf("stock", "x").empty());
}

TEST_CASE("A rejected order leaves earlier ones open", "[steering]") {
  // Guards against taking the rejection of one order for the end of another.
  OpenOrders Orders;
  Orders.add("ledger", "b", 7);
  Orders.add("ledger", "c", 8);
  Orders.add("ledger", "b", 9);
  Orders.endOne("ledger", 8);
  Orders.endOne("ledger", 9);
  CHECK(Orders.rivalsOf("ledger", "a") == std::set<std::string>{"b"});
  CHECK_FALSE(Orders.isOnlyOrder("ledger", "b", 9));
  Orders.endUpTo("ledger", 8);
  CHECK(Orders.rivalsOf("ledger", "a") == std::set<std::string>{"b"});
  Orders.endUpTo("ledger", 9);
  CHECK(Orders.empty());
}

TEST_CASE("A snapshot without open orders is restored", "[steering]") {
  // Guards against an upgrade that makes the snapshots of control unreadable.
  RoutePlan Plan;
  Plan.Version = 4;
  const std::string Earlier =
      encode(Plan) + encode(std::map<std::string, TargetRecord>()).substr(1) +
      encode(std::map<std::string, ProxyRecord>()).substr(1) +
      encode(SeatAssignments()).substr(1) +
      encode(std::vector<AuditRecord>()).substr(1);
  const auto Restored = ReplicatedState::restore(Earlier);
  REQUIRE(Restored);
  CHECK(Restored->plan() == Plan);
  CHECK(Restored->openOrders().empty());
  ReplicatedState Current;
  Current.apply(5, {Millis(0), OrderPromotion{"ledger", "b", "x", "why"}});
  const auto Again = ReplicatedState::restore(encode(Current));
  REQUIRE(Again);
  CHECK(*Again == Current);
  CHECK_FALSE(ReplicatedState::restore("x"));
}
