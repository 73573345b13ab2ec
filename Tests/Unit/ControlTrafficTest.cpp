/// \file
/// What control costs the network as proxies and targets become more.

#include "FakeFleet.h"

#include <cmath>

using namespace corianderdyke;

namespace {

/// Bytes that control and the proxies exchange while a fleet starts.
struct StartTraffic {
  std::uint64_t Bytes = 0;
  std::uint64_t Most = 0; ///< Of one kind of message.
  std::size_t MostKind = 0;
};

StartTraffic startFleet(std::size_t Proxies, int Controls = 5) {
  Fleet On(7, Proxies, Controls);
  // One group of three targets for each nine proxies.
  for (std::size_t Each = 0; Each < Proxies / 3; ++Each)
    On.Targets.Targets["t" + std::to_string(Each)].BornAt = 2000 + Each;
  REQUIRE(On.awaitLeader());
  REQUIRE(On.accept(1));
  On.runBeating(Millis(6000));
  REQUIRE(On.allProxiesHave(1));
  StartTraffic Out;
  for (const auto &[Kind, Seen] : On.Net.Traffic) {
    std::printf("%zu: kind %zu: %lu messages %lu bytes\n", Proxies, Kind, Seen.first, Seen.second);
    Out.Bytes += Seen.second;
    if (Seen.second > Out.Most) {
      Out.Most = Seen.second;
      Out.MostKind = Kind;
    }
  }
  return Out;
}

} // namespace

TEST_CASE("Control's bytes grow with proxies and targets, not with their "
          "product",
          "[steering]") {
  // Guards against whole lists sent to everyone at each change.
  const StartTraffic Small = startFleet(30);
  const StartTraffic Large = startFleet(300, 21);
  CAPTURE(Small.Bytes, Large.Bytes, Large.MostKind, Large.Most);
  CHECK(std::log10(static_cast<double>(Large.Bytes) /
                   static_cast<double>(Small.Bytes)) < 1.2);
}
