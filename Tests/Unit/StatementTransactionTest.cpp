/// \file
/// Transactions: one per connection, and no effects or state left after any
/// way in which a transaction ends.

#include "FakeCluster.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

const std::string OneConnectionManifest = R"(
version = 1
[[organisation]]
name = "port-clerks"
[[kind]]
name = "lookup"
access = "read"
[[kind]]
name = "handover"
access = "write"
repeatable = false
[limits]
transaction_idle_ms = 300
)";

/// Proxies with one connection each to the primary, so that each statement runs
/// on the connection of the one before.
struct OneConnection {
  explicit OneConnection(std::size_t Proxies = 1) : Cluster(7, 3, Proxies) {
    Cluster.startAndAwaitWritable(OneConnectionManifest +
                                  ("[[database]]\nname = \"bale-ledger-1\"\n"
                                   "connections_per_target = " +
                                   std::to_string(Proxies) + "\n"));
    Caller = Cluster.connectTo("entry-1");
  }

  CallerRequest question(const std::string &Path, const std::string &Body = {},
                         const std::string &Key = {}) const {
    return {.Key = Key, .Body = Body, .Transaction = Id, .Path = Path};
  }
  CallerResponse call(const std::string &Path, const std::string &Body = {},
                      const std::string &Key = {}) {
    return Cluster.sendOverAndWait(*Caller, question(Path, Body, Key));
  }
  void beginWith(const std::string &Body) {
    const CallerResponse Begun = call("/transaction/begin");
    REQUIRE(Begun.Outcome == "done");
    Id = Begun.Transaction;
    REQUIRE(call("/statement", Body).Outcome == "done");
  }
  std::string lookUp(const std::string &Name) {
    return Cluster
        .sendAndWait("entry-1", {.Kind = "lookup", .Body = "get " + Name})
        .Body;
  }
  std::string primary() { return Cluster.group("bale-ledger-1")->Primary; }

  FakeCluster Cluster;
  std::shared_ptr<HttpConnection> Caller;
  std::string Id;
};

} // namespace

TEST_CASE("A transaction takes effect with its commit, once", "[transaction]") {
  OneConnection Fixture(2);
  Fixture.beginWith("add bales 1");
  CHECK(Fixture.call("/statement", "put gate 4").Outcome == "done");
  CHECK(Fixture.Cluster.Targets[Fixture.primary()]->position() == 0);
  const CallerResponse Done = Fixture.call("/transaction/commit", "", "k1");
  REQUIRE(Done.Outcome == "done");
  const CallerResponse Read = Fixture.Cluster.sendAndWait(
      "entry-2",
      {.Kind = "lookup", .Body = "get bales", .Session = Done.Session});
  CHECK(Read.Body == "1");
  // The commit is retried at both proxies, as after a lost response.
  CHECK(Fixture.call("/transaction/commit", "", "k1").Outcome == "done");
  CHECK(Fixture.Cluster
            .sendAndWait("entry-2",
                         Fixture.question("/transaction/commit", "", "k1"))
            .Outcome == "done");
  CHECK(Fixture.lookUp("bales") == "1");
}

TEST_CASE("An abandoned transaction does not affect other callers",
          "[transaction]") {
  // A caller abandons an open transaction in one of several ways. The write of
  // the next caller runs over the same connection. It must be committed alone:
  // the write of the first transaction must not be committed with it.
  OneConnection Fixture;
  Fixture.beginWith("put bale haulier");
  SECTION("the caller disconnects") { Fixture.Caller.reset(); }
  SECTION("the caller disconnects while a statement is running") {
    Fixture.Cluster.sendOver(*Fixture.Caller,
                             Fixture.question("/statement", "put a b"));
    Fixture.Cluster.Loop.runFor(Millis(2));
    Fixture.Caller.reset();
  }
  SECTION("the caller is idle") { Fixture.Cluster.Loop.runFor(Millis(400)); }
  SECTION("the caller rolls back") {
    CHECK(Fixture.call("/transaction/rollback").Outcome == "done");
  }
  SECTION("a statement misses its deadline") {
    CallerRequest Late = Fixture.question("/statement", "put a b");
    Late.DeadlineMs = 1;
    CHECK(Fixture.Cluster.sendOverAndWait(*Fixture.Caller, Late).Outcome ==
          "unknown");
  }
  // The timeout of 150 ms is well below the idle timeout.
  const CallerResponse Next = Fixture.Cluster.sendAndWait(
      "entry-1", {.Key = "k2", .Body = "put gate 4"}, Millis(150));
  CHECK(Next.Outcome == "done");
  CHECK(Fixture.lookUp("gate") == "4");
  CHECK(Fixture.lookUp("bale").empty());
  CHECK(Fixture.Cluster.Proxies["entry-1"]->statements().openTransactions() ==
        0);
  if (Fixture.Caller) {
    CHECK(Fixture.call("/transaction/commit", "", "k1").Outcome == "not-run");
    CHECK(Fixture.lookUp("bale").empty());
  }
}

TEST_CASE("The failure of a proxy rolls its transactions back",
          "[transaction]") {
  // The proxy is killed between a statement and the commit. A commit at another
  // proxy must return "not-run". The target must have rolled the transaction
  // back, so that the next write is not blocked by it.
  OneConnection Fixture(2);
  Fixture.beginWith("put bale haulier");
  Fixture.Cluster.kill("entry-1");
  const CallerResponse Lost = Fixture.Cluster.sendAndWait(
      "entry-2", Fixture.question("/transaction/commit", "", "k1"));
  CHECK(Lost.Outcome == "not-run");
  const CallerResponse Elsewhere = Fixture.Cluster.sendAndWait(
      "entry-2", Fixture.question("/statement", "put a b"));
  CHECK(Elsewhere.Outcome == "not-run");
  CHECK(Elsewhere.Body == "the transaction lives at entry-1\n");
  CHECK(Fixture.Cluster
            .sendAndWait("entry-2", {.Key = "k2", .Body = "put gate 4"})
            .Outcome == "done");
  CHECK(Fixture.Cluster
            .sendAndWait("entry-2", {.Kind = "lookup", .Body = "get bale"})
            .Body.empty());
  CHECK(Fixture.Cluster.Targets[Fixture.primary()]->openTransactions() == 0);
}

TEST_CASE("A change of primary ends a transaction", "[transaction]") {
  // The primary is partitioned and replaced while a transaction is open. The
  // next statement of the transaction must not run alone on either primary: the
  // caller would take a part of the transaction for the whole.
  OneConnection Fixture;
  Fixture.beginWith("put bale haulier");
  const std::string Former = Fixture.primary();
  for (const std::string Control : {"control-1", "control-2", "control-3"})
    Fixture.Cluster.Net.cutBoth(Former, Control);
  Fixture.Cluster.Net.cutBoth(Former, "entry-1");
  const auto Replaced = [&] {
    const GroupRecord *Group = Fixture.Cluster.group("bale-ledger-1");
    return Group != nullptr && Group->isWritable() && Group->Primary != Former;
  };
  REQUIRE(Fixture.Cluster.Loop.runUntilTrue(Replaced, Millis(10000)));
  Fixture.Cluster.Net.heal();
  const CallerResponse Statement = Fixture.call("/statement", "put gate 4");
  CHECK(Statement.Outcome == "not-run");
  CHECK(Fixture.call("/transaction/commit", "", "k1").Outcome == "not-run");
  CHECK(Fixture.lookUp("gate").empty());
  CHECK(Fixture.lookUp("bale").empty());
}

TEST_CASE("A transaction serves only the connection that began it",
          "[transaction]") {
  OneConnection Fixture;
  Fixture.beginWith("add bales 1");
  CHECK(
      Fixture.Cluster
          .sendAndWait("entry-1", Fixture.question("/statement", "add bales 1"))
          .Outcome == "not-run");
  CHECK(Fixture.Cluster
            .sendAndWait("entry-1", Fixture.question("/transaction/rollback"))
            .Outcome == "not-run");
  CHECK(Fixture.call("/transaction/commit", "", "k1").Outcome == "done");
  CHECK(Fixture.lookUp("bales") == "1");
}

TEST_CASE("The queued statement of a caller that disconnects is removed",
          "[transaction]") {
  // The only connection is busy with a transaction. The write of another caller
  // waits for it, and that caller disconnects. The write must not run later,
  // because its caller assumes that it did not run.
  OneConnection Fixture;
  Fixture.beginWith("put gate 4");
  auto Other = Fixture.Cluster.connectTo("entry-1");
  Fixture.Cluster.sendOver(*Other, {.Key = "k2", .Body = "put bale haulier"});
  Fixture.Cluster.Loop.runFor(Millis(20));
  CHECK(Fixture.Cluster.Proxies["entry-1"]->statements().openStatements() == 1);
  Other.reset();
  Fixture.Cluster.Loop.runFor(Millis(20));
  CHECK(Fixture.Cluster.Proxies["entry-1"]->statements().openStatements() == 0);
  CHECK(Fixture.call("/transaction/commit", "", "k1").Outcome == "done");
  CHECK(Fixture.lookUp("gate") == "4");
  CHECK(Fixture.lookUp("bale").empty());
}
