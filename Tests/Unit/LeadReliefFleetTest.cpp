/// \file
/// Moves of the lead off a saturated primary, with control hosts, proxies and
/// targets on a simulated network, and what happens when each of them fails.

#include "FakeFleet.h"

using namespace corianderdyke;

namespace {

/// Group "ledger": "a" leads and is saturated; "b" and "c" receive its log but
/// lag by seconds. Everything has been settled for long enough.
struct ReliefFleet {
  explicit ReliefFleet(bool LeadRelief = true, bool HasOther = false)
      : Fleet(1, 3, 5, {.LeadRelief = LeadRelief}) {
    REQUIRE(Fleet.awaitLeader());
    for (const char *Group : {"ledger", "other"}) {
      if (std::string(Group) == "other" && !HasOther)
        continue;
      RoutePolicy Route;
      Route.Name = Route.Database = Route.Group = Group;
      Route.Reads = Freshness::BoundedStaleness;
      Route.MaxStaleness = Millis(1500);
      Plan.Routes.push_back(Route);
      Plan.Groups.push_back({Group, 16, 0});
    }
    Plan.Version = 1;
    REQUIRE(Fleet.acceptPlan(Plan));
    saturate("a", {"b", "c"}, "ledger");
    if (HasOther)
      saturate("x", {"y", "z"}, "other");
    Fleet.leader()->promotionCoordinator().signalStep().connect(
        [this](const std::string &Group, const std::string &Step,
               const std::string &Reason) {
          Steps.push_back({Group, Step});
          Reasons.push_back(Reason);
        });
    run(Millis(11000), 0);
  }

  void saturate(const std::string &Primary,
                const std::vector<std::string> &Replicas,
                const std::string &Group) {
    FakeTargets::Target &Lead = Fleet.Targets.Targets[Primary];
    Lead.IsPrimary = true;
    Lead.Received = {1, 500};
    Lead.Slots = Lead.BusySlots = 4;
    Lead.Group = Group;
    for (const std::string &Id : Replicas) {
      FakeTargets::Target &Each = Fleet.Targets.Targets[Id];
      Each.Received = {1, 490};
      Each.Lag = Millis(9000);
      Each.IsFollowing = true;
      Each.Slots = 4;
      Each.Group = Group;
    }
  }

  FakeTargets::Target &target(const std::string &Id) {
    return Fleet.Targets.Targets[Id];
  }

  /// Each proxy counts \p Reads refused reads of \p Group in each 200 ms.
  void run(Millis Span, int Reads, const std::string &Group = "ledger") {
    for (Millis Left = Span; Left > Millis(0); Left = Left - Millis(200)) {
      for (auto &[Name, Each] : Fleet.Proxies)
        for (int Read = 0; Read < Reads; ++Read)
          Each.Feed->recordPressure(Group, true);
      Fleet.runWithHeartbeats(Millis(200));
    }
  }

  /// Lets the replicas catch up only 400 ms after the primary has stepped down;
  /// none of them may have been promoted by then.
  void delayCatchUp() {
    target("b").IsFollowing = target("c").IsFollowing = false;
    for (int Round = 0; Round < 10 && Fleet.Targets.StepDowns == 0; ++Round)
      run(Millis(200), 10);
    Fleet.runWithHeartbeats(Millis(400));
    REQUIRE(Fleet.Targets.StepDowns == 1);
    CHECK(Fleet.Targets.Orders.empty());
    target("b").IsFollowing = target("c").IsFollowing = true;
    Fleet.runWithHeartbeats(Millis(1000));
  }

  std::size_t steps(const std::string &Wanted) const {
    return static_cast<std::size_t>(
        std::count_if(Steps.begin(), Steps.end(),
                      [&](const auto &Each) { return Each.second == Wanted; }));
  }

  std::string primary(const std::string &Group = "ledger") {
    const auto Found = Fleet.leader()->directory().primaryOf(Group);
    return Found ? Found->Id : "";
  }

  RoutePlan Plan;
  std::vector<std::pair<std::string, std::string>> Steps;
  std::vector<std::string> Reasons;
  FakeFleet Fleet;
};

} // namespace

TEST_CASE("The lead moves to a replica that has received the whole log",
          "[relief]") {
  ReliefFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  Setup.run(Millis(1600), 10);
  CHECK(Fleet.Targets.StepDowns == 1);
  REQUIRE(Fleet.Targets.Orders.size() == 1);
  CHECK(Fleet.Targets.Orders[0].Target == "b");
  CHECK(Setup.target("b").Received == LogPosition{1, 500});
  CHECK(Setup.primary() == "b");
  CHECK(Setup.steps("planned-change") == 1);
  CHECK(Setup.Reasons[0].find("b lags 9000 ms") != std::string::npos);
  CHECK(Fleet.leader()->promotionCoordinator().reliefs() == 1);
}

TEST_CASE("The lead stays where it is without the setting", "[relief]") {
  ReliefFleet Setup(false);
  Setup.run(Millis(4000), 10);
  CHECK(Setup.Fleet.Targets.StepDowns == 0);
  CHECK(Setup.Steps.empty());
}

TEST_CASE("The lead stays where it is while few reads are refused",
          "[relief]") {
  // 3 proxies refuse one read each in 200 ms: 15 a second.
  ReliefFleet Setup;
  Setup.run(Millis(4000), 1);
  CHECK(Setup.Fleet.Targets.StepDowns == 0);
}

TEST_CASE("Refused reads are reported before the next regular request",
          "[relief]") {
  // Without this, control would hear of a burst of refusals 500 ms later.
  ReliefFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  Fleet.Net.Traffic.clear();
  Setup.run(Millis(2000), 1);
  const std::size_t Index = Message(SubscribeRequest{}).index();
  CHECK(Fleet.Net.Traffic[Index].first >= std::uint64_t(3) * 6);
  CHECK(Fleet.Net.Traffic[Index].first <= std::uint64_t(3) * 10);
}

TEST_CASE("A primary that refuses commands as busy steps down first",
          "[relief]") {
  // A planned change of a leaving primary goes on without the step-down if the
  // primary does not answer. Here the primary would go on acknowledging writes
  // that its successor lacks.
  ReliefFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  bool SteppedDownFirst = false;
  Fleet.leader()->promotionCoordinator().signalStep().connect(
      [&](const std::string &, const std::string &Step, const std::string &) {
        if (Step == "promotion-ordered")
          SteppedDownFirst = !Setup.target("a").IsPrimary;
      });
  Setup.target("a").BusyAnswers = 12;
  Setup.run(Millis(2400), 10);
  REQUIRE(Fleet.Targets.Orders.size() == 1);
  CHECK(SteppedDownFirst);
  CHECK(Setup.target("b").Received == LogPosition{1, 500});
}

TEST_CASE("A primary that refuses every command as busy leads on", "[relief]") {
  ReliefFleet Setup;
  Setup.target("a").IsBusy = true;
  Setup.run(Millis(4000), 10);
  CHECK(Setup.steps("planned-change") == 1);
  CHECK(Setup.Fleet.Targets.Orders.empty());
  CHECK(Setup.primary() == "a");
}

TEST_CASE("A lost answer to the step-down does not lose the position",
          "[relief]") {
  // The successor must still receive the old primary's whole log.
  ReliefFleet Setup;
  Setup.target("a").LosesStepDownAnswer = true;
  Setup.delayCatchUp();
  REQUIRE(Setup.Fleet.Targets.Orders.size() == 1);
  CHECK(Setup.Fleet.Targets.Orders[0].Target == "b");
  CHECK(Setup.target("b").Received == LogPosition{1, 500});
}

TEST_CASE("The old primary leads again if no replica catches up", "[relief]") {
  // The replicas lack 10 acknowledged records and no longer receive any. To
  // promote one of them would roll these records back.
  ReliefFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  Setup.target("b").IsFollowing = Setup.target("c").IsFollowing = false;
  Setup.run(Millis(1000), 10);
  CHECK(Fleet.Targets.StepDowns == 1);
  CHECK(Fleet.Targets.Orders.empty());
  Setup.run(Millis(3000), 10);
  REQUIRE(Fleet.Targets.Orders.size() == 1);
  CHECK(Fleet.Targets.Orders[0].Target == "a");
  CHECK(Setup.steps("lead-returned") == 1);
  CHECK(Setup.steps("promoted") == 1);
  CHECK(Setup.primary() == "a");
  // The next attempt would fail too, and each is a gap in writes.
  Setup.run(Millis(30000), 10);
  CHECK(Fleet.Targets.StepDowns == 1);
}

TEST_CASE("The old primary leads again if the replicas restart", "[relief]") {
  // A restarted replica does not have the log for which it was considered,
  // whatever position it reports.
  ReliefFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  Setup.target("b").IsFollowing = Setup.target("c").IsFollowing = false;
  Setup.run(Millis(1000), 10);
  REQUIRE(Fleet.Targets.StepDowns == 1);
  for (const char *Id : {"b", "c"}) {
    Setup.target(Id).BornAt = 2000;
    Setup.target(Id).Received = {1, 500};
  }
  Fleet.runWithHeartbeats(Millis(2000));
  REQUIRE(Fleet.Targets.Orders.size() == 1);
  CHECK(Fleet.Targets.Orders[0].Target == "a");
}

TEST_CASE("The old primary leads again also while heartbeats are lost",
          "[relief]") {
  // The directory still has it as the primary from before its step-down, which
  // must not count as the effect of its promotion.
  ReliefFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  Setup.target("b").IsFollowing = Setup.target("c").IsFollowing = false;
  while (Fleet.Targets.StepDowns == 0) {
    Fleet.Proxies.begin()->second.Feed->recordPressure("ledger", true);
    Fleet.Loop.runFor(Millis(10));
  }
  Fleet.Loop.runFor(Millis(1900));
  REQUIRE(Fleet.Targets.Orders.size() == 1);
  CHECK(Fleet.Targets.Orders[0].Target == "a");
  CHECK(Setup.target("a").IsPrimary);
  CHECK(Setup.steps("promoted") == 0);
  Fleet.runWithHeartbeats(Millis(200));
  CHECK(Setup.steps("promoted") == 1);
}

TEST_CASE("A group gets a leader if the old primary ends after its step-down",
          "[relief]") {
  // The lead cannot be returned to it. The records that no replica has are
  // gone, as with any primary that fails.
  ReliefFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  Setup.target("b").IsFollowing = Setup.target("c").IsFollowing = false;
  Setup.target("c").Received = {1, 495};
  Setup.run(Millis(1000), 10);
  REQUIRE(Fleet.Targets.StepDowns == 1);
  Setup.target("a").IsUp = false;
  Setup.run(Millis(5000), 0);
  CHECK(Setup.primary() == "c");
}

TEST_CASE("A successor receives the log also with synchronous replicas",
          "[relief]") {
  // After the failure of a primary, its replicas stop receiving before their
  // positions are compared. Here they would never get the rest of its log.
  ReliefFleet Setup;
  Setup.Plan.Version = 2;
  Setup.Plan.Groups[0].SyncReplicas = 1;
  REQUIRE(Setup.Fleet.acceptPlan(Setup.Plan));
  Setup.delayCatchUp();
  REQUIRE(Setup.Fleet.Targets.Orders.size() == 1);
  CHECK(Setup.Fleet.Targets.Orders[0].Target == "b");
  CHECK(Setup.target("b").Received == LogPosition{1, 500});
}

TEST_CASE("A replica that receives nothing or leaves never leads next",
          "[relief]") {
  const bool IsLeaving = GENERATE(true, false);
  CAPTURE(IsLeaving);
  ReliefFleet Setup;
  if (IsLeaving) {
    Setup.Fleet.Leaving.insert("b");
  } else {
    Setup.target("b").IsFollowing = false;
    Setup.target("b").Received = {1, 20};
  }
  Setup.run(Millis(1600), 10);
  REQUIRE(Setup.Fleet.Targets.Orders.size() == 1);
  CHECK(Setup.Fleet.Targets.Orders[0].Target == "c");
}

TEST_CASE("A restarted target defers a relief", "[relief]") {
  const std::string Id = GENERATE("a", "b");
  CAPTURE(Id);
  ReliefFleet Setup;
  Setup.target(Id).BornAt = 2000;
  Setup.run(Millis(4000), 10);
  CHECK(Setup.Fleet.Targets.StepDowns == 0);
  Setup.run(Millis(3000), 10);
  CHECK(Setup.Fleet.Targets.StepDowns == 1);
}

TEST_CASE("No acknowledged write is lost if the control leader dies between "
          "step-down and promotion",
          "[relief]") {
  // The next leader finds no target that leads.
  ReliefFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  Setup.target("b").IsFollowing = Setup.target("c").IsFollowing = false;
  Setup.run(Millis(1000), 10);
  REQUIRE(Fleet.Targets.StepDowns == 1);
  REQUIRE(Fleet.Targets.Orders.empty());
  Fleet.killControl(Fleet.leader()->leader());
  REQUIRE(Fleet.Loop.runUntilTrue([&] { return Fleet.leader() != nullptr; },
                                  Millis(5000)));
  Setup.run(Millis(5000), 0);
  REQUIRE(Fleet.Targets.Orders.size() == 1);
  CHECK(Setup.target(Fleet.Targets.Orders[0].Target).Received ==
        LogPosition{1, 500});
  CHECK_FALSE(Setup.primary().empty());
}

TEST_CASE("A new control leader does not move the lead at once", "[relief]") {
  // It doesn't know what its predecessor has just done.
  ReliefFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  Fleet.killControl(Fleet.leader()->leader());
  REQUIRE(Fleet.Loop.runUntilTrue([&] { return Fleet.leader() != nullptr; },
                                  Millis(5000)));
  Setup.run(Millis(8000), 10);
  CHECK(Fleet.Targets.StepDowns == 0);
  Setup.run(Millis(4000), 10);
  CHECK(Fleet.Targets.StepDowns == 1);
}

TEST_CASE("Two groups are relieved independently", "[relief]") {
  // The replicas of one group never catch up, which must not delay the other.
  ReliefFleet Setup(true, true);
  Setup.target("y").IsFollowing = Setup.target("z").IsFollowing = false;
  for (int Round = 0; Round < 22; ++Round) {
    Setup.run(Millis(0), 0);
    for (auto &[Name, Each] : Setup.Fleet.Proxies)
      for (int Read = 0; Read < 10; ++Read)
        for (const char *Group : {"ledger", "other"})
          Each.Feed->recordPressure(Group, true);
    Setup.Fleet.runWithHeartbeats(Millis(200));
  }
  CHECK(Setup.primary("ledger") == "b");
  CHECK(Setup.primary("other") == "x");
  CHECK(Setup.Fleet.Targets.StepDowns == 2);
}

TEST_CASE("A group is relieved at most once in 10 s", "[relief]") {
  // The new primary is saturated too, and its replicas lag: the lead must not
  // go back and forth.
  ReliefFleet Setup;
  for (const char *Id : {"a", "b", "c"}) {
    Setup.target(Id).BusySlots = 4;
    Setup.target(Id).Lag = Millis(9000);
    Setup.target(Id).IsFollowing = true;
  }
  Setup.run(Millis(9000), 10);
  CHECK(Setup.Fleet.Targets.StepDowns == 1);
  Setup.run(Millis(4000), 10);
  CHECK(Setup.Fleet.Targets.StepDowns == 2);
}

TEST_CASE("After a relief the former primary serves reads of the busiest group",
          "[relief]") {
  // Both replicas stay behind for long, one record being delayed, and the
  // primary alone gets all reads. A target serves 10 reads in 50 ms, and 18
  // arrive. A target that leads holds all that it had received; the former
  // primary has applied its whole log and follows closely.
  ReliefFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  constexpr int Arriving = 18;
  constexpr int Capacity = 10;
  std::map<std::string, int> Served;
  int Refused = 0;
  const auto Play = [&](int Rounds) {
    Served.clear();
    Refused = 0;
    for (int Round = 0; Round < Rounds; ++Round) {
      int Left = Arriving;
      for (auto &[Id, Each] : Fleet.Targets.Targets) {
        if (Each.IsPrimary)
          Each.Lag = Millis(0);
        const int Here =
            Each.Lag <= Millis(1500) ? std::min(Left, Capacity) : 0;
        Each.BusySlots = Here == Capacity ? 4 : 1;
        Served[Id] += Here;
        Left -= Here;
      }
      Refused += Left;
      for (; Left > 0; --Left)
        Fleet.Proxies.begin()->second.Feed->recordPressure("ledger", true);
      if (Round % 4 == 0)
        Fleet.sendHeartbeats();
      Fleet.Loop.runFor(Millis(50));
    }
  };
  Play(40);
  CHECK(Refused > 0);
  CHECK(Setup.primary() == "b");
  Play(100);
  CHECK(Refused == 0);
  CHECK(Served["a"] > 0);
  CHECK(Served["b"] > 0);
  CHECK(Fleet.Targets.StepDowns == 1);
}
