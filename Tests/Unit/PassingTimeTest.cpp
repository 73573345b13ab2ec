/// \file
/// Decisions of a process that loses the processor while it makes them.

#include "FakeFleet.h"
#include "FakeGroup.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

using Kind = StatementKind;

/// Longer than what was seen of a replica's position is believed.
constexpr int LongestAge = 160;

/// Sends a read \p Age after the replica "c" refused one for its lag, while the
/// other replica is at work, and lets time pass at each reading of the clock.
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
  // One at each replica; "c" refuses its own.
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

TEST_CASE("Targets are ranked by one moment though time passes meanwhile",
          "[pipeline][time]") {
  // Guards against an order that changes while it's sorted: the sort then reads
  // before the first target.
  for (int Age = 1; Age < LongestAge; ++Age)
    CHECK(answersToReadAfterLag(Millis(Age)) == 2);
}

TEST_CASE("Control hosts and proxies lose the processor and agree all the same",
          "[steering][time]") {
  // Guards against decisions of control, and of proxies on what control says,
  // that read the clock more than once.
  const auto Seed = GENERATE(range(1, 9));
  CAPTURE(Seed);
  ReadyFleet Setup(static_cast<std::uint64_t>(Seed));
  FakeFleet &On = Setup.Fleet;
  const auto AtReading = randomPauses(static_cast<std::uint64_t>(Seed), 400);
  for (auto &[Name, Each] : On.Controls)
    Each.Host->OnClockRead = AtReading;
  for (auto &[Name, Each] : On.Proxies)
    Each.Host->OnClockRead = AtReading;
  On.runWithHeartbeats(Millis(1000));
  REQUIRE(On.awaitLeader());
  REQUIRE(On.acceptPlan(2));
  On.Targets.Targets["a"].IsUp = false;
  for (int Round = 0; Round < 10; ++Round) {
    On.reportFailure("a", On.Proxies.size());
    On.runWithHeartbeats(Millis(400));
  }
  CHECK_FALSE(On.Targets.Targets["a"].IsPrimary);
  On.killControl(On.leader()->leader());
  CHECK(On.Loop.runUntilTrue([&] { return On.leader() != nullptr; },
                             Millis(10000)));
  REQUIRE(On.acceptPlan(3));
  On.runWithHeartbeats(Millis(2000));
  CHECK(On.allProxiesHave(3));
}
