/// \file
/// When the lead of a group may move off a saturated primary: the conditions,
/// each by itself.

#include "Steering/LeadRelief.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

using Action = ReliefDecision::Action;
using Kind = ReliefAnswer::Kind;

const ReliefRules Rules;
constexpr Millis Start(60000);
constexpr Millis Timeout(300);

/// A saturated primary "a" with 4 slots, and two replicas that have its log but
/// lag by seconds.
ReliefQuery saturated() {
  ReliefQuery Out;
  Out.Primary.Id = "a";
  Out.Primary.Slots = 4;
  Out.MaxStaleness = Millis(1500);
  Out.Pressure = {"ledger", 45, 3};
  Out.StartedAt = Start;
  Out.Answers["a"] = {Kind::Answered, {true, 1, {1, 500}, Millis(0), 4}};
  Out.Answers["b"] = {Kind::Answered, {false, 1, {1, 495}, Millis(9000), 0}};
  Out.Answers["c"] = {Kind::Answered, {false, 1, {1, 490}, Millis(12000), 0}};
  return Out;
}

Action decide(const ReliefQuery &Query, Millis After = Millis(10)) {
  return decideRelief(Rules, Query, Timeout, Start + After).What;
}

std::vector<TargetRecord> targets(std::uint64_t Incarnation = 1000) {
  std::vector<TargetRecord> Out(2);
  Out[0].Id = "a";
  Out[1].Id = "b";
  Out[1].Incarnation = Incarnation;
  return Out;
}

/// The history of a group whose targets have been the same for \p Span.
ReliefHistory settled(Millis Span) {
  ReliefHistory Out;
  Out.observe(targets(), "a", Start - Span);
  return Out;
}

} // namespace

TEST_CASE("The lead moves off a saturated primary whose replicas all lag",
          "[relief]") {
  const ReliefDecision Decision =
      decideRelief(Rules, saturated(), Timeout, Start + Millis(10));
  CHECK(Decision.What == Action::Move);
  // The reason lets an operator see why the lead moved.
  for (const char *Part : {"45 reads refused", "b lags 9000", "c lags 12000"})
    CHECK(Decision.Reason.find(Part) != std::string::npos);
}

TEST_CASE("A primary with a free slot keeps the lead", "[relief]") {
  // A move would cost a gap in writes and gain no capacity.
  ReliefQuery Query = saturated();
  Query.Answers["a"].Status.Busy = 3;
  CHECK(decide(Query) == Action::Nothing);
  // Without the number of slots, the busy ones prove nothing.
  Query.Answers["a"].Status.Busy = 4;
  Query.Primary.Slots = 0;
  CHECK(decide(Query) == Action::Nothing);
}

TEST_CASE("A primary keeps the lead while a replica can serve reads",
          "[relief]") {
  // Proxies report refusals although one replica does not lag.
  ReliefQuery Query = saturated();
  Query.Answers["c"].Status.Lag = Millis(1500);
  CHECK(decide(Query) == Action::Nothing);
  // A replica that is too busy to answer serves reads.
  Query = saturated();
  Query.Answers["c"] = {Kind::Busy};
  CHECK(decide(Query, Timeout) == Action::Nothing);
}

TEST_CASE("A primary alone in its group keeps the lead", "[relief]") {
  ReliefQuery Query = saturated();
  Query.Answers.erase("b");
  Query.Answers.erase("c");
  CHECK(decide(Query) == Action::Nothing);
  Query.Answers["a"] = {Kind::Busy};
  CHECK(decide(Query, Timeout) == Action::Nothing);
}

TEST_CASE("A replica that receives nothing is no reason to move the lead",
          "[relief]") {
  // It could never receive the whole log, and the group would be without a
  // leader while control waits for it.
  ReliefQuery Query = saturated();
  Query.Answers["b"].Status.Received = {1, 480};
  Query.Answers["c"].Status.Received = {1, 100};
  CHECK(decide(Query) == Action::Move);
  Query.Answers["b"].Status.Received = {1, 479};
  CHECK(decide(Query) == Action::Nothing);
  // A log of another term is not comparable by its length.
  Query.Answers["b"].Status.Received = {0, 500};
  CHECK(decide(Query) == Action::Nothing);
}

TEST_CASE("Without the primary's position two replicas must agree",
          "[relief]") {
  // A busy primary refuses its status. One replica alone may be the one that
  // receives nothing.
  ReliefQuery Query = saturated();
  Query.Answers["a"] = {Kind::Busy};
  CHECK(decide(Query, Timeout) == Action::Move);
  Query.Answers["c"].Status.Received = {1, 474};
  CHECK(decide(Query, Timeout) == Action::Nothing);
  Query.Answers["c"] = {Kind::Missing};
  CHECK(decide(Query, Timeout) == Action::Nothing);
}

TEST_CASE("The lead stays where it is if statuses are missing", "[relief]") {
  ReliefQuery Query = saturated();
  Query.Answers["a"] = {Kind::Missing};
  CHECK(decide(Query) == Action::Nothing);
  Query = saturated();
  Query.Answers["b"] = {Kind::Missing};
  // The other replica still answers.
  CHECK(decide(Query) == Action::Move);
  Query.Answers["c"] = {Kind::Missing};
  CHECK(decide(Query) == Action::Nothing);
}

TEST_CASE("Busy targets are asked again until the timeout", "[relief]") {
  ReliefQuery Query = saturated();
  Query.Answers["b"] = {Kind::Pending};
  CHECK(decide(Query) == Action::Wait);
  Query.Answers["b"] = {Kind::Busy};
  CHECK(decide(Query) == Action::Query);
  Query = saturated();
  Query.Answers["a"] = {Kind::Busy};
  CHECK(decide(Query) == Action::Query);
}

TEST_CASE("The lead stays where it is if the directory is out of date",
          "[relief]") {
  ReliefQuery Query = saturated();
  Query.Answers["a"].Status.IsPrimary = false;
  CHECK(decide(Query) == Action::Nothing);
  Query = saturated();
  Query.Answers["b"].Status.IsPrimary = true;
  CHECK(decide(Query) == Action::Nothing);
}

TEST_CASE("A group is considered from 30 refused or late reads a second",
          "[relief]") {
  // Guards against a saturated primary that is not relieved because its reads
  // wait beyond their objective instead of being refused.
  const ReliefHistory History = settled(Millis(5000));
  CHECK(shouldConsiderRelief(Rules, History, {"ledger", 30, 0}, Start));
  CHECK(shouldConsiderRelief(Rules, History, {"ledger", 0, 30}, Start));
  CHECK(shouldConsiderRelief(Rules, History, {"ledger", 10, 20}, Start));
  CHECK_FALSE(shouldConsiderRelief(Rules, History, {"ledger", 29, 0}, Start));
  CHECK_FALSE(shouldConsiderRelief(Rules, History, {"ledger", 10, 19}, Start));
}

TEST_CASE("A group is considered once its targets have been settled for 5 s",
          "[relief]") {
  const GroupPressure High{"ledger", 100, 0};
  CHECK(shouldConsiderRelief(Rules, settled(Millis(5000)), High, Start));
  CHECK_FALSE(shouldConsiderRelief(Rules, settled(Millis(4999)), High, Start));
  // A replica has restarted.
  ReliefHistory History = settled(Millis(60000));
  History.observe(targets(2000), "a", Start - Millis(3000));
  CHECK_FALSE(shouldConsiderRelief(Rules, History, High, Start));
  // Another target leads, or none does.
  for (const char *Primary : {"b", ""}) {
    History = settled(Millis(60000));
    History.observe(targets(), Primary, Start - Millis(3000));
    CHECK_FALSE(shouldConsiderRelief(Rules, History, High, Start));
  }
}

TEST_CASE("A new control leader first waits as long as between two reliefs",
          "[relief]") {
  // Its predecessor may have moved the lead just before.
  ReliefHistory History;
  History.start(Rules, Start);
  History.observe(targets(), "a", Start);
  const GroupPressure High{"ledger", 100, 0};
  CHECK_FALSE(shouldConsiderRelief(Rules, History, High, Start + Millis(9999)));
  CHECK(shouldConsiderRelief(Rules, History, High, Start + Millis(10000)));
}

TEST_CASE("Refused reads count for one second", "[relief]") {
  PressureReports Reports;
  Reports.record({"p", 1}, 1, {{"ledger", 20, 1}}, Start);
  Reports.record({"q", 1}, 1, {{"ledger", 15, 2}, {"other", 4, 0}},
                 Start + Millis(600));
  const auto Refused = [&](Millis After) {
    return Reports.recent("ledger", Rules.Window, Start + After).RefusedReads;
  };
  CHECK(Refused(Millis(999)) == 35);
  CHECK(Refused(Millis(1000)) == 15);
  CHECK(Refused(Millis(1600)) == 0);
}

TEST_CASE("Repeated reports and those of earlier incarnations do not count",
          "[relief]") {
  // Datagrams may be repeated or arrive after those of the restarted proxy.
  PressureReports Reports;
  const std::vector<GroupPressure> Counts{{"ledger", 20, 0}};
  Reports.record({"p", 7}, 5, Counts, Start);
  Reports.record({"p", 7}, 5, Counts, Start);
  Reports.record({"p", 7}, 4, Counts, Start);
  CHECK(Reports.recent("ledger", Rules.Window, Start).RefusedReads == 20);
  // Incarnations are random numbers: the later one may be smaller.
  Reports.record({"p", 3}, 1, Counts, Start);
  Reports.record({"p", 7}, 6, Counts, Start);
  CHECK(Reports.recent("ledger", Rules.Window, Start).RefusedReads == 40);
}

TEST_CASE("The bound on lag is the smallest accepted age of the group's routes",
          "[relief]") {
  RoutePlan Plan;
  Plan.Routes.resize(4);
  Plan.Routes[0].Reads = Freshness::Primary;
  Plan.Routes[1].Reads = Freshness::BoundedStaleness;
  Plan.Routes[1].MaxStaleness = Millis(2500);
  Plan.Routes[2].Reads = Freshness::ReadYourWrites;
  Plan.Routes[2].MaxStaleness = Millis(1500);
  Plan.Routes[3].Reads = Freshness::BoundedStaleness;
  Plan.Routes[3].MaxStaleness = Millis(100);
  for (RoutePolicy &Each : Plan.Routes)
    Each.Group = "ledger";
  Plan.Routes[3].Group = "other";
  CHECK(smallestStaleness(Plan, "ledger") == Millis(1500));
  // Replicas serve no reads of the group at all.
  Plan.Routes.resize(1);
  CHECK_FALSE(smallestStaleness(Plan, "ledger"));
}

TEST_CASE("Only a replica with the whole log is chosen", "[relief]") {
  std::map<std::string, TargetStatus> Replicas;
  Replicas["b"] = {false, 1, {1, 499}, Millis(0), 0};
  CHECK(chooseReliefSuccessor(Replicas, {1, 500}).empty());
  Replicas["c"] = {false, 1, {1, 500}, Millis(9000), 0};
  CHECK(chooseReliefSuccessor(Replicas, {1, 500}) == "c");
  Replicas["d"] = {false, 1, {1, 500}, Millis(3000), 0};
  CHECK(chooseReliefSuccessor(Replicas, {1, 500}) == "d");
}
