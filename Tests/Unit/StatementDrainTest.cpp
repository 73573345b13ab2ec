/// \file
/// Draining a proxy before a planned stop, checked by the responses to callers.

#include "FakeCluster.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

constexpr const char *Manifest = R"(
version = 1
[[organisation]]
name = "port-clerks"
[[database]]
name = "bale-ledger-1"
connections_per_target = 2
[[kind]]
name = "handover"
access = "write"
repeatable = false
[limits]
transaction_idle_ms = 3000
)";

struct DrainFixture {
  DrainFixture() : Cluster(3) { Cluster.startAndAwaitWritable(Manifest); }

  void drain() {
    Cluster.Proxies["entry-1"]->drain([this] { Done = true; });
  }
  bool runUntilDone(Millis Timeout) {
    return Cluster.Loop.runUntilTrue([this] { return Done; }, Timeout);
  }

  FakeCluster Cluster;
  bool Done = false;
};

} // namespace

TEST_CASE("A planned stop interrupts no statement", "[drain]") {
  // Ten writes are at the proxy, most of them queued for its one connection,
  // when the drain begins. More arrive until the load balancer has reacted. All
  // of them must be done; a later write is refused at once with "not-run".
  DrainFixture Fixture;
  std::vector<std::shared_ptr<CallerResponse>> Answers;
  const auto Send = [&] {
    Answers.push_back(Fixture.Cluster.send(
        "entry-1",
        {.Key = "k" + std::to_string(Answers.size()), .Body = "add bales 1"}));
  };
  for (int Count = 0; Count < 10; ++Count)
    Send();
  Fixture.Cluster.Loop.runFor(Millis(5));
  Fixture.drain();
  CHECK_FALSE(Fixture.Cluster.Proxies["entry-1"]->isReady());
  Fixture.Cluster.Loop.runFor(Millis(500));
  Send();
  Fixture.Cluster.Loop.runFor(Millis(1400));
  Send();
  REQUIRE(Fixture.runUntilDone(Millis(3000)));
  for (const auto &Each : Answers)
    CHECK(Each->Outcome == "done");
  const CallerResponse Late = Fixture.Cluster.sendAndWait(
      "entry-1", {.Key = "late", .Body = "add bales 1"});
  CHECK(Late.Outcome == "not-run");
}

TEST_CASE("A planned stop waits for transactions, up to a limit", "[drain]") {
  // A transaction is open when the drain begins. A commit in time must succeed.
  // A transaction that stays open beyond the limit must be rolled back and must
  // not prevent the stop.
  DrainFixture Fixture;
  const auto Caller = Fixture.Cluster.connectTo("entry-1");
  CallerRequest Request{.Path = "/transaction/begin"};
  Request.Transaction =
      Fixture.Cluster.sendOverAndWait(*Caller, Request).Transaction;
  Request.Path = "/statement";
  Request.Body = "put bale haulier";
  REQUIRE(Fixture.Cluster.sendOverAndWait(*Caller, Request).Outcome == "done");
  Fixture.drain();
  CallerRequest Other{.Path = "/transaction/begin"};
  CHECK(Fixture.Cluster.sendAndWait("entry-1", Other).Outcome == "not-run");
  SECTION("committed in time") {
    Fixture.Cluster.Loop.runFor(Millis(2500));
    CHECK_FALSE(Fixture.Done);
    Request.Path = "/transaction/commit";
    Request.Key = "k1";
    CHECK(Fixture.Cluster.sendOverAndWait(*Caller, Request).Outcome == "done");
  }
  SECTION("kept busy beyond the bound") {
    const Millis Last = Fixture.Cluster.Loop.now() + Millis(3500);
    while (Fixture.Cluster.Loop.now() < Last) {
      Fixture.Cluster.sendOverAndWait(*Caller, Request);
      Fixture.Cluster.Loop.runFor(Millis(100));
    }
    CHECK(Fixture.Done);
    CHECK(Fixture.Cluster.sendOverAndWait(*Caller, Request).Outcome ==
          "not-run");
  }
  CHECK(Fixture.runUntilDone(Millis(1000)));
}
