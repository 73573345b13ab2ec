/// \file
/// Deltas between views, and proxies that miss one.

#include "FakeCluster.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

/// Returns a random view over a few names, so that two views have some entries
/// in common and differ in others.
ClusterView anyView(std::mt19937_64 &Random, std::uint64_t Revision) {
  const auto Draw = [&Random](std::uint64_t Below) { return Random() % Below; };
  ClusterView Out;
  Out.Revision = Revision;
  for (int Number = 0; Number < 6; ++Number) {
    const std::string Name = "name-" + std::to_string(Number);
    if (Draw(2) == 0)
      Out.Groups[Name].Term = Draw(3);
    if (Draw(2) == 0)
      Out.Targets[Name].Sequence = Draw(3);
    if (Draw(2) == 0)
      Out.Proxies[{Name, 1}].Host = std::to_string(Draw(3));
  }
  if (Draw(2) == 0) {
    Out.CurrentManifest = Manifest{};
    Out.CurrentManifest->Version = Draw(3);
    for (int Number = 0; Number < 4; ++Number)
      if (Draw(2) == 0)
        Out.CurrentManifest->Databases.push_back(
            {"name-" + std::to_string(Number),
             static_cast<std::uint32_t>(Draw(3))});
  }
  return Out;
}

} // namespace

TEST_CASE("A view and a delta make the later view", "[delta]") {
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    CAPTURE(Seed);
    std::mt19937_64 Random(Seed);
    const ClusterView From = anyView(Random, 1);
    ClusterView To = anyView(Random, 2);
    // A manifest can be replaced but never removed.
    if (From.CurrentManifest && !To.CurrentManifest)
      To.CurrentManifest = From.CurrentManifest;
    CHECK(applyDelta(From, computeDelta(From, To)) == To);
  }
  CHECK_FALSE(applyDelta(ClusterView{},
                         ViewDelta{7, 8, {}, {}, {}, {}, {}, {}, {}, {}, {}}));
}

TEST_CASE("A delta on another manifest than its base is refused", "[delta]") {
  Manifest From;
  From.Databases = {{"bale-ledger-1"}};
  Manifest To = From;
  To.Databases.push_back({"bale-ledger-2"});
  Manifest Other;
  Other.Databases = {{"swap-ledger-1"}};
  CHECK(applyDelta(From, computeDelta(From, To)) == To);
  CHECK_FALSE(applyDelta(Other, computeDelta(From, To)));
}

TEST_CASE("A proxy that missed a delta gets the whole view", "[delta]") {
  // Control cannot reach one proxy while a manifest is accepted. The proxy
  // misses the delta, and later deltas have another base than its view. Once
  // it is reachable again it must have the latest manifest, not one that was
  // built from a wrong base.
  FakeCluster Cluster(3);
  Cluster.startAndAwaitWritable(FakeCluster::BaseManifest);
  for (const auto &[Name, Control] : Cluster.Controls)
    Cluster.Net.cut(Name, "entry-2");
  std::string Text = FakeCluster::BaseManifest;
  Text.replace(Text.find("version = 1"), 11, "version = 2");
  Cluster.applyManifest(Text);
  Cluster.Loop.runFor(Millis(300));
  CHECK(Cluster.Proxies["entry-1"]->view().CurrentManifest->Version == 2);
  CHECK(Cluster.Proxies["entry-2"]->view().CurrentManifest->Version == 1);
  Cluster.Net.heal();
  CHECK(Cluster.Loop.runUntilTrue(
      [&] {
        return Cluster.Proxies["entry-2"]->view() ==
               Cluster.leader()->appliedState().view();
      },
      Millis(2000)));
}
