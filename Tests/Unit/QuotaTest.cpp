/// \file
/// Enforcement of the quota of an organisation over all proxies, under faults
/// of proxies and of control.

#include "Common/TextHash.h"
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

/// Proxies that hold seats and a leading control host. They exchange requests
/// and grants under the control of a test. Any proxy may request any seat.
class SeatFleet {
public:
  SeatFleet(std::size_t Proxies, std::uint64_t Seed, double PerSecond,
            double Burst)
      : Random(Seed), Plan(planWith(1, PerSecond, Burst)) {
    for (std::size_t Each = 0; Each < Proxies; ++Each) {
      Seats.emplace_back(ProcessId{name(Each), 1});
      Seats.back().adopt(Plan);
      Incarnations.push_back(1);
      RequestedAt.push_back(Millis(-1000));
    }
    startTerm();
  }

  static std::string name(std::size_t Proxy) {
    return "p" + std::to_string(Proxy);
  }

  /// Starts a new leader that knows only what the group has recorded.
  void startTerm() { Ledger.startTerm(++Term, Recorded, Now); }

  void restart(std::size_t Proxy) {
    Seats[Proxy] = QuotaSeats(ProcessId{name(Proxy), ++Incarnations[Proxy]});
    Seats[Proxy].adopt(Plan);
  }

  void setWanted(std::size_t Proxy, std::uint32_t Count) {
    Seats[Proxy].setWanted(
        Count == 0 ? std::map<std::string, std::uint32_t>{}
                   : std::map<std::string, std::uint32_t>{{Mills, Count}});
  }

  /// Takes all available permits.
  void takeAllPermits(std::size_t Proxy) {
    const PermitReply Taken = Seats[Proxy].takePermits(Mills, 1000, Now);
    for (std::uint32_t Each = 0; Each < Taken.Granted; ++Each)
      Given.push_back(Now);
  }

  /// Sends a request of \p Proxy to control. Some messages are lost or late.
  void exchange(std::size_t Proxy, bool IsReachable) {
    if (Now - RequestedAt[Proxy] < Millis(100))
      return;
    RequestedAt[Proxy] = Now;
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
    const SeatAssignments NewAssignments = Ledger.takeProposedAssignments();
    for (const auto &[Seat, Name] : NewAssignments)
      Recorded[Seat] = Name;
    Ledger.applyCommitted(NewAssignments, Now);
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

  /// Returns the maximum number of permits granted in any five seconds.
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
  SeatAssignments Recorded;
  std::vector<QuotaSeats> Seats;
  std::vector<std::uint64_t> Incarnations;
  std::vector<Millis> RequestedAt;
  std::vector<LateGrant> Late;
  std::vector<LateRequest> LateRequests;
  std::vector<Millis> Given;
};

/// Proxies that grant permits to each other on an in-memory network.
class PermitFleet {
public:
  struct Proxy {
    Proxy(FakeLoop &Loop, FakeNetwork &Net, const std::string &Name,
          bool RefusesByForecast)
        : Host(Loop, Name), Peers(Net.attach(Host, {Name, PeerPort})),
          Seats(ProcessId{Name, 1}),
          Permits({Host, Host, *Peers, RefusesByForecast}, Name, PeerPort,
                  Seats) {}

    static constexpr std::uint16_t PeerPort = 7000;
    FakeHost Host;
    std::unique_ptr<Transport> Peers;
    QuotaSeats Seats;
    OperationPermits Permits;
  };

  PermitFleet(std::size_t Count, double PerSecond, double Burst,
              bool RefusesByForecast = false)
      : Net(Loop, 1) {
    for (std::size_t Each = 0; Each < Count; ++Each) {
      const std::string Name = "p" + std::to_string(Each);
      Records.push_back({Name, {Name, 7001}, "here"});
      Proxies.push_back(
          std::make_unique<Proxy>(Loop, Net, Name, RefusesByForecast));
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

  void renew(Proxy &Holder) {
    if (const auto Grant =
            Ledger.answer({Holder.Host.name(), 1},
                          Holder.Seats.request(Loop.now()), Loop.now()))
      Holder.Seats.apply(*Grant, Loop.now());
  }

  /// Requests a permit at a proxy and counts the result.
  void requestPermit(std::size_t At, Millis Within) {
    ++Requested;
    Proxies[At]->Permits.requestPermit(
        Mills, Loop.now() + Within,
        [this, Since = Loop.now()](std::optional<Millis> RetryAfter) {
          ++(RetryAfter ? Refused : Given);
          auto &Waits = RetryAfter ? RefusedAfter : GivenAfter;
          Waits.push_back(Loop.now() - Since);
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
  std::size_t Requested = 0;
  std::size_t Given = 0;
  std::size_t Refused = 0;
  std::vector<Millis> GivenAfter;   ///< Waits of the permitted operations.
  std::vector<Millis> RefusedAfter; ///< Waits of the refused operations.
};

} // namespace

TEST_CASE("The quota of an organisation is not exceeded in any window",
          "[quota]") {
  // Guards against a seat with two holders while proxies restart, freeze and
  // are partitioned, grants are delayed and leaders change.
  const auto Seed = GENERATE(range(1, 41));
  CAPTURE(Seed);
  constexpr std::size_t Proxies = 6;
  constexpr double PerSecond = 100;
  constexpr double Burst = 60;
  SeatFleet Fleet(Proxies, static_cast<std::uint64_t>(Seed), PerSecond, Burst);
  std::vector<Millis> UnavailableUntil(Proxies); // Partitioned or frozen.
  std::vector<bool> IsFrozen(Proxies);
  while (Fleet.Now < Millis(60000)) {
    Fleet.step();
    Fleet.takeLateRequests();
    if (Fleet.chance(1) && Fleet.chance(20))
      Fleet.startTerm();
    CHECK(Fleet.held() <= SeatsPerOrganisation);
    for (std::size_t Each = 0; Each < Proxies; ++Each) {
      if (Fleet.chance(1) && Fleet.chance(20))
        Fleet.restart(Each);
      if (Fleet.chance(1))
        Fleet.setWanted(Each, Fleet.chance(50) ? 1 : 0);
      if (Fleet.Now >= UnavailableUntil[Each] && Fleet.chance(1) &&
          Fleet.chance(5)) {
        UnavailableUntil[Each] =
            Fleet.Now + Millis(Fleet.chance(70) ? 2000 : 12000);
        IsFrozen[Each] = Fleet.chance(50);
      }
      const bool IsUnavailable = Fleet.Now < UnavailableUntil[Each];
      if (IsUnavailable && IsFrozen[Each])
        continue;
      Fleet.exchange(Each, !IsUnavailable);
      Fleet.takeAllPermits(Each);
    }
  }
  CHECK(Fleet.Given.size() > 300);
  // Each restart of a seat may grant one additional permit.
  CHECK(static_cast<double>(Fleet.worstWindow()) <=
        (PerSecond * 5 + Burst) * 1.02 + 6);
}

TEST_CASE("A seat whose grant is in flight is not assigned to another proxy",
          "[quota]") {
  // Guards against a late grant of a seat that another proxy holds.
  SeatLedger Ledger;
  Ledger.startTerm(1, {}, Millis(0));
  const ProcessId First{"a", 7};
  const ProcessId Second{"b", 8};
  const auto Register = [&Ledger](const ProcessId &Id) {
    return Ledger.answer(Id, {1, Millis(0), 0, 0, 0, {}, {}}, Millis(0))->Nonce;
  };
  const std::uint64_t ByFirst = Register(First);
  const std::uint64_t BySecond = Register(Second);
  const std::vector<SeatDemand> All = {{Mills, SeatsPerOrganisation}};
  Ledger.answer(First, {2, Millis(1), 1, ByFirst, 0, {}, All}, Millis(1));
  Ledger.applyCommitted(Ledger.takeProposedAssignments(), Millis(2));
  const auto Late =
      Ledger.answer(First, {3, Millis(3), 1, ByFirst, 0, {}, All}, Millis(3));
  REQUIRE(Late->Seats.size() == SeatsPerOrganisation);
  Ledger.answer(First, {4, Millis(4), 1, ByFirst, 0, {}, {}}, Millis(4));
  Ledger.answer(Second, {2, Millis(5), 1, BySecond, 0, {}, All}, Millis(5));
  CHECK(Ledger.takeProposedAssignments().empty());
  // The first proxy has applied the later grant, which has no seats.
  Ledger.answer(First, {5, Millis(6), 1, ByFirst, 4, {}, {}}, Millis(6));
  Ledger.answer(Second, {3, Millis(7), 1, BySecond, 0, {}, All}, Millis(7));
  CHECK(Ledger.takeProposedAssignments().size() == SeatsPerOrganisation);
}

TEST_CASE("A lowered limit applies as soon as its plan is adopted", "[quota]") {
  // Guards against permits granted under the previous limit.
  SeatFleet Fleet(3, 1, 100, 60);
  for (std::size_t Each = 0; Each < 3; ++Each)
    Fleet.setWanted(Each, 1);
  const auto Flood = [&Fleet](Millis Span) {
    const std::size_t Before = Fleet.Given.size();
    for (const Millis End = Fleet.Now + Span; Fleet.Now < End;) {
      Fleet.step();
      for (std::size_t Each = 0; Each < 3; ++Each) {
        Fleet.exchange(Each, true);
        Fleet.takeAllPermits(Each);
      }
    }
    return Fleet.Given.size() - Before;
  };
  Flood(Millis(2000));
  CHECK(Flood(Millis(5000)) > 480);
  for (QuotaSeats &Each : Fleet.Seats)
    Each.adopt(planWith(2, 10, 6));
  CHECK(Flood(Millis(5000)) <= 10 * 5 + 6 + 3);
}

TEST_CASE("Seats remain valid while control is unavailable for a few seconds",
          "[quota]") {
  // Guards against refusing callers within their quota because control is
  // unavailable, and against seats that never expire.
  SeatFleet Fleet(3, 1, 100, 60);
  for (std::size_t Each = 0; Each < 3; ++Each)
    Fleet.setWanted(Each, 1);
  const auto Run = [&Fleet](Millis Span, bool HasControl) {
    const std::size_t Before = Fleet.Given.size();
    for (const Millis End = Fleet.Now + Span; Fleet.Now < End;) {
      Fleet.step();
      for (std::size_t Each = 0; Each < 3; ++Each) {
        Fleet.exchange(Each, HasControl);
        Fleet.takeAllPermits(Each);
      }
    }
    return Fleet.Given.size() - Before;
  };
  Run(Millis(2000), true);
  CHECK(Run(Millis(5000), false) > 480);
  Run(Millis(4000), false);
  CHECK(Fleet.held() == 0);
}

TEST_CASE("A restarted holder gets its seat back at once", "[quota]") {
  // Guards against seconds without permits after all processes restart.
  SeatFleet Fleet(3, 1, 100, 60);
  for (std::size_t Each = 0; Each < 3; ++Each)
    Fleet.setWanted(Each, 1);
  for (int Each = 0; Each < 400; ++Each) {
    Fleet.step();
    for (std::size_t Proxy = 0; Proxy < 3; ++Proxy)
      Fleet.exchange(Proxy, true);
  }
  REQUIRE(Fleet.held() == 3);
  for (std::size_t Each = 0; Each < 3; ++Each) {
    Fleet.restart(Each);
    Fleet.setWanted(Each, 1);
  }
  Fleet.startTerm();
  for (int Each = 0; Each < 150; ++Each) {
    Fleet.step();
    for (std::size_t Proxy = 0; Proxy < 3; ++Proxy)
      Fleet.exchange(Proxy, true);
  }
  CHECK(Fleet.held() == 3);
}

TEST_CASE("An organisation within its quota is served at any proxy",
          "[quota]") {
  // Each of many proxies has one operation every few seconds. Guards against
  // shares of the quota that remain unused at other proxies.
  PermitFleet Fleet(60, 20, 20);
  std::mt19937_64 Random(7);
  for (int Step = 0; Step < 1500; ++Step) {
    if (Random() % 100 < 12) // 12 per second.
      Fleet.requestPermit(Random() % 60, Millis(200));
    Fleet.Loop.runFor(Millis(10));
    if (Step % 50 == 0)
      for (auto &Each : Fleet.Proxies)
        Fleet.renew(*Each);
  }
  Fleet.Loop.runFor(Millis(500));
  CAPTURE(Fleet.Requested, Fleet.Given, Fleet.Refused);
  CHECK(Fleet.Given + Fleet.Refused == Fleet.Requested);
  CHECK(Fleet.Given * 100 >= Fleet.Requested * 99);
}

TEST_CASE("Losing the holder of a seat interrupts operations only briefly",
          "[quota]") {
  // Guards against operations that wait for a proxy that has crashed.
  PermitFleet Fleet(20, 60, 60);
  Fleet.Proxies[Fleet.holder()]->Host.kill();
  std::size_t Before = 0;
  for (int Step = 0; Step < 300; ++Step) {
    std::size_t At = static_cast<std::size_t>(Step) % 20;
    if (At != Fleet.holder() && Step % 3 == 0)
      Fleet.requestPermit(At, Millis(200));
    Fleet.Loop.runFor(Millis(10));
    if (Step == 150)
      Before = Fleet.Refused;
  }
  Fleet.Loop.runFor(Millis(500));
  CAPTURE(Fleet.Requested, Fleet.Given, Fleet.Refused, Before);
  CHECK(Fleet.Given * 100 >= Fleet.Requested * 97);
}

TEST_CASE("Each holder is asked once while another does not answer",
          "[quota]") {
  // The first holder asked has crashed, the last has no permits left. Guards
  // against a round that skips the holder between them and refuses although it
  // has permits.
  PermitFleet Fleet(20, 60, 60);
  const std::vector<ProxyRecord> Holders = seatHolders(Mills, Fleet.Records);
  const auto IndexOf = [](const ProxyRecord &Each) {
    return static_cast<std::size_t>(std::stoi(Each.Name.substr(1)));
  };
  std::size_t At = 0;
  while (std::any_of(Holders.begin(), Holders.end(),
                     [&](const auto &Each) { return IndexOf(Each) == At; }))
    ++At;
  const std::size_t First = static_cast<std::size_t>(
      hashText(Fleet.Records[At].Name, 0) % Holders.size());
  const auto HolderAt = [&](std::size_t Place) -> PermitFleet::Proxy & {
    return *Fleet.Proxies[IndexOf(Holders[(First + Place) % Holders.size()])];
  };
  HolderAt(0).Host.kill();
  Fleet.requestPermit(At, Millis(100));
  // Shortly before the first holder counts as silent.
  Fleet.Loop.runFor(Millis(58));
  HolderAt(2).Seats.takePermits(Mills, 1000, Fleet.Loop.now());
  Fleet.Loop.runFor(Millis(500));
  CHECK(Fleet.Given == 1);
  CHECK(Fleet.Refused == 0);
}

TEST_CASE("A flood is refused at once and causes few messages", "[quota]") {
  // An organisation sends twenty times its quota. Guards against operations
  // that wait without a chance of a permit, and against a message for each of
  // them.
  PermitFleet Fleet(12, 10, 10);
  for (int Step = 0; Step < 500; ++Step) {
    for (int Each = 0; Each < 2; ++Each)
      Fleet.requestPermit(static_cast<std::size_t>(Step + Each * 5) % 12,
                          Millis(100));
    Fleet.Loop.runFor(Millis(10));
  }
  Fleet.Loop.runFor(Millis(300));
  CHECK(Fleet.Given + Fleet.Refused == Fleet.Requested);
  CHECK(Fleet.Given <= 10 * 5 + 10 + 5);
  CHECK(Fleet.Given >= 45);
  std::uint64_t Messages = 0;
  for (const auto &[Kind, Seen] : Fleet.Net.Traffic)
    Messages += Seen.first;
  CHECK(Messages <= 2 * Fleet.Requested);
}

TEST_CASE("A flood over the quota is refused without a long wait", "[quota]") {
  // An organisation sends four times its quota for 5 s, and its operations may
  // wait for 400 ms. Guards against a queue in which each permitted operation
  // has waited for nearly all of that time and each refused one for all of it.
  const auto Run = [](PermitFleet &Fleet) {
    for (int Step = 0; Step < 1250; ++Step) {
      Fleet.requestPermit(static_cast<std::size_t>(Step * 5) % 12, Millis(400));
      Fleet.Loop.runFor(Millis(4));
    }
    const std::size_t GivenDuringFlood = Fleet.Given;
    Fleet.Loop.runFor(Millis(600));
    CHECK(Fleet.Given + Fleet.Refused == Fleet.Requested);
    return GivenDuringFlood;
  };
  const auto Mean = [](const std::vector<Millis> &Waits) {
    Millis Sum;
    for (const Millis Each : Waits)
      Sum = Sum + Each;
    return Sum.count() /
           std::max<std::int64_t>(1, static_cast<std::int64_t>(Waits.size()));
  };
  PermitFleet Waiting(12, 60, 60);
  const std::size_t GivenWaiting = Run(Waiting);
  PermitFleet Forecasting(12, 60, 60, true);
  const std::size_t GivenForecasting = Run(Forecasting);
  CAPTURE(GivenWaiting, GivenForecasting, Mean(Waiting.RefusedAfter),
          Mean(Forecasting.RefusedAfter), Mean(Forecasting.GivenAfter));
  CHECK(GivenForecasting * 100 >= GivenWaiting * 97);
  CHECK(Mean(Waiting.RefusedAfter) > 200);
  // A quarter of the time that they may wait.
  CHECK(Mean(Forecasting.RefusedAfter) < 100);
  CHECK(Mean(Forecasting.GivenAfter) < 100);
  const auto Longest = std::max_element(Forecasting.RefusedAfter.begin(),
                                        Forecasting.RefusedAfter.end());
  CHECK(*Longest <= Millis(200));
}

TEST_CASE("An operation without a permit is refused and not executed",
          "[quota][pipeline]") {
  // Guards against executing refused operations, and against transactions that
  // need a permit for each statement.
  class LimitedPermits final : public PermitSource {
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
  LimitedPermits Permits;
  SessionPipeline Pipeline({Host, Host, Group, Floors, nullptr, "", &Permits},
                           {"region", "here", "proxy"});
  Pipeline.adopt(replaceKeysByDigests(planWith(1, 10, 2), ""));
  Pipeline.updateTargets(Group.directory());
  const auto Caller = std::make_shared<FakeCaller>();
  const std::uint64_t Session = Pipeline.open("primary", "mills-key", Caller);
  const auto Ask = [&](StatementKind Kind, const std::string &Id,
                       const std::string &Text) {
    Statement Request;
    Request.Kind = Kind;
    Request.Id = Id;
    Request.Text = Text;
    Pipeline.receive(Session, Request);
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
