/// \file
/// Random faults of targets, and the guarantees behind the successes and
/// refusals that callers receive meanwhile.

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

// Targets are promoted, lose answers, stop answering, stop replicating and
// become busy while sessions of all kinds send statements. Each success is
// checked against the statements that the targets executed, each refusal that
// guarantees no execution against the writes that they committed.
void checkRandomFaults(int Seed, std::function<Millis()> OnRead) {
  CAPTURE(Seed);
  Setup Fixture;
  Fixture.Proxy.Host.OnClockRead = std::move(OnRead);
  std::mt19937 Random(static_cast<unsigned>(Seed));
  const auto Chance = [&Random](unsigned Percent) {
    return Random() % 100 < Percent;
  };
  const std::vector<std::string> Names = {"a", "b", "c"};
  std::vector<FakePipeline::Session> Sessions;
  Sessions.reserve(6);
  for (int Each = 0; Each < 6; ++Each)
    Sessions.push_back(Fixture.Proxy.connect(
        std::vector<std::string>{"primary", "bounded", "own"}[Each % 3]));
  std::set<std::string> NotExecuted;
  std::set<std::string> Succeeded;
  for (int Round = 0; Round < 300; ++Round) {
    FakeGroup::Server &Target = Fixture.Group.Servers[Names[Random() % 3]];
    if (Chance(4))
      Target.ConnectionsToMute = 1;
    if (Chance(4))
      Target.AnswersToCut = 1;
    if (Chance(5))
      Target.IsBusy = !Target.IsBusy;
    if (Chance(5))
      Target.IsReplicating = !Target.IsReplicating;
    if (Chance(2)) {
      Fixture.Group.promote(Names[Random() % 3]);
      if (Chance(60))
        Fixture.Proxy.updateDirectory();
    }
    if (Chance(10))
      Fixture.Proxy.updateDirectory();
    const auto &Session = Sessions[Random() % Sessions.size()];
    const std::string Id = "s" + std::to_string(Round);
    const bool Writes = Chance(40);
    const auto Answer =
        Fixture.Proxy.ask(Session, Writes ? Kind::Write : Kind::Read, Id,
                          Writes ? "STORE x " + Id : "FETCH x");
    if (!Answer.Refusal) {
      Succeeded.insert(Id);
      CHECK(Answer.Signature == "proof of " + Id);
    } else if (Answer.Refusal->Code == RefusalCode::Busy ||
               Answer.Refusal->Code == RefusalCode::ReadOnly ||
               Answer.Refusal->Code == RefusalCode::Aborted) {
      NotExecuted.insert(Id);
    }
    Fixture.Loop.runFor(Millis(static_cast<std::int64_t>(Random() % 30)));
  }
  Fixture.Loop.runFor(Millis(3000));
  for (const std::string &Id : NotExecuted)
    CHECK(Fixture.Group.Committed.count(Id) == 0);
  for (const FakeExecution &Each : Fixture.Group.Runs)
    if (Each.IsWrite)
      CHECK(Fixture.Group.runs(Each.Id) == 1);
  // Few statements succeed in runs where the primary is busy for long.
  CHECK(Succeeded.size() > 30);
}

} // namespace

TEST_CASE("Every reported success holds under random faults", "[pipeline]") {
  checkRandomFaults(GENERATE(range(1, 41)), nullptr);
}

TEST_CASE("Every reported success holds when the proxy is descheduled",
          "[pipeline][time]") {
  // Guards against results that are correct only if no time passes during a
  // decision.
  checkRandomFaults(GENERATE(range(41, 61)), randomPauses(1, 200));
}
