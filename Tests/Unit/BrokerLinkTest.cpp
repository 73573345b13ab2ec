/// \file
/// Links to the broker of a gateway that send while answers are pending.

#include "FakeGroup.h"
#include "Relay/TargetBroker.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

constexpr const char *GroupName = "ledger";
/// With this many gateways, this one may execute one statement at a time.
constexpr std::size_t ManyGateways = 6;
constexpr std::size_t Connections = 4;

TargetCommand run(const std::string &Id, const std::string &Text) {
  TargetCommand Out;
  Out.Id = Id;
  Out.Text = Text;
  Out.MaxQueueTime = Millis(100);
  return Out;
}

/// A broker for three targets, of which "a" is the primary, and links to "a".
struct Setup {
  Setup() {
    Broker.setShare(GroupName, Connections, ManyGateways);
    Broker.update(Group.directory());
  }

  /// Opens a link. \p IsClosed is set once no further answers will arrive.
  std::unique_ptr<TargetLink> open(std::vector<StatementAnswer> &Answers,
                                   bool &IsClosed) {
    return Broker.open(
        {GroupName, "a", {"a", 5000}},
        {[] {},
         [&Answers](const StatementAnswer &Each) { Answers.push_back(Each); },
         [&IsClosed](const std::optional<StatementRefusal> &) {
           IsClosed = true;
         }});
  }

  FakeLoop Loop;
  FakeGroup Group{Loop, {"a", "b", "c"}};
  FakeHost Host{Loop, "gateway"};
  TargetBroker Broker{Host, Host, Group};
};

} // namespace

TEST_CASE("A statement queued behind the end of its transaction is refused",
          "[relay]") {
  // Guards against a link that stays queued without a connection.
  Setup Fixture;
  std::vector<StatementAnswer> Answers;
  std::vector<StatementAnswer> Others;
  bool IsClosed = false;
  const auto Link = Fixture.open(Answers, IsClosed);
  const auto Other = Fixture.open(Others, IsClosed);
  Link->send(
      {{.Operation = TargetCommand::Kind::Begin, .MaxQueueTime = Millis(100)}});
  Fixture.Loop.runFor(Millis(50));
  REQUIRE(Answers.size() == 1);
  Link->send({run("end", "COMMIT")});
  Link->send({run("next", "STORE x 1")});
  Fixture.Loop.runFor(Millis(50));
  REQUIRE(Answers.size() == 3);
  CHECK_FALSE(Answers[1].Refusal);
  CHECK(Answers[2].Refusal);
  CHECK(Fixture.Group.run("next") == nullptr);
  Other->send({run("other", "STORE x 1")});
  Fixture.Loop.runFor(Millis(50));
  REQUIRE(Others.size() == 1);
  CHECK_FALSE(Others[0].Refusal);
}

TEST_CASE("A connection may be lost while its answer is reported", "[relay]") {
  // Guards against an answer that continues with the connection that its link
  // no longer holds.
  Setup Fixture;
  std::vector<StatementAnswer> Answers;
  bool IsClosed = false;
  const auto Link = Fixture.open(Answers, IsClosed);
  Link->send({run("first", "STORE x 1")});
  Fixture.Loop.runFor(Millis(50));
  REQUIRE(Answers.size() == 1);
  Fixture.Broker.update(Fixture.Group.directory());
  Fixture.Broker.signalPrimaryAnswered().connect([&](const std::string &Id) {
    ++Fixture.Group.Servers[Id].BornAt;
    Fixture.Broker.update(Fixture.Group.directory());
  });
  Link->send({run("second", "STORE x 1")});
  Fixture.Loop.runFor(Millis(50));
  CHECK(IsClosed);
  CHECK(Answers.size() == 1);
  CHECK_FALSE(Fixture.Broker.isBusy());
  Fixture.Loop.clear();
}

TEST_CASE("A target may go while its last connection is lost", "[relay]") {
  // Guards against forgetting a target that is in use further up the stack.
  Setup Fixture;
  bool IsClosed = false;
  const auto Link =
      Fixture.Broker.open({GroupName, "a", {"a", 5000}},
                          {[] {}, [](const StatementAnswer &) {},
                           [&](const std::optional<StatementRefusal> &) {
                             IsClosed = true;
                             std::vector<TargetRecord> All =
                                 Fixture.Group.directory().all();
                             for (TargetRecord &Each : All) {
                               Each.IsGone = true;
                               ++Each.Sequence;
                             }
                             TargetDirectory Directory;
                             Directory.merge(All, Fixture.Loop.now());
                             Fixture.Broker.update(Directory);
                           }});
  Fixture.Group.Servers["a"].AnswersToCut = 1;
  Link->send({run("s", "STORE x 1")});
  Fixture.Loop.runFor(Millis(1000));
  CHECK(IsClosed);
  CHECK(Fixture.Broker.connections() == 0);
  Fixture.Loop.clear();
}

TEST_CASE("Links that send in any order get one answer per command",
          "[relay][stress]") {
  // Guards against faults when links wait, are answered or end in an order that
  // does not occur in a proxy with one statement per session.
  const auto Seed = GENERATE(range(1, 41));
  std::mt19937_64 Random(static_cast<std::uint64_t>(Seed));
  Setup Fixture;
  struct User {
    std::vector<StatementAnswer> Answers;
    std::size_t Sent = 0;
    bool IsClosed = false;
    std::unique_ptr<TargetLink> Link;
  };
  std::vector<User> Users(8);
  const auto Reopen = [&Fixture](User &Each) {
    Each.Link.reset();
    Each.Answers.clear();
    Each.Sent = 0;
    Each.IsClosed = false;
    Each.Link = Fixture.open(Each.Answers, Each.IsClosed);
  };
  for (User &Each : Users)
    Reopen(Each);
  std::size_t NextId = 1;
  for (int Step = 0; Step < 600; ++Step) {
    User &Each = Users[Random() % Users.size()];
    if (Each.IsClosed || Random() % 60 == 0)
      Reopen(Each);
    std::vector<TargetCommand> Commands;
    for (std::uint64_t Count = 1 + Random() % 3; Count > 0; --Count) {
      TargetCommand Command;
      switch (Random() % 7) {
      case 0:
        Command.Operation = TargetCommand::Kind::Begin;
        break;
      case 1:
        Command.Operation = TargetCommand::Kind::Rollback;
        break;
      case 2:
        Command.Operation = TargetCommand::Kind::SetValue;
        Command.Name = "tenant";
        Command.Text = std::to_string(Random() % 3);
        break;
      case 3:
        Command = run("s" + std::to_string(NextId++), "COMMIT");
        break;
      default:
        Command = run("s" + std::to_string(NextId++), "STORE x 1");
      }
      Command.MaxQueueTime = Millis(static_cast<std::int64_t>(Random() % 60));
      Command.NeedsPrevious = !Commands.empty() && Random() % 2 == 0;
      Commands.push_back(Command);
    }
    Each.Sent += Commands.size();
    Each.Link->send(Commands);
    FakeGroup::Server &Target = Fixture.Group.Servers["a"];
    if (Random() % 25 == 0)
      Target.AnswersToCut = 1;
    if (Random() % 25 == 0)
      Target.IsBusy = !Target.IsBusy;
    if (Random() % 60 == 0)
      Target.IsUp = !Target.IsUp;
    if (Random() % 100 == 0) {
      ++Target.BornAt;
      Fixture.Broker.update(Fixture.Group.directory());
    }
    Fixture.Loop.runFor(Millis(static_cast<std::int64_t>(Random() % 8)));
  }
  Fixture.Group.Servers["a"].IsUp = true;
  for (User &Each : Users)
    if (!Each.IsClosed)
      Each.Link->send({run("last", "STORE x 1")});
  Fixture.Loop.runFor(Millis(1000));
  for (const User &Each : Users)
    if (!Each.IsClosed)
      CHECK(Each.Answers.size() == Each.Sent + 1);
  Users.clear();
  Fixture.Loop.clear();
}
