/// \file
/// Decisions of a process that is descheduled while it makes them.

#include "FakeFleet.h"
#include "FakeGroup.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

using Kind = StatementKind;

/// Longer than the time for which an observed replica position is valid.
constexpr int LongestAge = 160;

/// Sends a read \p Age after the replica "c" refused one because it lagged,
/// while the other replica is busy, and lets time pass at each clock read.
/// Returns the number of answers that the session received.
std::size_t answersToReadAfterLag(Millis Age) {
  FakeLoop Loop;
  FakeGroup Group(Loop, {"a", "b", "c"});
  FakePipeline Proxy(Loop, Group);
  const auto Writer = Proxy.connect("primary");
  const auto First = Proxy.connect("bounded");
  const auto Second = Proxy.connect("bounded");
  Group.Servers["c"].IsReplicating = false;
  Proxy.ask(Writer, Kind::Write, "w1", "STORE x 1");
  Proxy.ask(Writer, Kind::Write, "w2", "STORE x 2");
  // Each replica gets one read, and "c" refuses its read.
  Proxy.send(First, Kind::Read, "r1", "FETCH x");
  Proxy.send(Second, Kind::Read, "r2", "FETCH x");
  Loop.runFor(Age);
  Group.ExecutionTime = Millis(200);
  Proxy.send(First, Kind::Read, "r3", "FETCH x");
  Proxy.Host.OnClockRead = [] { return Millis(1); };
  Proxy.send(Second, Kind::Read, "r4", "FETCH x");
  Proxy.Host.OnClockRead = nullptr;
  Loop.runFor(Millis(1000));
  const std::size_t Out = Second.Caller->Answers.size();
  Loop.clear();
  return Out;
}

} // namespace

TEST_CASE("Targets are ranked by a single clock reading", "[pipeline][time]") {
  // Guards against an ordering that changes during the sort, which then reads
  // before the first target.
  for (int Age = 1; Age < LongestAge; ++Age)
    CHECK(answersToReadAfterLag(Millis(Age)) == 2);
}

TEST_CASE("Control hosts and proxies agree although they are descheduled",
          "[steering][time]") {
  // Guards against decisions that read the clock more than once, in control
  // hosts and in proxies that apply updates from control.
  const auto Seed = GENERATE(range(1, 9));
  CAPTURE(Seed);
  ReadyFleet Setup(static_cast<std::uint64_t>(Seed));
  FakeFleet &Fleet = Setup.Fleet;
  const auto OnRead = randomPauses(static_cast<std::uint64_t>(Seed), 400);
  for (auto &[Name, Each] : Fleet.Controls)
    Each.Host->OnClockRead = OnRead;
  for (auto &[Name, Each] : Fleet.Proxies)
    Each.Host->OnClockRead = OnRead;
  Fleet.runWithHeartbeats(Millis(1000));
  REQUIRE(Fleet.awaitLeader());
  REQUIRE(Fleet.acceptPlan(2));
  Fleet.Targets.Targets["a"].IsUp = false;
  for (int Round = 0; Round < 10; ++Round) {
    Fleet.reportFailure("a", Fleet.Proxies.size());
    Fleet.runWithHeartbeats(Millis(400));
  }
  CHECK_FALSE(Fleet.Targets.Targets["a"].IsPrimary);
  Fleet.killControl(Fleet.leader()->leader());
  CHECK(Fleet.Loop.runUntilTrue([&] { return Fleet.leader() != nullptr; },
                                Millis(10000)));
  REQUIRE(Fleet.acceptPlan(3));
  Fleet.runWithHeartbeats(Millis(2000));
  CHECK(Fleet.allProxiesHave(3));
}
