/// \file
/// Late service and capacity for urgent statements, each under the load pattern
/// that its test is named by.

#include "Admission/LateForecast.h"
#include "Admission/ServiceClass.h"
#include "Admission/UrgentRoom.h"
#include "FakeRelay.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

using Kind = StatementKind;

constexpr const char *GroupName = "ledger";
/// More than a gateway sends to the target at a time.
constexpr std::size_t ManyConnections = 20;
/// An answer within this time meets the objective.
constexpr Millis Objective(120);

/// One statement sent to a gateway.
struct Request {
  std::uint32_t Priority = 0;
  Millis SentAt;
  std::optional<Millis> AnsweredAt;
  std::optional<StatementRefusal> Refusal;
  std::unique_ptr<TargetLink> Link;

  Millis duration() const { return *AnsweredAt - SentAt; }
  bool isServed() const { return AnsweredAt && !Refusal; }
  bool isInTime() const { return isServed() && duration() <= Objective; }
};

/// A gateway that alone serves a target with slots, and its load.
struct Gateway {
  explicit Gateway(LoadOptions Load, std::uint32_t Slots = 4,
                   std::size_t Connections = ManyConnections)
      : Broker(Host, Host, Group, Load) {
    Group.ExecutionTime = Millis(10);
    Group.Servers["a"].Slots = Slots;
    Broker.setShare(GroupName, Connections, 1);
    Group.Servers["a"].MaxConnections = Connections;
    Broker.setGatewayTargets({"a"});
    Broker.update(Group.directory());
    // Transactions open all connections before the load begins.
    std::vector<std::unique_ptr<TargetLink>> Openers;
    for (std::size_t Each = 0; Each < Connections; ++Each) {
      Openers.push_back(
          Broker.open({GroupName, "a", {"a", 5000}},
                      {[] {}, [](const StatementAnswer &) {},
                       [](const std::optional<StatementRefusal> &) {}}));
      Openers.back()->send({{.Operation = TargetCommand::Kind::Begin,
                             .MaxQueueTime = Millis(2000)}});
    }
    Loop.runFor(Millis(1500));
    Openers.clear();
    Loop.runFor(Millis(20));
  }
  ~Gateway() {
    Requests.clear();
    Loop.clear();
  }

  Request &send(std::uint32_t Priority, const std::string &Text = "FETCH x",
                Millis MaxQueueTime = Millis(40),
                Millis MaxLateTime = Millis(500)) {
    Requests.push_back(std::make_unique<Request>());
    Request &New = *Requests.back();
    New.Priority = Priority;
    New.SentAt = Loop.now();
    New.Link = Broker.open({GroupName, "a", {"a", 5000}},
                           {[] {},
                            [this, &New](const StatementAnswer &Answer) {
                              New.AnsweredAt = Loop.now();
                              New.Refusal = Answer.Refusal;
                            },
                            [](const std::optional<StatementRefusal> &) {}});
    New.Link->send({{.Id = "s" + std::to_string(Requests.size()),
                     .Text = Text,
                     .Priority = Priority,
                     .MaxQueueTime = MaxQueueTime,
                     .MaxLateTime = MaxLateTime}});
    return New;
  }

  /// Sends \p PerSecond statements a second at random times.
  void load(double PerSecond, Millis Span) {
    std::exponential_distribution<double> Pause(PerSecond / 1000);
    const Millis End = Loop.now() + Span;
    double Next = static_cast<double>(Loop.now().count());
    while (true) {
      Next += Pause(Random);
      const Millis At(static_cast<std::int64_t>(Next));
      if (At >= End)
        break;
      Loop.runUntil(At);
      send(1);
      MostLate = std::max(MostLate, Broker.lateWaiting());
    }
    Loop.runUntil(End);
  }
  void drain() { Loop.runFor(Millis(1000)); }

  template <class Predicate> std::size_t count(Predicate Holds) const {
    return static_cast<std::size_t>(
        std::count_if(Requests.begin(), Requests.end(),
                      [&Holds](const auto &Each) { return Holds(*Each); }));
  }
  std::size_t inTime() const {
    return count([](const Request &Each) { return Each.isInTime(); });
  }
  std::size_t servedLate() const {
    return count([](const Request &Each) {
      return Each.isServed() && !Each.isInTime();
    });
  }

  std::mt19937_64 Random{11};
  FakeLoop Loop;
  FakeGroup Group{Loop, {"a"}};
  FakeHost Host{Loop, "gateway"};
  TargetBroker Broker;
  std::vector<std::unique_ptr<Request>> Requests;
  std::size_t MostLate = 0; ///< Most late statements that waited.
};

LoadOptions lateService() {
  LoadOptions Out;
  Out.LateService = true;
  return Out;
}

LoadOptions urgentRoom() {
  LoadOptions Out;
  Out.UrgentRoom = true;
  return Out;
}

/// Three waves that exceed the capacity of 400 a second for 4 s.
void sendWaves(Gateway &At) {
  for (int Wave = 0; Wave < 3; ++Wave) {
    At.load(520, Millis(4000));
    At.load(150, Millis(4000));
  }
  At.drain();
}

} // namespace

TEST_CASE("The latest start leaves time for the answer", "[load]") {
  CHECK(latestStart(Millis(1000), Millis(800), Millis(20)) == Millis(1750));
  CHECK(ServiceRank{ServiceClass::InTime, 7} <
        ServiceRank{ServiceClass::Late, 0});
  CHECK(ServiceRank{ServiceClass::Late, 1} <
        ServiceRank{ServiceClass::Late, 2});
}

TEST_CASE("The late forecast grows while no late statement starts", "[load]") {
  LateForecast Forecast;
  Forecast.recordFree(Millis(1000));
  CHECK(Forecast.expectedWait(40, 4, Millis(1000)) < Millis(100));
  // The first round starts as soon as there is capacity.
  CHECK(Forecast.expectedWait(3, 4, Millis(5000)) < Millis(10));
  CHECK(Forecast.expectedWait(4, 4, Millis(1300)) == Millis(300));
  CHECK(Forecast.expectedWait(8, 4, Millis(1300)) == Millis(600));
  CHECK(Forecast.expectedWait(4, 4, Millis(5000)) == Millis(4000));
  // Starts at short intervals make it short again.
  for (int Each = 0; Each < 60; ++Each)
    Forecast.recordStart(5, Millis(5000) + Millis(5) * Each);
  CHECK(Forecast.expectedWait(8, 4, Millis(5300)) < Millis(60));
  CHECK_FALSE(Forecast.isOverdue(Millis(5400), Millis(5300)));
  CHECK(Forecast.isOverdue(Millis(5400), Millis(5350)));
  Forecast.recordFree(Millis(6000));
  CHECK(Forecast.retryAfter(0, 4, Millis(6000)) == Millis(1));
}

TEST_CASE("Less urgent statements are limited while urgent ones arrive",
          "[load]") {
  UrgentRoom Room;
  CHECK_FALSE(Room.mostUrgent(Millis(0)));
  Room.recordArrival(2, Millis(100));
  Room.recordArrival(0, Millis(500));
  CHECK(Room.mostUrgent(Millis(600)) == 0U);
  Room.recordArrival(2, Millis(1400));
  CHECK(Room.mostUrgent(Millis(1500)) == 2U);
  CHECK_FALSE(Room.mostUrgent(Millis(2400)));
  CHECK(UrgentRoom::limit({6, 1}) == 8);
  CHECK(UrgentRoom::limit({4, 3}) == 2);
  CHECK(UrgentRoom::limit({2, 20}) == 1);
}

TEST_CASE("A wave above capacity for 4 s is served late in its trough",
          "[load]") {
  // Without late service, statements at the end of a peak are refused although
  // slots are free some hundred ms later.
  Gateway Without{{}};
  sendWaves(Without);
  Gateway With(lateService());
  sendWaves(With);
  CAPTURE(Without.inTime(), With.inTime(), With.servedLate(), With.MostLate,
          With.Requests.size(), With.Broker.lateCounts().Started,
          With.Broker.lateCounts().Refused);
  CHECK(With.inTime() * 1000 >= Without.inTime() * 999);
  CHECK(With.count([](const Request &Each) { return Each.isServed(); }) >
        Without.count([](const Request &Each) { return Each.isServed(); }));
  // A round is as many statements as there are slots, four, in each trough; the
  // time of one or two may end while the queue in time drains.
  CHECK(With.Broker.lateCounts().Started >= 10);
  CHECK(With.Broker.lateWaiting() == 0);
}

TEST_CASE("A short burst above capacity is served late", "[load]") {
  // Eighty statements arrive at once; the target runs them in 200 ms, and the
  // callers wait for 500 ms. Guards against refusing what can be served.
  Gateway Fixture(lateService());
  for (int Each = 0; Each < 80; ++Each)
    Fixture.send(1);
  Fixture.drain();
  CHECK(Fixture.count([](const Request &Each) { return Each.isServed(); }) >=
        76);
}

TEST_CASE("Lasting overload leaves the statements in time their goodput",
          "[load]") {
  // Guards against late statements that take slots from those in time, and
  // against a queue of statements that wait until their callers give up.
  Gateway Peak{{}};
  Peak.load(400, Millis(10000));
  Peak.drain();
  const double Factor = GENERATE(2.0, 4.0);
  Gateway Fixture(lateService());
  Fixture.load(400 * Factor, Millis(10000));
  Fixture.drain();
  // The wait in time, and the interval between checks of the queue. The others
  // wait for the end of the overload.
  constexpr Millis MaxRefusalTime(40 + 2 * 20);
  std::size_t AtOnce = 0;
  std::size_t Refused = 0;
  for (const auto &Each : Fixture.Requests) {
    REQUIRE(Each->AnsweredAt);
    if (!Each->Refusal)
      continue;
    ++Refused;
    AtOnce += Each->duration() <= MaxRefusalTime ? 1 : 0;
    CHECK(Each->Refusal->Reason.find("; come back after ") !=
          std::string::npos);
  }
  CAPTURE(Factor, Peak.inTime(), Fixture.inTime(), Fixture.servedLate(),
          Fixture.MostLate, Refused, AtOnce);
  CHECK(Fixture.inTime() * 10 >= Peak.inTime() * 9);
  CHECK(Fixture.MostLate <= 40);
  CHECK(AtOnce * 100 >= Refused * 95);
}

TEST_CASE("Statements in time never start behind late ones", "[load]") {
  // While late statements wait, those in time arrive at twice the capacity.
  Gateway Fixture(lateService());
  for (int Each = 0; Each < 40; ++Each)
    Fixture.send(0, "FETCH x", Millis(0), Millis(500));
  REQUIRE(Fixture.Broker.lateWaiting() == 36);
  // A less urgent one in time still goes first.
  const Request &InTime = Fixture.send(5);
  Fixture.Loop.runFor(Millis(30));
  REQUIRE(InTime.isServed());
  CHECK(InTime.duration() <= Millis(25));
  CHECK(Fixture.count([](const Request &Each) { return Each.isServed(); }) <=
        13);
  Fixture.drain();
  CHECK(Fixture.count([](const Request &Each) { return Each.isServed(); }) ==
        41);
}

TEST_CASE("Late statements take no connection from those in time", "[load]") {
  // There are fewer connections than slots, so that a connection that becomes
  // free is what both classes wait for.
  Gateway Fixture(lateService(), 4, 2);
  for (int Each = 0; Each < 6; ++Each)
    Fixture.send(0, "FETCH x", Millis(0), Millis(500));
  REQUIRE(Fixture.Broker.lateWaiting() == 4);
  const Request &First = Fixture.send(5);
  const Request &Second = Fixture.send(5);
  Fixture.Loop.runFor(Millis(28));
  CHECK(First.isServed());
  CHECK(Second.isServed());
  Fixture.drain();
  CHECK(Fixture.count([](const Request &Each) { return Each.isServed(); }) ==
        8);
}

TEST_CASE("Late transactions take no more slots than are left", "[load]") {
  // An opening takes no slot, but the statement behind it does. Guards against
  // late transactions that all open while the slots are free.
  Gateway Fixture(lateService());
  std::vector<std::unique_ptr<TargetLink>> Links;
  std::size_t Answers = 0;
  for (int Each = 0; Each < 12; ++Each) {
    Links.push_back(Fixture.Broker.open(
        {GroupName, "a", {"a", 5000}},
        {[] {}, [&Answers](const StatementAnswer &) { ++Answers; },
         [](const std::optional<StatementRefusal> &) {}}));
    Links.back()->send({{.Operation = TargetCommand::Kind::Begin,
                         .Priority = 1,
                         .MaxLateTime = Millis(500)},
                        {.Id = "t" + std::to_string(Each),
                         .Text = "STORE x 1",
                         .NeedsPrevious = true}});
  }
  CHECK(Fixture.Broker.lateWaiting() == 8);
  Links.clear();
}

TEST_CASE("The links of a proxy that dies leave both classes", "[load]") {
  // Guards against statements that run although nobody waits for them.
  Gateway Fixture(lateService());
  for (int Each = 0; Each < 40; ++Each)
    Fixture.send(1);
  Fixture.Loop.runFor(Millis(75));
  for (int Each = 0; Each < 40; ++Each)
    Fixture.send(1);
  REQUIRE(Fixture.Broker.lateWaiting() > 0);
  const std::size_t Before = Fixture.Group.Runs.size();
  const std::uint64_t StartedBefore = Fixture.Broker.lateCounts().Started;
  Fixture.Requests.clear();
  CHECK(Fixture.Broker.lateWaiting() == 0);
  Fixture.drain();
  CHECK(Fixture.Group.Runs.size() == Before);
  CHECK(Fixture.Broker.lateCounts().Started == StartedBefore);
  // The gateway still serves others.
  Fixture.send(1);
  Fixture.drain();
  CHECK(Fixture.inTime() == 1);
}

TEST_CASE("Late statements are refused at once when the target is lost",
          "[load]") {
  Gateway Fixture(lateService());
  for (int Each = 0; Each < 40; ++Each)
    Fixture.send(1, "FETCH x", Millis(0), Millis(500));
  REQUIRE(Fixture.Broker.lateWaiting() > 0);
  Fixture.Group.Servers["a"].IsUp = false;
  ++Fixture.Group.Servers["a"].BornAt;
  Fixture.Broker.update(Fixture.Group.directory());
  Fixture.Loop.runFor(Millis(100));
  CHECK(Fixture.Broker.lateWaiting() == 0);
}

TEST_CASE("A burst of long reads leaves room for urgent writes", "[load]") {
  // Six slots, reads of 55 ms at three times the capacity and writes of 11 ms.
  // Without the limit, twelve reads wait inside the target, and each write
  // waits behind all of them.
  Millis WorstWith{0};
  Millis WorstWithout{0};
  const auto MeanWrite = [](LoadOptions Load, std::size_t &Reads,
                            Millis &Worst) {
    Gateway Fixture(Load, 6);
    Fixture.Group.ExecutionTimes["FETCH long"] = Millis(55);
    Fixture.Group.ExecutionTimes["STORE x 1"] = Millis(11);
    for (int Each = 0; Each < 1200; ++Each) {
      Fixture.send(2, "FETCH long", Millis(300), Millis(0));
      if (Each % 3 == 0)
        Fixture.send(0, "STORE x 1", Millis(100), Millis(0));
      Fixture.Loop.runFor(Millis(3));
    }
    Fixture.drain();
    Millis Sum{0};
    std::size_t Writes = 0;
    for (const auto &Each : Fixture.Requests) {
      if (Each->Priority == 0 && Each->isServed()) {
        Sum = Sum + Each->duration();
        Worst = std::max(Worst, Each->duration());
        ++Writes;
      }
      Reads += Each->Priority == 2 && Each->isServed() ? 1 : 0;
    }
    CHECK(Writes >= 396);
    return Sum / static_cast<std::int64_t>(std::max<std::size_t>(Writes, 1));
  };
  std::size_t ReadsWithout = 0;
  std::size_t ReadsWith = 0;
  const Millis Without = MeanWrite({}, ReadsWithout, WorstWithout);
  const Millis With = MeanWrite(urgentRoom(), ReadsWith, WorstWith);
  CAPTURE(Without.count(), With.count(), WorstWithout.count(),
          WorstWith.count(), ReadsWithout, ReadsWith);
  CHECK(With * 3 <= Without * 2);
  // Behind one read that runs, at most.
  CHECK(WorstWith <= Millis(11 + 55 + 4));
  CHECK(WorstWithout >= Millis(100));
  CHECK(ReadsWith * 100 >= ReadsWithout * 90);
}

TEST_CASE("Without urgent statements the others use the whole limit",
          "[load]") {
  Gateway Fixture(urgentRoom(), 6);
  for (int Each = 0; Each < 20; ++Each)
    Fixture.send(2);
  Fixture.Loop.runFor(Millis(2));
  CHECK(Fixture.Group.Runs.size() == 18);
}

TEST_CASE("A burst at a proxy with its own connections is served late",
          "[load]") {
  // Callers whose statements would miss the objective and could wait for 800 ms
  // are served in that time. Every refusal guarantees that nothing ran.
  FakeLoop Loop;
  FakeGroup Group(Loop, {"a"});
  Group.ExecutionTime = Millis(20);
  const auto Served = [&](LoadOptions Load, const std::string &Prefix,
                          PipelineCounts &Counts) {
    FakePipeline Proxy(Loop, Group, Load);
    const auto Opener = Proxy.connect("primary");
    REQUIRE_FALSE(Proxy.ask(Opener, Kind::Write, Prefix, "STORE x 0").Refusal);
    Loop.runFor(Millis(1500));
    std::vector<FakePipeline::Session> Callers;
    Callers.reserve(60);
    for (int Each = 0; Each < 60; ++Each)
      Callers.push_back(Proxy.connect("primary"));
    for (std::size_t Each = 0; Each < Callers.size(); ++Each)
      Proxy.send(Callers[Each], Kind::Write, Prefix + std::to_string(Each),
                 "STORE x 1");
    Loop.runFor(Millis(820));
    std::size_t Out = 0;
    for (std::size_t Each = 0; Each < Callers.size(); ++Each) {
      REQUIRE(Callers[Each].Caller->Answers.size() == 1);
      const StatementAnswer &Answer = Callers[Each].Caller->last();
      const std::size_t Runs = Group.runs(Prefix + std::to_string(Each));
      CHECK(Runs == (Answer.Refusal ? 0 : 1));
      Out += Answer.Refusal ? 0 : 1;
    }
    Counts = Proxy.Pipeline.counts();
    CHECK(Proxy.Pipeline.lateWaiting() == 0);
    return Out;
  };
  PipelineCounts Before;
  PipelineCounts After;
  const std::size_t Without = Served({}, "w", Before);
  const std::size_t With = Served(lateService(), "l", After);
  CAPTURE(Without, With);
  CHECK(With >= Without + 10);
  CHECK(Before.Late == LateCounts{});
  CHECK(After.Late.Started > 0);
  CHECK(After.WritesServedLate > 0);
}

namespace {

/// Proxies in front of a target whose connections at some gateways are held by
/// transactions, so that further statements wait there.
struct HeldConnections : RelaySetup {
  /// Holds the connections of the first \p Held gateways.
  HeldConnections(LoadOptions Load, std::size_t Held)
      : RelaySetup(12, 4, Load) {
    Loop.runFor(Millis(1000));
    const std::vector<std::size_t> Gateways = System.gateways("a");
    for (std::size_t Each = 0; Each < std::min(Held, Gateways.size()); ++Each)
      for (int Link = 0; Link < 4; ++Link)
        hold(System.proxy(Gateways[Each]));
    Loop.runFor(Millis(200));
  }
  void hold(FakeProxy &At) {
    Holders.push_back(
        At.Broker.open({GroupName, "a", {"a", 5000}},
                       {[] {}, [](const StatementAnswer &) {},
                        [](const std::optional<StatementRefusal> &) {}}));
    Holders.back()->send({{.Operation = TargetCommand::Kind::Begin,
                           .MaxQueueTime = Millis(150)}});
  }
  std::size_t lateWaiting() {
    std::size_t Out = 0;
    for (std::size_t Each = 0; Each < Proxies; ++Each)
      Out += System.proxy(Each).Broker.lateWaiting();
    return Out;
  }

  std::vector<std::unique_ptr<TargetLink>> Holders;
};

} // namespace

TEST_CASE("A statement that waits late at a gateway keeps its place",
          "[load][relay]") {
  // All connections are held for 450 ms. Guards against an answer timeout or a
  // try at another gateway while the statement waits for its turn, and against
  // a refusal after the time for retries, which is 320 ms.
  const std::string Text = GENERATE("FETCH x", "STORE x 1");
  const bool IsRead = Text == "FETCH x";
  const bool InTransaction = GENERATE(false, true);
  HeldConnections Fixture(lateService(), 4);
  // Longer than the interval at which the timeouts are checked.
  Fixture.Group.ExecutionTime = Millis(60);
  const std::size_t Proxy = Fixture.System.nonGateway("a");
  const auto Caller = Fixture.System.connect(Proxy, "primary");
  if (InTransaction)
    Fixture.System.send(Caller, Kind::Begin);
  const std::size_t Before = Caller.Caller->Answers.size();
  Fixture.System.send(Caller, IsRead ? Kind::Read : Kind::Write, "s", Text);
  Fixture.Loop.runFor(Millis(450));
  CHECK(Fixture.lateWaiting() == 1);
  CHECK(Caller.Caller->Answers.size() == Before);
  Fixture.Holders.clear();
  Fixture.Loop.runFor(Millis(200));
  REQUIRE(Caller.Caller->Answers.size() == Before + 1);
  CHECK_FALSE(Caller.Caller->last().Refusal);
  CHECK(Fixture.Group.runs("s") == 1);
  const PipelineCounts &Counts = Fixture.System.proxy(Proxy).Pipeline.counts();
  CHECK(Counts.Retries == 0);
  CHECK(Counts.ReadsServedLate + Counts.WritesServedLate == 1);
}

TEST_CASE("A gateway that dies with late statements ends their wait",
          "[load][relay]") {
  // Its links close: reads go elsewhere, and writes are unknown, because their
  // proxy does not know whether they were sent to the target.
  HeldConnections Fixture(lateService(), 1);
  const std::size_t Dying = Fixture.System.gateways("a").front();
  const std::size_t Proxy = Fixture.System.nonGateway("a");
  std::vector<FakeRelaySystem::Session> Sessions;
  const auto SendAll = [&](Kind Which, const std::string &Text) {
    for (int Each = 0; Each < 2; ++Each) {
      Sessions.push_back(Fixture.System.connect(Proxy, "primary"));
      Fixture.System.send(Sessions.back(), Which,
                          "s" + std::to_string(Sessions.size() - 1), Text);
    }
  };
  const bool IsRead = GENERATE(true, false);
  SendAll(IsRead ? Kind::Read : Kind::Write, IsRead ? "FETCH x" : "STORE x 1");
  Fixture.Loop.runFor(Millis(200));
  REQUIRE(Fixture.System.proxy(Dying).Broker.lateWaiting() == 1);
  Fixture.System.proxy(Dying).Host.kill();
  Fixture.Loop.runFor(Millis(100));
  std::size_t Unknown = 0;
  for (std::size_t Each = 0; Each < Sessions.size(); ++Each) {
    REQUIRE(Sessions[Each].Caller->Answers.size() == 1);
    const StatementAnswer &Answer = Sessions[Each].Caller->last();
    const std::size_t Runs = Fixture.Group.runs("s" + std::to_string(Each));
    CHECK(Runs == (Answer.Refusal ? 0 : 1));
    Unknown += Answer.Refusal && Answer.Refusal->Code == RefusalCode::Unknown;
  }
  CHECK(Unknown == (IsRead ? 0 : 1));
}

TEST_CASE("Statements that can no longer be answered are refused with a time",
          "[load][relay]") {
  // The connections are never released. Nothing is held beyond the time when it
  // could still be answered, and nothing that was refused runs later.
  HeldConnections Fixture(lateService(), 4);
  const auto Writer =
      Fixture.System.connect(Fixture.System.nonGateway("a"), "primary");
  const Millis Start = Fixture.Loop.now();
  const StatementAnswer Answer =
      Fixture.System.ask(Writer, Kind::Write, "w1", "STORE x 1");
  REQUIRE(Answer.Refusal);
  CHECK(Answer.Refusal->Code == RefusalCode::Busy);
  CHECK(Answer.Refusal->Reason.find("come back after") != std::string::npos);
  CHECK(Fixture.Loop.now() - Start < Millis(800));
  Fixture.Holders.clear();
  Fixture.Loop.runFor(Millis(3000));
  CHECK(Fixture.Group.runs("w1") == 0);
}
