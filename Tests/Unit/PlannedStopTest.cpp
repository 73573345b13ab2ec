/// \file
/// A planned stop of a proxy, checked by what its callers received and what the
/// targets executed.

#include "FakeRelay.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

using Kind = StatementKind;

constexpr Millis StopTimeout(6000);
constexpr Millis DrainDelay(2000);

Statement makeStatement(Kind Of, const std::string &Id) {
  Statement Out;
  Out.Kind = Of;
  Out.Id = Id;
  Out.Text = Of == Kind::Write    ? "STORE x " + Id
             : Of == Kind::Commit ? "COMMIT"
                                  : "FETCH x";
  return Out;
}

/// What all callers together sent and received.
struct Traffic {
  std::set<std::string> Answered;
  std::set<std::string> Succeeded;
  std::set<std::string> NotKept; ///< Refused with that guarantee.
  std::set<std::string> Broken;  ///< Sent to a session that was already closed.
};

bool guaranteesNothingKept(const StatementAnswer &Answer) {
  return Answer.Refusal && (Answer.Refusal->Code == RefusalCode::Busy ||
                            Answer.Refusal->Code == RefusalCode::Aborted);
}

/// A caller that repeats its statements over one session until it is closed,
/// each one \p Pause after the answer to the one before.
class RepeatingCaller final
    : public CallerLink,
      public std::enable_shared_from_this<RepeatingCaller> {
public:
  struct Options {
    std::string Name;
    std::string Database;
    std::vector<Kind> Statements;
    Millis Pause;
  };

  RepeatingCaller(FakeLoop &Loop, SessionPipeline &Proxy, Traffic &Log,
                  Options Given)
      : Loop(Loop), Proxy(Proxy), Log(Log), Given(std::move(Given)) {}

  void open() {
    Session = Proxy.open(Given.Database, "", shared_from_this());
    sendLater();
  }

  void accept() override {}
  void reject(const StatementRefusal &) override { close(); }
  void close() override { IsClosed = true; }

  void answer(const StatementAnswer &Answer) override {
    Log.Answered.insert(LastId);
    if (!Answer.Refusal)
      Log.Succeeded.insert(LastId);
    else if (guaranteesNothingKept(Answer))
      Log.NotKept.insert(LastId);
    if (Answer.Phase == SessionPhase::Failed)
      Next = Given.Statements.size();
    else if (Answer.Refusal)
      Next = 0;
    sendLater(Answer.Refusal ? RetryPause : Millis(0));
  }

private:
  static constexpr Millis RetryPause = Millis(10);

  // The answer reaches the caller halfway through the pause, and the caller
  // sends nothing more if the close has arrived with it.
  void sendLater(Millis Delay = Millis(0)) {
    Loop.at(Loop.now() + Delay + Given.Pause / 2, [Self = shared_from_this()] {
      if (Self->IsClosed)
        return;
      Self->Loop.at(Self->Loop.now() + (Self->Given.Pause + Millis(1)) / 2,
                    [Self] { Self->send(); });
    });
  }

  void send() {
    const Kind Now = Next < Given.Statements.size() ? Given.Statements[Next]
                                                    : Kind::Rollback;
    Next = Next + 1 < Given.Statements.size() ? Next + 1 : 0;
    LastId = Given.Name + "-" + std::to_string(++Sent);
    if (IsClosed)
      Log.Broken.insert(LastId);
    else
      Proxy.receive(Session, makeStatement(Now, LastId));
  }

  FakeLoop &Loop;
  SessionPipeline &Proxy;
  Traffic &Log;
  Options Given;
  std::uint64_t Session = 0;
  std::string LastId;
  std::size_t Next = 0;
  std::size_t Sent = 0;
  bool IsClosed = false;
};

/// Callers of one proxy, which stops.
class Callers {
public:
  Callers(FakeLoop &Loop, FakeGroup &Group, SessionPipeline &Proxy)
      : Loop(Loop), Group(Group), Proxy(Proxy) {}

  void add(const std::string &Database, std::vector<Kind> Statements,
           Millis Pause = Millis(0)) {
    All.push_back(std::make_shared<RepeatingCaller>(
        Loop, Proxy, Log,
        RepeatingCaller::Options{"c" + std::to_string(All.size()), Database,
                                 std::move(Statements), Pause}));
    All.back()->open();
  }

  StopSchedule beginStop() {
    const StopSchedule Schedule(Loop.now(), StopTimeout, DrainDelay);
    Proxy.beginStop(Schedule);
    return Schedule;
  }

  /// Runs until the process ends and checks that no answer is missing.
  void runAndCheck(const StopSchedule &Schedule) {
    Loop.runUntil(Schedule.bound());
    for (const FakeExecution &Each : Group.Runs)
      CHECK(Log.Answered.count(Each.Id) == 1);
    for (const std::string &Id : Log.NotKept)
      CHECK(Group.Committed.count(Id) == 0);
    CHECK(Proxy.statementsInProgress() == 0);
    CHECK(Proxy.hasNoSessions());
  }

  FakeLoop &Loop;
  FakeGroup &Group;
  SessionPipeline &Proxy;
  Traffic Log;
  std::vector<std::shared_ptr<RepeatingCaller>> All;
};

struct Setup {
  explicit Setup(const LoadOptions &Options = {})
      : Proxy(Loop, Group, Options) {}

  FakeLoop Loop;
  FakeGroup Group{Loop, {"a", "b", "c"}};
  FakePipeline Proxy;
  Callers Load{Loop, Group, Proxy.Pipeline};
};

const std::vector<Kind> Transaction = {Kind::Begin, Kind::Write, Kind::Read,
                                       Kind::Commit};

} // namespace

TEST_CASE("Statements sent right after each answer are answered before a stop "
          "ends",
          "[stop]") {
  // Guards against statements that a stopping proxy passes on until it exits,
  // and cuts off while targets run them.
  const std::int64_t Offset = GENERATE(range(0, 24));
  Setup Fixture;
  Fixture.Group.ExecutionTime = Millis(24);
  for (auto &[Name, Each] : Fixture.Group.Servers)
    Each.Slots = 3;
  for (int Round = 0; Round < 4; ++Round) {
    Fixture.Load.add("primary", {Kind::Read});
    Fixture.Load.add("primary", {Kind::Write});
    Fixture.Load.add("bounded", {Kind::Read});
    Fixture.Load.add("own", {Kind::Write, Kind::Read});
    Fixture.Load.add("primary", Transaction);
  }
  Fixture.Loop.runFor(Millis(500 + Offset));
  Fixture.Load.runAndCheck(Fixture.Load.beginStop());
  CHECK(Fixture.Load.Log.Broken.empty());
  CHECK(Fixture.Load.Log.Succeeded.size() > 100);
}

TEST_CASE("Relayed statements are answered before the stop of their proxy ends",
          "[stop][relay]") {
  // Guards against statements that are cut off at a gateway because the proxy
  // that sent them exits.
  const std::int64_t Offset = GENERATE(range(0, 12));
  RelaySetup Fixture;
  Fixture.Group.ExecutionTime = Millis(24);
  FakeProxy &Proxy = Fixture.System.proxy(Fixture.System.nonGateway("a"));
  Callers Load(Fixture.Loop, Fixture.Group, Proxy.Pipeline);
  for (int Round = 0; Round < 2; ++Round) {
    Load.add("primary", {Kind::Write});
    Load.add("bounded", {Kind::Read});
    Load.add("primary", Transaction);
  }
  Fixture.Loop.runFor(Millis(500 + Offset));
  Load.runAndCheck(Load.beginStop());
  CHECK(Load.Log.Broken.empty());
  CHECK(Load.Log.Succeeded.size() > 100);
}

TEST_CASE("A stop closes no session whose next statement is on its way",
          "[stop]") {
  // Guards against closing a session just after an answer or its opening, which
  // breaks the connection of a caller that has sent its next statement.
  const std::int64_t Pause = GENERATE(2, 5, 17, 60);
  CAPTURE(Pause);
  Setup Fixture;
  for (int Round = 0; Round < 20; ++Round)
    Fixture.Load.add("primary", {Kind::Write, Kind::Read}, Millis(Pause));
  Fixture.Loop.runFor(Millis(300));
  const StopSchedule Schedule = Fixture.Load.beginStop();
  // Callers also arrive throughout the stop.
  for (std::int64_t After = 0; After < 5000; After += 130)
    Fixture.Loop.at(Fixture.Loop.now() + Millis(After), [&Fixture, Pause] {
      Fixture.Load.add("own", {Kind::Read}, Millis(Pause));
    });
  Fixture.Load.runAndCheck(Schedule);
  CHECK(Fixture.Load.Log.Broken.empty());
}

TEST_CASE("A stop closes sessions without statements at a constant rate",
          "[stop]") {
  // Guards against callers that all reconnect to other proxies at once, or
  // reconnect to this one because the balancer has not noticed the stop.
  Setup Fixture;
  constexpr std::size_t Count = 90;
  std::vector<FakePipeline::Session> Idle;
  Idle.reserve(Count);
  for (std::size_t Each = 0; Each < Count; ++Each)
    Idle.push_back(Fixture.Proxy.connect("primary"));
  Fixture.Loop.runFor(Millis(1000));
  const StopSchedule Schedule = Fixture.Load.beginStop();
  Fixture.Loop.runUntil(Schedule.unnoticedUntil());
  CHECK(Fixture.Proxy.Pipeline.sessions() == Count);
  const Millis Last = Schedule.lastStart(Millis(100));
  constexpr std::size_t Steps = 10;
  std::size_t Before = Count;
  for (std::size_t Step = 0; Step < Steps; ++Step) {
    Fixture.Loop.runFor((Last - Schedule.unnoticedUntil()) /
                        static_cast<std::int64_t>(Steps));
    const std::size_t Left = Fixture.Proxy.Pipeline.sessions();
    CHECK(Before - Left <= Count / Steps + 2);
    Before = Left;
  }
  Fixture.Loop.runFor(Millis(100));
  CHECK(Fixture.Proxy.Pipeline.hasNoSessions());
}

TEST_CASE("A stop refuses what it cannot finish as not run", "[stop]") {
  // Guards against transactions that are accepted and then aborted, and against
  // callers that are not told that their statement may run elsewhere.
  Setup Fixture;
  const StopSchedule Schedule = Fixture.Load.beginStop();
  Fixture.Loop.runUntil(Schedule.lastTransactionBegin() - Millis(50));
  const auto Early = Fixture.Proxy.connect("primary");
  const auto Late = Fixture.Proxy.connect("primary");
  CHECK_FALSE(Fixture.Proxy.ask(Early, Kind::Begin).Refusal);
  CHECK_FALSE(Fixture.Proxy.ask(Early, Kind::Write, "w1", "STORE x 1").Refusal);
  Fixture.Loop.runUntil(Schedule.lastTransactionBegin());
  const auto Refused = Fixture.Proxy.ask(Late, Kind::Begin);
  REQUIRE(Refused.Refusal);
  CHECK(Refused.Refusal->Code == RefusalCode::Busy);
  CHECK(Refused.Phase == SessionPhase::Idle);
  CHECK_FALSE(Fixture.Proxy.ask(Late, Kind::Write, "w2", "STORE x 2").Refusal);
  Fixture.Loop.runUntil(Schedule.lastStart(Millis(100)) - Millis(20));
  CHECK_FALSE(Fixture.Proxy.ask(Early, Kind::Commit, "c1").Refusal);
  CHECK(Fixture.Group.Committed.count("w1") == 1);
  Fixture.Loop.runUntil(Schedule.lastStart(Millis(100)));
  const auto Single = Fixture.Proxy.ask(Late, Kind::Write, "w3", "STORE x 3");
  REQUIRE(Single.Refusal);
  CHECK(Single.Refusal->Code == RefusalCode::Busy);
  CHECK(Late.Caller->IsClosed);
  CHECK(Fixture.Group.runs("w3") == 0);
  const auto New = Fixture.Proxy.connect("primary");
  REQUIRE(New.Caller->Rejected);
  CHECK(New.Caller->Rejected->Code == RefusalCode::Busy);
}

TEST_CASE("A stop aborts a transaction that is never idle", "[stop]") {
  // Guards against a transaction whose statements follow each other without a
  // gap, so that no timer finds it idle, and whose commit is cut off.
  Setup Fixture;
  const auto Session = Fixture.Proxy.connect("primary");
  Fixture.Loop.runFor(Millis(50));
  Fixture.Proxy.ask(Session, Kind::Begin);
  const StopSchedule Schedule = Fixture.Load.beginStop();
  std::size_t Number = 0;
  StatementAnswer Last;
  while (!Last.Refusal && Fixture.Loop.now() < Schedule.answersBy())
    Last = Fixture.Proxy.ask(Session, Kind::Write,
                             "w" + std::to_string(++Number), "STORE x 1");
  REQUIRE(Last.Refusal);
  CHECK(Last.Refusal->Code == RefusalCode::Aborted);
  CHECK(Last.Phase == SessionPhase::Failed);
  CHECK(Fixture.Proxy.ask(Session, Kind::Rollback).Phase == SessionPhase::Idle);
  CHECK(Session.Caller->IsClosed);
  for (std::size_t Each = 1; Each <= Number; ++Each)
    CHECK(Fixture.Group.Committed.count("w" + std::to_string(Each)) == 0);
}

TEST_CASE("A caller that sends ahead gets an answer to each statement when its "
          "proxy stops",
          "[stop]") {
  // Guards against queued statements that are dropped, or started too late.
  Setup Fixture;
  const StopSchedule Schedule = Fixture.Load.beginStop();
  Fixture.Loop.runUntil(Schedule.lastStart(Millis(100)) - Millis(50));
  const auto Session = Fixture.Proxy.connect("primary");
  constexpr std::size_t Count = 20;
  for (std::size_t Each = 0; Each < Count; ++Each)
    Fixture.Proxy.send(Session, Kind::Write, "w" + std::to_string(Each),
                       "STORE x 1");
  Fixture.Loop.runUntil(Schedule.answersBy());
  const auto &Answers = Session.Caller->Answers;
  REQUIRE(Answers.size() == Count);
  CHECK(Session.Caller->IsClosed);
  CHECK_FALSE(Answers.front().Refusal);
  CHECK(Answers.back().Refusal);
  for (std::size_t Each = 0; Each < Count; ++Each)
    CHECK(Fixture.Group.Committed.count("w" + std::to_string(Each)) ==
          (Answers[Each].Refusal ? 0 : 1));
}

TEST_CASE("Callers get true answers when proxies stop under random load",
          "[stop]") {
  // Guards against an order of openings, statements, pauses and lost answers in
  // which a stop leaves an executed statement without an answer.
  const unsigned Seed = GENERATE(range(1U, 61U));
  CAPTURE(Seed);
  std::mt19937 Random(Seed);
  const auto Draw = [&Random](std::int64_t Below) {
    return Millis(static_cast<std::int64_t>(Random()) % Below);
  };
  LoadOptions Options;
  Options.LateService = Seed % 2 == 0;
  Setup Fixture(Options);
  if (Seed % 3 == 0)
    Fixture.Proxy.Host.OnClockRead = randomPauses(Seed, 400);
  for (auto &[Name, Each] : Fixture.Group.Servers)
    Each.Slots = 1 + Random() % 4;
  Fixture.Group.ExecutionTime = Millis(2) + Draw(60);
  const std::vector<std::string> Databases = {"primary", "bounded", "own"};
  const std::vector<std::vector<Kind>> Habits = {
      {Kind::Read},
      {Kind::Write},
      {Kind::Write, Kind::Read, Kind::Read},
      Transaction,
      {Kind::BeginRead, Kind::Read, Kind::Commit},
      {Kind::Begin, Kind::Write, Kind::Rollback}};
  const auto Add = [&] {
    Fixture.Load.add(Databases[Random() % Databases.size()],
                     Habits[Random() % Habits.size()],
                     Random() % 2 == 0 ? Millis(0) : Draw(400));
  };
  for (int Each = 0; Each < 12; ++Each)
    Add();
  Fixture.Loop.runFor(Millis(200) + Draw(100));
  const StopSchedule Schedule = Fixture.Load.beginStop();
  for (int Each = 0; Each < 12; ++Each)
    Fixture.Loop.at(Fixture.Loop.now() + Draw(5000), Add);
  for (int Each = 0; Each < 6; ++Each)
    Fixture.Loop.at(Fixture.Loop.now() + Draw(5000), [&Fixture, &Random] {
      auto &Target = std::next(Fixture.Group.Servers.begin(),
                               static_cast<std::ptrdiff_t>(Random() % 3))
                         ->second;
      (Random() % 2 == 0 ? Target.AnswersToDrop : Target.AnswersToCut) = 1;
    });
  Fixture.Load.runAndCheck(Schedule);
}
