/// \file
/// What callers' successes and promises stand for, where targets enforce
/// their leadership and nothing but the targets' own answers is believed.

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

RefusalCode codeOf(const StatementAnswer &Answer) {
  REQUIRE(Answer.Refusal);
  return Answer.Refusal->Code;
}

Statement prepare(const std::string &Name, const std::string &Shape) {
  Statement Out;
  Out.Kind = Kind::Prepare;
  Out.Name = Name;
  Out.Value = Shape;
  Out.Writes = Shape.rfind("STORE", 0) == 0;
  return Out;
}

Statement execute(const std::string &Id, const std::string &Name,
                  const std::string &Arguments) {
  Statement Out;
  Out.Kind = Kind::Execute;
  Out.Id = Id;
  Out.Name = Name;
  Out.Arguments = Arguments;
  Out.Text = "EXECUTE " + Name + " " + Arguments;
  return Out;
}

Statement set(const std::string &Name, const std::string &Value) {
  Statement Out;
  Out.Kind = Kind::Set;
  Out.Name = Name;
  Out.Value = Value;
  return Out;
}

} // namespace

TEST_CASE("A read on the primary never comes from a replaced one",
          "[pipeline]") {
  // A proxy hasn't heard that another target leads. The former primary still
  // answers plain reads from its log, which lacks what the new one has
  // acknowledged. The caller must get the new primary's answer or a promise.
  Setup On;
  const auto Session = On.Proxy.connect("primary");
  REQUIRE_FALSE(On.Proxy.ask(Session, Kind::Read, "r1", "FETCH x").Refusal);
  On.Group.Servers["a"].IsReplicating = false;
  On.Group.promote("b");
  const auto Answer = On.Proxy.ask(Session, Kind::Read, "r2", "FETCH x");
  // The proxy finds the new primary by itself.
  CHECK_FALSE(Answer.Refusal);
  REQUIRE(On.Group.runs("r2") == 1);
  CHECK(On.Group.run("r2")->Target == "b");
  CHECK(On.Group.run("r2")->InTransaction);
  // Control's late word of the former primary isn't believed again.
  On.Proxy.updateDirectoryWithStalePrimary("a");
  REQUIRE_FALSE(On.Proxy.ask(Session, Kind::Read, "r4", "FETCH x").Refusal);
  CHECK(On.Group.run("r4")->Target == "b");
  On.Proxy.updateDirectory();
  REQUIRE_FALSE(On.Proxy.ask(Session, Kind::Read, "r3", "FETCH x").Refusal);
  CHECK(On.Group.run("r3")->Target == "b");
}

TEST_CASE("A primary that lost its log gives no caller an answer",
          "[pipeline]") {
  // The primary starts again without its log and still takes transactions. A
  // caller whose write was acknowledged reads at it and must not be told that
  // there's nothing.
  Setup On;
  const auto Session = On.Proxy.connect("primary");
  REQUIRE_FALSE(On.Proxy.ask(Session, Kind::Write, "w1", "STORE x 1").Refusal);
  REQUIRE_FALSE(On.Proxy.ask(Session, Kind::Read, "r1", "FETCH x").Refusal);
  On.Loop.runFor(Millis(50));
  On.Group.Servers["a"].Log = {1, 0};
  const auto Answer = On.Proxy.ask(Session, Kind::Read, "r2", "FETCH x");
  CHECK(Answer.Refusal);
  CHECK(On.Group.runs("r2") == 0);
}

TEST_CASE("A statement doesn't wait on a connection of a former life",
          "[pipeline]") {
  // The primary falls silent while it runs a statement, and starts again under
  // its id: the connection is dead and no reset comes. The caller of a read
  // gets its answer from the next life at once.
  Setup On;
  const auto Session = On.Proxy.connect("primary");
  REQUIRE_FALSE(On.Proxy.ask(Session, Kind::Read, "r0", "FETCH x").Refusal);
  On.Group.Servers["a"].IsUnresponsive = true;
  On.Proxy.send(Session, Kind::Read, "r1", "FETCH x");
  On.Loop.runFor(Millis(20));
  const std::size_t Before = Session.Caller->Answers.size();
  On.Group.Servers["a"].IsUnresponsive = false;
  On.Group.Servers["a"].BornAt = 2000;
  const Millis Began = On.Loop.now();
  On.Proxy.updateDirectory();
  REQUIRE(On.Loop.runUntilTrue(
      [&] { return Session.Caller->Answers.size() > Before; }, Millis(1000)));
  CHECK_FALSE(Session.Caller->last().Refusal);
  CHECK(On.Loop.now() - Began < Millis(60));
}

TEST_CASE("A bounded read runs only where the floor is held", "[pipeline]") {
  // Two replicas stopped receiving. A write is acknowledged, the accepted age
  // passes, and a caller who accepts that age reads: no replica may answer.
  Setup On;
  const auto Writer = On.Proxy.connect("primary");
  const auto Reader = On.Proxy.connect("bounded");
  On.Group.Servers["b"].IsReplicating = false;
  On.Group.Servers["c"].IsReplicating = false;
  REQUIRE_FALSE(On.Proxy.ask(Writer, Kind::Write, "w1", "STORE x 1").Refusal);
  On.Loop.runFor(Millis(1600));
  REQUIRE_FALSE(On.Proxy.ask(Writer, Kind::Read, "r0", "FETCH x").Refusal);
  REQUIRE_FALSE(On.Proxy.ask(Reader, Kind::Read, "r1", "FETCH x").Refusal);
  CHECK(On.Group.run("r1")->At >= On.Group.Committed.at("w1"));
}

TEST_CASE("Replicas that lag for long don't slow every read down",
          "[pipeline]") {
  // Both replicas stopped receiving for seconds. A read that tries one after
  // the other before it goes to the leader takes three times as long, and
  // all of them together keep the replicas busy with refusals.
  Setup On;
  const auto Writer = On.Proxy.connect("primary");
  const auto Reader = On.Proxy.connect("bounded");
  On.Group.Servers["b"].IsReplicating = false;
  On.Group.Servers["c"].IsReplicating = false;
  std::size_t AtOnce = 0;
  for (int Round = 0; Round < 200; ++Round) {
    const std::string Number = std::to_string(Round);
    REQUIRE_FALSE(
        On.Proxy.ask(Writer, Kind::Write, "w" + Number, "STORE x 1").Refusal);
    On.Loop.runFor(Millis(20));
    const Millis Began = On.Loop.now();
    REQUIRE_FALSE(
        On.Proxy.ask(Reader, Kind::Read, "r" + Number, "FETCH x").Refusal);
    // An opening and the read, each a way there and back.
    if (Round >= 100 && On.Loop.now() - Began <= Millis(8))
      ++AtOnce;
  }
  CHECK(AtOnce >= 95);
  // They are used again soon after they have caught up.
  On.Group.Servers["b"].IsReplicating = true;
  REQUIRE_FALSE(On.Proxy.ask(Writer, Kind::Write, "w", "STORE x 1").Refusal);
  std::size_t AtReplica = 0;
  for (int Round = 0; Round < 100; ++Round) {
    On.Loop.runFor(Millis(30));
    const std::string Id = "s" + std::to_string(Round);
    REQUIRE_FALSE(On.Proxy.ask(Reader, Kind::Read, Id, "FETCH x").Refusal);
    AtReplica += On.Group.run(Id)->Target == "b" ? 1 : 0;
  }
  CHECK(AtReplica >= 40);
}

TEST_CASE("An answer that got lost isn't replaced by the next one",
          "[pipeline]") {
  // A target runs a read and its answer is lost, but the connection goes on:
  // the next thing that arrives is the end of the read's transaction. Taken
  // for the read's answer, the caller would get a success without a row.
  Setup On;
  const auto Session = On.Proxy.connect("primary");
  REQUIRE_FALSE(On.Proxy.ask(Session, Kind::Read, "r0", "FETCH x").Refusal);
  for (int Round = 0; Round < 5; ++Round) {
    On.Group.Servers["a"].AnswersToDrop = 1;
    const std::string Id = "r" + std::to_string(Round + 1);
    const auto Answer = On.Proxy.ask(Session, Kind::Read, Id, "FETCH x");
    if (!Answer.Refusal)
      CHECK(Answer.Rows == std::vector<std::string>{"row of " + Id});
    On.Group.Servers["a"].AnswersToDrop = 0;
    const auto Next = On.Proxy.ask(Session, Kind::Read, "n" + Id, "FETCH x");
    if (!Next.Refusal)
      CHECK(Next.Rows == std::vector<std::string>{"row of n" + Id});
  }
}

TEST_CASE("A transaction that its proxy ended is told as aborted",
          "[pipeline]") {
  // It was idle for too long. Its caller's next statement must come with the
  // promise that nothing is kept, whatever the statement is: after a mere
  // complaint the caller wouldn't try again.
  for (const Kind What : {Kind::Read, Kind::Write, Kind::Commit}) {
    Setup On;
    const auto Session = On.Proxy.connect("primary");
    On.Proxy.ask(Session, Kind::Begin);
    REQUIRE_FALSE(
        On.Proxy.ask(Session, Kind::Write, "w1", "STORE x 1").Refusal);
    On.Loop.runFor(Millis(4000));
    const auto Answer = On.Proxy.ask(Session, What, "n1", "FETCH x");
    CHECK(codeOf(Answer) == RefusalCode::Aborted);
    On.Proxy.ask(Session, Kind::Rollback);
    CHECK(On.Group.Committed.empty());
    CHECK_FALSE(On.Proxy.ask(Session, Kind::Read, "r2", "FETCH x").Refusal);
  }
}

TEST_CASE("A floor that a replica showed is none", "[pipeline]") {
  // Nothing but reads of old replicas went through this proxy for longer than
  // the accepted age, while another proxy's write was acknowledged. The next
  // read must prove itself at the leader.
  Setup On;
  const auto Writer = On.Proxy.connect("primary");
  const auto Reader = On.Proxy.connect("bounded");
  REQUIRE_FALSE(On.Proxy.ask(Writer, Kind::Read, "r0", "FETCH x").Refusal);
  for (auto &[Name, Each] : On.Group.Servers)
    Each.IsReplicating = false;
  FakePipeline Other(On.Loop, On.Group);
  REQUIRE_FALSE(
      Other.ask(Other.connect("primary"), Kind::Write, "w1", "STORE x 1")
          .Refusal);
  for (int Round = 0; Round < 40; ++Round) {
    On.Loop.runFor(Millis(50));
    const std::string Id = "r" + std::to_string(Round + 1);
    const Millis SentAt = On.Loop.now();
    REQUIRE_FALSE(On.Proxy.ask(Reader, Kind::Read, Id, "FETCH x").Refusal);
    if (SentAt - Millis(1500) > On.Group.run("w1")->When + Millis(10))
      CHECK(On.Group.run(Id)->At >= On.Group.Committed.at("w1"));
  }
}

TEST_CASE("A floor from a tail that was rolled back starves nobody",
          "[pipeline]") {
  // The primary acknowledges a write that no replica has, then dies. Its
  // position is in no log any more; reads that ask for it would be refused by
  // every replica for as long as it counts.
  Setup On;
  const auto Session = On.Proxy.connect("own");
  On.Group.Servers["b"].IsReplicating = false;
  On.Group.Servers["c"].IsReplicating = false;
  REQUIRE_FALSE(On.Proxy.ask(Session, Kind::Write, "w1", "STORE x 1").Refusal);
  On.Group.Servers["a"].IsUp = false;
  On.Group.promote("b");
  On.Proxy.updateDirectory();
  const auto Reader = On.Proxy.connect("bounded");
  CHECK_FALSE(On.Proxy.ask(Reader, Kind::Read, "r1", "FETCH x").Refusal);
  CHECK_FALSE(On.Proxy.ask(Session, Kind::Read, "r2", "FETCH x").Refusal);
}

TEST_CASE("A session reads its own writes at every target", "[pipeline]") {
  Setup On;
  const auto Session = On.Proxy.connect("own");
  REQUIRE_FALSE(On.Proxy.ask(Session, Kind::Read, "r0", "FETCH x").Refusal);
  On.Group.Servers["b"].IsReplicating = false;
  On.Group.Servers["c"].IsReplicating = false;
  for (int Round = 0; Round < 10; ++Round) {
    const std::string Number = std::to_string(Round);
    REQUIRE_FALSE(
        On.Proxy.ask(Session, Kind::Write, "w" + Number, "STORE x 1").Refusal);
    REQUIRE_FALSE(
        On.Proxy.ask(Session, Kind::Read, "o" + Number, "FETCH x").Refusal);
    CHECK(On.Group.run("o" + Number)->At >=
          On.Group.Committed.at("w" + Number));
  }
}

TEST_CASE("A write whose answer is lost is unknown and never sent again",
          "[pipeline]") {
  // The target runs the write and its answer is lost, or the connection ends
  // in place of the answer. A second send could hand a bale over twice; a
  // promise that it didn't run would be a lie.
  const bool IsCut = GENERATE(true, false);
  CAPTURE(IsCut);
  Setup On;
  const auto Session = On.Proxy.connect("primary");
  (IsCut ? On.Group.Servers["a"].AnswersToCut
         : On.Group.Servers["a"].ConnectionsToMute) = 1;
  const auto Answer = On.Proxy.ask(Session, Kind::Write, "w1", "STORE x 1");
  CHECK(codeOf(Answer) == RefusalCode::Unknown);
  CHECK(Answer.Phase == SessionPhase::Idle);
  On.Loop.runFor(Millis(3000));
  CHECK(On.Group.runs("w1") == 1);
  CHECK_FALSE(On.Proxy.ask(Session, Kind::Write, "w2", "STORE x 1").Refusal);
}

TEST_CASE("A commit whose answer is lost is unknown", "[pipeline]") {
  Setup On;
  const auto Session = On.Proxy.connect("primary");
  On.Proxy.ask(Session, Kind::Begin);
  REQUIRE_FALSE(On.Proxy.ask(Session, Kind::Write, "w1", "STORE x 1").Refusal);
  On.Group.Servers["a"].AnswersToCut = 1;
  const auto Answer = On.Proxy.ask(Session, Kind::Commit, "c1");
  CHECK(codeOf(Answer) == RefusalCode::Unknown);
  CHECK(Answer.Phase == SessionPhase::Idle);
  CHECK(On.Group.runs("c1") == 1);
}

TEST_CASE("A transaction that loses its connection is aborted", "[pipeline]") {
  // The connection ends before the commit was sent: the target has rolled
  // back, and the caller may be told so.
  Setup On;
  const auto Session = On.Proxy.connect("primary");
  On.Proxy.ask(Session, Kind::Begin);
  REQUIRE_FALSE(On.Proxy.ask(Session, Kind::Write, "w1", "STORE x 1").Refusal);
  On.Group.Servers["a"].AnswersToCut = 1;
  const auto Answer = On.Proxy.ask(Session, Kind::Write, "w2", "STORE x 2");
  CHECK(codeOf(Answer) == RefusalCode::Aborted);
  CHECK(Answer.Phase == SessionPhase::Failed);
  CHECK(codeOf(On.Proxy.ask(Session, Kind::Read, "r1", "FETCH x")) ==
        RefusalCode::Malformed);
  CHECK(On.Proxy.ask(Session, Kind::Rollback).Phase == SessionPhase::Idle);
  CHECK(On.Group.Committed.empty());
}

TEST_CASE("A read whose answer is lost is sent elsewhere", "[pipeline]") {
  Setup On;
  const auto Session = On.Proxy.connect("bounded");
  for (auto &[Name, Each] : On.Group.Servers)
    Each.ConnectionsToMute = 1;
  const auto Answer = On.Proxy.ask(Session, Kind::Read, "r1", "FETCH x");
  // Each target loses one answer; what the caller gets is true in any case.
  if (!Answer.Refusal)
    CHECK(Answer.Rows == std::vector<std::string>{"row of r1"});
  On.Loop.runFor(Millis(2000));
  CHECK_FALSE(On.Proxy.ask(Session, Kind::Read, "r2", "FETCH x").Refusal);
}

TEST_CASE("Lost answers are no trouble while others come", "[pipeline]") {
  // The primary loses some answers and cuts some connections, and serves
  // everything else. Proxies that called it unusable would have it replaced,
  // and nobody could write for a second or more.
  Setup On;
  std::size_t Troubles = 0;
  On.Proxy.Pipeline.signalTargetFailure().connect(
      [&](const TargetFailure &) { ++Troubles; });
  std::vector<FakePipeline::Session> Sessions;
  Sessions.reserve(6);
  for (int Each = 0; Each < 4; ++Each)
    Sessions.push_back(On.Proxy.connect("primary"));
  for (int Round = 0; Round < 200; ++Round) {
    if (Round % 10 == 0)
      On.Group.Servers["a"].ConnectionsToMute = 1;
    if (Round % 10 == 5)
      On.Group.Servers["a"].AnswersToCut = 1;
    On.Proxy.send(Sessions[Round % 4], Kind::Read, "r" + std::to_string(Round),
                  "FETCH x");
    On.Loop.runFor(Millis(30));
  }
  CHECK(Troubles == 0);
  On.Group.Servers["a"].IsUnresponsive = true;
  On.Proxy.send(Sessions[0], Kind::Read, "last", "FETCH x");
  On.Loop.runFor(Millis(1500));
  CHECK(Troubles > 0);
}

TEST_CASE("A connection carries its session's values and nobody else's",
          "[pipeline]") {
  // Two sessions take turns on the same few connections, with values of one
  // name. Each statement runs with the values that its own session was
  // acknowledged.
  Setup On;
  const auto One = On.Proxy.connect("primary");
  const auto Other = On.Proxy.connect("primary");
  const auto Bare = On.Proxy.connect("primary");
  On.Proxy.ask(One, set("tone", "1"));
  On.Proxy.ask(Other, set("tone", "2"));
  On.Proxy.ask(Other, set("pitch", "3"));
  for (int Round = 0; Round < 5; ++Round) {
    const std::string Number = std::to_string(Round);
    On.Proxy.ask(One, Kind::Read, "one" + Number, "FETCH x");
    On.Proxy.ask(Other, Kind::Write, "other" + Number, "STORE x 1");
    On.Proxy.ask(Bare, Kind::Read, "bare" + Number, "FETCH x");
    CHECK(On.Group.run("one" + Number)->Values == SessionValues{{"tone", "1"}});
    CHECK(On.Group.run("other" + Number)->Values ==
          SessionValues{{"tone", "2"}, {"pitch", "3"}});
    CHECK(On.Group.run("bare" + Number)->Values.empty());
  }
}

TEST_CASE("Two sessions' prepared names never mix", "[pipeline]") {
  Setup On;
  const auto One = On.Proxy.connect("primary");
  const auto Other = On.Proxy.connect("primary");
  On.Proxy.ask(One, prepare("s1", "FETCH q1"));
  On.Proxy.ask(Other, prepare("s1", "STORE q2"));
  for (int Round = 0; Round < 5; ++Round) {
    const std::string Number = std::to_string(Round);
    On.Proxy.ask(One, execute("one" + Number, "s1", "x"));
    On.Proxy.ask(Other, execute("other" + Number, "s1", "x 1"));
    CHECK(On.Group.run("one" + Number)->Text == "FETCH q1 x");
    CHECK(On.Group.run("other" + Number)->Text == "STORE q2 x 1");
  }
  CHECK(codeOf(On.Proxy.ask(One, execute("none", "s2", "x"))) ==
        RefusalCode::NoStatement);
}

TEST_CASE("A transaction stays on one connection, alone", "[pipeline]") {
  // Many sessions hold transactions open while others send single
  // statements. No statement of another runs inside a transaction.
  Setup On;
  std::vector<FakePipeline::Session> Holders;
  for (int Each = 0; Each < 2; ++Each) {
    Holders.push_back(On.Proxy.connect("primary"));
    On.Proxy.ask(Holders.back(), Kind::Begin);
    On.Proxy.ask(Holders.back(), Kind::Write, "first" + std::to_string(Each),
                 "STORE x 1");
  }
  const auto Single = On.Proxy.connect("primary");
  for (int Round = 0; Round < 5; ++Round)
    On.Proxy.ask(Single, Kind::Write, "single" + std::to_string(Round),
                 "STORE y 1");
  for (std::size_t Each = 0; Each < Holders.size(); ++Each) {
    const std::string Number = std::to_string(Each);
    On.Proxy.ask(Holders[Each], Kind::Write, "second" + Number, "STORE x 2");
    On.Proxy.ask(Holders[Each], Kind::Commit, "commit" + Number);
    const std::uint64_t Own = On.Group.run("first" + Number)->Connection;
    CHECK(On.Group.run("second" + Number)->Connection == Own);
    CHECK(On.Group.run("commit" + Number)->Connection == Own);
  }
  for (const FakeExecution &Each : On.Group.Runs)
    if (Each.Id.rfind("single", 0) == 0)
      CHECK_FALSE(Each.InTransaction);
}

TEST_CASE("A caller who leaves takes its transaction along", "[pipeline]") {
  Setup On;
  const auto Gone = On.Proxy.connect("primary");
  On.Proxy.ask(Gone, Kind::Begin);
  On.Proxy.ask(Gone, Kind::Write, "w1", "STORE x 1");
  On.Proxy.send(Gone, Kind::Write, "w2", "STORE x 2");
  On.Proxy.Pipeline.handleDisconnect(Gone.Id);
  On.Loop.runFor(Millis(500));
  const auto Next = On.Proxy.connect("primary");
  REQUIRE_FALSE(On.Proxy.ask(Next, Kind::Write, "w3", "STORE x 3").Refusal);
  CHECK_FALSE(On.Group.run("w3")->InTransaction);
  CHECK(On.Group.Committed.count("w1") == 0);
}

TEST_CASE("A first statement never runs outside its transaction",
          "[pipeline]") {
  // The target refuses to open the transaction, once. A write that went out
  // behind the refused opening would be committed alone, though its caller
  // may roll back.
  Setup On;
  const auto Session = On.Proxy.connect("primary");
  REQUIRE_FALSE(On.Proxy.ask(Session, Kind::Read, "r0", "FETCH x").Refusal);
  On.Group.Servers["a"].BeginsToRefuse = 1;
  On.Proxy.ask(Session, Kind::Begin);
  REQUIRE_FALSE(On.Proxy.ask(Session, Kind::Write, "w1", "STORE x 1").Refusal);
  CHECK(On.Group.run("w1")->InTransaction);
  On.Proxy.ask(Session, Kind::Rollback);
  On.Loop.runFor(Millis(100));
  CHECK(On.Group.Committed.empty());
}

TEST_CASE("A plan never goes back", "[pipeline]") {
  Setup On;
  RoutePlan Newer = planOfThreeRoutes(5);
  Newer.Routes.pop_back();
  On.Proxy.Pipeline.adopt(Newer);
  On.Proxy.Pipeline.adopt(planOfThreeRoutes(4));
  CHECK(On.Proxy.connect("own").Caller->Rejected);
  CHECK(On.Proxy.connect("bounded").Caller->IsOpen);
}

TEST_CASE("A statement that has begun meanwhile isn't refused as waiting",
          "[pipeline]") {
  // The target was busy, and two writes have waited as long as they may. The
  // first is refused; its caller's next statement, sent along with it, lets the
  // proxy look for connections again, and the second write gets one at that
  // moment. Told then that it hasn't run, its caller would send it twice.
  for (int Phase = 0; Phase < 260; ++Phase) {
    Setup On;
    // The pauses between tries end just before the time to wait does.
    On.Group.Latency = Millis(4);
    const auto First = On.Proxy.connect("primary");
    const auto Second = On.Proxy.connect("primary");
    REQUIRE_FALSE(On.Proxy.ask(First, Kind::Write, "w0", "STORE x 0").Refusal);
    On.Loop.runFor(Millis(100 + Phase));
    On.Group.Servers["a"].IsBusy = true;
    On.Proxy.send(First, Kind::Write, "w1", "STORE x 1");
    On.Proxy.send(First, Kind::Write, "w2", "STORE x 1");
    On.Proxy.send(Second, Kind::Write, "w3", "STORE x 2");
    On.Loop.runFor(Millis(40));
    On.Group.Servers["a"].IsBusy = false;
    REQUIRE(On.Loop.runUntilTrue(
        [&] {
          return First.Caller->Answers.size() == 3 &&
                 Second.Caller->Answers.size() == 1;
        },
        Millis(3000)));
    On.Loop.runFor(Millis(100));
    INFO("sent " << Phase << " ms after a look at the bounds");
    const bool IsPromised = Second.Caller->last().Refusal.has_value();
    CHECK(On.Group.Committed.count("w3") == (IsPromised ? 0 : 1));
  }
}

TEST_CASE("As many statements as a caller likes may be refused at once",
          "[pipeline]") {
  // The queue is full for its pace, and a caller has sent 200,000 statements
  // ahead. Each is refused as it starts, and the next one starts with that.
  // Were each started by the one before it, the process would run out of stack.
  FakeLoop Loop;
  FakeGroup Group(Loop, {"a"});
  FakePipeline Proxy(Loop, Group);
  RoutePlan Plan = planOfThreeRoutes(2);
  for (RoutePolicy &Each : Plan.Routes)
    Each.Priority = Each.Name == "primary" ? 1 : 2;
  Proxy.Pipeline.adopt(Plan);
  std::vector<FakePipeline::Session> Others;
  Others.reserve(30);
  for (int Each = 0; Each < 30; ++Each)
    Others.push_back(Proxy.connect("own"));
  const auto Ahead = Proxy.connect("own");
  const auto Urgent = Proxy.connect("primary");
  REQUIRE_FALSE(Proxy.ask(Ahead, Kind::Write, "w", "STORE x 0").Refusal);
  // The target stands still with all that it takes at a time, and some wait.
  Group.ExecutionTime = Millis(400);
  for (std::size_t Each = 0; Each < Others.size(); ++Each)
    Proxy.send(Others[Each], Kind::Write, "o" + std::to_string(Each),
               "STORE x 1");
  Loop.runFor(Millis(200));
  constexpr std::size_t Count = 200000;
  for (std::size_t Each = 0; Each < Count; ++Each)
    Proxy.send(Ahead, Kind::Write, "w" + std::to_string(Each), "STORE x 1");
  // The first of them has waited its time while this one goes before it.
  Loop.runFor(Millis(30));
  Proxy.send(Urgent, Kind::Write, "urgent", "STORE x 1");
  CHECK(Loop.runUntilTrue(
      [&] { return Ahead.Caller->Answers.size() > Count / 2; }, Millis(100)));
}
