/// \file
/// Which initial targets of a group count towards the failover quorum before
/// they have caught up.

#include "FailoverSupport.h"
#include "Manifest/ManifestFile.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

constexpr const char *Database = "bale-ledger-1";

/// Starts a group with two of its three targets.
void startWithTwo(FakeCluster &Cluster) {
  Cluster.applyManifest(FakeCluster::BaseManifest);
  Cluster.startTarget("ledger-1", Database);
  Cluster.startTarget("ledger-2", Database);
  REQUIRE(Cluster.Loop.runUntilTrue(
      [&] { return Cluster.isWritable(Database); }, Millis(5000)));
}

} // namespace

TEST_CASE("The last initial target of a group counts at once", "[failover]") {
  // A group has started with two of three targets. The third joins, and the
  // primary is killed before the third has caught up. Callers must not wait for
  // a target that may never return: the two remaining targets together hold
  // every confirmed write.
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

TEST_CASE("An initial target that restarted empty does not count",
          "[failover]") {
  // A group has started with two of three targets. The replica that holds a
  // confirmed write restarts empty and the primary freezes; then the third
  // target joins. Neither reachable target holds the write, so writes must wait
  // for the primary.
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

TEST_CASE("Raising the number of copies keeps writes confirmed with fewer",
          "[failover]") {
  // A write is confirmed on the primary alone, as the manifest allows. The next
  // manifest requires two copies, so that a failover queries two targets; the
  // primary freezes before the others have the write. Writes must wait for it
  // instead of resuming without the confirmed write. Meanwhile the number of
  // copies must not be changed again.
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
  CHECK(Read.Body == "haulier");
  // Once all targets have caught up, only the new number of copies applies.
  CHECK(Cluster.Loop.runUntilTrue(
      [&] { return Cluster.group(Database)->MinFailoverQuorum == 0; },
      Millis(5000)));
  const std::string Second = primaryOf(Cluster);
  Cluster.kill(Second);
  REQUIRE(awaitNewPrimary(Cluster, Second));
  CHECK(sendWithRetries(Cluster, "entry-2", {.Key = "k2", .Body = "put a b"})
            .Outcome == "done");
}
