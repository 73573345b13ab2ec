/// \file
/// What callers receive of the running proxies when the targets are full.

#include "FakeCluster.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

constexpr const char *TwoOrganisations = R"(
version = 1
[[organisation]]
name = "port-clerks"
[[organisation]]
name = "mills"
[[database]]
name = "bale-ledger-1"
connections_per_target = 6
[[kind]]
name = "lookup"
access = "read"
accepted_age_ms = 2000
deadline_ms = 500
[[kind]]
name = "handover"
access = "write"
repeatable = false
deadline_ms = 1000
[limits]
transaction_idle_ms = 1000
)";

/// Callers of one organisation, who don't wait for each other.
struct Stream {
  std::string Organisation;
  std::string Kind;
  std::int64_t PerSecond = 0;
};

class Callers {
public:
  explicit Callers(FakeCluster &Cluster) : Cluster(Cluster) {}

  /// Offers the streams' load, spread over the proxies; \p EachMilli runs in
  /// between.
  void offer(
      Millis Span, const std::vector<Stream> &Streams,
      const std::function<void()> &EachMilli = [] {}) {
    std::vector<std::int64_t> Due(Streams.size(), 0);
    for (const Millis End = Cluster.Loop.now() + Span;
         Cluster.Loop.now() < End;) {
      for (std::size_t Index = 0; Index < Streams.size(); ++Index)
        for (Due[Index] += Streams[Index].PerSecond; Due[Index] >= 1000;
             Due[Index] -= 1000)
          ask(Streams[Index]);
      Cluster.Loop.runFor(Millis(1));
      EachMilli();
    }
    Cluster.Loop.runFor(Millis(3000));
  }

  std::size_t number(const std::string &Organisation,
                     const std::string &Outcome = {}) const {
    return static_cast<std::size_t>(
        std::count_if(All.begin(), All.end(), [&](const Sent &Each) {
          return Each.Organisation == Organisation &&
                 (Outcome.empty() || Each.Answer->Outcome == Outcome);
        }));
  }

  /// How long refused callers waited for it, in rising order.
  std::vector<Millis> refusedAfter() const {
    std::vector<Millis> Out;
    for (const Sent &Each : All)
      if (Each.Answer->Outcome == "not-run")
        Out.push_back(Each.Answer->At - Each.At);
    std::sort(Out.begin(), Out.end());
    return Out;
  }

  struct Sent {
    std::string Organisation;
    Millis At;
    std::shared_ptr<CallerResponse> Answer;
  };
  std::vector<Sent> All;

private:
  void ask(const Stream &Of) {
    std::vector<std::string> Open;
    for (const auto &[Name, Node] : Cluster.Proxies)
      if (Node->isReady())
        Open.push_back(Name);
    if (Open.empty())
      return;
    const std::string Key = "k" + std::to_string(All.size());
    All.push_back({Of.Organisation, Cluster.Loop.now(),
                   Cluster.send(Open[All.size() % Open.size()],
                                {.Organisation = Of.Organisation,
                                 .Kind = Of.Kind,
                                 .Key = Key,
                                 .Body = Of.Kind == "lookup" ? "get bale"
                                                             : "put bale x"})});
  }

  FakeCluster &Cluster;
};

std::string leaderName(FakeCluster &Cluster) {
  for (const auto &[Name, Each] : Cluster.Controls)
    if (Each == Cluster.leader())
      return Name;
  return "control-1";
}

} // namespace

TEST_CASE("A flood by one customer leaves the other its share",
          "[admission][cluster]") {
  // Two replicas run 400 lookups a second. The mills send 4000, 20 times
  // their half, the clerks 180. The clerks' callers are served as if they
  // were alone, the mills get the rest, and whoever is refused hears it at
  // once with a time to come back.
  FakeCluster Cluster(3);
  Cluster.TargetOptions.ServiceTime = Millis(10);
  Cluster.startAndAwaitWritable(TwoOrganisations);
  Callers All(Cluster);
  All.offer(Millis(3000),
            {{"port-clerks", "lookup", 180}, {"mills", "lookup", 4000}});
  const double Clerks = static_cast<double>(All.number("port-clerks"));
  CHECK(static_cast<double>(All.number("port-clerks", "done")) >=
        0.95 * Clerks);
  CHECK(All.number("mills", "done") >= 550);
  CHECK(All.number("mills", "unknown") == 0);
  const std::vector<Millis> Refused = All.refusedAfter();
  REQUIRE(Refused.size() > 8000);
  CHECK(Refused[Refused.size() * 95 / 100] <= Millis(20));
  for (const auto &Each : All.All)
    if (Each.Answer->Outcome == "not-run")
      REQUIRE(Each.Answer->RetryAfter > Millis());
}

TEST_CASE("Transactions left open don't stop the others",
          "[admission][cluster]") {
  // The mills open transactions and go away from their desks. Each holds a
  // connection until its idle bound. Handovers by others go on meanwhile.
  FakeCluster Cluster(4);
  Cluster.startAndAwaitWritable(TwoOrganisations);
  std::vector<std::shared_ptr<HttpConnection>> Desks;
  std::vector<std::shared_ptr<CallerResponse>> Begun;
  for (int Index = 0; Index < 20; ++Index) {
    Desks.push_back(Cluster.connectTo(Index % 2 == 0 ? "entry-1" : "entry-2"));
    Begun.push_back(
        Cluster.sendOver(*Desks.back(), {.Organisation = "mills",
                                         .Path = "/transaction/begin"}));
  }
  Callers All(Cluster);
  All.offer(Millis(2000), {{"port-clerks", "handover", 50}});
  CHECK(All.number("port-clerks", "done") == All.number("port-clerks"));
  CHECK(std::count_if(Begun.begin(), Begun.end(), [](const auto &Each) {
          return Each->Outcome == "done";
        }) >= 2);
}

TEST_CASE("No server has a connection too many while processes restart",
          "[admission][cluster]") {
  // Proxies and the control leader die under load and come back. Each target
  // is watched every millisecond; it would take far more connections than
  // its limit, so that one too many shows.
  const auto Seed = GENERATE(range(1, 6));
  CAPTURE(Seed);
  FakeCluster Cluster(static_cast<std::uint64_t>(Seed), 3, 3);
  Cluster.TargetOptions.Connections = 100;
  Cluster.TargetOptions.ServiceTime = Millis(5);
  Cluster.startAndAwaitWritable(TwoOrganisations);
  std::size_t Most = 0;
  const auto Watch = [&] {
    for (const auto &[Name, Each] : Cluster.Targets)
      Most = std::max(Most, Each->connections());
  };
  const std::vector<Stream> Load = {{"port-clerks", "lookup", 150},
                                    {"mills", "lookup", 300},
                                    {"mills", "handover", 50}};
  Callers All(Cluster);
  for (const std::string Name : {"entry-1", "entry-2", "leader", "entry-3"}) {
    All.offer(Millis(700), Load, Watch);
    const std::string Victim = Name == "leader" ? leaderName(Cluster) : Name;
    Cluster.kill(Victim);
    All.offer(Millis(700), Load, Watch);
    if (Name == "leader")
      Cluster.startControl(Victim);
    else
      Cluster.startProxy(Victim);
  }
  All.offer(Millis(1500), Load, Watch);
  CHECK(Most <= 6);
  CHECK(Most >= 3);
  const std::size_t Done =
      All.number("port-clerks", "done") + All.number("mills", "done");
  CHECK(static_cast<double>(Done) >= 0.9 * static_cast<double>(All.All.size()));
}

TEST_CASE("A proxy that is cut off keeps its connections until they end",
          "[admission][cluster]") {
  // A busy proxy is cut off from control with most connections open. Long
  // after its lease has ended, the leader dies as well. The next leader knows
  // of the proxy only because it's still registered; without that it would
  // lend the same connections again while they are open.
  FakeCluster Cluster(5);
  Cluster.TargetOptions.Connections = 100;
  Cluster.TargetOptions.ServiceTime = Millis(20);
  Cluster.startAndAwaitWritable(TwoOrganisations);
  std::size_t Most = 0;
  const auto Load = [&](const std::string &Proxy, std::int64_t Span) {
    for (std::int64_t At = 0; At < Span; ++At) {
      if (At % 4 == 0)
        Cluster.send(Proxy, {.Kind = "lookup", .Body = "get bale"});
      Cluster.Loop.runFor(Millis(1));
      for (const auto &[Name, Each] : Cluster.Targets)
        Most = std::max(Most, Each->connections());
    }
  };
  const auto Lent = [&](const std::string &Proxy) {
    std::uint32_t Sum = 0;
    for (const auto &[Name, Each] :
         Cluster.Proxies[Proxy]->rights().allocations())
      Sum = std::max(Sum, Each);
    return Sum;
  };
  Load("entry-1", 2000);
  REQUIRE(Lent("entry-1") == 5);
  for (const auto &[Name, Each] : Cluster.Controls)
    Cluster.Net.cutBoth(Name, "entry-1");
  Load("entry-2", 7500);
  Cluster.kill(leaderName(Cluster));
  Load("entry-2", 2000);
  CHECK(Lent("entry-2") == 1);
  Load("entry-2", 12000);
  CHECK(Lent("entry-2") == 6);
  CHECK(Most <= 6);
}

TEST_CASE("A planned stop leaves its connections to the others",
          "[admission][cluster]") {
  // A busy proxy stops as planned. The other proxy, whose callers wait for
  // connections, has all of them within two seconds, and not after ten.
  FakeCluster Cluster(6);
  Cluster.TargetOptions.ServiceTime = Millis(20);
  Cluster.startAndAwaitWritable(TwoOrganisations);
  const auto Load = [&](const std::string &Proxy, std::int64_t Span) {
    for (std::int64_t At = 0; At < Span; At += 4) {
      Cluster.send(Proxy, {.Kind = "lookup", .Body = "get bale"});
      Cluster.Loop.runFor(Millis(4));
    }
  };
  Load("entry-1", 1500);
  Cluster.Loop.runFor(Millis(600));
  Cluster.Proxies["entry-1"]->releaseRights();
  Cluster.Loop.runFor(Millis(10));
  Cluster.kill("entry-1");
  Load("entry-2", 2000);
  std::uint32_t Most = 0;
  for (const auto &[Name, Each] :
       Cluster.Proxies["entry-2"]->rights().allocations())
    Most = std::max(Most, Each);
  CHECK(Most == 6);
}

TEST_CASE("A slow replica holds up few reads", "[admission]") {
  // One of two replicas takes 250 ms for what the other does in 4. Mill
  // auditors look bales up at two thirds of what the quick one serves. Sent to
  // either by chance, reads pile up at the slow one and its callers are
  // refused (58 of 1650); by what is under way at each, hardly any are.
  FakeCluster Cluster(1);
  Cluster.applyManifest(TwoOrganisations);
  Cluster.TargetOptions.ServiceTime = Millis(4);
  Cluster.startTarget("ledger-1", "bale-ledger-1");
  Cluster.startTarget("ledger-2", "bale-ledger-1");
  REQUIRE(Cluster.Loop.runUntilTrue(
      [&] { return Cluster.isWritable("bale-ledger-1"); }, Millis(5000)));
  const std::string Quick =
      Cluster.group("bale-ledger-1")->Primary == "ledger-1" ? "ledger-2"
                                                            : "ledger-1";
  Cluster.TargetOptions.ServiceTime = Millis(250);
  Cluster.startTarget("ledger-3", "bale-ledger-1");
  Cluster.Loop.runFor(Millis(2000));
  Callers Auditors(Cluster);
  Auditors.offer(Millis(5000), {{"mills", "lookup", 330}});
  std::size_t InTime = 0;
  std::size_t BySlow = 0;
  for (const Callers::Sent &Each : Auditors.All) {
    InTime += Each.Answer->Outcome == "done" ? 1U : 0U;
    BySlow += Each.Answer->Target == "ledger-3" ? 1U : 0U;
  }
  CAPTURE(Auditors.All.size(), InTime, BySlow);
  CHECK(InTime * 100 >= Auditors.All.size() * 98);
  CHECK(BySlow * 10 <= Auditors.All.size());
}
