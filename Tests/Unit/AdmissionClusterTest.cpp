/// \file
/// Admission control in running proxies: what callers receive when the targets
/// have no free connections.

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

/// An open-loop request stream of one organisation at a fixed rate.
struct Stream {
  std::string Organisation;
  std::string Kind;
  std::int64_t PerSecond = 0;
};

class Callers {
public:
  explicit Callers(FakeCluster &Cluster) : Cluster(Cluster) {}

  /// Sends the load of \p Streams for \p Span, spread over the proxies, and
  /// calls \p EachMilli after every millisecond.
  void offer(
      Millis Span, const std::vector<Stream> &Streams,
      const std::function<void()> &EachMilli = [] {}) {
    std::vector<std::int64_t> Due(Streams.size(), 0);
    for (const Millis End = Cluster.Loop.now() + Span;
         Cluster.Loop.now() < End;) {
      for (std::size_t Index = 0; Index < Streams.size(); ++Index)
        for (Due[Index] += Streams[Index].PerSecond; Due[Index] >= 1000;
             Due[Index] -= 1000)
          sendRequest(Streams[Index]);
      Cluster.Loop.runFor(Millis(1));
      EachMilli();
    }
    Cluster.Loop.runFor(Millis(3000));
  }

  std::size_t countRequests(const std::string &Organisation,
                            const std::string &Outcome = {}) const {
    return static_cast<std::size_t>(
        std::count_if(Requests.begin(), Requests.end(), [&](const Sent &Each) {
          return Each.Organisation == Organisation &&
                 (Outcome.empty() || Each.Answer->Outcome == Outcome);
        }));
  }

  /// Returns the response times of refused requests in ascending order.
  std::vector<Millis> refusedAfter() const {
    std::vector<Millis> Out;
    for (const Sent &Each : Requests)
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
  std::vector<Sent> Requests;

private:
  void sendRequest(const Stream &Source) {
    std::vector<std::string> Open;
    for (const auto &[Name, Node] : Cluster.Proxies)
      if (Node->isReady())
        Open.push_back(Name);
    if (Open.empty())
      return;
    const std::string Key = "k" + std::to_string(Requests.size());
    Requests.push_back(
        {Source.Organisation, Cluster.Loop.now(),
         Cluster.send(
             Open[Requests.size() % Open.size()],
             {.Organisation = Source.Organisation,
              .Kind = Source.Kind,
              .Key = Key,
              .Body = Source.Kind == "lookup" ? "get bale" : "put bale x"})});
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

TEST_CASE("A flood by one organisation does not reduce the share of another",
          "[admission][cluster]") {
  // Two replicas run 400 lookups per second. The mills send 4000, 20 times
  // their half; the clerks send 180. The clerks must be served as if they were
  // alone, the mills get the rest, and a refusal arrives at once with a retry
  // delay.
  FakeCluster Cluster(3);
  Cluster.TargetOptions.ServiceTime = Millis(10);
  Cluster.startAndAwaitWritable(TwoOrganisations);
  Callers All(Cluster);
  All.offer(Millis(3000),
            {{"port-clerks", "lookup", 180}, {"mills", "lookup", 4000}});
  const double Clerks = static_cast<double>(All.countRequests("port-clerks"));
  CHECK(static_cast<double>(All.countRequests("port-clerks", "done")) >=
        0.95 * Clerks);
  CHECK(All.countRequests("mills", "done") >= 550);
  CHECK(All.countRequests("mills", "unknown") == 0);
  const std::vector<Millis> Refused = All.refusedAfter();
  REQUIRE(Refused.size() > 8000);
  CHECK(Refused[Refused.size() * 95 / 100] <= Millis(20));
  for (const auto &Each : All.Requests)
    if (Each.Answer->Outcome == "not-run")
      REQUIRE(Each.Answer->RetryAfter > Millis());
}

TEST_CASE("Idle transactions do not block other organisations",
          "[admission][cluster]") {
  // The mills open transactions and leave them idle. Each holds a connection
  // until the idle timeout. Writes of other organisations must still run.
  FakeCluster Cluster(4);
  Cluster.startAndAwaitWritable(TwoOrganisations);
  std::vector<std::shared_ptr<HttpConnection>> Connections;
  std::vector<std::shared_ptr<CallerResponse>> Begun;
  for (int Index = 0; Index < 20; ++Index) {
    Connections.push_back(
        Cluster.connectTo(Index % 2 == 0 ? "entry-1" : "entry-2"));
    Begun.push_back(
        Cluster.sendOver(*Connections.back(), {.Organisation = "mills",
                                               .Path = "/transaction/begin"}));
  }
  Callers All(Cluster);
  All.offer(Millis(2000), {{"port-clerks", "handover", 50}});
  CHECK(All.countRequests("port-clerks", "done") ==
        All.countRequests("port-clerks"));
  CHECK(std::count_if(Begun.begin(), Begun.end(), [](const auto &Each) {
          return Each->Outcome == "done";
        }) >= 2);
}

TEST_CASE("The connection limit of a target holds while processes restart",
          "[admission][cluster]") {
  // Proxies and the control leader are killed under load and restarted. The
  // connections of each target are counted every millisecond. The targets
  // themselves accept far more than the limit, so that an excess is visible.
  const auto Seed = GENERATE(range(1, 6));
  CAPTURE(Seed);
  FakeCluster Cluster(static_cast<std::uint64_t>(Seed), 3, 3);
  Cluster.TargetOptions.Connections = 100;
  Cluster.TargetOptions.ServiceTime = Millis(5);
  Cluster.startAndAwaitWritable(TwoOrganisations);
  std::size_t MaxConnections = 0;
  const auto RecordMax = [&] {
    for (const auto &[Name, Each] : Cluster.Targets)
      MaxConnections = std::max(MaxConnections, Each->connections());
  };
  const std::vector<Stream> Load = {{"port-clerks", "lookup", 150},
                                    {"mills", "lookup", 300},
                                    {"mills", "handover", 50}};
  Callers All(Cluster);
  for (const std::string Name : {"entry-1", "entry-2", "leader", "entry-3"}) {
    All.offer(Millis(700), Load, RecordMax);
    const std::string Victim = Name == "leader" ? leaderName(Cluster) : Name;
    Cluster.kill(Victim);
    All.offer(Millis(700), Load, RecordMax);
    if (Name == "leader")
      Cluster.startControl(Victim);
    else
      Cluster.startProxy(Victim);
  }
  All.offer(Millis(1500), Load, RecordMax);
  CHECK(MaxConnections <= 6);
  CHECK(MaxConnections >= 3);
  const std::size_t Done = All.countRequests("port-clerks", "done") +
                           All.countRequests("mills", "done");
  CHECK(static_cast<double>(Done) >=
        0.9 * static_cast<double>(All.Requests.size()));
}

TEST_CASE("The connections of a partitioned proxy are reserved until they end",
          "[admission][cluster]") {
  // A busy proxy is partitioned from control while it has most connections
  // open. Long after its lease has ended, the leader is killed as well. The
  // next leader knows the proxy only because it is still registered; otherwise
  // it would allocate the same connections again while they are open.
  FakeCluster Cluster(5);
  Cluster.TargetOptions.Connections = 100;
  Cluster.TargetOptions.ServiceTime = Millis(20);
  Cluster.startAndAwaitWritable(TwoOrganisations);
  std::size_t MaxConnections = 0;
  const auto Load = [&](const std::string &Proxy, std::int64_t Span) {
    for (std::int64_t At = 0; At < Span; ++At) {
      if (At % 4 == 0)
        Cluster.send(Proxy, {.Kind = "lookup", .Body = "get bale"});
      Cluster.Loop.runFor(Millis(1));
      for (const auto &[Name, Each] : Cluster.Targets)
        MaxConnections = std::max(MaxConnections, Each->connections());
    }
  };
  const auto LargestAllocation = [&](const std::string &Proxy) {
    std::uint32_t Sum = 0;
    for (const auto &[Name, Each] :
         Cluster.Proxies[Proxy]->rights().allocations())
      Sum = std::max(Sum, Each);
    return Sum;
  };
  Load("entry-1", 2000);
  REQUIRE(LargestAllocation("entry-1") == 5);
  for (const auto &[Name, Each] : Cluster.Controls)
    Cluster.Net.cutBoth(Name, "entry-1");
  Load("entry-2", 7500);
  Cluster.kill(leaderName(Cluster));
  Load("entry-2", 2000);
  CHECK(LargestAllocation("entry-2") == 1);
  Load("entry-2", 12000);
  CHECK(LargestAllocation("entry-2") == 6);
  CHECK(MaxConnections <= 6);
}

TEST_CASE("A planned stop releases connections to the other proxies",
          "[admission][cluster]") {
  // A busy proxy shuts down as planned. The other proxy, whose callers wait
  // for connections, must have all of them within 2 s instead of 10 s.
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
  std::uint32_t MaxConnections = 0;
  for (const auto &[Name, Each] :
       Cluster.Proxies["entry-2"]->rights().allocations())
    MaxConnections = std::max(MaxConnections, Each);
  CHECK(MaxConnections == 6);
}

TEST_CASE("A slow replica delays few reads", "[admission]") {
  // One of two replicas takes 250 ms for a read, the other 4 ms. The load is
  // two thirds of the capacity of the fast one. With random selection, reads
  // queue at the slow replica and 58 of 1650 are refused; with selection by
  // requests in flight, hardly any are.
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
  for (const Callers::Sent &Each : Auditors.Requests) {
    InTime += Each.Answer->Outcome == "done" ? 1U : 0U;
    BySlow += Each.Answer->Target == "ledger-3" ? 1U : 0U;
  }
  CAPTURE(Auditors.Requests.size(), InTime, BySlow);
  CHECK(InTime * 100 >= Auditors.Requests.size() * 98);
  CHECK(BySlow * 10 <= Auditors.Requests.size());
}
