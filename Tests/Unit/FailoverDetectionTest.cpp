/// \file
/// Automatic failover without false failovers, checked by the responses to
/// callers and by the audit trail.

#include "FailoverSupport.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

const std::vector<std::string> Entries = {"entry-1", "entry-2", "entry-3"};

std::size_t countFences(FakeCluster &Cluster) {
  std::size_t Out = 0;
  for (const AuditRecord &Each : Cluster.leader()->appliedState().audit())
    Out += Each.Action == "primary-fenced" ? 1U : 0U;
  return Out;
}

void freezeFor(FakeCluster &Cluster, const std::string &Name, Millis Span) {
  Cluster.Hosts[Name]->freeze();
  Cluster.Loop.runFor(Span);
  Cluster.Hosts[Name]->thaw();
}

} // namespace

TEST_CASE("A failed primary is replaced without an operator", "[failover]") {
  // The primary is killed, frozen, partitioned from the proxies in one
  // direction or both, or partitioned from its replicas. In each case callers
  // must be able to write within seconds at another target, and confirmed
  // writes must be kept.
  const std::string Fault =
      GENERATE("kill", "freeze", "cut", "cut-in", "cut-out", "cut-replicas");
  const auto Seed = GENERATE(range(1, 6));
  CAPTURE(Fault, Seed);
  FakeCluster Cluster(static_cast<std::uint64_t>(Seed), 3, 3);
  Cluster.startAndAwaitWritable(FakeCluster::BaseManifest);
  const CallerResponse Written = sendWithRetries(
      Cluster, "entry-1", {.Key = "k1", .Body = "put bale haulier"});
  REQUIRE(Written.Outcome == "done");
  const std::string Primary = Written.Target;
  Cluster.Loop.runFor(Millis(13) * Seed);
  if (Fault == "kill")
    Cluster.kill(Primary);
  if (Fault == "freeze")
    Cluster.Hosts[Primary]->freeze();
  for (const std::string &Each : Entries) {
    if (Fault == "cut" || Fault == "cut-in")
      Cluster.Net.cut(Each, Primary);
    if (Fault == "cut" || Fault == "cut-out")
      Cluster.Net.cut(Primary, Each);
  }
  const auto Stuck =
      Cluster.send("entry-2", {.Key = "k2", .Body = "put stuck yes"});
  if (Fault == "cut-replicas")
    for (const std::string &Each : targetsExcept(Cluster, Primary))
      Cluster.Net.cutBoth(Primary, Each);
  REQUIRE(awaitNewPrimary(Cluster, Primary, Millis(8000)));
  for (const std::string &Each : Entries) {
    const CallerResponse Next =
        sendWithRetries(Cluster, Each, {.Key = Each, .Body = "put next one"});
    CHECK(Next.Outcome == "done");
    CHECK(Next.Target != Primary);
    const CallerResponse Read = sendWithRetries(
        Cluster, Each,
        {.Kind = "lookup", .Body = "get bale", .Session = Written.Session});
    CHECK(Read.Body == "haulier");
  }
  CHECK(countFences(Cluster) == 2);
}

TEST_CASE("A slow but live primary is not replaced", "[failover]") {
  // For half a minute the primary responds with pauses, or one of three
  // proxies cannot reach it, or its replicas lag by seconds. Writes at the
  // other proxies must succeed, and no target may be replaced.
  const std::string Disturbance = GENERATE("halting", "one-proxy", "lagging");
  CAPTURE(Disturbance);
  FakeCluster Cluster(1, 3, 3);
  if (Disturbance == "lagging")
    Cluster.TargetOptions.Lag = Millis(1500);
  Cluster.startAndAwaitWritable(FakeCluster::BaseManifest);
  const std::string Primary = primaryOf(Cluster);
  if (Disturbance == "one-proxy")
    Cluster.Net.cutBoth(Primary, "entry-3");
  for (int Round = 0; Round < 60; ++Round) {
    const auto Answer = Cluster.send(
        "entry-1", {.Key = std::to_string(Round), .Body = "put bale a"});
    if (Disturbance == "halting")
      freezeFor(Cluster, Primary, Millis(300));
    Cluster.Loop.runFor(Millis(200));
    if (Disturbance != "lagging")
      CHECK(Answer->Outcome == "done");
  }
  CHECK(countFences(Cluster) == 1);
}

TEST_CASE("Flapping targets are not replaced without end", "[failover]") {
  // All targets of a group pause every second, so that each primary in turn
  // looks failed. Each failover interrupts writes without any benefit, so the
  // failovers must become rare.
  FakeCluster Cluster(1, 3, 3);
  Cluster.startAndAwaitWritable(FakeCluster::BaseManifest);
  for (int Round = 0; Round < 60; ++Round) {
    const std::string Primary = primaryOf(Cluster);
    if (!Primary.empty())
      freezeFor(Cluster, Primary, Millis(700));
    Cluster.Loop.runFor(Millis(300));
  }
  CHECK(countFences(Cluster) <= 6);
  CHECK(sendWithRetries(Cluster, "entry-1", {.Key = "k", .Body = "put bale a"})
            .Outcome == "done");
}

TEST_CASE("One flapping target loses its role once", "[failover]") {
  // Only the primary is unstable. Another target must take over, and the
  // flapping one must not be chosen repeatedly.
  FakeCluster Cluster(2, 3, 3);
  Cluster.startAndAwaitWritable(FakeCluster::BaseManifest);
  const std::string Primary = primaryOf(Cluster);
  for (int Round = 0; Round < 30; ++Round) {
    freezeFor(Cluster, Primary, Millis(700));
    Cluster.Loop.runFor(Millis(700));
  }
  CHECK(countFences(Cluster) <= 3);
  CHECK(primaryOf(Cluster) != Primary);
}
