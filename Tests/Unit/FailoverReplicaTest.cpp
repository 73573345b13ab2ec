/// \file
/// Acknowledged writes survive a failover, checked by the responses to callers.

#include "FailoverSupport.h"

#include <array>
#include <catch2/catch.hpp>

using namespace corianderdyke;

TEST_CASE("The tail of a fenced target is no copy of a later write",
          "[failover]") {
  // The primary logs a write that reaches no replica, and is partitioned. It
  // applies the fence but does not yet know the new primary, so that it reports
  // the new term with its old unreplicated tail. That tail must not count as a
  // copy of a write at the new primary that reaches no other target.
  FakeCluster Cluster(1);
  Cluster.startAndAwaitWritable(FakeCluster::BaseManifest);
  const std::string Old = primaryOf(Cluster);
  for (const std::string &Each : targetsExcept(Cluster, Old))
    Cluster.Net.cutBoth(Old, Each);
  const auto Tail =
      Cluster.send("entry-1", {.Key = "k1", .Body = "put bale tail"});
  Cluster.Loop.runFor(Millis(50));
  REQUIRE(Cluster.Targets[Old]->position() == 1);
  for (const char *Proxy : {"entry-1", "entry-2"})
    Cluster.Net.cutBoth(Proxy, Old);
  for (const auto &[Name, Node] : Cluster.Controls)
    Cluster.Net.cut(Old, Name);
  REQUIRE(Cluster.Loop.runUntilTrue(
      [&] { return Cluster.Targets[Old]->term() == 2; }, Millis(5000)));
  for (const auto &[Name, Node] : Cluster.Controls)
    Cluster.Net.cut(Name, Old);
  REQUIRE(Cluster.Loop.runUntilTrue(
      [&] { return Cluster.isWritable("bale-ledger-1"); }, Millis(5000)));
  const std::string New = primaryOf(Cluster);
  for (const std::string &Each : targetsExcept(Cluster, New))
    Cluster.Net.cutBoth(New, Each);
  for (const char *Proxy : {"entry-1", "entry-2"})
    Cluster.Net.heal(Proxy, Old);
  Cluster.Loop.runFor(Millis(2500));
  const CallerResponse Second =
      Cluster.sendAndWait("entry-2", {.Key = "k2", .Body = "put bale new"});
  CHECK(Tail->Outcome != "done");
  CHECK(Second.Outcome == "unknown");
}

TEST_CASE("A restarted primary never resumes its term", "[failover]") {
  // The primary loses its log and restarts empty under its old name before
  // control receives failure reports from a majority of the proxies. If it
  // remained primary it would start at position 1 again and lose a confirmed
  // write. The other targets hold the write, so one of them must take over.
  const auto Seed = GENERATE(range(1, 9));
  CAPTURE(Seed);
  FakeCluster Cluster(static_cast<std::uint64_t>(Seed), 3, 3);
  Cluster.startAndAwaitWritable(FakeCluster::BaseManifest);
  const CallerResponse Written =
      Cluster.sendAndWait("entry-3", {.Key = "k1", .Body = "put bale haulier"});
  REQUIRE(Written.Outcome == "done");
  for (const auto &[Name, Node] : Cluster.Controls) {
    Cluster.Net.cutBoth(Name, "entry-1");
    Cluster.Net.cutBoth(Name, "entry-2");
  }
  Cluster.kill(Written.Target);
  Cluster.Loop.runFor(Millis(5) * Seed);
  Cluster.startTarget(Written.Target, "bale-ledger-1");
  Cluster.Loop.runFor(Millis(300));
  const CallerResponse Next =
      Cluster.sendAndWait("entry-3", {.Key = "k2", .Body = "put next one"});
  CHECK(Next.Outcome == "done");
  CHECK(Next.Target != Written.Target);
  const CallerResponse Read = Cluster.sendAndWait(
      "entry-3",
      {.Kind = "lookup", .Body = "get bale", .Session = Written.Session});
  CHECK(Read.Body == "haulier");
}

TEST_CASE("A target that restarted empty does not count", "[failover]") {
  // A write is confirmed by the primary and one replica while the other replica
  // lags. The replica restarts empty, and the primary freezes before the
  // replica has caught up. Neither reachable target holds the write: writes
  // must wait instead of resuming without it, and the audit trail must give the
  // reason. When the primary returns, no confirmed write is missing.
  const auto Seed = GENERATE(range(1, 9));
  CAPTURE(Seed);
  FakeCluster Cluster(static_cast<std::uint64_t>(Seed));
  Cluster.startAndAwaitWritable(FakeCluster::BaseManifest);
  const std::string Primary = primaryOf(Cluster);
  const std::string Lost = targetsExcept(Cluster, Primary)[0];
  const std::string Lagging = targetsExcept(Cluster, Primary)[1];
  Cluster.Net.cutBoth(Primary, Lagging);
  const CallerResponse Written = sendWithRetries(
      Cluster, "entry-1", {.Key = "k1", .Body = "put bale haulier"});
  REQUIRE(Written.Outcome == "done");
  Cluster.Net.cutBoth(Primary, Lost);
  Cluster.kill(Lost);
  Cluster.startTarget(Lost, "bale-ledger-1");
  Cluster.Loop.runFor(Millis(100) * Seed);
  Cluster.Hosts[Primary]->freeze();
  Cluster.Loop.runFor(Millis(8000));
  CHECK_FALSE(Cluster.isWritable("bale-ledger-1"));
  CHECK(lastAuditReason(Cluster, "failover-waiting") ==
        "1 of 3 targets told their position, 2 are needed");
  Cluster.Net.heal();
  Cluster.Hosts[Primary]->thaw();
  const CallerResponse Read = sendWithRetries(
      Cluster, "entry-2",
      {.Kind = "lookup", .Body = "get bale", .Session = Written.Session});
  CHECK(Read.Body == "haulier");
  CHECK(sendWithRetries(Cluster, "entry-1", {.Key = "k2", .Body = "put a b"})
            .Outcome == "done");
}

TEST_CASE("A target that restarted empty counts once it has caught up",
          "[failover]") {
  // A replica restarts empty as in the previous test but has time to catch up.
  // Then it must count, and is the target that keeps the confirmed write.
  FakeCluster Cluster(1);
  Cluster.startAndAwaitWritable(FakeCluster::BaseManifest);
  const std::string Primary = primaryOf(Cluster);
  const std::string Lost = targetsExcept(Cluster, Primary)[0];
  const std::string Lagging = targetsExcept(Cluster, Primary)[1];
  Cluster.Net.cutBoth(Primary, Lagging);
  const CallerResponse Written = sendWithRetries(
      Cluster, "entry-1", {.Key = "k1", .Body = "put bale haulier"});
  REQUIRE(Written.Outcome == "done");
  Cluster.kill(Lost);
  Cluster.startTarget(Lost, "bale-ledger-1");
  REQUIRE(Cluster.Loop.runUntilTrue(
      [&] { return !lastAuditReason(Cluster, "target-settled").empty(); },
      Millis(5000)));
  Cluster.kill(Primary);
  const CallerResponse Read = sendWithRetries(
      Cluster, "entry-2",
      {.Kind = "lookup", .Body = "get bale", .Session = Written.Session});
  CHECK(Read.Body == "haulier");
  CHECK(Read.Target == Lost);
}

TEST_CASE("The higher term wins over the higher position", "[failover]") {
  // A former primary returns with a long unconfirmed tail when its successor
  // fails after one confirmed write. The tail is longer but belongs to an
  // earlier term: callers must keep the confirmed write and never read the
  // tail. Further former primaries return in the same way.
  const auto Seed = GENERATE(range(1, 6));
  CAPTURE(Seed);
  FakeCluster Cluster(static_cast<std::uint64_t>(Seed));
  Cluster.startAndAwaitWritable(FakeCluster::BaseManifest);
  std::string Session;
  for (int Round = 0; Round < 3; ++Round) {
    CAPTURE(Round);
    const std::string Primary = primaryOf(Cluster);
    for (const std::string &Each : targetsExcept(Cluster, Primary))
      Cluster.Net.cutBoth(Primary, Each);
    std::array<std::shared_ptr<CallerResponse>, 5> Tails;
    for (std::size_t Index = 0; Index < Tails.size(); ++Index)
      Tails[Index] =
          Cluster.send("entry-1", {.Key = "tail-" + std::to_string(Round) +
                                          std::to_string(Index),
                                   .Body = "put bale tail"});
    Cluster.Loop.runFor(Millis(60));
    Cluster.Hosts[Primary]->freeze();
    REQUIRE(awaitNewPrimary(Cluster, Primary));
    const CallerResponse Written =
        sendWithRetries(Cluster, "entry-2",
                        {.Key = "good-" + std::to_string(Round),
                         .Body = "put bale good-" + std::to_string(Round),
                         .Session = Session});
    REQUIRE(Written.Outcome == "done");
    Session = Written.Session;
    for (const auto &Each : Tails)
      CHECK(Each->Outcome != "done");
    Cluster.Hosts[Written.Target]->freeze();
    Cluster.Net.heal();
    Cluster.Hosts[Primary]->thaw();
    REQUIRE(awaitNewPrimary(Cluster, Written.Target));
    for (const char *Proxy : {"entry-1", "entry-2"}) {
      const CallerResponse Read = sendWithRetries(
          Cluster, Proxy,
          {.Kind = "lookup", .Body = "get bale", .Session = Session});
      CHECK(Read.Body == "good-" + std::to_string(Round));
    }
    Cluster.Hosts[Written.Target]->thaw();
    Cluster.Loop.runFor(Millis(3000));
    REQUIRE(Cluster.isWritable("bale-ledger-1"));
  }
}

TEST_CASE("The up-to-date replica wins whichever lags", "[failover]") {
  // The primary is killed right after it confirmed a write. One replica lags
  // far behind; the other one must be promoted for every seed and lag, and the
  // session must read the write at both proxies.
  const auto Seed = GENERATE(range(1, 31));
  CAPTURE(Seed);
  FakeCluster Cluster(static_cast<std::uint64_t>(Seed));
  Cluster.TargetOptions.Lag = Millis(20) * (Seed % 7);
  Cluster.startAndAwaitWritable(FakeCluster::BaseManifest);
  const std::string Primary = primaryOf(Cluster);
  const std::string Slow =
      targetsExcept(Cluster, Primary)[static_cast<std::size_t>(Seed % 2)];
  Cluster.Net.cutBoth(Primary, Slow);
  const CallerResponse Written = sendWithRetries(
      Cluster, "entry-1", {.Key = "k1", .Body = "put bale haulier"});
  REQUIRE(Written.Outcome == "done");
  Cluster.kill(Written.Target);
  for (const char *Proxy : {"entry-1", "entry-2"}) {
    const CallerResponse Read = sendWithRetries(
        Cluster, Proxy,
        {.Kind = "lookup", .Body = "get bale", .Session = Written.Session});
    CHECK(Read.Body == "haulier");
  }
  CHECK(primaryOf(Cluster) != Slow);
}

TEST_CASE("Too few targets are handled as the manifest says", "[failover]") {
  // A second host is lost right after a failover, before the group is settled.
  // With the policy "wait", writes wait until a target returns; with
  // "promote-with-loss", the last target takes over and the possible loss is
  // recorded in the audit trail.
  const bool Lossy = GENERATE(false, true);
  CAPTURE(Lossy);
  FakeCluster Cluster(3);
  std::string Text = FakeCluster::BaseManifest;
  if (Lossy)
    Text.insert(Text.find("[[kind]]"),
                "too_few_targets = \"promote-with-loss\"\n");
  Cluster.startAndAwaitWritable(Text);
  const std::string First = primaryOf(Cluster);
  const CallerResponse Written = sendWithRetries(
      Cluster, "entry-1", {.Key = "k1", .Body = "put bale haulier"});
  REQUIRE(Written.Outcome == "done");
  Cluster.Hosts[First]->freeze();
  REQUIRE(awaitNewPrimary(Cluster, First));
  const CallerResponse Second = sendWithRetries(
      Cluster, "entry-1", {.Key = "k2", .Body = "put next one"});
  REQUIRE(Second.Outcome == "done");
  Cluster.Hosts[Second.Target]->freeze();
  Cluster.Loop.runFor(Millis(7000));
  CHECK(Cluster.isWritable("bale-ledger-1") == Lossy);
  const std::string Reason =
      lastAuditReason(Cluster, Lossy ? "target-promoted" : "failover-waiting");
  CHECK(Reason == std::string("1 of 3 targets told their position, 2 are "
                              "needed") +
                      (Lossy ? "; acknowledged writes may be lost" : ""));
  Cluster.Hosts[Second.Target]->thaw();
  CHECK(sendWithRetries(Cluster, "entry-2", {.Key = "k3", .Body = "put a b"})
            .Outcome == "done");
  if (Lossy)
    return;
  const CallerResponse Read = sendWithRetries(
      Cluster, "entry-2",
      {.Kind = "lookup", .Body = "get next", .Session = Second.Session});
  CHECK(Read.Body == "one");
}

TEST_CASE("A write sent again right after a failover is confirmed",
          "[failover]") {
  // A write is confirmed, its response is lost, and the primary is killed. The
  // caller retries with the same key before the new term has a write. The new
  // primary holds the write. A copy in a log that has no entry of the new term
  // yet must count, or the caller would receive "unknown" until another write
  // arrives.
  FakeCluster Cluster(1);
  Cluster.startAndAwaitWritable(FakeCluster::BaseManifest);
  const CallerRequest Question{.Key = "k1", .Body = "add scans 1"};
  const CallerResponse Written = Cluster.sendAndWait("entry-1", Question);
  REQUIRE(Written.Outcome == "done");
  Cluster.kill(Written.Target);
  const CallerResponse Again = sendWithRetries(Cluster, "entry-2", Question);
  CHECK(Again.Outcome == "done");
  const CallerResponse Read = Cluster.sendAndWait(
      "entry-1",
      {.Kind = "lookup", .Body = "get scans", .Session = Again.Session});
  CHECK(Read.Body == "1");
}
