/// \file
/// A session pipeline whose target links run handlers while it uses them.

#include "FakeGroup.h"
#include "HookedConnector.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

/// A pipeline in front of the primary "a", and its callers.
struct Setup {
  Setup() { Pipeline.adopt(planOfThreeRoutes()); }
  ~Setup() { Loop.clear(); }

  std::uint64_t connect(const std::shared_ptr<FakeCaller> &Caller) {
    return Pipeline.open("primary", "", Caller);
  }
  void write(std::uint64_t Session, const std::string &Id) {
    Statement Stmt;
    Stmt.Kind = StatementKind::Write;
    Stmt.Id = Id;
    Stmt.Text = "STORE x 1";
    Pipeline.receive(Session, Stmt);
  }
  /// Reports that the target has gone.
  void removeTarget() {
    std::vector<TargetRecord> All = Group.directory().all();
    for (TargetRecord &Each : All) {
      Each.IsGone = true;
      ++Each.Sequence;
    }
    TargetDirectory Directory;
    Directory.merge(All, Loop.now());
    Pipeline.updateTargets(Directory);
  }

  FakeLoop Loop;
  FakeGroup Group{Loop, {"a"}};
  FakeHost Host{Loop, "proxy"};
  HookedConnector Connector{Group};
  FloorTable Floors;
  SessionPipeline Pipeline{{Host, Host, Connector, Floors},
                           {"region", "here", "proxy"}};
};

} // namespace

TEST_CASE("A waiting statement may be removed while another one is sent",
          "[pipeline]") {
  // Guards against a loop over waiting statements that continues at a removed
  // one.
  Setup Fixture;
  std::vector<std::shared_ptr<FakeCaller>> Callers;
  std::vector<std::uint64_t> Sessions;
  for (int Each = 0; Each < 4; ++Each) {
    Callers.push_back(std::make_shared<FakeCaller>());
    Sessions.push_back(Fixture.connect(Callers.back()));
    Fixture.write(Sessions.back(), "w" + std::to_string(Each));
  }
  Fixture.Connector.AtSend = [&] {
    Fixture.Pipeline.handleDisconnect(Sessions[1]);
    Fixture.Pipeline.handleDisconnect(Sessions[2]);
  };
  Fixture.Pipeline.updateTargets(Fixture.Group.directory());
  Fixture.Loop.runFor(Millis(300));
  CHECK(Callers[0]->Answers.size() == 1);
  CHECK(Fixture.Group.run("w1") == nullptr);
  CHECK(Fixture.Group.run("w2") == nullptr);
  REQUIRE(Callers[3]->Answers.size() == 1);
  CHECK_FALSE(Callers[3]->last().Refusal);
}

TEST_CASE("A target may go while a connection to it is opened in advance",
          "[pipeline]") {
  // Guards against forgetting a target that is in use further up the stack.
  Setup Fixture;
  Fixture.Connector.AtOpen = [&] { Fixture.removeTarget(); };
  Fixture.Pipeline.updateTargets(Fixture.Group.directory());
  Fixture.Loop.runFor(Millis(1000));
  CHECK(Fixture.Pipeline.pools().empty());
}

TEST_CASE("A target may go while a statement's connection to it is opened",
          "[pipeline]") {
  // Guards against forgetting a target that is a choice for a statement.
  Setup Fixture;
  const auto Caller = std::make_shared<FakeCaller>();
  const std::uint64_t Session = Fixture.connect(Caller);
  Fixture.Pipeline.updateTargets(Fixture.Group.directory());
  Fixture.Loop.runFor(Millis(50));
  Fixture.Group.Servers["a"].AnswersToCut = 1;
  Fixture.write(Session, "w0");
  Fixture.Loop.runFor(Millis(50));
  REQUIRE(Caller->Answers.size() == 1);
  REQUIRE(Fixture.Pipeline.pools().front().Connections == 0);
  bool HasOpened = false;
  Fixture.Connector.AtOpen = [&] {
    HasOpened = true;
    Fixture.removeTarget();
  };
  Fixture.write(Session, "w1");
  CHECK(HasOpened);
  Fixture.Loop.runFor(Millis(1000));
  CHECK(Caller->Answers.size() == 2);
  CHECK(Fixture.Pipeline.pools().empty());
}

TEST_CASE("A session may end while its idle transaction is ended",
          "[pipeline]") {
  // Guards against a loop over sessions that continues at an ended one.
  Setup Fixture;
  const auto Caller = std::make_shared<FakeCaller>();
  const std::uint64_t Session = Fixture.connect(Caller);
  Fixture.Pipeline.updateTargets(Fixture.Group.directory());
  Statement Begin;
  Begin.Kind = StatementKind::Begin;
  Begin.Text = "BEGIN";
  Fixture.Pipeline.receive(Session, Begin);
  Fixture.write(Session, "w0");
  Fixture.Loop.runFor(Millis(50));
  REQUIRE(Caller->Answers.size() == 2);
  bool HasEnded = false;
  Fixture.Connector.AtSend = [&] {
    HasEnded = true;
    Fixture.Pipeline.handleDisconnect(Session);
  };
  Fixture.Loop.runFor(Fixture.Pipeline.plan().TransactionIdleTimeout * 2);
  CHECK(HasEnded);
  CHECK(Fixture.Pipeline.hasNoSessions());
}
