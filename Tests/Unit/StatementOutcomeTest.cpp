/// \file
/// The three outcomes, and at most once, by what callers receive.

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

struct Ledger {
  explicit Ledger(std::uint64_t Seed = 1) : Cluster(Seed), Random(Seed) {
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
  /// What the primary shows in the end; asked until it answers.
  std::string lookUp(const std::string &Name) {
    for (;;) {
      const CallerResponse Got = Cluster.sendAndWait(
          "entry-2", {.Kind = "lookup", .Body = "get " + Name});
      if (Got.Outcome == "done")
        return Got.Body;
      Cluster.Loop.runFor(Millis(50));
    }
  }
  /// Sends until it's done, as a caller with patience does.
  void untilDone(const CallerRequest &Question) {
    const Millis Last = Cluster.Loop.now() + Millis(60000);
    while (Cluster.sendAndWait("entry-2", Question).Outcome != "done") {
      REQUIRE(Cluster.Loop.now() < Last);
      Cluster.Loop.runFor(Millis(20));
    }
  }
  std::int64_t draw(std::int64_t Least, std::int64_t Most) {
    return std::uniform_int_distribution<std::int64_t>(Least, Most)(Random);
  }
  /// Something goes wrong around a statement that entry-1 is busy with.
  void fault() {
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
  void mend() {
    Cluster.Net.heal();
    for (const auto &[Name, Each] : Cluster.Hosts)
      if (Each->isFrozen())
        Each->thaw();
  }

  FakeCluster Cluster;
  std::mt19937_64 Random;
};

} // namespace

TEST_CASE("\"Not run\" didn't run, and \"done\" stays", "[outcome]") {
  // A clerk's scan meets a fault at a random moment. Whatever the clerk is
  // told is held against what the ledger shows once all is mended: told "not
  // run" the clerk scans again, and a bale that did move would move twice.
  std::map<std::string, int> Seen;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    Ledger At(Seed);
    At.Cluster.Loop.runFor(Millis(At.draw(0, 100)));
    const auto Answer =
        At.Cluster.send("entry-1", handover("put bale haulier", "k1", 1500));
    At.Cluster.Loop.runFor(Millis(At.draw(0, 25)));
    At.fault();
    // A caller whose proxy died gets no answer: it may have run.
    At.Cluster.Loop.runUntilTrue([&] { return Answer->Arrived; }, Millis(5000));
    At.mend();
    At.Cluster.Loop.runFor(Millis(3000));
    const std::string Shown = At.lookUp("bale");
    ++Seen[Answer->Outcome];
    if (Answer->Outcome == "not-run")
      CHECK(Shown.empty());
    if (Answer->Outcome == "done")
      CHECK(Shown == "haulier");
  }
  // The faults reach all outcomes, or the checks above would prove little.
  CHECK(Seen["done"] > 0);
  CHECK(Seen["not-run"] > 0);
  CHECK(Seen["unknown"] > 0);
}

TEST_CASE("A key runs at most once, whoever carries it", "[outcome]") {
  // A clerk's scan is sent again with its key, through another proxy, while
  // the first try may still be on its way: the proxy died or restarted, the
  // primary was replaced, or an answer was lost. The bale moves once.
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    Ledger At(Seed);
    At.Cluster.send("entry-1", handover("add bales 1"));
    At.Cluster.Loop.runFor(Millis(At.draw(0, 25)));
    At.fault();
    if (At.draw(0, 1) == 1)
      At.Cluster.Loop.runFor(Millis(At.draw(0, 1500)));
    At.untilDone(handover("add bales 1"));
    At.mend();
    At.untilDone(handover("add bales 1"));
    At.Cluster.Loop.runFor(Millis(3000));
    CHECK(At.lookUp("bales") == "1");
  }
}

TEST_CASE("An answer that comes too late is unknown", "[outcome]") {
  // The target is slower than the caller's deadline. The statement runs after
  // the caller has its answer, so that answer must not say "not run".
  Ledger At;
  At.Cluster.Net.MostLatency = At.Cluster.Net.LeastLatency = Millis(40);
  const CallerResponse Late = At.Cluster.sendAndWait(
      "entry-1", handover("put bale haulier", "k1", 100));
  CHECK(Late.Outcome == "unknown");
  CHECK(Late.RetryAfter > Millis(0));
  At.Cluster.Loop.runFor(Millis(1000));
  CHECK(At.lookUp("bale") == "haulier");
}

TEST_CASE("A replayed answer waits for copies too", "[outcome]") {
  // Both replicas are cut off from the primary. The write runs there and is
  // unknown; asked again with its key, the target knows it at once, but it
  // still has one copy. "Done" would be a promise that a failover breaks.
  Ledger At;
  const std::string Primary = At.primary();
  for (const std::string &Each : At.replicas())
    At.Cluster.Net.cutBoth(Each, Primary);
  const CallerRequest Scan = handover("put bale haulier", "k1", 300);
  CHECK(At.Cluster.sendAndWait("entry-1", Scan).Outcome == "unknown");
  CHECK(At.Cluster.sendAndWait("entry-2", Scan).Outcome == "unknown");
  At.Cluster.Net.heal();
  At.untilDone(Scan);
  CHECK(At.lookUp("bale") == "haulier");
}

TEST_CASE("A key stands for one statement of one organisation", "[outcome]") {
  Ledger At;
  REQUIRE(
      At.Cluster.sendAndWait("entry-1", handover("put bale haulier")).Outcome ==
      "done");
  const CallerResponse Other =
      At.Cluster.sendAndWait("entry-2", handover("put bale thief"));
  CHECK(Other.Outcome == "not-run");
  CHECK(Other.Status == 422);
  CallerRequest Auditor = handover("put mill audited");
  Auditor.Organisation = "mill-auditors";
  CHECK(At.Cluster.sendAndWait("entry-2", Auditor).Outcome == "done");
  CHECK(At.lookUp("bale") == "haulier");
  CHECK(At.lookUp("mill") == "audited");
}

TEST_CASE("A key that may be forgotten is refused", "[outcome]") {
  // The target forgets keys after a while. A scan that's sent again after
  // that would run a second time if it were let through.
  Ledger At;
  REQUIRE(At.Cluster.sendAndWait("entry-1", handover("add bales 1")).Outcome ==
          "done");
  SECTION("after the retention") { At.Cluster.Loop.runFor(Millis(60001)); }
  SECTION("by the target, where a proxy's clock is slow") {
    FakeHost &Target = *At.Cluster.Hosts[At.primary()];
    Target.WallOffset = Target.WallOffset + Millis(86400000 + 120001);
  }
  const CallerResponse Again =
      At.Cluster.sendAndWait("entry-2", handover("add bales 1"));
  CHECK(Again.Outcome == "not-run");
  CHECK(Again.Body.find("too old") != std::string::npos);
  CHECK(At.lookUp("bales") == "1");
}

TEST_CASE("Keys of another form or from the future are refused", "[outcome]") {
  Ledger At;
  const std::int64_t Wall =
      At.Cluster.Hosts["entry-1"]->wallTime().count() + 3600000;
  for (const std::string &Key :
       {std::string("1-"), std::string("12-a b"), std::to_string(Wall) + "-x",
        "1700000000000-" + std::string(101, 'x')}) {
    CAPTURE(Key);
    HttpRequest Request;
    const auto Parsed = IdempotencyKey::parse(Key);
    const bool Refused =
        !Parsed ||
        !Parsed->check(At.Cluster.Hosts["entry-1"]->wallTime(), Millis(60000));
    CHECK(Refused);
  }
}

TEST_CASE("A statement that fails at the target has been done", "[outcome]") {
  Ledger At;
  const CallerResponse Failed =
      At.Cluster.sendAndWait("entry-1", handover("frobnicate"));
  CHECK(Failed.Outcome == "done");
  CHECK(Failed.Status == 422);
  CHECK(Failed.Body == "no such statement\n");
}

TEST_CASE("Only waiting that may help is waited", "[outcome]") {
  // The primary of a group can't be replaced because too few targets are
  // left. The first callers wait out an ordinary change; later ones learn at
  // once that it's not one, and when to come back, each at another time.
  Ledger At;
  for (const std::string &Each : At.replicas())
    At.Cluster.kill(Each);
  At.Cluster.kill(At.primary());
  const Millis Start = At.Cluster.Loop.now();
  const CallerResponse First =
      At.Cluster.sendAndWait("entry-1", handover("put bale haulier"));
  CHECK(First.Outcome == "not-run");
  CHECK(First.At - Start < Millis(4500));
  At.Cluster.Loop.runFor(Millis(3000));
  std::set<std::int64_t> Advice;
  for (int Turn = 0; Turn < 10; ++Turn) {
    const Millis Asked = At.Cluster.Loop.now();
    const CallerResponse Next =
        At.Cluster.sendAndWait("entry-1", handover("put bale haulier"));
    CHECK(Next.Outcome == "not-run");
    CHECK(Next.At - Asked < Millis(10));
    Advice.insert(Next.RetryAfter.count());
  }
  CHECK(Advice.size() > 5);
}
