/// \file
/// Which targets of a group prove something in a failover from the start.

#include "FailoverSupport.h"
#include "Manifest/ManifestFile.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

constexpr const char *Database = "bale-ledger-1";

/// A group that has started with two of its three targets.
void startWithTwo(FakeCluster &Cluster) {
  Cluster.applyManifest(FakeCluster::BaseManifest);
  Cluster.startTarget("ledger-1", Database);
  Cluster.startTarget("ledger-2", Database);
  REQUIRE(Cluster.Loop.runUntilTrue(
      [&] { return Cluster.isWritable(Database); }, Millis(5000)));
}

} // namespace

TEST_CASE("The last first target of a group proves something at once",
          "[failover]") {
  // A group has started with two of three targets. The third joins, and the
  // primary dies before it has caught up. Callers mustn't wait for a target
  // that may never come back: the two that are left have all between them.
  FakeCluster Cluster(1);
  startWithTwo(Cluster);
  const CallerResponse Written = sendWithRetries(
      Cluster, "entry-1", {.Key = "k1", .Body = "put bale haulier"});
  REQUIRE(Written.Outcome == "done");
  Cluster.Net.cutBoth(Written.Target, "ledger-3");
  Cluster.startTarget("ledger-3", Database);
  REQUIRE(Cluster.Loop.runUntilTrue(
      [&] { return Cluster.group(Database)->Targets.size() == 3; },
      Millis(2000)));
  Cluster.kill(Written.Target);
  const CallerResponse Read = sendWithRetries(
      Cluster, "entry-2",
      {.Kind = "lookup", .Body = "get bale", .Session = Written.Session});
  CHECK(Read.Body == "haulier");
  CHECK(sendWithRetries(Cluster, "entry-2", {.Key = "k2", .Body = "put a b"})
            .Outcome == "done");
}

TEST_CASE("A first target that came back empty proves nothing", "[failover]") {
  // The same group of two so far. Its replica, on which a handover was
  // confirmed, comes back empty and the primary dies; then the third joins.
  // The two that answer have nothing: writes must wait for the primary.
  FakeCluster Cluster(1);
  startWithTwo(Cluster);
  const CallerResponse Written = sendWithRetries(
      Cluster, "entry-1", {.Key = "k1", .Body = "put bale haulier"});
  REQUIRE(Written.Outcome == "done");
  const std::string Replica = targetsExcept(Cluster, Written.Target)[0];
  Cluster.Net.cutBoth(Written.Target, Replica);
  Cluster.Net.cutBoth(Written.Target, "ledger-3");
  Cluster.kill(Replica);
  Cluster.startTarget(Replica, Database);
  Cluster.Loop.runFor(Millis(400));
  Cluster.Hosts[Written.Target]->freeze();
  Cluster.startTarget("ledger-3", Database);
  Cluster.Loop.runFor(Millis(8000));
  CHECK_FALSE(Cluster.isWritable(Database));
}

TEST_CASE("More copies don't forget what was confirmed with fewer",
          "[failover]") {
  // A handover is confirmed on the primary alone, as the manifest allows. The
  // next manifest asks for two copies, so that a failover reads two targets;
  // the primary dies before the others have the handover. Writes must wait for
  // it instead of starting without the handover. While they wait, the numbers
  // can't be changed again.
  std::string Text = FakeCluster::BaseManifest;
  Text.insert(Text.find("[[kind]]"), "copies = 1\n");
  FakeCluster Cluster(1);
  Cluster.startAndAwaitWritable(Text);
  const std::string Primary = primaryOf(Cluster);
  for (const std::string &Each : targetsExcept(Cluster, Primary))
    Cluster.Net.cutBoth(Primary, Each);
  const CallerResponse Written =
      Cluster.sendAndWait("entry-1", {.Key = "k1", .Body = "put bale haulier"});
  REQUIRE(Written.Outcome == "done");
  Text.replace(Text.find("copies = 1"), 10, "copies = 2");
  Text.replace(Text.find("version = 1"), 11, "version = 2");
  Cluster.applyManifest(Text);
  Cluster.Hosts[Primary]->freeze();
  Cluster.Loop.runFor(Millis(8000));
  CHECK_FALSE(Cluster.isWritable(Database));
  Text.replace(Text.find("copies = 2"), 10, "copies = 1");
  Text.replace(Text.find("version = 2"), 11, "version = 3");
  CHECK_FALSE(
      Cluster.leader()->appliedState().check(*parseManifest("test", Text)));
  Cluster.Net.heal();
  Cluster.Hosts[Primary]->thaw();
  const CallerResponse Read = sendWithRetries(
      Cluster, "entry-2",
      {.Kind = "lookup", .Body = "get bale", .Session = Written.Session});
  CHECK(Read.Body ==
        "haulier"); // Once all have caught up, the new numbers alone count.
  CHECK(Cluster.Loop.runUntilTrue(
      [&] { return Cluster.group(Database)->MinFailoverQuorum == 0; },
      Millis(5000)));
  const std::string Second = primaryOf(Cluster);
  Cluster.kill(Second);
  REQUIRE(awaitNewPrimary(Cluster, Second));
  CHECK(sendWithRetries(Cluster, "entry-2", {.Key = "k2", .Body = "put a b"})
            .Outcome == "done");
}
