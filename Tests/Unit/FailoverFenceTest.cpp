/// \file
/// Fencing of a replaced primary: it must acknowledge nothing, checked by the
/// responses to callers.

#include "FailoverSupport.h"
#include "Lease/LeaseHolder.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

/// Returns the base manifest with a read kind that accepts no stale data and
/// with the given lease.
std::string manifestWithLease(int LeaseMs, int DriftPpm = 1000) {
  return std::string(FakeCluster::BaseManifest) +
         "[[kind]]\nname = \"owner-check\"\naccess = \"read\"\n"
         "[failover]\nlease_duration_ms = " +
         std::to_string(LeaseMs) +
         "\nclock_drift_ppm = " + std::to_string(DriftPpm) + "\n";
}

/// Partitions entry-1 and the primary from all other hosts.
void cutOffWithEntry1(FakeCluster &Cluster, const std::string &Primary) {
  for (const auto &[Name, Host] : Cluster.Hosts)
    if (Name != "caller" && Name != "entry-1" && Name != Primary) {
      Cluster.Net.cutBoth(Name, "entry-1");
      Cluster.Net.cutBoth(Name, Primary);
    }
}

/// Results of the callers on both sides of a partition.
struct SplitResult {
  int StaleReads = 0;  ///< Old owner returned after a new one was confirmed.
  int OldSideDone = 0; ///< Writes confirmed on the minority side.
  int GoodReads = 0;   ///< Successful reads on the minority side.
  bool NewSideDone = false;
};

/// Sends a read of the owner and a write to entry-1 every 5 ms, and changes the
/// owner through entry-2 as soon as that is possible.
SplitResult runSplit(FakeCluster &Cluster, const std::string &Primary,
                     Millis Span) {
  SplitResult Out;
  std::vector<std::shared_ptr<CallerResponse>> Reads;
  std::vector<std::shared_ptr<CallerResponse>> Writes;
  std::shared_ptr<CallerResponse> Change;
  constexpr Millis Step(5);
  const Millis End = Cluster.Loop.now() + Span;
  const auto Collect = [&] {
    // A read that began before the change was confirmed may return either
    // owner.
    for (const auto &Each : Reads) {
      Out.GoodReads += Each->Outcome == "done" ? 1 : 0;
      Out.StaleReads +=
          Out.NewSideDone && Each->Outcome == "done" && Each->Body == "mill"
              ? 1
              : 0;
    }
    Reads.clear();
  };
  for (int Index = 0; Cluster.Loop.now() < End; ++Index) {
    Reads.push_back(
        Cluster.send("entry-1", {.Kind = "owner-check", .Body = "get bale"}));
    Writes.push_back(
        Cluster.send("entry-1", {.Key = "old-" + std::to_string(Index),
                                 .Body = "put other side"}));
    if (!Change && primaryOf(Cluster) != Primary &&
        Cluster.isWritable("bale-ledger-1"))
      Change =
          Cluster.send("entry-2", {.Key = "new", .Body = "put bale haulier"});
    Cluster.Loop.runFor(Step);
    if (Reads.size() > 1 && Change && Change->Outcome == "done" &&
        !Out.NewSideDone) {
      Reads.clear();
      Out.NewSideDone = true;
    }
    if (Out.NewSideDone)
      Collect();
  }
  Cluster.Loop.runFor(Millis(6000));
  for (const auto &Each : Writes)
    Out.OldSideDone += Each->Outcome == "done" ? 1 : 0;
  return Out;
}

} // namespace

TEST_CASE("A partitioned primary serves nothing once it is replaced",
          "[failover]") {
  // The primary is partitioned together with a proxy and its callers. On the
  // other side a new primary takes over and a row changes. From then on no
  // caller on the old side may read the old row, and no write there may ever
  // be confirmed. Covers a control leader that is killed at the same moment,
  // after a lease grant that its successor does not know, and clocks that
  // drift by the configured bound: slow at the partitioned proxy, fast at the
  // other hosts.
  struct Case {
    int LeaseMs;
    int DriftPpm;
    bool LeaderDies;
  };
  const auto Each = GENERATE(Case{600, 1000, false}, Case{2000, 1000, false},
                             Case{2000, 1000, true}, Case{2000, 100000, false},
                             Case{2000, 100000, true});
  const auto Seed = GENERATE(range(1, 4));
  CAPTURE(Each.LeaseMs, Each.DriftPpm, Each.LeaderDies, Seed);
  FakeCluster Cluster(static_cast<std::uint64_t>(Seed));
  for (const auto &[Name, Host] : Cluster.Hosts)
    Host->DriftPpm = Name == "entry-1" ? -Each.DriftPpm : Each.DriftPpm;
  Cluster.startAndAwaitWritable(manifestWithLease(Each.LeaseMs, Each.DriftPpm));
  REQUIRE(
      Cluster.sendAndWait("entry-1", {.Key = "first", .Body = "put bale mill"})
          .Outcome == "done");
  const std::string Primary = primaryOf(Cluster);
  Cluster.Loop.runFor(Millis(17) * Seed);
  cutOffWithEntry1(Cluster, Primary);
  if (Each.LeaderDies)
    for (const auto &[Name, Node] : std::map(Cluster.Controls))
      if (Node == Cluster.leader())
        Cluster.kill(Name);
  const SplitResult Result = runSplit(Cluster, Primary, Millis(6000));
  CHECK(Result.NewSideDone);
  CHECK(Result.StaleReads == 0);
  CHECK(Result.OldSideDone == 0);
}

TEST_CASE("An answer that waits past the lease is not confirmed",
          "[failover]") {
  // A proxy sends a write and is frozen before the responses of the primary and
  // of the replica arrive. Meanwhile the primary is replaced. After the thaw
  // the proxy receives both responses and a lease grant, all of them stale; the
  // caller must not receive "done" for the replaced primary.
  const auto Seed = GENERATE(range(1, 11));
  CAPTURE(Seed);
  FakeCluster Cluster(static_cast<std::uint64_t>(Seed));
  Cluster.startAndAwaitWritable(manifestWithLease(600));
  const std::string Primary = primaryOf(Cluster);
  const auto Late =
      Cluster.send("entry-1", {.Key = "k1", .Body = "put bale haulier"});
  REQUIRE(Cluster.Loop.runUntilTrue(
      [&] { return Cluster.Targets[Primary]->position() == 1; }, Millis(1000)));
  Cluster.Hosts["entry-1"]->freeze();
  Cluster.Loop.runFor(Millis(50));
  Cluster.kill(Primary);
  REQUIRE(awaitNewPrimary(Cluster, Primary));
  Cluster.Hosts["entry-1"]->thaw();
  Cluster.Loop.runFor(Millis(6000));
  CHECK(Late->Arrived);
  CHECK(Late->Outcome == "unknown");
}

TEST_CASE("A lease ends at every proxy before control treats it as expired",
          "[lease]") {
  // The clocks of the two hosts drift by the whole bound in the worst
  // direction, and each reading is truncated to a millisecond. If control
  // treated a lease as expired too early, a replaced primary could still
  // respond to a caller.
  const auto Ppm = GENERATE(0, 1000, 20000, 100000);
  const auto Duration = GENERATE(100, 600, 60000);
  const auto Begin = GENERATE(1, 999, 123456789);
  CAPTURE(Ppm, Duration, Begin);
  FakeLoop Loop;
  FakeHost Slow(Loop, "proxy");
  FakeHost Fast(Loop, "control");
  Slow.DriftPpm = -Ppm;
  Fast.DriftPpm = Ppm;
  Loop.runUntil(Millis(Begin));
  const ProcessId Id{"entry-1", 1};
  ClusterView View;
  View.Proxies[Id];
  LeaseHolder Holder(Id);
  LeaseRegistry Registry;
  const LeaseGrant Grant{Id, Holder.nextSequence(), Slow.now(),
                         Millis(Duration), 0};
  Registry.recordRequest({Id, {}, 1, Slow.now(), 0, {}}, {}, Fast.now());
  Registry.recordGrant(Grant, Fast.now(), static_cast<std::uint32_t>(Ppm));
  Holder.applyGrant(Grant);
  bool BothAtOnce = false;
  while (!Registry.isInForce(View, 1, Fast.now())) {
    Loop.runFor(Millis(1));
    BothAtOnce |=
        Registry.isInForce(View, 1, Fast.now()) && Holder.isHeld(Slow.now());
  }
  CHECK_FALSE(BothAtOnce);
}
