/// \file
/// The life of callers' sessions and of their statements: what is answered
/// here, what goes to a target, and what the caller is told.

#include "Pipeline/SessionPipeline.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// How often waits and bounds are looked at while there are any.
constexpr Millis TickInterval(20);
/// Part of its timeout that a statement may wait for a connection, or be
/// tried again. Less than half: a caller who is refused then has time for
/// another proxy, and what is started then has time to be answered.
constexpr std::int64_t WaitParts = 2; // of 5
constexpr std::int64_t TimeoutParts = 5;
/// A statement without an answer for this long, or for its objective where
/// that is longer, counts as lost where it may be sent again or taken back.
constexpr Millis AnswerPatience(250);
/// Opening a transaction takes a target no work.
constexpr Millis OpeningPatience(200);
/// Targets that one statement is tried at.
constexpr unsigned MaxTries = 6;
/// A busy target is asked again after this long: about one statement's work.
constexpr Millis BusyPause(10);

StatementAnswer done(SessionPhase Phase) {
  StatementAnswer Out;
  Out.Phase = Phase;
  return Out;
}

StatementRefusal refused(RefusalCode Code, std::string Why) {
  return {Code, std::move(Why)};
}

bool promisesNothingKept(RefusalCode Code) {
  switch (Code) {
  case RefusalCode::Busy:
  case RefusalCode::Aborted:
  case RefusalCode::Lagging:
  case RefusalCode::ReadOnly:
  case RefusalCode::Misrouted:
  case RefusalCode::ConnectionLimit:
    return true;
  default:
    return false;
  }
}

} // namespace

SessionPipeline::SessionPipeline(Ports Outside, Place Where)
    : Outside(Outside), Where(std::move(Where)) {}

SessionPipeline::~SessionPipeline() {
  if (Ticking != 0)
    Outside.Timers.cancel(Ticking);
  for (auto &[Name, Each] : Groups)
    for (auto &[Id, Pool] : Each.Pools)
      for (const TargetConnectionPtr &Open : Pool.connections())
        Open->close();
}

// Sessions.

std::uint64_t SessionPipeline::open(const std::string &Database,
                                    std::shared_ptr<CallerLink> Link) {
  if (Plan.Version == 0) {
    Link->reject(refused(RefusalCode::Busy, "no plan is known here yet"));
    return 0;
  }
  if (Plan.route(Database) == nullptr) {
    Link->reject(refused(RefusalCode::NoDatabase,
                         "no route has the name '" + Database + "'"));
    return 0;
  }
  auto Session = std::make_shared<CallerSession>();
  Session->Id = NextSession++;
  Session->Database = Database;
  Session->Link = std::move(Link);
  Sessions[Session->Id] = Session;
  ++Counts.Sessions;
  Session->Link->accept();
  return Session->Id;
}

void SessionPipeline::receive(std::uint64_t Id, Statement What) {
  const auto Found = Sessions.find(Id);
  if (Found == Sessions.end())
    return;
  const CallerSessionPtr Session = Found->second;
  Session->Unstarted.push_back(std::move(What));
  startNext(Session);
}

void SessionPipeline::startNext(const CallerSessionPtr &Session) {
  while (!Session->IsGone && !Session->Current && !Session->Unstarted.empty()) {
    const Statement Next = std::move(Session->Unstarted.front());
    Session->Unstarted.pop_front();
    start(Session, Next);
  }
}

void SessionPipeline::start(const CallerSessionPtr &Session,
                            const Statement &What) {
  if (What.Kind == StatementKind::Malformed)
    return replyRefused(Session, What,
                        refused(RefusalCode::Malformed, What.Text),
                        "not understood");
  if (Session->Phase == SessionPhase::Failed &&
      What.Kind != StatementKind::Rollback &&
      What.Kind != StatementKind::Commit)
    return replyRefused(Session, What,
                        refused(RefusalCode::Malformed,
                                "the transaction has failed; end it first"),
                        "transaction failed");
  switch (What.Kind) {
  case StatementKind::Begin:
  case StatementKind::BeginRead:
    return beginTransaction(Session, What);
  case StatementKind::Rollback:
    rollBack(Session);
    return replyDone(Session);
  case StatementKind::Commit:
    if (Session->Phase == SessionPhase::Idle)
      return replyRefused(
          Session, What,
          refused(RefusalCode::Malformed, "no transaction is open"),
          "no transaction");
    if (Session->Phase == SessionPhase::Failed) {
      rollBack(Session);
      return replyRefused(
          Session, What,
          refused(RefusalCode::Aborted, "the transaction had failed"),
          "transaction failed");
    }
    return startJob(Session, What);
  case StatementKind::Set:
  case StatementKind::Prepare:
  case StatementKind::Deallocate:
    return answerHere(Session, What);
  default:
    return startJob(Session, What);
  }
}

// What needs no target is answered here: a target's slot is scarce, and the
// values and names are given to whichever connection runs a later statement.
void SessionPipeline::answerHere(const CallerSessionPtr &Session,
                                 const Statement &What) {
  if (What.Kind == StatementKind::Set) {
    Session->Values[What.Name] = What.Value;
    if (Session->Transaction)
      Session->Transaction->HasSetValues = true;
  } else if (What.Kind == StatementKind::Prepare) {
    Session->Prepared[What.Name] = {What.Value, What.Writes};
  } else if (Session->Prepared.erase(What.Name) == 0) {
    return replyRefused(Session, What,
                        refused(RefusalCode::NoStatement,
                                "no prepared statement '" + What.Name + "'"),
                        "unknown name");
  }
  replyDone(Session);
}

void SessionPipeline::beginTransaction(const CallerSessionPtr &Session,
                                       const Statement &What) {
  if (Session->Phase != SessionPhase::Idle)
    return replyRefused(
        Session, What,
        refused(RefusalCode::Malformed, "a transaction is open already"),
        "transaction open");
  // It takes a connection only with its first statement: callers pause, and
  // connections are scarce.
  SessionTransaction New;
  New.OnlyReads = What.Kind == StatementKind::BeginRead;
  New.StartedAt = Outside.Time.now();
  New.LastUsed = New.StartedAt;
  Session->Transaction = std::move(New);
  Session->Phase = SessionPhase::InTransaction;
  keepTicking();
  replyDone(Session);
}

void SessionPipeline::rollBack(const CallerSessionPtr &Session) {
  if (Session->Transaction)
    endTransaction(std::move(*Session->Transaction));
  Session->Transaction.reset();
  Session->Phase = SessionPhase::Idle;
}

void SessionPipeline::endTransaction(SessionTransaction Ended) {
  const TargetConnectionPtr Used = std::move(Ended.Connection);
  if (!Used || Used->stage() == TargetConnection::Stage::Closed)
    return;
  if (Ended.HasSetValues)
    Used->forgetValues();
  // The connection serves another session only once the target has said that
  // nothing is open on it.
  Used->send({rollBackStep(Used)});
}

TargetConnection::Step
SessionPipeline::rollBackStep(const TargetConnectionPtr &On) {
  return {{.What = TargetCommand::Kind::Rollback},
          [this, On](const StatementAnswer &Answer) {
            if (Answer.Refusal || Answer.Phase != SessionPhase::Idle)
              discard(On);
            else
              release(On);
          }};
}

void SessionPipeline::reply(const CallerSessionPtr &Session,
                            const StatementAnswer &Answer) {
  if (!Session->IsGone)
    Session->Link->answer(Answer);
}

void SessionPipeline::replyDone(const CallerSessionPtr &Session) {
  reply(Session, done(Session->Phase));
}

void SessionPipeline::replyRefused(const CallerSessionPtr &Session,
                                   const Statement &What, StatementRefusal Why,
                                   const std::string &Grounds) {
  if (promisesNothingKept(Why.Code))
    ++Counts.NotRun;
  else if (Why.Code == RefusalCode::Unknown)
    ++Counts.Unknown;
  else
    ++Counts.Failed;
  // A statement that fails inside a transaction fails the transaction.
  if (Session->Phase == SessionPhase::InTransaction) {
    if (Session->Transaction)
      endTransaction(std::move(*Session->Transaction));
    Session->Transaction.reset();
    Session->Phase = SessionPhase::Failed;
  }
  RefusedSignal.emit(*Session, What, Why, Grounds);
  StatementAnswer Answer = done(Session->Phase);
  Answer.Refusal = std::move(Why);
  reply(Session, Answer);
}

void SessionPipeline::disconnected(std::uint64_t Id) {
  const auto Found = Sessions.find(Id);
  if (Found == Sessions.end())
    return;
  const CallerSessionPtr Session = Found->second;
  Sessions.erase(Found);
  Session->IsGone = true;
  Session->Unstarted.clear();
  if (const SessionJobPtr Job = Session->Current) {
    if (Job->At == SessionJob::Stage::Waiting) {
      Groups[Job->Route.Group].Waiting.remove(Job);
      Job->At = SessionJob::Stage::Done;
      Session->Current.reset();
    } else {
      // Its answer decides what becomes of the connection.
      return;
    }
  }
  rollBack(Session);
}

void SessionPipeline::closeSession(const CallerSessionPtr &Session) {
  Session->IsGone = true;
  Sessions.erase(Session->Id);
  Session->Link->close();
}

// Statements that need a target.

void SessionPipeline::startJob(const CallerSessionPtr &Session,
                               const Statement &What) {
  const RoutePolicy *Route = Plan.route(Session->Database);
  // A change of routes holds from the next transaction on.
  const bool IsBound =
      Session->Transaction && Session->Transaction->Connection != nullptr;
  if (Route == nullptr && !IsBound)
    return replyRefused(
        Session, What,
        refused(RefusalCode::NoDatabase,
                "no route has the name '" + Session->Database + "' any more"),
        "route removed");
  auto Job = std::make_shared<SessionJob>();
  Job->What = What;
  Job->Of = Session;
  Job->ArrivedAt = Outside.Time.now();
  if (Route != nullptr)
    Job->Route = *Route;
  else
    Job->Route.StatementTimeout = Millis(1000);
  if (IsBound)
    Job->Route.Group = Session->Transaction->Connection->to().Group;
  Job->DeadlineAt = Job->ArrivedAt + Job->Route.StatementTimeout;
  Job->WaitUntil =
      Job->ArrivedAt + Job->Route.StatementTimeout * WaitParts / TimeoutParts;
  Job->Writes = What.Kind == StatementKind::Write;
  if (!resolveExecution(Session, *Job))
    return;
  place(*Session, *Job);
  Session->Current = Job;
  if (!IsBound)
    return enqueue(Job);
  SessionTransaction &Within = *Session->Transaction;
  Within.LastUsed = Job->ArrivedAt;
  Job->Connection = Within.Connection;
  if (Within.Connection->stage() == TargetConnection::Stage::Closed) {
    Job->At = SessionJob::Stage::Running;
    return lost(Job, "the transaction's connection had closed");
  }
  Running.insert(Job);
  Job->At = SessionJob::Stage::Running;
  keepTicking();
  runStatement(Job, false);
}

bool SessionPipeline::resolveExecution(const CallerSessionPtr &Session,
                                       SessionJob &Job) {
  if (Job.What.Kind != StatementKind::Execute)
    return true;
  const auto Shape = Session->Prepared.find(Job.What.Name);
  if (Shape == Session->Prepared.end()) {
    replyRefused(Session, Job.What,
                 refused(RefusalCode::NoStatement,
                         "no prepared statement '" + Job.What.Name + "'"),
                 "unknown name");
    return false;
  }
  Job.Writes = Shape->second.Writes;
  return true;
}

void SessionPipeline::place(const CallerSession &Session,
                            SessionJob &Job) const {
  const auto &Within = Session.Transaction;
  const bool MayWrite = Job.Writes || (Within && !Within->OnlyReads);
  Job.Where = Placement::Leader;
  if (MayWrite || Job.Route.Reads == Freshness::Primary || Job.Lagged > 1)
    return;
  // What a transaction must not miss is counted from its own first byte.
  const Millis From = Within ? Within->StartedAt : Job.ArrivedAt;
  auto Floor = Floors.floor(Job.Route.Group, From, Job.Route.AcceptedAge);
  if (!Floor)
    return;
  if (Job.Route.Reads == Freshness::ReadYourWrites) {
    const auto Own = Session.LastCommit.find(Job.Route.Group);
    if (Own != Session.LastCommit.end())
      Floor = std::max(*Floor, Own->second);
  }
  Job.Floor = Floor;
  Job.Where = Placement::Replica;
}

void SessionPipeline::enqueue(const SessionJobPtr &Job) {
  Job->At = SessionJob::Stage::Waiting;
  Job->QueuedAt = Outside.Time.now();
  Group &In = Groups[Job->Route.Group];
  // In the order of priority, then of arrival.
  auto Place = In.Waiting.end();
  while (Place != In.Waiting.begin() &&
         (*std::prev(Place))->Route.Priority > Job->Route.Priority)
    --Place;
  In.Waiting.insert(Place, Job);
  keepTicking();
  pump(Job->Route.Group);
}

// Answers.

void SessionPipeline::noteAnswer(const SessionJobPtr &Job,
                                 const StatementAnswer &Answer,
                                 bool ProvesLead) {
  TargetPool *Pool = poolOf(Job->Connection);
  if (Pool != nullptr) {
    Pool->reached();
    if (Pool->record().IsPrimary)
      Reached.emit(Pool->record().Id);
    Pool->noteLatency(Outside.Time.now() - Job->SentAt);
    if (Answer.Position)
      Pool->notePosition(*Answer.Position, Outside.Time.now());
    if (Answer.Refusal && Answer.Refusal->Code == RefusalCode::ReadOnly)
      Pool->noteNotLeading(Outside.Time.now());
  }
  if (!ProvesLead || Answer.Refusal)
    return;
  Groups[Job->Route.Group].Outage.noteLeading(Outside.Time.now());
  if (Answer.Position)
    Floors.note(Job->Route.Group, *Answer.Position, Job->SentAt);
}

void SessionPipeline::answered(const SessionJobPtr &Job,
                               const StatementAnswer &Answer) {
  if (Job->At != SessionJob::Stage::Running)
    return;
  Running.erase(Job);
  const CallerSessionPtr Session = Job->Of.lock();
  if (!Session) {
    discard(Job->Connection);
    return;
  }
  if (Session->Transaction)
    answeredInTransaction(Job, Session, Answer);
  else
    answeredAlone(Job, Session, Answer);
}

void SessionPipeline::answeredInTransaction(const SessionJobPtr &Job,
                                            const CallerSessionPtr &Session,
                                            const StatementAnswer &Answer) {
  SessionTransaction &Within = *Session->Transaction;
  Within.LastUsed = Outside.Time.now();
  const bool Commits = Job->What.Kind == StatementKind::Commit;
  // The commit of a transaction that wrote nothing proves no lead.
  noteAnswer(Job, Answer, Within.AtLeader && (!Commits || Within.HasWritten));
  if (Answer.Refusal && Answer.Refusal->Code == RefusalCode::Busy &&
      Answer.Phase == SessionPhase::InTransaction && Job->Tries < MaxTries &&
      Outside.Time.now() < Job->WaitUntil) {
    ++Job->Tries;
    ++Counts.Retries;
    Job->RetryAt = Outside.Time.now() + BusyPause;
    Running.insert(Job);
    Outside.Timers.after(BusyPause, [this, Weak = std::weak_ptr(Job)] {
      const SessionJobPtr Again = Weak.lock();
      if (Again && Again->At == SessionJob::Stage::Running &&
          Running.count(Again) != 0)
        runStatement(Again, false);
    });
    return;
  }
  if (!Answer.Refusal && !Commits &&
      Answer.Phase != SessionPhase::InTransaction) {
    // The target doesn't hold the transaction any more.
    discard(Within.Connection);
    return lost(Job, "the target had ended the transaction");
  }
  Job->At = SessionJob::Stage::Done;
  Session->Current.reset();
  if (Answer.Refusal) {
    const TargetConnectionPtr Used = Within.Connection;
    if (Commits) {
      endTransaction(std::move(Within));
      Session->Transaction.reset();
      Session->Phase = SessionPhase::Idle;
    }
    replyRefused(Session, Job->What, *Answer.Refusal,
                 "target " + Used->to().Id);
  } else {
    if (Job->Writes) {
      Within.HasWritten = true;
      ++Counts.Writes;
    }
    if (Commits) {
      ++Counts.Commits;
      if (Answer.Position && Within.HasWritten)
        Session->LastCommit[Job->Route.Group] = *Answer.Position;
      const TargetConnectionPtr Used = std::move(Within.Connection);
      if (Within.HasSetValues)
        Used->forgetValues();
      Session->Transaction.reset();
      Session->Phase = SessionPhase::Idle;
      if (Answer.Phase == SessionPhase::Idle)
        release(Used);
      else
        discard(Used);
    }
    if (Job->Connection)
      Served.emit(*Job, Job->Connection->to().Id);
    StatementAnswer Out = Answer;
    Out.Phase = Session->Phase;
    reply(Session, Out);
  }
  if (Session->IsGone)
    rollBack(Session);
  startNext(Session);
}

void SessionPipeline::answeredAlone(const SessionJobPtr &Job,
                                    const CallerSessionPtr &Session,
                                    const StatementAnswer &Answer) {
  const bool AtLeader = Job->Where == Placement::Leader;
  noteAnswer(Job, Answer, AtLeader);
  const TargetConnectionPtr Used = std::move(Job->Connection);
  const std::string Target = Used->to().Id;
  // A read at the leader is followed by the end of its transaction.
  if (AtLeader && !Job->Writes) {
    // The connection is released by the rollback's answer.
  } else if (Answer.Phase == SessionPhase::Idle) {
    release(Used);
  } else {
    discard(Used);
  }
  if (Answer.Refusal) {
    switch (Answer.Refusal->Code) {
    case RefusalCode::Busy:
      return tryAgain(Job, *Answer.Refusal, BusyPause);
    case RefusalCode::ReadOnly:
      return tryAgain(Job, *Answer.Refusal, Millis(0));
    case RefusalCode::Lagging:
      ++Job->Lagged;
      Job->Avoid.insert(Target);
      return tryAgain(Job, *Answer.Refusal, Millis(0));
    case RefusalCode::NoStatement:
      // What the target holds for this connection isn't what is noted here.
      discard(Used);
      return tryAgain(Job, *Answer.Refusal, Millis(0));
    default:
      return finishRefused(Job, *Answer.Refusal, "target " + Target);
    }
  }
  Job->At = SessionJob::Stage::Done;
  Session->Current.reset();
  if (Job->Writes) {
    ++Counts.Writes;
    if (Answer.Position)
      Session->LastCommit[Job->Route.Group] = *Answer.Position;
  } else if (AtLeader) {
    ++Counts.ReadsByLeader;
  } else {
    ++Counts.ReadsByReplica;
  }
  Served.emit(*Job, Target);
  StatementAnswer Out = Answer;
  Out.Phase = Session->Phase;
  reply(Session, Out);
  startNext(Session);
}

void SessionPipeline::tryAgain(const SessionJobPtr &Job,
                               const StatementRefusal &Why, Millis After) {
  Job->IsSent = false;
  Job->Connection.reset();
  const Millis Now = Outside.Time.now();
  if (++Job->Tries > MaxTries &&
      (Why.Code != RefusalCode::ReadOnly && Why.Code != RefusalCode::Busy))
    return finishRefused(Job, Why, "tried at several targets");
  if (Now >= Job->WaitUntil)
    return finishRefused(Job, Why, "no time for another try");
  ++Counts.Retries;
  Moved.emit(*Job, Why);
  Job->RetryAt = Now + After;
  if (const CallerSessionPtr Session = Job->Of.lock())
    place(*Session, *Job);
  enqueue(Job);
}

// The connection is gone or its answer overdue. What the caller may be told
// depends on what had been sent: a promise that nothing is kept must be true
// whatever the target did with it.
void SessionPipeline::lost(const SessionJobPtr &Job,
                           const std::string &Grounds) {
  Running.erase(Job);
  const CallerSessionPtr Session = Job->Of.lock();
  if (!Session)
    return;
  if (Session->Transaction && Session->Transaction->Connection) {
    SessionTransaction &Within = *Session->Transaction;
    const bool MayBeKept = Job->What.Kind == StatementKind::Commit &&
                           Job->IsSent && Within.HasWritten;
    Job->At = SessionJob::Stage::Done;
    Session->Current.reset();
    const bool Commits = Job->What.Kind == StatementKind::Commit;
    if (Commits) {
      Session->Transaction.reset();
      Session->Phase = SessionPhase::Idle;
    }
    replyRefused(Session, Job->What,
                 MayBeKept ? refused(RefusalCode::Unknown,
                                     "the answer to the commit was lost")
                           : refused(RefusalCode::Aborted,
                                     "the transaction's connection was lost"),
                 Grounds);
    if (Session->IsGone)
      rollBack(Session);
    return startNext(Session);
  }
  if (Job->Writes && Job->IsSent)
    return finishRefused(
        Job, refused(RefusalCode::Unknown, "the answer to the write was lost"),
        Grounds);
  if (Job->Connection)
    Job->Avoid.insert(Job->Connection->to().Id);
  tryAgain(Job, refused(RefusalCode::Busy, Grounds), Millis(0));
}

void SessionPipeline::finishRefused(const SessionJobPtr &Job,
                                    StatementRefusal Why,
                                    const std::string &Grounds) {
  Running.erase(Job);
  Job->At = SessionJob::Stage::Done;
  const CallerSessionPtr Session = Job->Of.lock();
  if (!Session)
    return;
  Session->Current.reset();
  replyRefused(Session, Job->What, std::move(Why), Grounds);
  startNext(Session);
}

// Time.

void SessionPipeline::keepTicking() {
  if (Ticking == 0)
    Ticking = Outside.Timers.after(TickInterval, [this] {
      Ticking = 0;
      tick();
    });
}

void SessionPipeline::tick() {
  const Millis Now = Outside.Time.now();
  bool IsNeeded = IsStopping;
  for (auto &[Name, Each] : Groups) {
    giveUpWaiting(Each, Now);
    if (!Each.Waiting.empty()) {
      pump(Name);
      IsNeeded = true;
    }
    for (auto &[Id, Pool] : Each.Pools) {
      Pool.tend(Now);
      const auto Open = Pool.connections();
      for (const TargetConnectionPtr &Connection : Open)
        if (Connection->stage() == TargetConnection::Stage::Opening) {
          IsNeeded = true;
          constexpr Millis OpenPatience(400);
          if (Now - Connection->openedAt() > OpenPatience) {
            Connection->close();
            closed(Name, Connection, std::nullopt);
          }
        }
    }
  }
  const std::set<SessionJobPtr> Watched = Running;
  for (const SessionJobPtr &Job : Watched)
    if (Running.count(Job) != 0)
      overdue(Job, Now);
  endIdleTransactions(Now);
  closeIdleSessions(Now);
  if (IsNeeded || !Running.empty() || !Sessions.empty())
    keepTicking();
}

void SessionPipeline::giveUpWaiting(Group &In, Millis Now) {
  const std::list<SessionJobPtr> Waiting = In.Waiting;
  for (const SessionJobPtr &Job : Waiting) {
    const bool IsHopeless = Job->Where == Placement::Leader &&
                            !In.Outage.isWorthWaiting(Now, Job->WaitUntil);
    if (!IsHopeless && Now < Job->WaitUntil)
      continue;
    In.Waiting.remove(Job);
    std::string Why = "no connection came free";
    if (IsHopeless)
      Why = "no target leads; come back after " +
            std::to_string(In.Outage.comeBackAfter(Now).count()) + " ms";
    finishRefused(Job, {RefusalCode::Busy, std::move(Why)},
                  IsHopeless ? "no leader within its time"
                             : "waited for a connection");
  }
}

void SessionPipeline::overdue(const SessionJobPtr &Job, Millis Now) {
  const bool IsAlone = [&] {
    const CallerSessionPtr Session = Job->Of.lock();
    return Session && !Session->Transaction;
  }();
  if (Now < Job->SentAt + patience(*Job, IsAlone))
    return;
  const TargetConnectionPtr Used = Job->Connection;
  if (TargetPool *Pool = poolOf(Used); Pool != nullptr && !Job->IsSent)
    Pool->unreachable(Now);
  if (Used) {
    Trouble.emit({Used->to().Id, false});
    discard(Used);
  }
  if (IsAlone && !Job->Writes && Job->IsSent && Now >= Job->WaitUntil)
    return finishRefused(Job,
                         {RefusalCode::Timeout, "no answer before the timeout"},
                         "no answer before the timeout");
  lost(Job, "no answer within " + std::to_string((Now - Job->SentAt).count()) +
                " ms");
}

// A statement that may run again, or whose transaction is rolled back with
// its connection, isn't waited for longer than answers usually take. A write
// on its own and a commit are: nobody else can tell what became of them.
Millis SessionPipeline::patience(const SessionJob &Job, bool IsAlone) const {
  if (!Job.IsSent)
    return OpeningPatience;
  const bool Settles =
      Job.What.Kind == StatementKind::Commit || (IsAlone && Job.Writes);
  const Millis Rest = Job.DeadlineAt - Job.SentAt;
  if (Settles || (IsAlone && Outside.Time.now() >= Job.WaitUntil))
    return Rest;
  return std::min(Rest, std::max(AnswerPatience, Job.Route.Objective));
}

void SessionPipeline::endIdleTransactions(Millis Now) {
  const auto All = Sessions;
  for (const auto &[Id, Each] : All) {
    if (!Each->Transaction || Each->Current)
      continue;
    const bool TooLong =
        Now - Each->Transaction->LastUsed > Plan.TransactionIdle;
    const bool Stops = IsStopping && Now >= TransactionsUntil;
    if (!TooLong && !Stops)
      continue;
    endTransaction(std::move(*Each->Transaction));
    Each->Transaction.reset();
    Each->Phase = SessionPhase::Failed;
  }
}

void SessionPipeline::beginStop(Millis TransactionsBy, Millis SessionsBy) {
  IsStopping = true;
  StopBeganAt = Outside.Time.now();
  TransactionsUntil = TransactionsBy;
  SessionsUntil = SessionsBy;
  SessionsAtStop = Sessions.size();
  keepTicking();
}

void SessionPipeline::closeIdleSessions(Millis Now) {
  if (!IsStopping)
    return;
  // An even pace from the beginning to the bound.
  const auto Span =
      std::max<std::int64_t>(1, (SessionsUntil - StopBeganAt).count());
  const auto Passed = std::min<std::int64_t>(Span, (Now - StopBeganAt).count());
  const std::size_t MayRemain =
      SessionsAtStop - SessionsAtStop * static_cast<std::size_t>(Passed) /
                           static_cast<std::size_t>(Span);
  const auto All = Sessions;
  for (const auto &[Id, Each] : All) {
    if (Sessions.size() <= MayRemain)
      return;
    if (!Each->Current && Each->Unstarted.empty() &&
        Each->Phase == SessionPhase::Idle)
      closeSession(Each);
  }
}

} // namespace corianderdyke
