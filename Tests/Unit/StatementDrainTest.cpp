/// \file
/// A planned stop of a proxy, by what its callers receive.

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

struct Stopping {
  Stopping() : Cluster(3) { Cluster.startAndAwaitWritable(Manifest); }

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

TEST_CASE("A planned stop cuts no statement", "[drain]") {
  // Ten clerks' scans are at the proxy, most of them queued for its one
  // connection, when the proxy is told to stop. Others still come until the
  // balancer has noticed. Each is done; after that a scan is refused as not
  // run, at once.
  Stopping At;
  std::vector<std::shared_ptr<CallerResponse>> Answers;
  const auto Send = [&] {
    Answers.push_back(
        At.Cluster.send("entry-1", {.Key = "k" + std::to_string(Answers.size()),
                                    .Body = "add bales 1"}));
  };
  for (int Count = 0; Count < 10; ++Count)
    Send();
  At.Cluster.Loop.runFor(Millis(5));
  At.drain();
  CHECK_FALSE(At.Cluster.Proxies["entry-1"]->isReady());
  At.Cluster.Loop.runFor(Millis(500));
  Send();
  At.Cluster.Loop.runFor(Millis(1400));
  Send();
  REQUIRE(At.runUntilDone(Millis(3000)));
  for (const auto &Each : Answers)
    CHECK(Each->Outcome == "done");
  const CallerResponse Late =
      At.Cluster.sendAndWait("entry-1", {.Key = "late", .Body = "add bales 1"});
  CHECK(Late.Outcome == "not-run");
}

TEST_CASE("A planned stop lets transactions end, by a bound", "[drain]") {
  // A clerk has a transaction open when the proxy is told to stop. One who
  // commits in time is served; one who stays silent is rolled back, and the
  // proxy isn't kept from stopping.
  Stopping At;
  const auto Caller = At.Cluster.connectTo("entry-1");
  CallerRequest Ask{.Path = "/transaction/begin"};
  Ask.Transaction = At.Cluster.sendOverAndWait(*Caller, Ask).Transaction;
  Ask.Path = "/statement";
  Ask.Body = "put bale haulier";
  REQUIRE(At.Cluster.sendOverAndWait(*Caller, Ask).Outcome == "done");
  At.drain();
  CallerRequest Other{.Path = "/transaction/begin"};
  CHECK(At.Cluster.sendAndWait("entry-1", Other).Outcome == "not-run");
  SECTION("committed in time") {
    At.Cluster.Loop.runFor(Millis(2500));
    CHECK_FALSE(At.Done);
    Ask.Path = "/transaction/commit";
    Ask.Key = "k1";
    CHECK(At.Cluster.sendOverAndWait(*Caller, Ask).Outcome == "done");
  }
  SECTION("kept busy beyond the bound") {
    const Millis Last = At.Cluster.Loop.now() + Millis(3500);
    while (At.Cluster.Loop.now() < Last) {
      At.Cluster.sendOverAndWait(*Caller, Ask);
      At.Cluster.Loop.runFor(Millis(100));
    }
    CHECK(At.Done);
    CHECK(At.Cluster.sendOverAndWait(*Caller, Ask).Outcome == "not-run");
  }
  CHECK(At.runUntilDone(Millis(1000)));
}
