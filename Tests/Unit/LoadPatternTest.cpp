/// \file
/// What decides under load: statements under way at a target, waits that are
/// foreseen, openings before the first plan, and leaders
/// that nobody told of. Each test names the load that it answers.

#include "FakeGroup.h"
#include "Pipeline/StatementWindow.h"
#include "Pipeline/WaitForecast.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

using Kind = StatementKind;

/// A target with some slots and a queue before them, and proxies that each
/// keep as many statements there as their windows allow.
struct CrowdModel {
  /// Runs for \p Span with \p Proxies that always have another statement; the
  /// mean time from sending to answer over the second half.
  double run(std::size_t Proxies, Millis Span, bool UsesWindow) {
    std::vector<StatementWindow> Windows(Proxies);
    std::vector<std::size_t> UnderWay(Proxies, 0);
    std::mt19937_64 Random(7);
    std::lognormal_distribution<double> Work(std::log(20), 0.6);
    std::vector<Millis> SlotFree(Slots);
    std::multimap<Millis, std::pair<std::size_t, Millis>> Answers;
    double Sum = 0;
    std::size_t Count = 0;
    // Quiet at first: one statement at a time tells what the work takes.
    for (int Each = 0; Each < 200; ++Each)
      for (StatementWindow &One : Windows)
        One.recordAnswerTime(Millis(static_cast<std::int64_t>(Work(Random))),
                             Millis(0));
    for (Millis Now = Millis(0); Now < Span; Now = Now + Millis(1)) {
      while (!Answers.empty() && Answers.begin()->first <= Now) {
        const auto [Proxy, SentAt] = Answers.begin()->second;
        Answers.erase(Answers.begin());
        --UnderWay[Proxy];
        Windows[Proxy].recordAnswerTime(Now - SentAt, Now);
        if (Now > Span / 2) {
          Sum += static_cast<double>((Now - SentAt).count());
          ++Count;
        }
      }
      for (std::size_t Proxy = 0; Proxy < Proxies; ++Proxy)
        while (UnderWay[Proxy] < Connections &&
               (!UsesWindow || Windows[Proxy].mayBegin(UnderWay[Proxy]))) {
          const auto Slot = std::min_element(SlotFree.begin(), SlotFree.end());
          *Slot = std::max(*Slot, Now) +
                  Millis(static_cast<std::int64_t>(Work(Random)) + 1);
          Answers.insert({*Slot, {Proxy, Now}});
          ++UnderWay[Proxy];
        }
    }
    Served = Count;
    return Sum / static_cast<double>(std::max<std::size_t>(Count, 1));
  }

  std::size_t Slots = 3;
  std::size_t Connections = 4;
  std::size_t Served = 0;
};

/// A proxy's pipeline as it starts, without a plan.
struct StartedProxy {
  FakeLoop Loop;
  FakeGroup Group{Loop, {"a", "b", "c"}};
  FakeHost Host{Loop, "proxy"};
  FloorTable Floors;
  SessionPipeline Pipeline{{Host, Host, Group, Floors},
                           {"region", "here", "proxy"}};
};

} // namespace

TEST_CASE("Under lasting load statements wait at the proxies, not inside",
          "[load]") {
  // Nine proxies always have more for a target with three slots. Without the
  // window 36 stand inside, and each answer takes twelve times the work; with
  // it few do, and the target serves as many.
  CrowdModel Model;
  const double Without = Model.run(9, Millis(20000), false);
  const std::size_t ServedWithout = Model.Served;
  const double With = Model.run(9, Millis(20000), true);
  CHECK(With < Without / 2);
  CHECK(Model.Served * 100 >= ServedWithout * 97);
}

TEST_CASE("A target that is well isn't held back", "[load]") {
  // One proxy alone before a target: its window must not cost it a slot,
  // however different its statements are.
  CrowdModel Model;
  Model.Connections = 3;
  Model.run(1, Millis(20000), false);
  const std::size_t ServedWithout = Model.Served;
  Model.run(1, Millis(20000), true);
  CHECK(Model.Served * 100 >= ServedWithout * 99);
}

TEST_CASE("A window opens again when the crowd has gone", "[load]") {
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

TEST_CASE("A wait is foreseen by the pace of the queue", "[load]") {
  // A statement leaves every 10 ms while others wait. Behind ten of them it's
  // 100 ms; a target that has stopped isn't taken for a fast one.
  WaitForecast Forecast;
  for (int Each = 0; Each < 100; ++Each)
    Forecast.recordDeparture(5, Millis(10) * Each);
  const Millis Now(990);
  CHECK(Forecast.expectedWait(0, Now) == Millis(0));
  CHECK(Forecast.expectedWait(10, Now) >= Millis(90));
  CHECK(Forecast.expectedWait(10, Now) <= Millis(110));
  CHECK(Forecast.expectedWait(10, Now + Millis(2000)) >= Millis(1500));
  // A pause without anybody waiting says nothing of the pace.
  Forecast.recordDeparture(0, Now);
  Forecast.recordDeparture(3, Now + Millis(60000));
  CHECK(Forecast.expectedWait(10, Now + Millis(60000)) <= Millis(110));
}

TEST_CASE("Who can't be served in time is told so at once", "[load]") {
  // The only target works on one statement at a time and forty callers come
  // together. Those far behind are refused when they come, with when to come
  // back; nobody who is refused had run, and the first are served.
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
  std::size_t Told = 0;
  for (int Round = 0; Round < 3; ++Round) {
    const Millis Began = Loop.now();
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
        ++Told;
    }
    CHECK(Loop.now() - Began <= Millis(400));
  }
  CHECK(Served > 0);
  CHECK(Told > 40);
}

TEST_CASE("Who comes back after everything was down may wait longer",
          "[load]") {
  // All callers come back at the same moment, to proxies that have just got
  // their plan and to targets without connections. The queue empties by itself
  // within an objective. Refused after a quarter of that, as under lasting
  // load, callers use up their three tries before there is anything to be had.
  StartedProxy On;
  On.Group.ExecutionTime = Millis(10);
  std::vector<std::shared_ptr<FakeCaller>> Callers;
  On.Pipeline.adopt(planOfThreeRoutes());
  On.Pipeline.updateTargets(On.Group.directory());
  for (int Each = 0; Each < 40; ++Each) {
    Callers.push_back(std::make_shared<FakeCaller>());
    Statement What;
    What.Kind = Kind::Write;
    What.Id = "w" + std::to_string(Each);
    What.Text = "STORE x 1";
    On.Pipeline.receive(On.Pipeline.open("primary", "", Callers.back()), What);
  }
  On.Loop.runFor(Millis(400));
  std::size_t Served = 0;
  for (const auto &Each : Callers) {
    REQUIRE(Each->Answers.size() == 1);
    Served += Each->last().Refusal ? 0 : 1;
  }
  // Four connections, opened one after the other in 38 ms, 12 ms a statement
  // and an objective of 100 ms: 26 can be. Three quarters of them must.
  CHECK(Served >= 20);
}

TEST_CASE("Openings wait for the first plan of a process", "[load]") {
  // All processes were down and callers come back ahead of the plan. Refused,
  // each would have used up one of its few tries; held, they're served as
  // soon as the plan is there. Where none comes they're told in time.
  StartedProxy On;
  const auto Early = std::make_shared<FakeCaller>();
  const auto Unknown = std::make_shared<FakeCaller>();
  On.Pipeline.open("primary", "", Early);
  On.Pipeline.open("nothing", "", Unknown);
  On.Loop.runFor(Millis(300));
  CHECK_FALSE(Early->IsOpen);
  CHECK_FALSE(Early->Rejected);
  On.Pipeline.adopt(planOfThreeRoutes());
  CHECK(Early->IsOpen);
  REQUIRE(Unknown->Rejected);
  CHECK(Unknown->Rejected->Code == RefusalCode::NoDatabase);
}

TEST_CASE("An opening is refused in time where no plan comes", "[load]") {
  StartedProxy On;
  const auto Caller = std::make_shared<FakeCaller>();
  On.Pipeline.open("primary", "", Caller);
  On.Loop.runFor(Millis(1200));
  REQUIRE(Caller->Rejected);
  CHECK(Caller->Rejected->Code == RefusalCode::Busy);
  CHECK(Caller->Rejected->Reason.find("come back after") != std::string::npos);
  CHECK(On.Pipeline.sessions() == 0);
}

TEST_CASE("Reads leave a crowded primary to writes", "[load]") {
  // A burst of reads with two replicas and a primary whose answers take many
  // times their work. Reads that replicas can serve go there.
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

TEST_CASE("Reads leave the primary beside them to writes", "[load]") {
  // Steady load, nothing is crowded: the primary stands in the proxies' failure
  // domain and the replicas elsewhere. Reads that went the shorter way would
  // stand before writes, which can run nowhere else.
  FakeLoop Loop;
  FakeGroup Group(Loop, {"a", "b", "c"});
  FakePipeline Proxy(Loop, Group);
  std::vector<TargetRecord> All = Group.directory().all();
  for (TargetRecord &Each : All)
    Each.FailureDomain = Each.IsPrimary ? "here" : "elsewhere";
  TargetDirectory Known;
  Known.merge(All, Loop.now());
  Proxy.Pipeline.updateTargets(Known);
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

TEST_CASE("A proxy that control can't reach finds the new primary", "[load]") {
  // The primary is replaced, and no word of it comes. A transaction and a
  // write that are sent meanwhile reach the new primary or get a promise; a
  // moment later all of them reach it.
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
