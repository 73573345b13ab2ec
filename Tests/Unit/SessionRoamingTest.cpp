/// \file
/// Read-your-writes consistency of a session across proxies, checked by the
/// responses to callers.

#include "FakeCluster.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

constexpr std::uint64_t Seeds = 15;

CallerRequest lookUp(const std::string &Session) {
  return {.Kind = "lookup", .Body = "get bales", .Session = Session};
}

/// A session that sends each request to a random proxy.
struct RoamingSession {
  FakeCluster &Cluster;
  std::mt19937_64 Random;
  std::string Session = {};
  int Written = 0;

  std::string proxy() { return "entry-" + std::to_string(1 + Random() % 3); }
  /// Sends the next write until its outcome is "done".
  void write() {
    const CallerRequest Write{.Key = "k" + std::to_string(++Written),
                              .Body = "put bales " + std::to_string(Written),
                              .Session = Session};
    for (int Try = 0; Try < 400; ++Try) {
      const CallerResponse Got = Cluster.sendAndWait(proxy(), Write);
      if (Got.Outcome == "done") {
        Session = Got.Session;
        return;
      }
      Cluster.Loop.runFor(Millis(20));
    }
    FAIL("the write was never done");
  }
  /// Reads, and if the read succeeds, checks that it returns the last write.
  void checkLastWrite() {
    const CallerResponse Got = Cluster.sendAndWait(proxy(), lookUp(Session));
    if (Got.Outcome == "done")
      CHECK(Got.Body == std::to_string(Written));
  }
};

} // namespace

TEST_CASE("A session reads each of its writes at the next proxy", "[session]") {
  // Each request of the session goes to a random proxy, a replica lags far
  // behind, and in the middle the primary is killed. A read from a replica
  // that lacks the last write would return an old value.
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    FakeCluster Cluster(Seed, 3, 3);
    Cluster.startAndAwaitWritable(FakeCluster::BaseManifest);
    // One target lags, the others replicate at once.
    Cluster.Targets["bale-ledger-1-" + std::to_string(1 + Seed % 3)]->setLag(
        Millis(static_cast<std::int64_t>(Seed * 100)));
    RoamingSession Roaming{Cluster, std::mt19937_64(Seed)};
    for (int Turn = 0; Turn < 12; ++Turn) {
      Roaming.write();
      Roaming.checkLastWrite();
      if (Turn == 6)
        Cluster.kill(Cluster.group("bale-ledger-1")->Primary);
    }
  }
}

TEST_CASE("A modified or truncated token is refused with an error",
          "[session]") {
  // If an invalid token were treated as a new session, the caller would read
  // stale rows without an error.
  FakeCluster Cluster(1);
  Cluster.startAndAwaitWritable(FakeCluster::BaseManifest);
  const std::string Token =
      Cluster.sendAndWait("entry-1", {.Key = "k1", .Body = "put bales 1"})
          .Session;
  REQUIRE_FALSE(Token.empty());
  for (std::size_t Index = 0; Index < Token.size(); ++Index) {
    std::string Altered = Token;
    Altered[Index] = Altered[Index] == 'A' ? 'B' : 'A';
    CHECK_FALSE(verifyToken(Altered, FakeCluster::SharedKey).has_value());
    if (Index > 0)
      CHECK_FALSE(verifyToken(Token.substr(0, Index), FakeCluster::SharedKey)
                      .has_value());
  }
  const CallerResponse Cut =
      Cluster.sendAndWait("entry-2", lookUp(Token.substr(0, Token.size() - 2)));
  CHECK(Cut.Outcome == "not-run");
  CHECK(Cut.Status == 400);
}

TEST_CASE("A token stays small and records that it is partial", "[session]") {
  SessionToken Token;
  std::size_t Longest = 0;
  for (std::uint64_t Number = 0; Number < 100; ++Number) {
    Token = Token.withWrite("ledger-" + std::to_string(Number), 1, Number + 1);
    Longest = std::max(Longest, signToken(Token, "key").size());
  }
  CHECK(Longest < 400);
  CHECK(Token.floor("ledger-99")->Position == 100);
  // Databases that were dropped from the token are read from the primary.
  CHECK_FALSE(Token.floor("ledger-1").has_value());
  CHECK(Token.isPartial());
}

TEST_CASE("Replica ages and copy counts at the limits", "[session]") {
  // The table must never underestimate the age of a replica or count a target
  // that is not a copy: a caller would read stale rows or lose a confirmed
  // write.
  ClusterView View;
  for (const std::string Name : {"one", "two", "three"})
    View.Targets[Name] = {Name, "ledger", {}, {}, 1, false, {}};
  GroupRecord Group;
  Group.Database = "ledger";
  Group.Phase = GroupPhase::Promoted;
  Group.Term = 2;
  Group.Forks = {{2, 10}};
  TargetTable Table;
  Table.update(View, Millis(0));
  const auto Age = [&](std::int64_t Now) {
    return Table.age("two", Group, Millis(Now));
  };
  CHECK_FALSE(Age(100).has_value());
  // The primary, queried at 100, is at position 11; a response of the replica
  // with position 11 arrives at 150.
  Table.observe("one", {2, 2, 11, true}, Millis(100), Millis(110));
  Table.observe("two", {2, 1, 10, false}, Millis(100), Millis(110));
  CHECK_FALSE(Age(120).has_value());
  Table.observe("two", {2, 2, 11, false}, Millis(140), Millis(150));
  CHECK(Age(150) == Millis(50));
  // A later response shows no newer position: the age counts from its query.
  Table.observe("one", {2, 2, 11, true}, Millis(200), Millis(250));
  CHECK(Age(250) == Millis(50));
  // The primary advances; the age of the replica counts from the last query at
  // which the replica was complete.
  Table.observe("one", {2, 2, 12, true}, Millis(300), Millis(310));
  CHECK(Age(400) == Millis(200));
  CHECK(Table.countCopies(Group, 12) == 1);
  // The former primary is fenced into the new term and has a diverging tail
  // beyond the position, whether it reports the tail or not.
  Table.observe("three", {2, 1, 15, false, true}, Millis(300), Millis(310));
  CHECK(Table.countCopies(Group, 12) == 1);
  CHECK_FALSE(Table.age("three", Group, Millis(310)).has_value());
  Table.observe("three", {2, 1, 15, false, false}, Millis(320), Millis(330));
  CHECK(Table.countCopies(Group, 12) == 1);
  CHECK_FALSE(Table.age("three", Group, Millis(330)).has_value());
  // A replayed write of the former term counts where the log matches the
  // history of the group.
  CHECK(Table.countCopies(Group, 10) == 2);
}

TEST_CASE("A read is never older than its kind accepts", "[session]") {
  // A read accepts rows that are 150 ms old, and the replicas lag by about that
  // time. Every successful read must include each write that was applied 150 ms
  // before the read.
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    FakeCluster Cluster(Seed, 3, 2);
    Cluster.TargetOptions.Lag =
        Millis(60 + static_cast<std::int64_t>(Seed * 10));
    Cluster.startAndAwaitWritable(R"(
version = 1
[[organisation]]
name = "port-clerks"
[[database]]
name = "bale-ledger-1"
[[kind]]
name = "lookup"
access = "read"
accepted_age_ms = 150
[[kind]]
name = "handover"
access = "write"
)");
    StandInTarget &Primary =
        *Cluster.Targets[Cluster.group("bale-ledger-1")->Primary];
    std::mt19937_64 Random(Seed);
    std::map<Millis, std::uint64_t> Written;
    for (int Turn = 1; Turn <= 150; ++Turn) {
      Cluster.send("entry-1", {.Body = "put bales " + std::to_string(Turn)});
      Cluster.Loop.runFor(Millis(static_cast<std::int64_t>(Random() % 40)));
      Written[Cluster.Loop.now()] = Primary.position();
      const Millis Asked = Cluster.Loop.now();
      const CallerResponse Got = Cluster.sendAndWait("entry-2", lookUp(""));
      const auto Later = Written.upper_bound(Asked - Millis(150));
      if (Got.Outcome == "done" && Later != Written.begin())
        CHECK(numberOr(Got.Body, 0) >= std::prev(Later)->second);
    }
  }
}
