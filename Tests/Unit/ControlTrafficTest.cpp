/// \file
/// What control costs the network as proxies and targets become more.

#include "FakeFleet.h"

using namespace corianderdyke;

namespace {

/// Bytes of all messages between the processes so far.
std::uint64_t bytesSent(const FakeFleet &On) {
  std::uint64_t Out = 0;
  for (const auto &[Kind, Seen] : On.Net.Traffic)
    Out += Seen.second;
  return Out;
}

struct ChangeTraffic {
  std::uint64_t ByTarget = 0; ///< One target says that it leaves.
  std::uint64_t ByProxy = 0;  ///< One proxy comes.
};

/// Bytes that a second with one change costs more than one without.
ChangeTraffic changeTraffic(std::size_t Proxies, std::size_t Targets) {
  FakeFleet On(7, Proxies);
  for (std::size_t Each = 0; Each < Targets; ++Each)
    On.Targets.Targets["t" + std::to_string(Each)].BornAt = 2000 + Each;
  REQUIRE(On.awaitLeader());
  REQUIRE(On.acceptPlan(1));
  On.runWithHeartbeats(Millis(5000));
  REQUIRE(On.allProxiesHave(1));
  const auto Second = [&On] {
    const std::uint64_t Before = bytesSent(On);
    On.runWithHeartbeats(Millis(1000));
    return bytesSent(On) - Before;
  };
  const std::uint64_t Quiet = Second();
  On.Leaving.insert("t0");
  const std::uint64_t AfterTarget = Second();
  On.startProxy("10.0.2.1");
  const std::uint64_t AfterProxy = Second();
  return {AfterTarget - std::min(AfterTarget, Quiet),
          AfterProxy - std::min(AfterProxy, Quiet)};
}

} // namespace

TEST_CASE("A change of one target costs the same among few and many",
          "[steering]") {
  // Guards against the whole list of targets to every proxy at each change.
  const ChangeTraffic Few = changeTraffic(100, 30);
  const ChangeTraffic Many = changeTraffic(100, 1200);
  CAPTURE(Few.ByTarget, Many.ByTarget);
  REQUIRE(Few.ByTarget > 0);
  CHECK(Many.ByTarget <= Few.ByTarget * 2);
}

TEST_CASE("A proxy that comes costs the others a few bytes each",
          "[steering]") {
  // Guards against the whole list of proxies to every proxy at each change:
  // what a newcomer costs grows with the proxies, not with their square.
  const ChangeTraffic Few = changeTraffic(30, 30);
  const ChangeTraffic Many = changeTraffic(300, 30);
  CAPTURE(Few.ByProxy, Many.ByProxy);
  REQUIRE(Few.ByProxy > 0);
  CHECK(Many.ByProxy <= Few.ByProxy * 20);
}
