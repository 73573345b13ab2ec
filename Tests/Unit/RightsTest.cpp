/// \file
/// Connection rights: how they are divided, and that the connection limit of a
/// target is never exceeded.

#include "Rights/ConnectionDivision.h"
#include "Rights/ConnectionLedger.h"
#include "Rights/ConnectionRights.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>

using namespace corianderdyke;

namespace {

constexpr std::uint32_t Limit = 16;
constexpr std::uint32_t DriftPpm = 1000;
const std::string Target = "ledger-1-1";

ClusterView viewOf(std::uint64_t Proxies) {
  ClusterView Out;
  Manifest Current;
  Current.Databases.push_back({.Name = "ledger-1"});
  Out.CurrentManifest = Current;
  Out.Targets[Target] = {Target, "ledger-1", {}, {}, 1, false, {}};
  for (std::uint64_t Index = 1; Index <= Proxies; ++Index)
    Out.Proxies[{"entry-" + std::to_string(Index), 1}] = {};
  return Out;
}

/// One incarnation of a proxy, with its own clock.
struct ProxyIncarnation {
  explicit ProxyIncarnation(ProcessId Id) : Rights(Id), Id(std::move(Id)) {}

  ConnectionRights Rights;
  ProcessId Id;
  std::int64_t Ppm = 0;
  std::uint32_t Open = 0;
  bool Dead = false;
  bool Partitioned = false;

  Millis clock(Millis TrueTime) const {
    return Millis(TrueTime.count() + TrueTime.count() * Ppm / 1000000);
  }
  /// Acts as the connection pool: opens up to \p Wanted connections within the
  /// limit, and closes those above the limit if \p MayClose or if the lease has
  /// expired.
  void use(Millis TrueTime, std::uint32_t Wanted, bool MayClose) {
    const std::uint32_t Allowed = Rights.limit(Target, clock(TrueTime));
    Open = MayClose || clock(TrueTime) >= Rights.end() ? std::min(Open, Allowed)
                                                       : Open;
    if (Open < Allowed)
      Open = std::min(Wanted, Allowed);
  }
};

/// Proxies, a sequence of control leaders, and a network that delays, loses and
/// duplicates messages.
class RightsSimulation {
public:
  explicit RightsSimulation(std::uint64_t Seed)
      : Random(Seed), View(viewOf(5)) {
    for (const auto &[Id, Where] : View.Proxies)
      addIncarnation(Id);
    elect();
  }

  void step() {
    Now += Millis(20);
    deliver();
    if (chance(1500))
      elect();
    if (chance(150))
      restart(anyIncarnation());
    if (chance(100))
      anyIncarnation().Partitioned = !anyIncarnation().Partitioned;
    for (ProxyIncarnation &Each : Incarnations) {
      if (Each.Dead)
        continue;
      Each.use(Now, below(12), chance(2));
      if (!chance(8))
        continue;
      const std::map<std::string, ConnectionUse> Use = {
          {Target, {Each.Open, below(14)}}};
      // The leader may change before a request arrives.
      InFlight.insert(
          {arrival(), {Each.Rights.request(Use, Each.clock(Now)), {}}});
    }
  }

  /// Returns the number of connections that live proxies have open or may open.
  std::uint32_t total() const {
    std::uint32_t Sum = 0;
    for (const ProxyIncarnation &Each : Incarnations)
      if (!Each.Dead)
        Sum += std::max(Each.Open, Each.Rights.limit(Target, Each.clock(Now)));
    return Sum;
  }

private:
  struct Message {
    std::optional<RightsRequest> Request;
    std::optional<RightsGrant> Grant;
  };

  std::uint32_t below(std::uint32_t Bound) {
    return static_cast<std::uint32_t>(Random() % Bound);
  }
  bool chance(std::uint32_t OneIn) { return below(OneIn) == 0; }
  ProxyIncarnation &anyIncarnation() {
    return Incarnations[below(static_cast<std::uint32_t>(Incarnations.size()))];
  }
  Millis arrival() { return Now + Millis(below(chance(20) ? 3000 : 60)); }

  void addIncarnation(const ProcessId &Id) {
    Incarnations.emplace_back(Id);
    Incarnations.back().Ppm =
        static_cast<std::int64_t>(below(2 * DriftPpm + 1)) -
        static_cast<std::int64_t>(DriftPpm);
  }

  void restart(ProxyIncarnation &Old) {
    if (Old.Dead)
      return;
    Old.Dead = true;
    ProcessId Next{Old.Id.Name, Old.Id.Incarnation + 1};
    View.Proxies[Next] = {};
    addIncarnation(Next);
  }

  void elect() {
    Leader.startTerm(++Term, View, Now);
    LeadsSince = Now;
  }

  void deliver() {
    while (!InFlight.empty() && InFlight.begin()->first <= Now) {
      const Message Each =
          std::move(InFlight.extract(InFlight.begin()).mapped());
      const ProcessId &Id =
          Each.Request ? Each.Request->Proxy : Each.Grant->Proxy;
      const auto To = std::find_if(Incarnations.begin(), Incarnations.end(),
                                   [&](const ProxyIncarnation &Candidate) {
                                     return Candidate.Id == Id;
                                   });
      if (To->Partitioned || chance(10))
        continue;
      if (Each.Grant && !To->Dead)
        To->Rights.apply(*Each.Grant);
      if (Each.Request)
        if (const auto Grant = Leader.handleRequest(*Each.Request, View, Now)) {
          InFlight.insert({arrival(), {{}, Grant}});
          if (chance(10))
            InFlight.insert({arrival(), {{}, Grant}});
        }
    }
  }

  std::mt19937_64 Random;
  ClusterView View;
  Millis Now = Millis(1000);
  Millis LeadsSince;
  std::uint64_t Term = 0;
  ConnectionLedger Leader;
  std::deque<ProxyIncarnation> Incarnations;
  std::multimap<Millis, Message> InFlight;
};

/// Exchanges requests and grants without loss.
void exchange(ProxyIncarnation &Proxy, ConnectionLedger &Ledger,
              const ClusterView &View, Millis Now, std::uint32_t Wanted) {
  for (int Turn = 0; Turn < 2; ++Turn) {
    const auto Grant = Ledger.handleRequest(
        Proxy.Rights.request({{Target, {Proxy.Open, Wanted}}},
                             Proxy.clock(Now)),
        View, Now);
    if (!Grant || !Proxy.Rights.apply(*Grant))
      return;
  }
}

} // namespace

TEST_CASE("Connections are divided by demand", "[rights]") {
  struct Row {
    std::vector<ConnectionClaim> Claims;
    std::vector<std::uint32_t> Allocations;
  };
  const auto Each = GENERATE(values<Row>({
      {{{20, 0}, {0, 0}, {0, 0}, {0, 0}}, {13, 1, 1, 1}},
      {{{20, 0}, {20, 0}}, {8, 8}},
      {{{2, 0}, {30, 0}, {30, 0}}, {2, 7, 7}},
      {{{9, 0}, {9, 0}, {9, 6}}, {5, 5, 6}},
      {std::vector<ConnectionClaim>(17, {0, 0}),
       std::vector<std::uint32_t>(17, 0)},
  }));
  CHECK(divideConnections(Limit, Each.Claims) == Each.Allocations);
}

TEST_CASE("The limit holds over restarts, partitions and delays", "[rights]") {
  // Five proxies restart, are partitioned and have drifting clocks; leaders
  // change; messages are lost, duplicated and delayed by up to 3 s. A target
  // refuses a connection above its limit, and the statement of a caller fails.
  const auto Seed = GENERATE(range(1, 101));
  CAPTURE(Seed);
  RightsSimulation Simulation(static_cast<std::uint64_t>(Seed));
  std::uint32_t MaxTotal = 0;
  for (int Turn = 0; Turn < 3000; ++Turn) {
    Simulation.step();
    MaxTotal = std::max(MaxTotal, Simulation.total());
  }
  CHECK(MaxTotal <= Limit);
  // Rules out an implementation that grants nothing.
  CHECK(MaxTotal >= Limit - 4);
}

TEST_CASE(
    "The connections of a failed proxy are granted again when its lease ends",
    "[rights]") {
  // A proxy that holds all connections but one is killed. The other proxy must
  // receive them once the lease has expired by every clock within the drift
  // bound, not before, and not much later.
  const ClusterView View = viewOf(2);
  ConnectionLedger Ledger;
  Ledger.startTerm(1, View, Millis(-20000));
  ProxyIncarnation Dead({"entry-1", 1});
  ProxyIncarnation Other({"entry-2", 1});
  exchange(Dead, Ledger, View, Millis(1000), 40);
  exchange(Other, Ledger, View, Millis(1000), 1);
  // One request is granted fewer connections; the next one reports them as
  // returned.
  exchange(Dead, Ledger, View, Millis(1000), 40);
  exchange(Dead, Ledger, View, Millis(1000), 40);
  const std::uint32_t Lost = Dead.Rights.limit(Target, Millis(1000));
  REQUIRE(Lost >= 14);
  exchange(Other, Ledger, View, Millis(10900), 40);
  CHECK(Other.Rights.limit(Target, Millis(10900)) == Limit - Lost);
  exchange(Other, Ledger, View, Millis(11030), 40);
  CHECK(Other.Rights.limit(Target, Millis(11030)) == Limit);
}

TEST_CASE("A new leader grants nothing before all proxies have reported",
          "[rights]") {
  // A proxy that has not yet reported to the new leader may hold every
  // connection. Each proxy keeps its connections meanwhile, so that a change of
  // leader does not affect callers.
  const ClusterView View = viewOf(2);
  ConnectionLedger Former;
  Former.startTerm(1, View, Millis(-20000));
  ProxyIncarnation One({"entry-1", 1});
  ProxyIncarnation Two({"entry-2", 1});
  exchange(One, Former, View, Millis(1000), 4);
  exchange(Two, Former, View, Millis(1000), 4);
  ConnectionLedger Next;
  Next.startTerm(2, View, Millis(1500));
  exchange(One, Next, View, Millis(1600), 9);
  CHECK(One.Rights.limit(Target, Millis(1600)) == 4);
  exchange(Two, Next, View, Millis(1700), 4);
  exchange(One, Next, View, Millis(1800), 9);
  CHECK(One.Rights.limit(Target, Millis(1800)) == 9);
}

TEST_CASE("Clock drift within the bound causes no double grants", "[rights]") {
  // A proxy is partitioned while it holds all connections; its clock is slow
  // and that of the leader fast. Its lease lasts longer than the clock of the
  // leader shows, and another proxy sends requests all the time, to the same
  // leader or to the next one.
  const bool LeaderChanges = GENERATE(false, true);
  const auto Fast = [](Millis TrueTime) {
    return Millis(TrueTime.count() + TrueTime.count() * DriftPpm / 1000000);
  };
  const ClusterView View = viewOf(2);
  ConnectionLedger Ledger;
  Ledger.startTerm(1, View, Millis(-20000));
  ProxyIncarnation Partitioned({"entry-1", 1});
  ProxyIncarnation Other({"entry-2", 1});
  Partitioned.Ppm = -static_cast<std::int64_t>(DriftPpm);
  exchange(Partitioned, Ledger, View, Millis(1000), 40);
  REQUIRE(Partitioned.Rights.limit(Target, Partitioned.clock(Millis(1000))) ==
          Limit);
  if (LeaderChanges)
    Ledger.startTerm(2, View, Fast(Millis(1001)));
  for (Millis Now(10900); Now < Millis(11100); Now += Millis(1)) {
    exchange(Other, Ledger, View, Fast(Now), 40);
    REQUIRE(Partitioned.Rights.limit(Target, Partitioned.clock(Now)) +
                Other.Rights.limit(Target, Fast(Now)) <=
            Limit);
  }
  CHECK(Other.Rights.limit(Target, Fast(Millis(11100))) == Limit);
}

TEST_CASE("Messages in flight over a change of leader raise no limit",
          "[rights]") {
  // A report and a grant of the former leader's term are in flight when the
  // next leader starts. The leader must not treat the old report as the current
  // state of the proxy, and the proxy must not apply the old grant afterwards.
  const ClusterView View = viewOf(2);
  ConnectionLedger Former;
  Former.startTerm(1, View, Millis(-20000));
  ProxyIncarnation One({"entry-1", 1});
  ProxyIncarnation Two({"entry-2", 1});
  exchange(One, Former, View, Millis(1000), 1);
  exchange(Two, Former, View, Millis(1000), 1);
  const auto Delayed = One.Rights.request({{Target, {0, 1}}}, Millis(1100));
  const auto Granted = Former.handleRequest(
      One.Rights.request({{Target, {0, 12}}}, Millis(1200)), View,
      Millis(1200));
  REQUIRE(Granted);
  ConnectionLedger Next;
  Next.startTerm(2, View, Millis(1300));
  SECTION("an old report") {
    One.Rights.apply(*Granted);
    if (const auto Answer = Next.handleRequest(Delayed, View, Millis(1400)))
      CHECK(Answer->Duration == Millis());
    exchange(Two, Next, View, Millis(1400), 40);
    exchange(Two, Next, View, Millis(1500), 40);
  }
  SECTION("an old grant") {
    const auto Ask = [&] {
      return Next.handleRequest(
          One.Rights.request({{Target, {0, 1}}}, Millis(1400)), View,
          Millis(1400));
    };
    CHECK(One.Rights.apply(*Ask()));
    CHECK(Ask()); // This grant is lost.
    exchange(Two, Next, View, Millis(1400), 40);
    exchange(Two, Next, View, Millis(1500), 40);
    One.Rights.apply(*Granted);
  }
  CHECK(One.Rights.limit(Target, Millis(1500)) +
            Two.Rights.limit(Target, Millis(1500)) <=
        Limit);
}
