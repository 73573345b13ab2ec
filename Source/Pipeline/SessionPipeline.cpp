/// \file
/// The life of callers' sessions: what is answered here and what needs a
/// target.

#include "Pipeline/SessionPipeline.h"

#include <algorithm>

namespace corianderdyke {

namespace {

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
  case RefusalCode::Unreachable:
  case RefusalCode::Aborted:
  case RefusalCode::Lagging:
  case RefusalCode::ReadOnly:
  case RefusalCode::Misrouted:
  case RefusalCode::ConnectionLimit:
  case RefusalCode::Unauthorised:
    return true;
  default:
    return false;
  }
}

} // namespace

SessionPipeline::SessionPipeline(Ports Outside, Place Where)
    : Outside(Outside), Where(std::move(Where)),
      Ticker(Outside.Time, Outside.Timers, [this] { tick(); }) {}

SessionPipeline::~SessionPipeline() {
  for (auto &[Name, Each] : Groups)
    for (auto &[Id, Pool] : Each.Pools)
      for (const TargetConnectionPtr &Open : Pool.connections())
        Open->close();
}

// Sessions.

void SessionPipeline::receive(std::uint64_t Id, Statement What) {
  const auto Found = Sessions.find(Id);
  if (Found == Sessions.end())
    return;
  const CallerSessionPtr Session = Found->second;
  Session->Unstarted.push_back(std::move(What));
  startNext(Session);
}

// Iterates instead of recursing: a caller can pipeline enough statements that
// are refused as they start to overflow the stack.
void SessionPipeline::startNext(const CallerSessionPtr &Session) {
  if (std::exchange(Session->IsStarting, true))
    return;
  endIfRevoked(Session);
  while (!Session->IsGone && !Session->Current && !Session->OpensUntil &&
         !Session->Unstarted.empty()) {
    const Statement Next = std::move(Session->Unstarted.front());
    Session->Unstarted.pop_front();
    start(Session, Next);
    endIfRevoked(Session);
  }
  Session->IsStarting = false;
}

void SessionPipeline::start(const CallerSessionPtr &Session,
                            const Statement &What) {
  if (What.Kind == StatementKind::Malformed)
    return replyRefused(Session, What,
                        refused(RefusalCode::Malformed, What.Text),
                        "not understood");
  // Its caller learns from a promise that it may begin anew; a complaint about
  // the statement would end the whole operation.
  if (std::exchange(Session->IsEndUntold, false) &&
      What.Kind != StatementKind::Rollback &&
      What.Kind != StatementKind::Commit)
    return replyRefused(Session, What,
                        refused(RefusalCode::Aborted,
                                "the transaction was idle, its key was taken "
                                "away, or its proxy stops"),
                        "transaction ended here");
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
  Ticker.within(IdleInterval);
  replyDone(Session);
}

void SessionPipeline::rollBack(const CallerSessionPtr &Session) {
  if (Session->Transaction)
    endTransaction(std::move(*Session->Transaction));
  Session->Transaction.reset();
  Session->Phase = SessionPhase::Idle;
  Session->IsEndUntold = false;
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
      Groups[Job->Route.Group].WantFloor.remove(Job);
      stopWaitingForPermit(Job);
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
  boundWaits(*Job);
  Job->Writes = What.Kind == StatementKind::Write;
  if (!resolveExecution(Session, *Job))
    return;
  place(*Session, *Job);
  Session->Current = Job;
  if (!IsBound)
    return beginOperation(Session, Job) ? seekTarget(Job) : void();
  SessionTransaction &Within = *Session->Transaction;
  Within.LastUsed = Job->ArrivedAt;
  Job->Connection = Within.Connection;
  if (Within.Connection->stage() == TargetConnection::Stage::Closed) {
    Job->At = SessionJob::Stage::Running;
    return lost(Job, "the transaction's connection had closed");
  }
  Running.insert(Job);
  Job->At = SessionJob::Stage::Running;
  Ticker.within(RunningInterval);
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
  auto Floor =
      Outside.Floors.floor(Job.Route.Group, From, Job.Route.AcceptedAge);
  if (!Floor)
    return;
  if (Job.Route.Reads == Freshness::ReadYourWrites) {
    const auto Own = Session.LastCommit.find(Job.Route.Group);
    Job.IsFloorOwn = Own != Session.LastCommit.end() && Own->second > *Floor;
    if (Job.IsFloorOwn)
      Floor = Own->second;
  }
  Job.Floor = Floor;
  Job.Where = Placement::Replica;
}

// A read that would go to the leader only for want of a young floor.
bool SessionPipeline::wantsFloor(const CallerSession &Session,
                                 const SessionJob &Job) {
  const auto &Within = Session.Transaction;
  const bool MayWrite = Job.Writes || (Within && !Within->OnlyReads);
  return !MayWrite && Job.Route.Reads != Freshness::Primary &&
         Job.Where == Placement::Leader && !Job.HasAskedForFloor;
}

void SessionPipeline::seekTarget(const SessionJobPtr &Job) {
  const CallerSessionPtr Session = Job->Of.lock();
  if (Session && wantsFloor(*Session, *Job))
    return waitForFloor(Job);
  enqueue(Job);
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
  pump(Job->Route.Group);
  if (Job->At != SessionJob::Stage::Waiting || refuseIfTooLate(In, Job))
    return;
  Ticker.within(WaitingInterval);
}

} // namespace corianderdyke
