/// \file
/// Network traffic of control as the numbers of proxies and targets grow.

#include "FakeFleet.h"

using namespace corianderdyke;

namespace {

/// Returns the bytes of all messages sent between the processes so far.
std::uint64_t bytesSent(const FakeFleet &Fleet) {
  std::uint64_t Out = 0;
  for (const auto &[Kind, Seen] : Fleet.Net.Traffic)
    Out += Seen.second;
  return Out;
}

struct ChangeTraffic {
  std::uint64_t ByTarget = 0; ///< One target starts to leave.
  std::uint64_t ByProxy = 0;  ///< One proxy joins.
};

/// Returns how many more bytes are sent in a second with one change than in a
/// second without.
ChangeTraffic changeTraffic(std::size_t Proxies, std::size_t Targets) {
  FakeFleet Fleet(7, Proxies);
  for (std::size_t Each = 0; Each < Targets; ++Each)
    Fleet.Targets.Targets["t" + std::to_string(Each)].BornAt = 2000 + Each;
  REQUIRE(Fleet.awaitLeader());
  REQUIRE(Fleet.acceptPlan(1));
  Fleet.runWithHeartbeats(Millis(5000));
  REQUIRE(Fleet.allProxiesHave(1));
  const auto Second = [&Fleet] {
    const std::uint64_t Before = bytesSent(Fleet);
    Fleet.runWithHeartbeats(Millis(1000));
    return bytesSent(Fleet) - Before;
  };
  const std::uint64_t Quiet = Second();
  Fleet.Leaving.insert("t0");
  const std::uint64_t AfterTarget = Second();
  Fleet.startProxy("10.0.2.1");
  const std::uint64_t AfterProxy = Second();
  return {AfterTarget - std::min(AfterTarget, Quiet),
          AfterProxy - std::min(AfterProxy, Quiet)};
}

} // namespace

TEST_CASE(
    "A change of one target costs similar traffic with few and many targets",
    "[steering]") {
  // Guards against sending the whole list of targets to every proxy at each
  // change.
  const ChangeTraffic Few = changeTraffic(100, 30);
  const ChangeTraffic Many = changeTraffic(100, 1200);
  CAPTURE(Few.ByTarget, Many.ByTarget);
  REQUIRE(Few.ByTarget > 0);
  CHECK(Many.ByTarget <= Few.ByTarget * 2);
}

TEST_CASE("A proxy that joins costs each other proxy a few bytes",
          "[steering]") {
  // Guards against sending the whole list of proxies to every proxy at each
  // change. The traffic for a new proxy must grow linearly with the number of
  // proxies, not quadratically.
  const ChangeTraffic Few = changeTraffic(30, 30);
  const ChangeTraffic Many = changeTraffic(300, 30);
  CAPTURE(Few.ByProxy, Many.ByProxy);
  REQUIRE(Few.ByProxy > 0);
  CHECK(Many.ByProxy <= Few.ByProxy * 20);
}
