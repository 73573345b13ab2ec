/// \file
/// Decisions under load: the limit of statements in flight at a target, the
/// prediction of waits, sessions opened before the first plan, and primaries
/// not yet announced by control. Each test describes its load.

#include "Admission/WaitForecast.h"
#include "FakeGroup.h"
#include "Pipeline/StatementWindow.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

using Kind = StatementKind;

/// A target with a fixed number of slots and a queue, and proxies that each
/// keep as many statements in flight as their windows allow.
struct ContentionModel {
  /// Runs for \p Span with \p Proxies that always have another statement.
  /// Returns the mean time from sending to answer over the second half.
  double run(std::size_t Proxies, Millis Span, bool UsesWindow) {
    std::vector<StatementWindow> Windows(Proxies);
    std::vector<std::size_t> InFlight(Proxies, 0);
    std::mt19937_64 Random(7);
    std::lognormal_distribution<double> Work(std::log(20), 0.6);
    std::vector<Millis> SlotFree(Slots);
    std::multimap<Millis, std::pair<std::size_t, Millis>> Answers;
    double Sum = 0;
    std::size_t Count = 0;
    // Without load at first, the answer times are the execution times.
    for (int Each = 0; Each < 200; ++Each)
      for (StatementWindow &Window : Windows)
        Window.recordAnswerTime(Millis(static_cast<std::int64_t>(Work(Random))),
                                Millis(0));
    for (Millis Now = Millis(0); Now < Span; Now = Now + Millis(1)) {
      while (!Answers.empty() && Answers.begin()->first <= Now) {
        const auto [Proxy, SentAt] = Answers.begin()->second;
        Answers.erase(Answers.begin());
        --InFlight[Proxy];
        Windows[Proxy].recordAnswerTime(Now - SentAt, Now);
        if (Now > Span / 2) {
          Sum += static_cast<double>((Now - SentAt).count());
          ++Count;
        }
      }
      for (std::size_t Proxy = 0; Proxy < Proxies; ++Proxy)
        while (InFlight[Proxy] < Connections &&
               (!UsesWindow || Windows[Proxy].mayBegin(InFlight[Proxy]))) {
          const auto Slot = std::min_element(SlotFree.begin(), SlotFree.end());
          *Slot = std::max(*Slot, Now) +
                  Millis(static_cast<std::int64_t>(Work(Random)) + 1);
          Answers.insert({*Slot, {Proxy, Now}});
          ++InFlight[Proxy];
        }
    }
    Served = Count;
    return Sum / static_cast<double>(std::max<std::size_t>(Count, 1));
  }

  std::size_t Slots = 3;
  std::size_t Connections = 4;
  std::size_t Served = 0;
};

/// The pipeline of a proxy that has just started, without a plan.
struct StartedProxy {
  FakeLoop Loop;
  FakeGroup Group{Loop, {"a", "b", "c"}};
  FakeHost Host{Loop, "proxy"};
  FloorTable Floors;
  SessionPipeline Pipeline{{Host, Host, Group, Floors},
                           {"region", "here", "proxy"}};
};

} // namespace

TEST_CASE(
    "Under lasting load statements wait at the proxies, not at the target",
    "[load]") {
  // Nine proxies always have more statements for a target with three slots.
  // Without the window, 36 are at the target, and each answer takes twelve
  // times its execution time. With it, few are, and the throughput stays the
  // same.
  ContentionModel Model;
  const double Without = Model.run(9, Millis(20000), false);
  const std::size_t ServedWithout = Model.Served;
  const double With = Model.run(9, Millis(20000), true);
  CHECK(With < Without / 2);
  CHECK(Model.Served * 100 >= ServedWithout * 97);
}

TEST_CASE("The window does not limit an uncongested target", "[load]") {
  // A single proxy uses a target. Its window must not leave a slot unused, even
  // if execution times vary widely.
  ContentionModel Model;
  Model.Connections = 3;
  Model.run(1, Millis(20000), false);
  const std::size_t ServedWithout = Model.Served;
  Model.run(1, Millis(20000), true);
  CHECK(Model.Served * 100 >= ServedWithout * 99);
}

TEST_CASE("A window grows again when the congestion ends", "[load]") {
  StatementWindow Window;
  for (int Each = 0; Each < 100; ++Each)
    Window.recordAnswerTime(Millis(20), Millis(20) * Each);
  for (int Each = 0; Each < 200; ++Each)
    Window.recordAnswerTime(Millis(150), Millis(2000) + Millis(20) * Each);
  CHECK(Window.isCongested());
  CHECK_FALSE(Window.mayBegin(1));
  for (int Each = 0; Each < 60; ++Each)
    Window.recordAnswerTime(Millis(20), Millis(6000) + Millis(20) * Each);
  CHECK_FALSE(Window.isCongested());
  CHECK(Window.mayBegin(3));
}

TEST_CASE("The expected wait follows the departure rate of the queue",
          "[load]") {
  // A statement leaves every 10 ms while others wait, so the wait behind ten of
  // them is 100 ms. A target that has stopped must not count as a fast one.
  WaitForecast Forecast;
  for (int Each = 0; Each < 100; ++Each)
    Forecast.recordDeparture(5, Millis(10) * Each);
  const Millis Now(990);
  CHECK(Forecast.expectedWait(0, Now) == Millis(0));
  CHECK(Forecast.expectedWait(10, Now) >= Millis(90));
  CHECK(Forecast.expectedWait(10, Now) <= Millis(110));
  CHECK(Forecast.expectedWait(10, Now + Millis(2000)) >= Millis(1500));
  // A pause with an empty queue does not affect the rate.
  Forecast.recordDeparture(0, Now);
  Forecast.recordDeparture(3, Now + Millis(60000));
  CHECK(Forecast.expectedWait(10, Now + Millis(60000)) <= Millis(110));
}

TEST_CASE("Statements that cannot be served in time are refused at once",
          "[load]") {
  // The only target executes one statement at a time, and forty callers send at
  // the same time. Statements far back in the queue are refused on arrival with
  // a retry delay. No refused statement is executed, and the first are served.
  FakeLoop Loop;
  FakeGroup Group(Loop, {"a"});
  Group.ExecutionTime = Millis(20);
  FakePipeline Proxy(Loop, Group);
  const auto Opener = Proxy.connect("primary");
  REQUIRE_FALSE(Proxy.ask(Opener, Kind::Write, "w0", "STORE x 0").Refusal);
  std::vector<FakePipeline::Session> Callers;
  Callers.reserve(40);
  for (int Each = 0; Each < 40; ++Each)
    Callers.push_back(Proxy.connect("primary"));
  std::size_t Served = 0;
  std::size_t RefusedEarly = 0;
  for (int Round = 0; Round < 3; ++Round) {
    const Millis Start = Loop.now();
    for (std::size_t Each = 0; Each < Callers.size(); ++Each)
      Proxy.send(Callers[Each], Kind::Write,
                 "w" + std::to_string(Round) + "." + std::to_string(Each),
                 "STORE x 1");
    Loop.runFor(Millis(400));
    for (std::size_t Each = 0; Each < Callers.size(); ++Each) {
      const StatementAnswer &Answer = Callers[Each].Caller->last();
      const std::string Id =
          "w" + std::to_string(Round) + "." + std::to_string(Each);
      if (!Answer.Refusal) {
        ++Served;
        continue;
      }
      CHECK(Answer.Refusal->Code == RefusalCode::Busy);
      CHECK(Group.runs(Id) == 0);
      CHECK(Answer.Refusal->Reason.find("come back after") !=
            std::string::npos);
      if (Answer.Refusal->Reason.find("too many wait") == 0)
        ++RefusedEarly;
    }
    CHECK(Loop.now() - Start <= Millis(400));
  }
  CHECK(Served > 0);
  CHECK(RefusedEarly > 40);
}

TEST_CASE("Callers that return after a full outage may wait longer", "[load]") {
  // All callers return at the same time to proxies that have just received
  // their plan and have no connections to targets. The queue drains within an
  // objective. If statements were refused after a quarter of it, as under
  // lasting load, callers would use up their three attempts before the system
  // recovers.
  StartedProxy Fixture;
  Fixture.Group.ExecutionTime = Millis(10);
  std::vector<std::shared_ptr<FakeCaller>> Callers;
  Fixture.Pipeline.adopt(planOfThreeRoutes());
  Fixture.Pipeline.updateTargets(Fixture.Group.directory());
  for (int Each = 0; Each < 40; ++Each) {
    Callers.push_back(std::make_shared<FakeCaller>());
    Statement Write;
    Write.Kind = Kind::Write;
    Write.Id = "w" + std::to_string(Each);
    Write.Text = "STORE x 1";
    Fixture.Pipeline.receive(
        Fixture.Pipeline.open("primary", "", Callers.back()), Write);
  }
  Fixture.Loop.runFor(Millis(400));
  std::size_t Served = 0;
  for (const auto &Each : Callers) {
    REQUIRE(Each->Answers.size() == 1);
    Served += Each->last().Refusal ? 0 : 1;
  }
  // With four connections opened one after the other in 38 ms, 12 ms a
  // statement and an objective of 100 ms, 26 can be served. Three quarters of
  // them must be.
  CHECK(Served >= 20);
}

TEST_CASE("Sessions opened before the first plan wait for it", "[load]") {
  // All processes were down, and callers return before the plan arrives. A
  // refusal would use up one of their few attempts. Held sessions are served as
  // soon as the plan arrives, and refused in time if none does.
  StartedProxy Fixture;
  const auto Early = std::make_shared<FakeCaller>();
  const auto Unknown = std::make_shared<FakeCaller>();
  Fixture.Pipeline.open("primary", "", Early);
  Fixture.Pipeline.open("nothing", "", Unknown);
  Fixture.Loop.runFor(Millis(300));
  CHECK_FALSE(Early->IsOpen);
  CHECK_FALSE(Early->Rejected);
  Fixture.Pipeline.adopt(planOfThreeRoutes());
  CHECK(Early->IsOpen);
  REQUIRE(Unknown->Rejected);
  CHECK(Unknown->Rejected->Code == RefusalCode::NoDatabase);
}

TEST_CASE("Opening a session is refused in time if no plan arrives", "[load]") {
  StartedProxy Fixture;
  const auto Caller = std::make_shared<FakeCaller>();
  Fixture.Pipeline.open("primary", "", Caller);
  Fixture.Loop.runFor(Millis(1200));
  REQUIRE(Caller->Rejected);
  CHECK(Caller->Rejected->Code == RefusalCode::Busy);
  CHECK(Caller->Rejected->Reason.find("come back after") != std::string::npos);
  CHECK(Fixture.Pipeline.sessions() == 0);
}

TEST_CASE("Reads avoid a congested primary", "[load]") {
  // A burst of reads meets two replicas and a primary whose answers take many
  // times their execution time. Reads that replicas can serve are sent there.
  FakeLoop Loop;
  FakeGroup Group(Loop, {"a", "b", "c"});
  FakePipeline Proxy(Loop, Group);
  const auto Writer = Proxy.connect("primary");
  const auto Reader = Proxy.connect("bounded");
  for (int Each = 0; Each < 200; ++Each)
    REQUIRE_FALSE(
        Proxy.ask(Writer, Kind::Write, "w" + std::to_string(Each), "STORE x 1")
            .Refusal);
  Group.ExecutionTime = Millis(40);
  for (int Each = 0; Each < 40; ++Each)
    REQUIRE_FALSE(
        Proxy.ask(Writer, Kind::Write, "v" + std::to_string(Each), "STORE x 1")
            .Refusal);
  std::vector<FakePipeline::Session> Readers;
  Readers.reserve(16);
  for (int Each = 0; Each < 16; ++Each)
    Readers.push_back(Proxy.connect("bounded"));
  for (int Round = 0; Round < 5; ++Round) {
    for (std::size_t Each = 0; Each < Readers.size(); ++Each)
      Proxy.send(Readers[Each], Kind::Read,
                 "r" + std::to_string(Round) + "." + std::to_string(Each),
                 "FETCH x");
    Loop.runFor(Millis(300));
  }
  std::size_t AtReplicas = 0;
  for (const FakeExecution &Each : Group.Runs) {
    if (Each.IsWrite)
      continue;
    CHECK(Each.Target != "a");
    ++AtReplicas;
  }
  CHECK(AtReplicas > 10);
}

TEST_CASE("Reads avoid a primary in the failure domain of the proxy",
          "[load]") {
  // Under steady load without congestion, the primary is in the failure domain
  // of the proxies and the replicas are elsewhere. Reads sent to the nearest
  // target would delay writes, which can only run at the primary.
  FakeLoop Loop;
  FakeGroup Group(Loop, {"a", "b", "c"});
  FakePipeline Proxy(Loop, Group);
  std::vector<TargetRecord> All = Group.directory().all();
  for (TargetRecord &Each : All)
    Each.FailureDomain = Each.IsPrimary ? "here" : "elsewhere";
  TargetDirectory Directory;
  Directory.merge(All, Loop.now());
  Proxy.Pipeline.updateTargets(Directory);
  const auto Writer = Proxy.connect("primary");
  REQUIRE_FALSE(Proxy.ask(Writer, Kind::Write, "w", "STORE x 1").Refusal);
  Loop.runFor(Millis(50));
  const auto Reader = Proxy.connect("bounded");
  for (int Each = 0; Each < 40; ++Each)
    REQUIRE_FALSE(
        Proxy.ask(Reader, Kind::Read, "r" + std::to_string(Each), "FETCH x")
            .Refusal);
  for (const FakeExecution &Each : Group.Runs)
    CHECK((Each.IsWrite || Each.Target != "a"));
}

TEST_CASE("A proxy that control cannot reach finds the new primary", "[load]") {
  // The primary is replaced without a directory update. A write sent meanwhile
  // either reaches the new primary or is refused as not executed. After 200 ms,
  // writes reach the new primary.
  FakeLoop Loop;
  FakeGroup Group(Loop, {"a", "b", "c"});
  FakePipeline Proxy(Loop, Group);
  const auto Session = Proxy.connect("primary");
  const auto Reader = Proxy.connect("bounded");
  REQUIRE_FALSE(Proxy.ask(Session, Kind::Write, "w1", "STORE x 1").Refusal);
  for (int Each = 0; Each < 6; ++Each)
    Proxy.ask(Reader, Kind::Read, "r" + std::to_string(Each), "FETCH x");
  Group.promote("c");
  const auto First = Proxy.ask(Session, Kind::Write, "w2", "STORE x 2");
  if (First.Refusal)
    CHECK(Group.runs("w2") == 0);
  Loop.runFor(Millis(200));
  REQUIRE_FALSE(Proxy.ask(Session, Kind::Write, "w3", "STORE x 3").Refusal);
  CHECK(Group.run("w3")->Target == "c");
  CHECK(Group.runs("w3") == 1);
}
