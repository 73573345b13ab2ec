/// \file
/// Heartbeats of other programs: a group that no plan names speaks neither for
/// the id nor for the address of a target of a named group.

#include "FakeFleet.h"

using namespace corianderdyke;

namespace {

TargetRecord record(const std::string &Id, const std::string &Group,
                    const std::string &Host, std::uint64_t Incarnation,
                    std::uint64_t Sequence = 1) {
  TargetRecord Out;
  Out.Id = Id;
  Out.Group = Group;
  Out.Address = {Host, 5000};
  Out.FailureDomain = "here";
  Out.Incarnation = Incarnation;
  Out.Sequence = Sequence;
  return Out;
}

/// Sends a heartbeat to the leader; true if it was acknowledged.
bool send(FakeFleet &Fleet, const TargetRecord &Reported) {
  bool IsDone = false;
  Fleet.leader()->applyHeartbeat(Reported, [&](const Expected<void> &Result) {
    IsDone = Result.has_value();
  });
  return IsDone;
}

std::size_t usable(const FakeFleet &Fleet, const std::string &Proxy) {
  return Fleet.Proxies.at(Proxy).Feed->directory().ofGroup("ledger").size();
}

bool haveAllTargets(FakeFleet &Fleet) {
  for (const auto &[Name, Each] : Fleet.Proxies)
    if (usable(Fleet, Name) != 3)
      return false;
  return Fleet.leader()->directory().ofGroup("ledger").size() == 3;
}

std::uint64_t refusals(FakeFleet &Fleet, const std::string &Conflict) {
  const auto &All = Fleet.leader()->refusedHeartbeats();
  const auto Found = All.find(Conflict);
  return Found == All.end() ? 0 : Found->second;
}

/// Far ahead of the incarnations of the targets.
constexpr std::uint64_t LaterIncarnation = 9'000'000'000'000;

} // namespace

TEST_CASE("A heartbeat of an unnamed group leaves the target at its address",
          "[steering]") {
  // Guards against healthy targets that no caller reaches, because another
  // program reported a target of its own at their addresses.
  const auto Incarnation = GENERATE(std::uint64_t(0), LaterIncarnation);
  CAPTURE(Incarnation);
  ReadyFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  for (const char *Id : {"a", "b", "c"})
    CHECK_FALSE(send(
        Fleet, record(std::string("x-") + Id, "reports", Id, Incarnation)));
  Fleet.runWithHeartbeats(Millis(1000));
  CHECK(haveAllTargets(Fleet));
  CHECK(refusals(Fleet, "address") == 3);
}

TEST_CASE("A heartbeat of an unnamed group leaves the target with its id",
          "[steering]") {
  // Guards against a primary that is not replaced when it fails, because
  // control took the record of another program for it.
  const auto Incarnation = GENERATE(std::uint64_t(5000), LaterIncarnation);
  CAPTURE(Incarnation);
  ReadyFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  for (const char *Id : {"a", "b", "c"})
    CHECK_FALSE(send(Fleet, record(Id, "reports", "10.9.9.9", Incarnation)));
  Fleet.runWithHeartbeats(Millis(1000));
  CHECK(haveAllTargets(Fleet));
  CHECK(refusals(Fleet, "id") == 3);
  Fleet.Targets.Targets["a"].IsUp = false;
  Fleet.Targets.Targets["a"].IsPrimary = false;
  Fleet.reportFailure("a", 3);
  Fleet.runWithHeartbeats(Millis(1600));
  CHECK(Fleet.Targets.Orders.size() == 1);
}

TEST_CASE("Heartbeats before the first plan claim nothing for good",
          "[steering]") {
  // Guards against targets that are lost because another program used their ids
  // and addresses before a plan named their group.
  const auto Incarnation = GENERATE(std::uint64_t(0), LaterIncarnation);
  const bool HasSameId = GENERATE(false, true);
  CAPTURE(Incarnation, HasSameId);
  FakeFleet Fleet(1);
  REQUIRE(Fleet.awaitLeader());
  Fleet.runWithHeartbeats(Millis(1000));
  for (const char *Id : {"a", "b", "c"})
    send(Fleet, record(HasSameId ? Id : std::string("x-") + Id, "reports",
                       HasSameId ? "10.9.9.9" : Id, Incarnation, 1000));
  Fleet.runWithHeartbeats(Millis(1000));
  REQUIRE(Fleet.acceptPlan(1));
  Fleet.Sequence = 2000;
  Fleet.runWithHeartbeats(Millis(2000));
  CHECK(haveAllTargets(Fleet));
  CHECK(Fleet.leader()->directory().primaryOf("ledger")->Id == "a");
}

TEST_CASE("Targets remain after all control hosts restart beside strays",
          "[steering]") {
  // Guards against strays that a leader reads from its disk.
  ReadyFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  CHECK(send(Fleet, record("x-1", "reports", "10.9.9.9", 0)));
  Fleet.runWithHeartbeats(Millis(1000));
  for (const std::string &Name : Fleet.Names)
    Fleet.killControl(Name);
  for (const std::string &Name : Fleet.Names)
    Fleet.startControl(Name, false);
  REQUIRE(Fleet.Loop.runUntilTrue([&] { return Fleet.leader() != nullptr; },
                                  Millis(5000)));
  for (const char *Id : {"a", "b", "c"}) {
    CHECK_FALSE(send(Fleet, record(std::string("x-") + Id, "reports", Id, 0)));
    CHECK_FALSE(send(Fleet, record(Id, "reports", Id, LaterIncarnation)));
  }
  Fleet.runWithHeartbeats(Millis(1000));
  CHECK(haveAllTargets(Fleet));
}

TEST_CASE("A group that is dropped from the plan and returns has its targets",
          "[steering]") {
  // Guards against targets that stay refused after a change of the plan.
  ReadyFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  RoutePlan Plan;
  Plan.Version = 2;
  Plan.Groups = {{"stock", 16, 0}};
  REQUIRE(Fleet.acceptPlan(Plan));
  Fleet.runWithHeartbeats(Millis(1000));
  send(Fleet, record("x-a", "reports", "a", LaterIncarnation));
  Fleet.runWithHeartbeats(Millis(1000));
  REQUIRE(Fleet.acceptPlan(3));
  Fleet.runWithHeartbeats(Millis(1000));
  CHECK(haveAllTargets(Fleet));
  CHECK(Fleet.leader()->directory().primaryOf("ledger")->Id == "a");
}

TEST_CASE("A named group takes the address of another one", "[steering]") {
  // Guards against servers that are refused because two named groups exchange
  // their addresses.
  ReadyFleet Setup;
  FakeFleet &Fleet = Setup.Fleet;
  RoutePlan Plan;
  Plan.Version = 2;
  Plan.Groups = {{"ledger", 16, 0}, {"stock", 16, 0}};
  REQUIRE(Fleet.acceptPlan(Plan));
  Fleet.Targets.Targets["c"].IsUp = false;
  CHECK(send(Fleet, record("s", "stock", "c", 0)));
  CHECK(Fleet.leader()->directory().ofGroup("ledger").size() == 2);
  CHECK(Fleet.leader()->directory().ofGroup("stock").size() == 1);
}

TEST_CASE("A recorded target keeps its address beside an outdated record",
          "[directory]") {
  // Guards against a leader that ignores a target for a record of an earlier
  // leadership, of a target whose clock was ahead.
  TargetDirectory Directory;
  Directory.declareGroups({"ledger"});
  Directory.merge({record("old", "ledger", "10.0.0.1", 2000)}, Millis(0));
  Directory.merge({record("new", "ledger", "10.0.0.1", 1000)}, Millis(0));
  Directory.applyHeartbeat(record("new", "ledger", "10.0.0.1", 1000, 5),
                           Millis(10));
  CHECK(Directory.lastUpdate("new") == Millis(10));
}

TEST_CASE("Targets of unnamed groups are limited and forgotten",
          "[directory]") {
  // Guards against a program that reports ever new ids until memory is used up.
  TargetDirectory Directory;
  Directory.declareGroups({"ledger"});
  Directory.applyHeartbeat(record("a", "ledger", "10.0.0.1", 1), Millis(0));
  for (std::size_t Each = 0; Each < TargetDirectory::MaxUndeclared; ++Each)
    Directory.applyHeartbeat(
        record("x-" + std::to_string(Each), "reports", "10.1.0.1", 1),
        Millis(0));
  CHECK(Directory.conflictOf(record("x", "reports", "10.1.0.1", 1)) ==
        HeartbeatConflict::Limit);
  CHECK(Directory.conflictOf(record("b", "ledger", "10.0.0.2", 1)) ==
        HeartbeatConflict::None);
  Directory.purgeGone(TargetDirectory::GoneRetention + Millis(1));
  Directory.purgeGone(TargetDirectory::GoneRetention * 2 + Millis(2));
  CHECK(Directory.all().size() == 1);
  CHECK(Directory.find("a") != nullptr);
}
