/// \file
/// Transactions: one a connection, and every end of one is an end.

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

/// Proxies with one connection each to the primary, so that every statement
/// meets what the one before it left there.
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
  OneConnection At(2);
  At.beginWith("add bales 1");
  CHECK(At.call("/statement", "put gate 4").Outcome == "done");
  CHECK(At.Cluster.Targets[At.primary()]->position() == 0);
  const CallerResponse Done = At.call("/transaction/commit", "", "k1");
  REQUIRE(Done.Outcome == "done");
  const CallerResponse Read = At.Cluster.sendAndWait(
      "entry-2",
      {.Kind = "lookup", .Body = "get bales", .Session = Done.Session});
  CHECK(Read.Body == "1");
  // That answer was lost: the commit comes again, at either proxy.
  CHECK(At.call("/transaction/commit", "", "k1").Outcome == "done");
  CHECK(
      At.Cluster
          .sendAndWait("entry-2", At.question("/transaction/commit", "", "k1"))
          .Outcome == "done");
  CHECK(At.lookUp("bales") == "1");
}

TEST_CASE("What a transaction left behind meets no other caller",
          "[transaction]") {
  // A clerk begins a handover and goes away, in one of several ways. The
  // next clerk's write runs over the same single connection. It must be done
  // by itself, and the first clerk's must not come with it: two statements
  // of different transactions would have mixed.
  OneConnection At;
  At.beginWith("put bale haulier");
  SECTION("the caller hangs up") { At.Caller.reset(); }
  SECTION("the caller hangs up while a statement is under way") {
    At.Cluster.sendOver(*At.Caller, At.question("/statement", "put a b"));
    At.Cluster.Loop.runFor(Millis(2));
    At.Caller.reset();
  }
  SECTION("the caller falls silent") { At.Cluster.Loop.runFor(Millis(400)); }
  SECTION("the caller rolls back") {
    CHECK(At.call("/transaction/rollback").Outcome == "done");
  }
  SECTION("a statement misses its deadline") {
    CallerRequest Late = At.question("/statement", "put a b");
    Late.DeadlineMs = 1;
    CHECK(At.Cluster.sendOverAndWait(*At.Caller, Late).Outcome == "unknown");
  }
  // Well before the idle bound.
  const CallerResponse Next = At.Cluster.sendAndWait(
      "entry-1", {.Key = "k2", .Body = "put gate 4"}, Millis(150));
  CHECK(Next.Outcome == "done");
  CHECK(At.lookUp("gate") == "4");
  CHECK(At.lookUp("bale").empty());
  CHECK(At.Cluster.Proxies["entry-1"]->statements().openTransactions() == 0);
  if (At.Caller) {
    CHECK(At.call("/transaction/commit", "", "k1").Outcome == "not-run");
    CHECK(At.lookUp("bale").empty());
  }
}

TEST_CASE("A proxy's death rolls its transactions back", "[transaction]") {
  // The proxy dies between a clerk's statement and the commit. The clerk asks
  // another proxy to commit and learns that nothing ran; the target has let
  // go of the transaction, so that the next write finds the bale free.
  OneConnection At(2);
  At.beginWith("put bale haulier");
  At.Cluster.kill("entry-1");
  const CallerResponse Lost = At.Cluster.sendAndWait(
      "entry-2", At.question("/transaction/commit", "", "k1"));
  CHECK(Lost.Outcome == "not-run");
  const CallerResponse Elsewhere =
      At.Cluster.sendAndWait("entry-2", At.question("/statement", "put a b"));
  CHECK(Elsewhere.Outcome == "not-run");
  CHECK(Elsewhere.Body == "the transaction lives at entry-1\n");
  CHECK(At.Cluster.sendAndWait("entry-2", {.Key = "k2", .Body = "put gate 4"})
            .Outcome == "done");
  CHECK(
      At.Cluster.sendAndWait("entry-2", {.Kind = "lookup", .Body = "get bale"})
          .Body.empty());
  CHECK(At.Cluster.Targets[At.primary()]->openTransactions() == 0);
}

TEST_CASE("A change of primary ends a transaction", "[transaction]") {
  // The primary is cut off from control while a transaction is open, and
  // replaced. The next statement of the transaction must not run by itself
  // on either primary: the clerk would hold half a handover for a whole one.
  OneConnection At;
  At.beginWith("put bale haulier");
  const std::string Former = At.primary();
  for (const std::string Control : {"control-1", "control-2", "control-3"})
    At.Cluster.Net.cutBoth(Former, Control);
  At.Cluster.Net.cutBoth(Former, "entry-1");
  const auto Replaced = [&] {
    const GroupRecord *Group = At.Cluster.group("bale-ledger-1");
    return Group != nullptr && Group->isWritable() && Group->Primary != Former;
  };
  REQUIRE(At.Cluster.Loop.runUntilTrue(Replaced, Millis(10000)));
  At.Cluster.Net.heal();
  const CallerResponse Statement = At.call("/statement", "put gate 4");
  CHECK(Statement.Outcome == "not-run");
  CHECK(At.call("/transaction/commit", "", "k1").Outcome == "not-run");
  CHECK(At.lookUp("gate").empty());
  CHECK(At.lookUp("bale").empty());
}

TEST_CASE("A transaction serves only the connection that began it",
          "[transaction]") {
  OneConnection At;
  At.beginWith("add bales 1");
  CHECK(At.Cluster
            .sendAndWait("entry-1", At.question("/statement", "add bales 1"))
            .Outcome == "not-run");
  CHECK(At.Cluster.sendAndWait("entry-1", At.question("/transaction/rollback"))
            .Outcome == "not-run");
  CHECK(At.call("/transaction/commit", "", "k1").Outcome == "done");
  CHECK(At.lookUp("bales") == "1");
}

TEST_CASE("A caller who leaves while it waits is taken out", "[transaction]") {
  // The one connection is busy with a transaction. Another clerk's scan waits
  // for it and the clerk gives up. Run later, for nobody, the scan would move
  // a bale that the clerk believes to be where it was.
  OneConnection At;
  At.beginWith("put gate 4");
  auto Other = At.Cluster.connectTo("entry-1");
  At.Cluster.sendOver(*Other, {.Key = "k2", .Body = "put bale haulier"});
  At.Cluster.Loop.runFor(Millis(20));
  CHECK(At.Cluster.Proxies["entry-1"]->statements().openStatements() == 1);
  Other.reset();
  At.Cluster.Loop.runFor(Millis(20));
  CHECK(At.Cluster.Proxies["entry-1"]->statements().openStatements() == 0);
  CHECK(At.call("/transaction/commit", "", "k1").Outcome == "done");
  CHECK(At.lookUp("gate") == "4");
  CHECK(At.lookUp("bale").empty());
}
