/// \file
/// The three statement outcomes and at-most-once execution, checked by the
/// responses to callers.

#include "FakeCluster.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

constexpr const char *Manifest = R"(
version = 1
[[organisation]]
name = "port-clerks"
[[organisation]]
name = "mill-auditors"
[[database]]
name = "bale-ledger-1"
[[kind]]
name = "lookup"
access = "read"
[[kind]]
name = "handover"
access = "write"
repeatable = false
[limits]
key_retention_ms = 60000
)";

constexpr std::uint64_t Seeds = 40;

CallerRequest handover(const std::string &Body, const std::string &Key = "k1",
                       std::int64_t DeadlineMs = 0) {
  return {.Key = Key, .Body = Body, .DeadlineMs = DeadlineMs};
}

struct LedgerCluster {
  explicit LedgerCluster(std::uint64_t Seed = 1) : Cluster(Seed), Random(Seed) {
    Cluster.startAndAwaitWritable(Manifest);
  }

  std::string primary() { return Cluster.group("bale-ledger-1")->Primary; }
  std::vector<std::string> replicas() {
    std::vector<std::string> Out;
    for (const auto &[Name, Each] : Cluster.Targets)
      if (Name != primary())
        Out.push_back(Name);
    return Out;
  }
  /// Reads \p Name from the primary, with retries until the read succeeds.
  std::string lookUp(const std::string &Name) {
    for (;;) {
      const CallerResponse Got = Cluster.sendAndWait(
          "entry-2", {.Kind = "lookup", .Body = "get " + Name});
      if (Got.Outcome == "done")
        return Got.Body;
      Cluster.Loop.runFor(Millis(50));
    }
  }
  /// Sends \p Question until its outcome is "done", for at most 60 s.
  void sendUntilDone(const CallerRequest &Question) {
    const Millis Last = Cluster.Loop.now() + Millis(60000);
    while (Cluster.sendAndWait("entry-2", Question).Outcome != "done") {
      REQUIRE(Cluster.Loop.now() < Last);
      Cluster.Loop.runFor(Millis(20));
    }
  }
  std::int64_t draw(std::int64_t Low, std::int64_t High) {
    return std::uniform_int_distribution<std::int64_t>(Low, High)(Random);
  }
  /// Injects a random fault that affects a statement in flight at entry-1.
  void injectFault() {
    const std::string Former = primary();
    switch (draw(0, 6)) {
    case 0:
      return Cluster.kill(Former);
    case 1:
      Cluster.kill("entry-1");
      return Cluster.startProxy("entry-1");
    case 2:
      return Cluster.Net.cutBoth("entry-1", Former);
    case 3:
      return Cluster.Net.cut(Former, "entry-1");
    case 4:
      return Cluster.Hosts[Former]->freeze();
    case 5:
      for (const std::string Control : {"control-1", "control-2", "control-3"})
        Cluster.Net.cutBoth("entry-1", Control);
      return;
    default:
      return;
    }
  }
  void healFaults() {
    Cluster.Net.heal();
    for (const auto &[Name, Each] : Cluster.Hosts)
      if (Each->isFrozen())
        Each->thaw();
  }

  FakeCluster Cluster;
  std::mt19937_64 Random;
};

} // namespace

TEST_CASE("A \"not-run\" write did not run, and a \"done\" write is kept",
          "[outcome]") {
  // A fault occurs at a random moment of a write. The outcome is compared with
  // the data after recovery: after "not run" the caller sends the write again,
  // and a write that did run would run twice.
  std::map<std::string, int> Outcomes;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    LedgerCluster Ledger(Seed);
    Ledger.Cluster.Loop.runFor(Millis(Ledger.draw(0, 100)));
    const auto Answer = Ledger.Cluster.send(
        "entry-1", handover("put bale haulier", "k1", 1500));
    Ledger.Cluster.Loop.runFor(Millis(Ledger.draw(0, 25)));
    Ledger.injectFault();
    // A caller whose proxy was killed receives no response: the write may have
    // run.
    Ledger.Cluster.Loop.runUntilTrue([&] { return Answer->Arrived; },
                                     Millis(5000));
    Ledger.healFaults();
    Ledger.Cluster.Loop.runFor(Millis(3000));
    const std::string Stored = Ledger.lookUp("bale");
    ++Outcomes[Answer->Outcome];
    if (Answer->Outcome == "not-run")
      CHECK(Stored.empty());
    if (Answer->Outcome == "done")
      CHECK(Stored == "haulier");
  }
  // The faults must lead to every outcome for the checks above to be
  // meaningful.
  CHECK(Outcomes["done"] > 0);
  CHECK(Outcomes["not-run"] > 0);
  CHECK(Outcomes["unknown"] > 0);
}

TEST_CASE("A key runs at most once, through any proxy", "[outcome]") {
  // A write is retried with its key through another proxy while the first
  // attempt may still be in flight: the proxy has restarted, the primary was
  // replaced, or a response was lost. The write must run exactly once.
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    LedgerCluster Ledger(Seed);
    Ledger.Cluster.send("entry-1", handover("add bales 1"));
    Ledger.Cluster.Loop.runFor(Millis(Ledger.draw(0, 25)));
    Ledger.injectFault();
    if (Ledger.draw(0, 1) == 1)
      Ledger.Cluster.Loop.runFor(Millis(Ledger.draw(0, 1500)));
    Ledger.sendUntilDone(handover("add bales 1"));
    Ledger.healFaults();
    Ledger.sendUntilDone(handover("add bales 1"));
    Ledger.Cluster.Loop.runFor(Millis(3000));
    CHECK(Ledger.lookUp("bales") == "1");
  }
}

TEST_CASE("An answer that comes too late is unknown", "[outcome]") {
  // The target responds after the deadline of the caller. The statement runs
  // after the caller has its response, which therefore must not be "not run".
  LedgerCluster Ledger;
  Ledger.Cluster.Net.MostLatency = Ledger.Cluster.Net.LeastLatency = Millis(40);
  const CallerResponse Late = Ledger.Cluster.sendAndWait(
      "entry-1", handover("put bale haulier", "k1", 100));
  CHECK(Late.Outcome == "unknown");
  CHECK(Late.RetryAfter > Millis(0));
  Ledger.Cluster.Loop.runFor(Millis(1000));
  CHECK(Ledger.lookUp("bale") == "haulier");
}

TEST_CASE("A replayed result waits for copies too", "[outcome]") {
  // Both replicas are partitioned from the primary. The write runs there and
  // its outcome is unknown. On a retry with the same key the target replays its
  // result at once, but there is still only one copy: a failover could lose a
  // write that was reported as "done".
  LedgerCluster Ledger;
  const std::string Primary = Ledger.primary();
  for (const std::string &Each : Ledger.replicas())
    Ledger.Cluster.Net.cutBoth(Each, Primary);
  const CallerRequest Write = handover("put bale haulier", "k1", 300);
  CHECK(Ledger.Cluster.sendAndWait("entry-1", Write).Outcome == "unknown");
  CHECK(Ledger.Cluster.sendAndWait("entry-2", Write).Outcome == "unknown");
  Ledger.Cluster.Net.heal();
  Ledger.sendUntilDone(Write);
  CHECK(Ledger.lookUp("bale") == "haulier");
}

TEST_CASE("A key identifies one statement of one organisation", "[outcome]") {
  LedgerCluster Ledger;
  REQUIRE(Ledger.Cluster.sendAndWait("entry-1", handover("put bale haulier"))
              .Outcome == "done");
  const CallerResponse Other =
      Ledger.Cluster.sendAndWait("entry-2", handover("put bale thief"));
  CHECK(Other.Outcome == "not-run");
  CHECK(Other.Status == 422);
  CallerRequest Auditor = handover("put mill audited");
  Auditor.Organisation = "mill-auditors";
  CHECK(Ledger.Cluster.sendAndWait("entry-2", Auditor).Outcome == "done");
  CHECK(Ledger.lookUp("bale") == "haulier");
  CHECK(Ledger.lookUp("mill") == "audited");
}

TEST_CASE("A key past its retention is refused", "[outcome]") {
  // The target drops keys after the retention time. A write that is retried
  // after that time would run a second time if it were accepted.
  LedgerCluster Ledger;
  REQUIRE(
      Ledger.Cluster.sendAndWait("entry-1", handover("add bales 1")).Outcome ==
      "done");
  SECTION("after the retention") { Ledger.Cluster.Loop.runFor(Millis(60001)); }
  SECTION("by the target, where a proxy's clock is slow") {
    FakeHost &Target = *Ledger.Cluster.Hosts[Ledger.primary()];
    Target.WallOffset = Target.WallOffset + Millis(86400000 + 120001);
  }
  const CallerResponse Again =
      Ledger.Cluster.sendAndWait("entry-2", handover("add bales 1"));
  CHECK(Again.Outcome == "not-run");
  CHECK(Again.Body.find("too old") != std::string::npos);
  CHECK(Ledger.lookUp("bales") == "1");
}

TEST_CASE("Keys of another form or from the future are refused", "[outcome]") {
  LedgerCluster Ledger;
  const std::int64_t Wall =
      Ledger.Cluster.Hosts["entry-1"]->wallTime().count() + 3600000;
  for (const std::string &Key :
       {std::string("1-"), std::string("12-a b"), std::to_string(Wall) + "-x",
        "1700000000000-" + std::string(101, 'x')}) {
    CAPTURE(Key);
    HttpRequest Request;
    const auto Parsed = IdempotencyKey::parse(Key);
    const bool Refused =
        !Parsed || !Parsed->check(Ledger.Cluster.Hosts["entry-1"]->wallTime(),
                                  Millis(60000));
    CHECK(Refused);
  }
}

TEST_CASE("A statement that fails at the target has been done", "[outcome]") {
  LedgerCluster Ledger;
  const CallerResponse Failed =
      Ledger.Cluster.sendAndWait("entry-1", handover("frobnicate"));
  CHECK(Failed.Outcome == "done");
  CHECK(Failed.Status == 422);
  CHECK(Failed.Body == "no such statement\n");
}

TEST_CASE("A request waits only while a failover can succeed", "[outcome]") {
  // The primary of a group cannot be replaced because too few targets are left.
  // The first callers wait for the usual duration of a failover. Later callers
  // must be refused at once, with different retry delays.
  LedgerCluster Ledger;
  for (const std::string &Each : Ledger.replicas())
    Ledger.Cluster.kill(Each);
  Ledger.Cluster.kill(Ledger.primary());
  const Millis Start = Ledger.Cluster.Loop.now();
  const CallerResponse First =
      Ledger.Cluster.sendAndWait("entry-1", handover("put bale haulier"));
  CHECK(First.Outcome == "not-run");
  CHECK(First.At - Start < Millis(4500));
  Ledger.Cluster.Loop.runFor(Millis(3000));
  std::set<std::int64_t> Advice;
  for (int Turn = 0; Turn < 10; ++Turn) {
    const Millis Asked = Ledger.Cluster.Loop.now();
    const CallerResponse Next =
        Ledger.Cluster.sendAndWait("entry-1", handover("put bale haulier"));
    CHECK(Next.Outcome == "not-run");
    CHECK(Next.At - Asked < Millis(10));
    Advice.insert(Next.RetryAfter.count());
  }
  CHECK(Advice.size() > 5);
}
