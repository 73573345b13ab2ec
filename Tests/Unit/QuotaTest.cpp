/// \file
/// How many operations of an organisation begin, over all proxies, whatever
/// happens to them and to control.

#include "FakeGroup.h"
#include "FakeNetwork.h"
#include "Quota/OperationPermits.h"
#include "Quota/SeatLedger.h"

#include <catch2/catch.hpp>
#include <random>

using namespace corianderdyke;

namespace {

constexpr const char *Mills = "mills";

RoutePlan planWith(std::uint64_t Version, double PerSecond, double Burst) {
  RoutePlan Out = planOfOrganisations(Version, {Mills});
  Out.Organisations.front().Limit = Quota{PerSecond, Burst};
  return Out;
}

/// Proxies that hold seats and a leading control host, which exchange requests
/// and grants as a test lets them. Any proxy wants any seat.
class Holders {
public:
  Holders(std::size_t Proxies, std::uint64_t Seed, double PerSecond,
          double Burst)
      : Random(Seed), Plan(planWith(1, PerSecond, Burst)) {
    for (std::size_t Each = 0; Each < Proxies; ++Each) {
      Seats.emplace_back(ProcessId{name(Each), 1});
      Seats.back().adopt(Plan);
      Incarnations.push_back(1);
      AskedAt.push_back(Millis(-1000));
    }
    lead();
  }

  static std::string name(std::size_t Proxy) {
    return "p" + std::to_string(Proxy);
  }

  /// A new leader that knows nothing but what the group has noted.
  void lead() { Ledger.startTerm(++Term, Noted, Now); }

  void restart(std::size_t Proxy) {
    Seats[Proxy] = QuotaSeats(ProcessId{name(Proxy), ++Incarnations[Proxy]});
    Seats[Proxy].adopt(Plan);
  }

  void want(std::size_t Proxy, std::uint32_t Count) {
    Seats[Proxy].setWanted(
        Count == 0 ? std::map<std::string, std::uint32_t>{}
                   : std::map<std::string, std::uint32_t>{{Mills, Count}});
  }

  /// Takes what permits there are.
  void drain(std::size_t Proxy) {
    const PermitReply Taken = Seats[Proxy].takePermits(Mills, 1000, Now);
    for (std::uint32_t Each = 0; Each < Taken.Granted; ++Each)
      Given.push_back(Now);
  }

  /// Proxy's exchange with control; some messages are lost or late.
  void exchange(std::size_t Proxy, bool IsReachable) {
    if (Now - AskedAt[Proxy] < Millis(100))
      return;
    AskedAt[Proxy] = Now;
    const SeatRequest Request = Seats[Proxy].request(Now);
    if (!IsReachable || chance(5))
      return;
    const ProcessId Id{name(Proxy), Incarnations[Proxy]};
    if (chance(10))
      LateRequests.push_back({Proxy, Id, Request, Now + Millis(900)});
    else
      answer(Proxy, Id, Request);
  }

  void answer(std::size_t Proxy, const ProcessId &Id,
              const SeatRequest &Request) {
    auto Grant = Ledger.answer(Id, Request, Now);
    const SeatAssignments News = Ledger.takeProposedAssignments();
    for (const auto &[Which, Name] : News)
      Noted[Which] = Name;
    Ledger.applyCommitted(News, Now);
    if (Grant && !chance(5))
      Late.push_back({Proxy, *Grant, Now + Millis(chance(20) ? 700 : 2)});
  }

  void step() {
    Now = Now + Millis(5);
    for (std::size_t Each = 0; Each < Late.size();) {
      if (Late[Each].At > Now) {
        ++Each;
        continue;
      }
      Seats[Late[Each].Proxy].apply(Late[Each].Grant, Now);
      Late.erase(Late.begin() + static_cast<std::ptrdiff_t>(Each));
    }
  }

  void takeLateRequests() {
    for (std::size_t Each = 0; Each < LateRequests.size();) {
      const LateRequest Next = LateRequests[Each];
      if (Next.At > Now) {
        ++Each;
        continue;
      }
      LateRequests.erase(LateRequests.begin() +
                         static_cast<std::ptrdiff_t>(Each));
      answer(Next.Proxy, Next.Id, Next.Request);
    }
  }

  std::size_t held() const {
    std::size_t Out = 0;
    for (const QuotaSeats &Each : Seats)
      Out += Each.held(Now);
    return Out;
  }

  /// The most permits that were given in any span of five seconds.
  std::size_t worstWindow() const {
    std::size_t Most = 0;
    std::size_t First = 0;
    for (std::size_t Last = 0; Last < Given.size(); ++Last) {
      while (Given[Last] - Given[First] >= Millis(5000))
        ++First;
      Most = std::max(Most, Last - First + 1);
    }
    return Most;
  }

  bool chance(int Percent) {
    return std::uniform_int_distribution<int>(0, 99)(Random) < Percent;
  }

  struct LateGrant {
    std::size_t Proxy = 0;
    SeatGrant Grant;
    Millis At;
  };

  struct LateRequest {
    std::size_t Proxy = 0;
    ProcessId Id;
    SeatRequest Request;
    Millis At;
  };

  std::mt19937_64 Random;
  RoutePlan Plan;
  Millis Now{1000};
  std::uint64_t Term = 0;
  SeatLedger Ledger;
  SeatAssignments Noted;
  std::vector<QuotaSeats> Seats;
  std::vector<std::uint64_t> Incarnations;
  std::vector<Millis> AskedAt;
  std::vector<LateGrant> Late;
  std::vector<LateRequest> LateRequests;
  std::vector<Millis> Given;
};

/// Proxies that get permits from each other on a network in memory.
class PermitFleet {
public:
  struct Proxy {
    Proxy(FakeLoop &Loop, FakeNetwork &Net, const std::string &Name)
        : Host(Loop, Name), Peers(Net.attach(Host, {Name, PeerPort})),
          Seats(ProcessId{Name, 1}),
          Permits({Host, Host, *Peers}, Name, PeerPort, Seats) {}

    static constexpr std::uint16_t PeerPort = 7000;
    FakeHost Host;
    std::unique_ptr<Transport> Peers;
    QuotaSeats Seats;
    OperationPermits Permits;
  };

  PermitFleet(std::size_t Count, double PerSecond, double Burst)
      : Net(Loop, 1) {
    for (std::size_t Each = 0; Each < Count; ++Each) {
      const std::string Name = "p" + std::to_string(Each);
      Records.push_back({Name, {Name, 7001}, "here"});
      Proxies.push_back(std::make_unique<Proxy>(Loop, Net, Name));
    }
    for (auto &Each : Proxies) {
      Each->Permits.adopt(planWith(1, PerSecond, Burst));
      Each->Permits.setProxies(Records);
    }
    Ledger.startTerm(1, {}, Loop.now());
    for (int Round = 0; Round < 4; ++Round) {
      for (auto &Each : Proxies)
        renew(*Each);
      Ledger.applyCommitted(Ledger.takeProposedAssignments(), Loop.now());
    }
  }

  ~PermitFleet() { Loop.clear(); }

  void renew(Proxy &Of) {
    if (const auto Grant = Ledger.answer(
            {Of.Host.name(), 1}, Of.Seats.request(Loop.now()), Loop.now()))
      Of.Seats.apply(*Grant, Loop.now());
  }

  /// Asks for a permit at a proxy; counts what comes of it.
  void ask(std::size_t At, Millis Within) {
    ++Asked;
    Proxies[At]->Permits.requestPermit(Mills, Loop.now() + Within,
                                       [this](std::optional<Millis> ComeBack) {
                                         ++(ComeBack ? Refused : Given);
                                       });
  }

  std::size_t holder() const {
    const std::string Name = seatHolders(Mills, Records).front().Name;
    return static_cast<std::size_t>(std::stoi(Name.substr(1)));
  }

  FakeLoop Loop;
  FakeNetwork Net;
  SeatLedger Ledger;
  std::vector<ProxyRecord> Records;
  std::vector<std::unique_ptr<Proxy>> Proxies;
  std::size_t Asked = 0;
  std::size_t Given = 0;
  std::size_t Refused = 0;
};

} // namespace

TEST_CASE("No window sees more than an organisation's quota", "[quota]") {
  // Guards against a seat with two holders while proxies restart, freeze and
  // are cut off, grants come late and leaders change.
  const auto Seed = GENERATE(range(1, 41));
  CAPTURE(Seed);
  constexpr std::size_t Proxies = 6;
  constexpr double PerSecond = 100;
  constexpr double Burst = 60;
  Holders On(Proxies, static_cast<std::uint64_t>(Seed), PerSecond, Burst);
  std::vector<Millis> Away(Proxies); // Cut off, or frozen, until then.
  std::vector<bool> IsFrozen(Proxies);
  while (On.Now < Millis(60000)) {
    On.step();
    On.takeLateRequests();
    if (On.chance(1) && On.chance(20))
      On.lead();
    CHECK(On.held() <= SeatsPerOrganisation);
    for (std::size_t Each = 0; Each < Proxies; ++Each) {
      if (On.chance(1) && On.chance(20))
        On.restart(Each);
      if (On.chance(1))
        On.want(Each, On.chance(50) ? 1 : 0);
      if (On.Now >= Away[Each] && On.chance(1) && On.chance(5)) {
        Away[Each] = On.Now + Millis(On.chance(70) ? 2000 : 12000);
        IsFrozen[Each] = On.chance(50);
      }
      const bool IsAway = On.Now < Away[Each];
      if (IsAway && IsFrozen[Each])
        continue;
      On.exchange(Each, !IsAway);
      On.drain(Each);
    }
  }
  CHECK(On.Given.size() > 300);
  // Each time that a seat begins anew it may give one permit at once.
  CHECK(static_cast<double>(On.worstWindow()) <=
        (PerSecond * 5 + Burst) * 1.02 + 6);
}

TEST_CASE("A seat whose grant is under way goes to nobody else", "[quota]") {
  // Guards against a late grant that gives a proxy what another one has.
  SeatLedger Ledger;
  Ledger.startTerm(1, {}, Millis(0));
  const ProcessId First{"a", 7};
  const ProcessId Second{"b", 8};
  const auto Meet = [&Ledger](const ProcessId &Who) {
    return Ledger.answer(Who, {1, Millis(0), 0, 0, 0, {}, {}}, Millis(0))
        ->Nonce;
  };
  const std::uint64_t ByFirst = Meet(First);
  const std::uint64_t BySecond = Meet(Second);
  const std::vector<SeatDemand> All = {{Mills, SeatsPerOrganisation}};
  Ledger.answer(First, {2, Millis(1), 1, ByFirst, 0, {}, All}, Millis(1));
  Ledger.applyCommitted(Ledger.takeProposedAssignments(), Millis(2));
  const auto Late =
      Ledger.answer(First, {3, Millis(3), 1, ByFirst, 0, {}, All}, Millis(3));
  REQUIRE(Late->Seats.size() == SeatsPerOrganisation);
  Ledger.answer(First, {4, Millis(4), 1, ByFirst, 0, {}, {}}, Millis(4));
  Ledger.answer(Second, {2, Millis(5), 1, BySecond, 0, {}, All}, Millis(5));
  CHECK(Ledger.takeProposedAssignments().empty());
  // It has applied the later grant, which has no seats.
  Ledger.answer(First, {5, Millis(6), 1, ByFirst, 4, {}, {}}, Millis(6));
  Ledger.answer(Second, {3, Millis(7), 1, BySecond, 0, {}, All}, Millis(7));
  CHECK(Ledger.takeProposedAssignments().size() == SeatsPerOrganisation);
}

TEST_CASE("A lowered limit binds with the plan that lowers it", "[quota]") {
  // Guards against permits by a former limit.
  Holders On(3, 1, 100, 60);
  for (std::size_t Each = 0; Each < 3; ++Each)
    On.want(Each, 1);
  const auto Flood = [&On](Millis Span) {
    const std::size_t Before = On.Given.size();
    for (const Millis End = On.Now + Span; On.Now < End;) {
      On.step();
      for (std::size_t Each = 0; Each < 3; ++Each) {
        On.exchange(Each, true);
        On.drain(Each);
      }
    }
    return On.Given.size() - Before;
  };
  Flood(Millis(2000));
  CHECK(Flood(Millis(5000)) > 480);
  for (QuotaSeats &Each : On.Seats)
    Each.adopt(planWith(2, 10, 6));
  CHECK(Flood(Millis(5000)) <= 10 * 5 + 6 + 3);
}

TEST_CASE("Seats outlive a control group that is away for some seconds",
          "[quota]") {
  // Guards against callers who are refused within their quota because control
  // is gone, and against seats that never end.
  Holders On(3, 1, 100, 60);
  for (std::size_t Each = 0; Each < 3; ++Each)
    On.want(Each, 1);
  const auto Run = [&On](Millis Span, bool HasControl) {
    const std::size_t Before = On.Given.size();
    for (const Millis End = On.Now + Span; On.Now < End;) {
      On.step();
      for (std::size_t Each = 0; Each < 3; ++Each) {
        On.exchange(Each, HasControl);
        On.drain(Each);
      }
    }
    return On.Given.size() - Before;
  };
  Run(Millis(2000), true);
  CHECK(Run(Millis(5000), false) > 480);
  Run(Millis(4000), false);
  CHECK(On.held() == 0);
}

TEST_CASE("A restarted holder has its seat back at once", "[quota]") {
  // Guards against seconds without permits after everything restarts.
  Holders On(3, 1, 100, 60);
  for (std::size_t Each = 0; Each < 3; ++Each)
    On.want(Each, 1);
  for (int Each = 0; Each < 400; ++Each) {
    On.step();
    for (std::size_t Proxy = 0; Proxy < 3; ++Proxy)
      On.exchange(Proxy, true);
  }
  REQUIRE(On.held() == 3);
  for (std::size_t Each = 0; Each < 3; ++Each) {
    On.restart(Each);
    On.want(Each, 1);
  }
  On.lead();
  for (int Each = 0; Each < 150; ++Each) {
    On.step();
    for (std::size_t Proxy = 0; Proxy < 3; ++Proxy)
      On.exchange(Proxy, true);
  }
  CHECK(On.held() == 3);
}

TEST_CASE("Within its quota an organisation is served wherever it comes in",
          "[quota]") {
  // Load pattern: many proxies with an operation in some seconds each. Guards
  // against parts of the quota that lie unused at other proxies.
  PermitFleet On(60, 20, 20);
  std::mt19937_64 Random(7);
  for (int Step = 0; Step < 1500; ++Step) {
    if (Random() % 100 < 12) // 12 a second.
      On.ask(Random() % 60, Millis(200));
    On.Loop.runFor(Millis(10));
    if (Step % 50 == 0)
      for (auto &Each : On.Proxies)
        On.renew(*Each);
  }
  On.Loop.runFor(Millis(500));
  CAPTURE(On.Asked, On.Given, On.Refused);
  CHECK(On.Given + On.Refused == On.Asked);
  CHECK(On.Given * 100 >= On.Asked * 99);
}

TEST_CASE("A lost holder of a seat costs a moment", "[quota]") {
  // Guards against operations that wait for a proxy which is gone.
  PermitFleet On(20, 60, 60);
  On.Proxies[On.holder()]->Host.kill();
  std::size_t Before = 0;
  for (int Step = 0; Step < 300; ++Step) {
    std::size_t At = static_cast<std::size_t>(Step) % 20;
    if (At != On.holder() && Step % 3 == 0)
      On.ask(At, Millis(200));
    On.Loop.runFor(Millis(10));
    if (Step == 150)
      Before = On.Refused;
  }
  On.Loop.runFor(Millis(500));
  CAPTURE(On.Asked, On.Given, On.Refused, Before);
  CHECK(On.Given * 100 >= On.Asked * 97);
}

TEST_CASE("A flood is refused at once and asks little", "[quota]") {
  // Load pattern: twenty times an organisation's quota. Guards against
  // operations that wait in vain and against a message for each of them.
  PermitFleet On(12, 10, 10);
  for (int Step = 0; Step < 500; ++Step) {
    for (int Each = 0; Each < 2; ++Each)
      On.ask(static_cast<std::size_t>(Step + Each * 5) % 12, Millis(100));
    On.Loop.runFor(Millis(10));
  }
  On.Loop.runFor(Millis(300));
  CHECK(On.Given + On.Refused == On.Asked);
  CHECK(On.Given <= 10 * 5 + 10 + 5);
  CHECK(On.Given >= 45);
  std::uint64_t Messages = 0;
  for (const auto &[Kind, Seen] : On.Net.Traffic)
    Messages += Seen.first;
  CHECK(Messages <= 2 * On.Asked);
}

TEST_CASE("An operation without a permit is refused and not run",
          "[quota][pipeline]") {
  // Guards against refused operations that run, and against transactions that
  // need a permit for each statement.
  class Few final : public PermitSource {
  public:
    bool isLimited(const std::string &) const override { return true; }
    std::uint64_t requestPermit(const std::string &, Millis,
                                Handler OnAnswer) override {
      OnAnswer(Left-- > 0 ? std::nullopt : std::optional(Millis(70)));
      return 1;
    }
    void cancel(std::uint64_t) override {}
    int Left = 2;
  };
  FakeLoop Loop;
  FakeGroup Group{Loop, {"a", "b", "c"}};
  FakeHost Host(Loop, "proxy");
  FloorTable Floors;
  Few Permits;
  SessionPipeline Pipeline({Host, Host, Group, Floors, nullptr, "", &Permits},
                           {"region", "here", "proxy"});
  Pipeline.adopt(replaceKeysByDigests(planWith(1, 10, 2), ""));
  Pipeline.updateTargets(Group.directory());
  const auto Caller = std::make_shared<FakeCaller>();
  const std::uint64_t Session = Pipeline.open("primary", "mills-key", Caller);
  const auto Ask = [&](StatementKind Kind, const std::string &Id,
                       const std::string &Text) {
    Statement What;
    What.Kind = Kind;
    What.Id = Id;
    What.Text = Text;
    Pipeline.receive(Session, What);
    Loop.runFor(Millis(100));
    return Caller->last();
  };
  Ask(StatementKind::Begin, "b", "BEGIN");
  for (const char *Id : {"t1", "t2", "t3"})
    CHECK_FALSE(Ask(StatementKind::Write, Id, "STORE x 1").Refusal);
  CHECK_FALSE(Ask(StatementKind::Commit, "c", "COMMIT").Refusal);
  CHECK_FALSE(Ask(StatementKind::Write, "w", "STORE x 1").Refusal);
  const StatementAnswer Over = Ask(StatementKind::Write, "over", "STORE x 1");
  REQUIRE(Over.Refusal);
  CHECK(Over.Refusal->Code == RefusalCode::Busy);
  CHECK(Over.Refusal->Reason.find("come back after 70 ms") !=
        std::string::npos);
  CHECK(Group.runs("over") == 0);
  CHECK(Pipeline.counts().OverQuota == 1);
}
