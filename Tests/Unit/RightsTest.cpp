/// \file
/// Connection rights: how they're divided, and that they never pass a limit.

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

/// One life of a proxy, with a clock of its own.
struct Life {
  explicit Life(ProcessId Id) : Rights(Id), Id(std::move(Id)) {}

  ConnectionRights Rights;
  ProcessId Id;
  std::int64_t Ppm = 0;
  std::uint32_t Open = 0;
  bool Dead = false;
  bool Cut = false;

  Millis clock(Millis True) const {
    return Millis(True.count() + True.count() * Ppm / 1000000);
  }
  /// What the pool does: closes what's above its limit when it may.
  void use(Millis True, std::uint32_t Wanted, bool MayClose) {
    const std::uint32_t Most = Rights.limit(Target, clock(True));
    Open =
        MayClose || clock(True) >= Rights.end() ? std::min(Open, Most) : Open;
    if (Open < Most)
      Open = std::min(Wanted, Most);
  }
};

/// Proxies, three control hosts in turn, and a network that delays, loses
/// and repeats.
class RightsWorld {
public:
  explicit RightsWorld(std::uint64_t Seed) : Random(Seed), View(viewOf(5)) {
    for (const auto &[Id, Where] : View.Proxies)
      addLife(Id);
    elect();
  }

  void step() {
    Now += Millis(20);
    deliver();
    if (chance(1500))
      elect();
    if (chance(150))
      restart(pick());
    if (chance(100))
      pick().Cut = !pick().Cut;
    for (Life &Each : Lives) {
      if (Each.Dead)
        continue;
      Each.use(Now, below(12), chance(2));
      if (!chance(8))
        continue;
      const std::map<std::string, ConnectionUse> Use = {
          {Target, {Each.Open, below(14)}}};
      // A request may reach a host that leads no more.
      Mail.insert({arrival(), {Each.Rights.request(Use, Each.clock(Now)), {}}});
    }
  }

  /// Connections that are open or may be opened by anyone who is alive.
  std::uint32_t total() const {
    std::uint32_t Sum = 0;
    for (const Life &Each : Lives)
      if (!Each.Dead)
        Sum += std::max(Each.Open, Each.Rights.limit(Target, Each.clock(Now)));
    return Sum;
  }

private:
  struct Letter {
    std::optional<RightsRequest> Request;
    std::optional<RightsGrant> Grant;
  };

  std::uint32_t below(std::uint32_t Bound) {
    return static_cast<std::uint32_t>(Random() % Bound);
  }
  bool chance(std::uint32_t OneIn) { return below(OneIn) == 0; }
  Life &pick() {
    return Lives[below(static_cast<std::uint32_t>(Lives.size()))];
  }
  Millis arrival() { return Now + Millis(below(chance(20) ? 3000 : 60)); }

  void addLife(const ProcessId &Id) {
    Lives.emplace_back(Id);
    Lives.back().Ppm = static_cast<std::int64_t>(below(2 * DriftPpm + 1)) -
                       static_cast<std::int64_t>(DriftPpm);
  }

  void restart(Life &Old) {
    if (Old.Dead)
      return;
    Old.Dead = true;
    ProcessId Next{Old.Id.Name, Old.Id.Incarnation + 1};
    View.Proxies[Next] = {};
    addLife(Next);
  }

  void elect() {
    Leader.startTerm(++Term, View, Now);
    LeadsSince = Now;
  }

  void deliver() {
    while (!Mail.empty() && Mail.begin()->first <= Now) {
      const Letter Each = std::move(Mail.extract(Mail.begin()).mapped());
      const ProcessId &Id =
          Each.Request ? Each.Request->Proxy : Each.Grant->Proxy;
      const auto Of = std::find_if(Lives.begin(), Lives.end(),
                                   [&](const Life &L) { return L.Id == Id; });
      if (Of->Cut || chance(10))
        continue;
      if (Each.Grant && !Of->Dead)
        Of->Rights.apply(*Each.Grant);
      if (Each.Request)
        if (const auto Grant = Leader.handleRequest(*Each.Request, View, Now)) {
          Mail.insert({arrival(), {{}, Grant}});
          if (chance(10))
            Mail.insert({arrival(), {{}, Grant}});
        }
    }
  }

  std::mt19937_64 Random;
  ClusterView View;
  Millis Now = Millis(1000);
  Millis LeadsSince;
  std::uint64_t Term = 0;
  ConnectionLedger Leader;
  std::deque<Life> Lives;
  std::multimap<Millis, Letter> Mail;
};

/// Exchanges a request and its answer without loss.
void exchange(Life &Of, ConnectionLedger &With, const ClusterView &View,
              Millis Now, std::uint32_t Wanted) {
  for (int Turn = 0; Turn < 2; ++Turn) {
    const auto Grant = With.handleRequest(
        Of.Rights.request({{Target, {Of.Open, Wanted}}}, Of.clock(Now)), View,
        Now);
    if (!Grant || !Of.Rights.apply(*Grant))
      return;
  }
}

} // namespace

TEST_CASE("Connections are divided by demand", "[rights]") {
  struct Row {
    std::vector<ConnectionClaim> Claims;
    std::vector<std::uint32_t> Parts;
  };
  const auto Each = GENERATE(values<Row>({
      {{{20, 0}, {0, 0}, {0, 0}, {0, 0}}, {13, 1, 1, 1}},
      {{{20, 0}, {20, 0}}, {8, 8}},
      {{{2, 0}, {30, 0}, {30, 0}}, {2, 7, 7}},
      {{{9, 0}, {9, 0}, {9, 6}}, {5, 5, 6}},
      {std::vector<ConnectionClaim>(17, {0, 0}),
       std::vector<std::uint32_t>(17, 0)},
  }));
  CHECK(divideConnections(Limit, Each.Claims) == Each.Parts);
}

TEST_CASE("The limit holds whatever restarts, is cut or comes late",
          "[rights]") {
  // Five proxies restart, are cut off and run on wrong clocks; leaders change;
  // messages are lost, repeated and up to 3 s late. A server that gets one
  // connection too many refuses it, and a caller's statement with it.
  const auto Seed = GENERATE(range(1, 101));
  CAPTURE(Seed);
  RightsWorld World(static_cast<std::uint64_t>(Seed));
  std::uint32_t Most = 0;
  for (int Turn = 0; Turn < 3000; ++Turn) {
    World.step();
    Most = std::max(Most, World.total());
  }
  CHECK(Most <= Limit);
  // The rule that lends nothing would pass as well.
  CHECK(Most >= Limit - 4);
}

TEST_CASE("A dead proxy's connections are lent again when its lease ends",
          "[rights]") {
  // One proxy has all but one connection and dies. The other gets them when
  // the lease has ended by any clock, not before, and not much later.
  const ClusterView View = viewOf(2);
  ConnectionLedger Ledger;
  Ledger.startTerm(1, View, Millis(-20000));
  Life Dead({"entry-1", 1});
  Life Other({"entry-2", 1});
  exchange(Dead, Ledger, View, Millis(1000), 40);
  exchange(Other, Ledger, View, Millis(1000), 1);
  // One request is answered with fewer, the next reports that they're back.
  exchange(Dead, Ledger, View, Millis(1000), 40);
  exchange(Dead, Ledger, View, Millis(1000), 40);
  const std::uint32_t Lost = Dead.Rights.limit(Target, Millis(1000));
  REQUIRE(Lost >= 14);
  exchange(Other, Ledger, View, Millis(10900), 40);
  CHECK(Other.Rights.limit(Target, Millis(10900)) == Limit - Lost);
  exchange(Other, Ledger, View, Millis(11030), 40);
  CHECK(Other.Rights.limit(Target, Millis(11030)) == Limit);
}

TEST_CASE("A new leader lends nothing before it has heard all", "[rights]") {
  // A proxy that the new leader hasn't heard may hold every connection. It
  // keeps its own meanwhile: a change of the leader costs no caller anything.
  const ClusterView View = viewOf(2);
  ConnectionLedger Former;
  Former.startTerm(1, View, Millis(-20000));
  Life One({"entry-1", 1});
  Life Two({"entry-2", 1});
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

TEST_CASE("Clocks that are off within the bound lend nothing twice",
          "[rights]") {
  // A proxy is cut off with all connections; its clock runs slow and the
  // leader's fast. Its lease lasts longer than the leader's clock says, and
  // another proxy asks all the time, of the same leader or of the next one.
  const bool LeaderChanges = GENERATE(false, true);
  const auto Fast = [](Millis True) {
    return Millis(True.count() + True.count() * DriftPpm / 1000000);
  };
  const ClusterView View = viewOf(2);
  ConnectionLedger Ledger;
  Ledger.startTerm(1, View, Millis(-20000));
  Life Cut({"entry-1", 1});
  Life Other({"entry-2", 1});
  Cut.Ppm = -static_cast<std::int64_t>(DriftPpm);
  exchange(Cut, Ledger, View, Millis(1000), 40);
  REQUIRE(Cut.Rights.limit(Target, Cut.clock(Millis(1000))) == Limit);
  if (LeaderChanges)
    Ledger.startTerm(2, View, Fast(Millis(1001)));
  for (Millis Now(10900); Now < Millis(11100); Now += Millis(1)) {
    exchange(Other, Ledger, View, Fast(Now), 40);
    REQUIRE(Cut.Rights.limit(Target, Cut.clock(Now)) +
                Other.Rights.limit(Target, Fast(Now)) <=
            Limit);
  }
  CHECK(Other.Rights.limit(Target, Fast(Millis(11100))) == Limit);
}

TEST_CASE("What crosses a change of the leader raises nothing", "[rights]") {
  // A report and a grant of the former leader's time are still under way
  // when the next leader starts. It must not take the old report for what
  // the proxy holds, and the proxy must not add the old grant afterwards.
  const ClusterView View = viewOf(2);
  ConnectionLedger Former;
  Former.startTerm(1, View, Millis(-20000));
  Life One({"entry-1", 1});
  Life Two({"entry-2", 1});
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
    CHECK(Ask()); // This answer is lost.
    exchange(Two, Next, View, Millis(1400), 40);
    exchange(Two, Next, View, Millis(1500), 40);
    One.Rights.apply(*Granted);
  }
  CHECK(One.Rights.limit(Target, Millis(1500)) +
            Two.Rights.limit(Target, Millis(1500)) <=
        Limit);
}
