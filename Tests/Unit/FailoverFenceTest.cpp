/// \file
/// A replaced primary acknowledges nothing, judged by what callers got.

#include "FailoverSupport.h"
#include "Lease/LeaseHolder.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

/// The manifest with a kind of read that accepts no age, and a lease.
std::string manifestWithLease(int LeaseMs, int DriftPpm = 1000) {
  return std::string(FakeCluster::BaseManifest) +
         "[[kind]]\nname = \"owner-check\"\naccess = \"read\"\n"
         "[failover]\nlease_duration_ms = " +
         std::to_string(LeaseMs) +
         "\nclock_drift_ppm = " + std::to_string(DriftPpm) + "\n";
}

/// Leaves entry-1 alone with the primary and cuts both off from all else.
void cutOffWithEntry1(FakeCluster &Cluster, const std::string &Primary) {
  for (const auto &[Name, Host] : Cluster.Hosts)
    if (Name != "caller" && Name != "entry-1" && Name != Primary) {
      Cluster.Net.cutBoth(Name, "entry-1");
      Cluster.Net.cutBoth(Name, Primary);
    }
}

/// What callers on both sides of a cut got.
struct SplitRun {
  int StaleReads = 0;  ///< Old owner told after a new one was confirmed.
  int OldSideDone = 0; ///< Writes confirmed on the side that was cut off.
  int GoodReads = 0;   ///< Answered reads on that side.
  bool NewSideDone = false;
};

/// Callers at entry-1 read the owner and write each 5 ms; a caller at entry-2
/// changes the owner as soon as that's possible.
SplitRun runSplit(FakeCluster &Cluster, const std::string &Primary,
                  Millis Span) {
  SplitRun Out;
  std::vector<std::shared_ptr<CallerResponse>> Reads;
  std::vector<std::shared_ptr<CallerResponse>> Writes;
  std::shared_ptr<CallerResponse> Change;
  constexpr Millis Step(5);
  const Millis End = Cluster.Loop.now() + Span;
  const auto Collect = [&] {
    // A read that began before the change was confirmed may tell either.
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

TEST_CASE("A cut-off primary serves nobody once it's replaced", "[failover]") {
  // The primary is cut off together with a proxy and its callers. On the
  // other side a new primary takes over and a bale changes its owner. From
  // then on no caller on the old side may be told the old owner, and no write
  // there may ever be confirmed. Also where the control leader dies at the
  // same moment, having just granted a lease that its successor never saw,
  // and where the cut-off proxy's clock runs slow and the others' fast, both
  // at the stated bound.
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
  const SplitRun Got = runSplit(Cluster, Primary, Millis(6000));
  CHECK(Got.NewSideDone);
  CHECK(Got.StaleReads == 0);
  CHECK(Got.OldSideDone == 0);
}

TEST_CASE("An answer that waits past the lease is not confirmed",
          "[failover]") {
  // A proxy sends a handover and is frozen before the answers of the primary
  // and of the replica come. Meanwhile the primary is replaced. Thawed, the
  // proxy finds both answers and a lease grant waiting; all of them are old
  // news, and the caller must not be told "done" by the replaced primary.
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

TEST_CASE("A lease ends at every proxy before control counts it out",
          "[lease]") {
  // The two hosts' clocks run wrong by the whole bound, in the worst
  // direction, and each reading is cut to a millisecond. If control counted
  // a lease out one moment early, a caller could be answered by a primary
  // that has been replaced.
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
