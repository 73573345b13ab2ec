/// \file
/// Random faults of targets, and what callers' successes and promises stand for
/// meanwhile.

#include "FakeGroup.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

using Kind = StatementKind;

struct Setup {
  FakeLoop Loop;
  FakeGroup Group{Loop, {"a", "b", "c"}};
  FakePipeline Proxy{Loop, Group};
};

// Targets die, change places, lose answers, stop receiving and get busy
// while sessions of all kinds work. Each success is checked against what
// the targets did, each promise against what they keep.
void checkRandomFaults(int Seed, std::function<Millis()> AtReading) {
  CAPTURE(Seed);
  Setup On;
  On.Proxy.Host.OnClockRead = std::move(AtReading);
  std::mt19937 Random(static_cast<unsigned>(Seed));
  const auto Chance = [&Random](unsigned Percent) {
    return Random() % 100 < Percent;
  };
  const std::vector<std::string> Names = {"a", "b", "c"};
  std::vector<FakePipeline::Session> Sessions;
  Sessions.reserve(6);
  for (int Each = 0; Each < 6; ++Each)
    Sessions.push_back(On.Proxy.connect(
        std::vector<std::string>{"primary", "bounded", "own"}[Each % 3]));
  std::set<std::string> Promised;
  std::set<std::string> Done;
  for (int Round = 0; Round < 300; ++Round) {
    FakeGroup::Server &Any = On.Group.Servers[Names[Random() % 3]];
    if (Chance(4))
      Any.ConnectionsToMute = 1;
    if (Chance(4))
      Any.AnswersToCut = 1;
    if (Chance(5))
      Any.IsBusy = !Any.IsBusy;
    if (Chance(5))
      Any.IsReplicating = !Any.IsReplicating;
    if (Chance(2)) {
      On.Group.promote(Names[Random() % 3]);
      if (Chance(60))
        On.Proxy.updateDirectory();
    }
    if (Chance(10))
      On.Proxy.updateDirectory();
    const auto &Session = Sessions[Random() % Sessions.size()];
    const std::string Id = "s" + std::to_string(Round);
    const bool Writes = Chance(40);
    const auto Answer = On.Proxy.ask(Session, Writes ? Kind::Write : Kind::Read,
                                     Id, Writes ? "STORE x " + Id : "FETCH x");
    if (!Answer.Refusal) {
      Done.insert(Id);
      CHECK(Answer.Signature == "proof of " + Id);
    } else if (Answer.Refusal->Code == RefusalCode::Busy ||
               Answer.Refusal->Code == RefusalCode::ReadOnly ||
               Answer.Refusal->Code == RefusalCode::Aborted) {
      Promised.insert(Id);
    }
    On.Loop.runFor(Millis(static_cast<std::int64_t>(Random() % 30)));
  }
  On.Loop.runFor(Millis(3000));
  for (const std::string &Id : Promised)
    CHECK(On.Group.Committed.count(Id) == 0);
  for (const FakeExecution &Each : On.Group.Runs)
    if (Each.IsWrite)
      CHECK(On.Group.runs(Each.Id) == 1);
  // Busy spans of the primary leave few in some runs.
  CHECK(Done.size() > 30);
}

} // namespace

TEST_CASE("Random faults never make a success untrue", "[pipeline]") {
  checkRandomFaults(GENERATE(range(1, 41)), nullptr);
}

TEST_CASE("A proxy that loses the processor never makes a success untrue",
          "[pipeline][time]") {
  // Guards against truths that hold only while no time passes in a decision.
  checkRandomFaults(GENERATE(range(41, 61)), randomPauses(1, 200));
}
