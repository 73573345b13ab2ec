/// \file
/// End-to-end tests of a cluster on fakes, in virtual time.

#include "FakeCluster.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

TEST_CASE("A session reads its write at another proxy", "[cluster]") {
  FakeCluster Cluster(1);
  Cluster.startAndAwaitWritable(FakeCluster::BaseManifest);
  const CallerResponse Written =
      Cluster.sendAndWait("entry-1", {.Key = "k1", .Body = "put bale haulier"});
  REQUIRE(Written.Outcome == "done");
  const CallerResponse Read = Cluster.sendAndWait(
      "entry-2",
      {.Kind = "lookup", .Body = "get bale", .Session = Written.Session});
  CHECK(Read.Outcome == "done");
  CHECK(Read.Body == "haulier");
}

TEST_CASE("A killed primary is replaced and its writes are kept", "[cluster]") {
  // The primary is killed right after it confirmed a write. Another target must
  // take over without an operator, and the session must still read the write.
  const auto Seed = GENERATE(range(1, 6));
  CAPTURE(Seed);
  FakeCluster Cluster(static_cast<std::uint64_t>(Seed));
  Cluster.startAndAwaitWritable(FakeCluster::BaseManifest);
  const CallerResponse Written =
      Cluster.sendAndWait("entry-1", {.Key = "k1", .Body = "put bale haulier"});
  REQUIRE(Written.Outcome == "done");
  Cluster.kill(Written.Target);
  const CallerResponse Next =
      Cluster.sendAndWait("entry-2", {.Key = "k2", .Body = "put next one"});
  CHECK(Next.Outcome == "done");
  CHECK(Next.Target != Written.Target);
  const CallerResponse Read = Cluster.sendAndWait(
      "entry-1",
      {.Kind = "lookup", .Body = "get bale", .Session = Written.Session});
  CHECK(Read.Body == "haulier");
}
