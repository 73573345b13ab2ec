/// \file
/// Permits from holders of quota seats that a proxy reaches only through a
/// control host.

#include "FakeFleet.h"
#include "FakeGroup.h"
#include "Quota/OperationPermits.h"

using namespace corianderdyke;

namespace {

constexpr const char *Mills = "mills";
constexpr double PerSecond = 60;
constexpr double Burst = 20;

/// Six proxies and three control hosts. One proxy holds no seat.
class ForwardFleet {
public:
  struct Proxy {
    Proxy(FakeFleet &Fleet, const std::string &Name, bool IsForwarding)
        : Host(Fleet.Loop, Name),
          Peers(Fleet.Net.attach(Host, {Name, PeerPort})),
          Seats(ProcessId{Name, 1}), Feed({{Name, 1},
                                           PeerPort,
                                           Fleet.Names,
                                           {Name, {Name, RelayPort}, "here"}},
                                          Host, Host, *Peers),
          Permits(dependencies(IsForwarding), Name, PeerPort, Seats) {
      Feed.setQuotaSeats(&Seats);
      Feed.signalPlan().connect([this] { Permits.adopt(Feed.plan()); });
      Feed.signalProxyList().connect(
          [this](const std::vector<ProxyRecord> &All) {
            Permits.setProxies(All);
          });
      Feed.signalQuotas().connect([this] { Permits.handleSeatsChanged(); });
      Feed.start();
    }

    OperationPermits::Dependencies dependencies(bool IsForwarding) {
      OperationPermits::Dependencies Out{Host, Host, *Peers};
      if (IsForwarding)
        Out.ForwardingHost = [this] { return Feed.contact(); };
      return Out;
    }

    FakeHost Host;
    std::unique_ptr<Transport> Peers;
    QuotaSeats Seats;
    ControlClient Feed;
    OperationPermits Permits;
  };

  explicit ForwardFleet(bool AtProxies = true, bool AtControl = true)
      : Fleet(1, 0, 3, {.PermitForwarding = AtControl}) {
    REQUIRE(Fleet.awaitLeader());
    for (int Each = 1; Each <= 6; ++Each) {
      const std::string Name = "10.0.1." + std::to_string(Each);
      Records.push_back({Name, {Name, RelayPort}, "here"});
      Proxies[Name] = std::make_unique<Proxy>(Fleet, Name, AtProxies);
    }
    RoutePlan Plan = planOfOrganisations(1, {Mills});
    Plan.Organisations.front().Limit = Quota{PerSecond, Burst};
    Fleet.leader()->acceptPlan(Plan, [](const Expected<void> &) {});
    REQUIRE(
        Fleet.Loop.runUntilTrue([this] { return held() == 3; }, Millis(10000)));
    Fleet.Loop.runFor(Millis(3000));
    for (const ProxyRecord &Each : seatHolders(Mills, Records))
      Holders.insert(Each.Name);
    for (const auto &[Name, Each] : Proxies)
      if (Holders.count(Name) == 0)
        Distant = Name;
  }

  ~ForwardFleet() { Fleet.Loop.clear(); }

  std::size_t held() {
    std::size_t Out = 0;
    for (const auto &[Name, Each] : Proxies)
      Out += Each->Seats.held(Fleet.Loop.now());
    return Out;
  }

  /// Cuts the distant proxy off from all holders.
  void cut() {
    for (const std::string &Each : Holders)
      Fleet.Net.cutBoth(Distant, Each);
  }

  void requestPermit(const std::string &At, Millis Within = Millis(500)) {
    ++Requested;
    Proxies[At]->Permits.requestPermit(
        Mills, Fleet.Loop.now() + Within,
        [this, Start = Fleet.Loop.now()](std::optional<Millis> RetryAfter) {
          if (RetryAfter) {
            ++Refused;
            return;
          }
          Given.push_back(Fleet.Loop.now());
          Waits.push_back(Fleet.Loop.now() - Start);
        });
  }

  /// Requests a permit at \p At every \p Interval.
  void run(Millis Span, const std::set<std::string> &At, Millis Interval) {
    for (Millis Left = Span; Left > Millis(0); Left = Left - Interval) {
      for (const std::string &Each : At)
        requestPermit(Each);
      Fleet.Loop.runFor(Interval);
    }
  }

  /// Returns the maximum number of permits given in any second.
  std::size_t worstSecond() const {
    std::size_t Most = 0;
    std::size_t First = 0;
    for (std::size_t Last = 0; Last < Given.size(); ++Last) {
      while (Given[Last] - Given[First] >= Millis(1000))
        ++First;
      Most = std::max(Most, Last - First + 1);
    }
    return Most;
  }

  const OperationPermits::ForwardCounts &distantCounts() {
    return Proxies[Distant]->Permits.forwardCounts();
  }

  FakeFleet Fleet;
  std::vector<ProxyRecord> Records;
  std::map<std::string, std::unique_ptr<Proxy>> Proxies;
  std::set<std::string> Holders;
  std::string Distant; ///< A proxy without a seat.
  std::size_t Requested = 0;
  std::size_t Refused = 0;
  std::vector<Millis> Given; ///< Times.
  std::vector<Millis> Waits; ///< Of each permit given.
};

const Endpoint ProxyAddress{"10.0.1.1", PeerPort};
const Endpoint HolderAddress{"10.0.1.2", PeerPort};

} // namespace

TEST_CASE("A control host passes on at most 50 permit requests a second",
          "[quota][forward]") {
  // Guards against proxies in a partition that load the control host with a
  // request for each operation, and against a burst after an idle time.
  PermitForwarder Forwarder;
  std::vector<Millis> Passed;
  for (Millis Now(1000000); Now < Millis(1010000); Now += Millis(1)) {
    const bool IsIdle = Now >= Millis(1004000) && Now < Millis(1006000);
    if (!IsIdle && Forwarder.forward(ProxyAddress, true, HolderAddress,
                                     {1, Mills, 1}, Now))
      Passed.push_back(Now);
  }
  std::size_t First = 0;
  std::size_t Most = 0;
  for (std::size_t Last = 0; Last < Passed.size(); ++Last) {
    while (Passed[Last] - Passed[First] >= Millis(1000))
      ++First;
    Most = std::max(Most, Last - First + 1);
  }
  CHECK(Most <= 50);
  CHECK(Passed.size() >= 320); // 40 a second in 8 s.
  CHECK(Forwarder.counts().Passed == Passed.size());
  CHECK(Forwarder.counts().OverLimit == 8000 - Passed.size());
}

TEST_CASE("A request to or from an unknown proxy costs no permit request",
          "[quota][forward]") {
  // Guards against forged requests that make a control host send messages to
  // any address, or use up the rate of the others.
  PermitForwarder Forwarder;
  for (int Each = 0; Each < 100; ++Each) {
    CHECK_FALSE(Forwarder.forward(ProxyAddress, true, std::nullopt,
                                  {1, Mills, 1}, Millis(1000)));
    CHECK_FALSE(Forwarder.forward(ProxyAddress, false, HolderAddress,
                                  {1, Mills, 1}, Millis(1000)));
  }
  CHECK(Forwarder.counts().UnknownProxy == 200);
  CHECK(Forwarder.forward(ProxyAddress, true, HolderAddress, {1, Mills, 1},
                          Millis(1000)));
}

TEST_CASE("A reply returns once, and only from the holder that was asked",
          "[quota][forward]") {
  // Guards against permits that are counted twice because a reply is
  // duplicated, comes from another proxy or belongs to an expired request.
  PermitForwarder Forwarder;
  const auto Sent = Forwarder.forward(ProxyAddress, true, HolderAddress,
                                      {7, Mills, 3}, Millis(1000));
  REQUIRE(Sent);
  CHECK(Sent->To == HolderAddress);
  CHECK(Sent->Request.Number != 7);
  CHECK(Sent->Request.Count == 3);
  const PermitReply Reply{Sent->Request.Number, 2, true, Millis(5)};
  CHECK_FALSE(Forwarder.takeReply(ProxyAddress, Reply));
  CHECK_FALSE(Forwarder.takeReply(HolderAddress, {7, 2, true, Millis(5)}));
  const auto Returned = Forwarder.takeReply(HolderAddress, Reply);
  REQUIRE(Returned);
  CHECK(Returned->To == ProxyAddress);
  CHECK(Returned->Reply == PermitReply{7, 2, true, Millis(5)});
  CHECK_FALSE(Forwarder.takeReply(HolderAddress, Reply));
  const auto Expired = Forwarder.forward(ProxyAddress, true, HolderAddress,
                                         {8, Mills, 1}, Millis(2000));
  REQUIRE(Expired);
  Forwarder.forward(ProxyAddress, true, HolderAddress, {9, Mills, 1},
                    Millis(4000));
  CHECK_FALSE(Forwarder.takeReply(
      HolderAddress, {Expired->Request.Number, 1, true, Millis(0)}));
}

TEST_CASE("A proxy cut off from all holders gets permits through control",
          "[quota][forward]") {
  // Guards against refusing an organisation within its quota because a
  // partition separates its proxy from the holders of its seats.
  ForwardFleet All;
  All.cut();
  All.run(Millis(6000), {All.Distant}, Millis(50));
  All.Fleet.Loop.runFor(Millis(2000));
  CAPTURE(All.Requested, All.Given.size(), All.Refused);
  CHECK(All.Given.size() + All.Refused == All.Requested);
  CHECK(All.Given.size() * 100 >= All.Requested * 95);
  // Most permits need no timeout of a holder.
  std::sort(All.Waits.begin(), All.Waits.end());
  CHECK(All.Waits[All.Waits.size() / 2] <= Millis(20));
  CHECK(All.distantCounts().Sent > 0);
  const PermitForwardCounts &Counts = All.Fleet.leader()->permitForwards();
  CHECK(Counts.Passed == All.distantCounts().Sent);
  CHECK(Counts.Returned == All.distantCounts().Answered);
}

TEST_CASE("Permits through control are within the quota", "[quota][forward]") {
  // A flood at a proxy in a partition and at the others, with lost messages.
  // Guards against permits that are given without being taken from a seat, or
  // counted twice because of a late or repeated reply.
  ForwardFleet All;
  All.cut();
  All.Fleet.Net.LossPerMille = GENERATE(0, 50);
  All.Fleet.Net.MostLatency = Millis(GENERATE(2, 45));
  std::set<std::string> Names;
  for (const auto &[Name, Each] : All.Proxies)
    Names.insert(Name);
  const Millis Start = All.Fleet.Loop.now();
  All.run(Millis(8000), Names, Millis(10));
  All.Fleet.Loop.runFor(Millis(2000));
  CAPTURE(All.Requested, All.Given.size(), All.Refused);
  CHECK(All.Given.size() + All.Refused == All.Requested);
  // Operations that wait at the end get permits for up to 500 ms more. Each
  // seat may hold the fraction of a permit at the start.
  const auto Seconds =
      static_cast<double>((All.Given.back() - Start).count()) / 1000;
  CHECK(static_cast<double>(All.Given.size()) <=
        PerSecond * Seconds + Burst + SeatsPerOrganisation);
  // Replies on slow links arrive up to 180 ms late.
  CHECK(static_cast<double>(All.worstSecond()) <=
        PerSecond * 1.2 + Burst + SeatsPerOrganisation);
  CHECK(All.Given.size() >= 300);
  CHECK(All.distantCounts().Answered > 0);
}

TEST_CASE("The control host dies while it passes on a request",
          "[quota][forward]") {
  // Guards against operations that wait for a reply that never comes, and
  // against a proxy that gets no permits from the next leader.
  ForwardFleet All;
  All.cut();
  All.run(Millis(1000), {All.Distant}, Millis(50));
  const std::string Leader = All.Fleet.leader()->leader();
  const std::uint64_t Sent = All.distantCounts().Sent;
  All.requestPermit(All.Distant);
  REQUIRE(All.Fleet.Loop.runUntilTrue(
      [&] { return All.distantCounts().Sent > Sent; }, Millis(2000)));
  All.Fleet.killControl(Leader);
  const std::size_t Open = All.Requested;
  All.Fleet.Loop.runFor(Millis(1000));
  CHECK(All.Given.size() + All.Refused == Open);
  REQUIRE(All.Fleet.Loop.runUntilTrue(
      [&] { return All.Fleet.leader() != nullptr; }, Millis(5000)));
  All.Fleet.Loop.runFor(Millis(4000));
  const std::size_t Before = All.Given.size();
  All.run(Millis(2000), {All.Distant}, Millis(50));
  All.Fleet.Loop.runFor(Millis(1000));
  CHECK(All.Given.size() + All.Refused == All.Requested);
  CHECK(All.Given.size() >= Before + 36);
}

TEST_CASE("The holder dies while it is asked through control",
          "[quota][forward]") {
  // Guards against operations that wait for a dead holder, and against a proxy
  // that does not ask the other holders.
  ForwardFleet All;
  All.cut();
  All.run(Millis(1000), {All.Distant}, Millis(50));
  const std::uint64_t Sent = All.distantCounts().Sent;
  All.requestPermit(All.Distant);
  REQUIRE(All.Fleet.Loop.runUntilTrue(
      [&] { return All.distantCounts().Sent > Sent; }, Millis(2000)));
  All.Proxies[*All.Holders.begin()]->Host.kill();
  All.run(Millis(3000), {All.Distant}, Millis(50));
  All.Fleet.Loop.runFor(Millis(1000));
  CAPTURE(All.Requested, All.Given.size(), All.Refused);
  CHECK(All.Given.size() + All.Refused == All.Requested);
  CHECK(All.Given.size() * 100 >= All.Requested * 80);
}

TEST_CASE("A control host sends no permit request to a forged address",
          "[quota][forward]") {
  // A request names a holder that is not a proxy, or comes from a host that is
  // not one. Guards against a control host that sends messages to any address.
  ForwardFleet All;
  FakeHost Stranger(All.Fleet.Loop, "10.0.9.9");
  const auto Peers = All.Fleet.Net.attach(Stranger, {"10.0.9.9", PeerPort});
  std::size_t Received = 0;
  Peers->signalReceived().connect([&](const Envelope &) { ++Received; });
  const Endpoint Leader{All.Fleet.leader()->leader(), PeerPort};
  All.Proxies[All.Distant]->Peers->send(
      Leader, Delivery::Datagram,
      ForwardedPermitRequest{"10.0.9.9", {1, Mills, 1}});
  Peers->send(Leader, Delivery::Datagram,
              ForwardedPermitRequest{*All.Holders.begin(), {1, Mills, 1}});
  All.Fleet.Loop.runFor(Millis(200));
  CHECK(Received == 0);
  CHECK(All.Fleet.leader()->permitForwards().UnknownProxy == 2);
  CHECK(All.Fleet.leader()->permitForwards().Passed == 0);
  // A request of a subscribed proxy to a holder is passed on.
  All.Proxies[All.Distant]->Peers->send(
      Leader, Delivery::Datagram,
      ForwardedPermitRequest{*All.Holders.begin(), {1, Mills, 1}});
  All.Fleet.Loop.runFor(Millis(200));
  CHECK(All.Fleet.leader()->permitForwards().Passed == 1);
}

TEST_CASE("Permit requests are not passed on unless both ends allow it",
          "[quota][forward]") {
  // Guards against a change for deployments without the setting.
  const bool AtProxies = GENERATE(false, true);
  ForwardFleet All(AtProxies, false);
  All.cut();
  All.run(Millis(2000), {All.Distant}, Millis(50));
  All.Fleet.Loop.runFor(Millis(2000));
  CHECK(All.Given.empty());
  CHECK(All.Refused == All.Requested);
  CHECK((All.distantCounts().Sent > 0) == AtProxies);
  CHECK(All.Fleet.leader()->permitForwards() == PermitForwardCounts{});
}

TEST_CASE("Holders without permits are asked through control once a round",
          "[quota][forward]") {
  // An organisation has used up its quota. Guards against a proxy that repeats
  // its request to a holder without permits until the rate of the control host
  // is used up.
  ForwardFleet All;
  All.cut();
  for (const std::string &Each : All.Holders) {
    QuotaSeats &Seats = All.Proxies[Each]->Seats;
    Seats.takePermits(Mills, 1000, All.Fleet.Loop.now());
    RoutePlan Plan = planOfOrganisations(2, {Mills});
    Plan.Organisations.front().Limit = Quota{0.01, 1};
    Seats.adopt(Plan);
  }
  All.requestPermit(All.Distant);
  All.Fleet.Loop.runFor(Millis(400));
  CHECK(All.distantCounts() == OperationPermits::ForwardCounts{3, 3});
  CHECK(All.Refused == 1);
}

TEST_CASE("A dead holder is asked through control twice a second",
          "[quota][forward]") {
  // An organisation has used up its quota, and one of its holders has died.
  // Guards against a proxy that waits for the dead holder in each round.
  ForwardFleet All;
  All.cut();
  All.run(Millis(1000), {All.Distant}, Millis(50));
  const Millis KilledAt = All.Fleet.Loop.now();
  All.Proxies[*All.Holders.begin()]->Host.kill();
  const OperationPermits::ForwardCounts Before = All.distantCounts();
  while (All.Fleet.Loop.now() - KilledAt < Millis(2200)) {
    for (const std::string &Each : All.Holders)
      All.Proxies[Each]->Seats.takePermits(Mills, 1000, All.Fleet.Loop.now());
    All.requestPermit(All.Distant);
    All.Fleet.Loop.runFor(Millis(5));
  }
  const std::uint64_t Sent = All.distantCounts().Sent - Before.Sent;
  const std::uint64_t Answered = All.distantCounts().Answered - Before.Answered;
  CAPTURE(Sent, Answered);
  // One in 500 ms, and one that is under way.
  CHECK(Sent - Answered <= 6);
  CHECK(Sent - Answered >= 2);
}
