/// \file
/// The life cycle of callers' sessions: starts their statements, and answers
/// those that need no target.

#include "Pipeline/SessionPipeline.h"

#include <algorithm>

namespace corianderdyke {

namespace {

StatementAnswer done(SessionPhase Phase) {
  StatementAnswer Out;
  Out.Phase = Phase;
  return Out;
}

StatementRefusal refused(RefusalCode Code, std::string Reason) {
  return {Code, std::move(Reason)};
}

bool guaranteesNothingKept(RefusalCode Code) {
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

SessionPipeline::SessionPipeline(Dependencies Deps, Locality OwnLocality)
    : Deps(Deps), OwnLocality(std::move(OwnLocality)),
      Ticker(Deps.Time, Deps.Timers, [this] { tick(); }),
      ReplicaTimer(Deps.Time, Deps.Timers, [this] { probeReplicas(); }) {}

SessionPipeline::~SessionPipeline() {
  for (auto &[Name, Each] : Groups)
    for (auto &[Id, Pool] : Each.Pools)
      for (const TargetConnectionPtr &Open : Pool.connections())
        Open->close();
}

// Sessions.

void SessionPipeline::receive(std::uint64_t Id, Statement Stmt) {
  const auto Found = Sessions.find(Id);
  if (Found == Sessions.end())
    return;
  const CallerSessionPtr Session = Found->second;
  Session->PendingStatements.push_back(std::move(Stmt));
  startNext(Session);
}

// Iterates instead of recursing: a caller can pipeline enough statements that
// are refused as they start to overflow the stack.
void SessionPipeline::startNext(const CallerSessionPtr &Session) {
  if (std::exchange(Session->IsStarting, true))
    return;
  endIfRevoked(Session);
  while (!Session->IsClosed && !Session->Current &&
         !Session->AdmissionDeadline && !Session->PendingStatements.empty()) {
    const Statement Next = std::move(Session->PendingStatements.front());
    Session->PendingStatements.pop_front();
    start(Session, Next);
    endIfRevoked(Session);
  }
  Session->IsStarting = false;
  closeIfEnding(Session);
}

void SessionPipeline::start(const CallerSessionPtr &Session,
                            const Statement &Stmt) {
  if (Stmt.Kind == StatementKind::Malformed)
    return replyRefused(Session, Stmt,
                        refused(RefusalCode::Malformed, Stmt.Text),
                        "not understood");
  // RefusalCode::Aborted guarantees the caller that nothing is kept and that it
  // may begin again; an error about the statement would end the whole
  // operation.
  if (std::exchange(Session->IsAbortUnreported, false) &&
      Stmt.Kind != StatementKind::Rollback &&
      Stmt.Kind != StatementKind::Commit)
    return replyRefused(Session, Stmt,
                        refused(RefusalCode::Aborted,
                                "the transaction was idle, its key was taken "
                                "away, or its proxy stops"),
                        "transaction ended here");
  if (Session->Phase == SessionPhase::Failed &&
      Stmt.Kind != StatementKind::Rollback &&
      Stmt.Kind != StatementKind::Commit)
    return replyRefused(Session, Stmt,
                        refused(RefusalCode::Malformed,
                                "the transaction has failed; end it first"),
                        "transaction failed");
  switch (Stmt.Kind) {
  case StatementKind::Begin:
  case StatementKind::BeginRead:
    return beginTransaction(Session, Stmt);
  case StatementKind::Rollback:
    rollBack(Session);
    return replyDone(Session);
  case StatementKind::Commit:
    if (Session->Phase == SessionPhase::Idle)
      return replyRefused(
          Session, Stmt,
          refused(RefusalCode::Malformed, "no transaction is open"),
          "no transaction");
    if (Session->Phase == SessionPhase::Failed) {
      rollBack(Session);
      return replyRefused(
          Session, Stmt,
          refused(RefusalCode::Aborted, "the transaction had failed"),
          "transaction failed");
    }
    return startUnlessStopping(Session, Stmt);
  case StatementKind::Set:
  case StatementKind::Prepare:
  case StatementKind::Deallocate:
    return answerLocally(Session, Stmt);
  default:
    return startUnlessStopping(Session, Stmt);
  }
}

void SessionPipeline::startUnlessStopping(const CallerSessionPtr &Session,
                                          const Statement &Stmt) {
  if (refusesNewWork(Session->Database))
    refuseWhileStopping(Session, Stmt);
  else
    startJob(Session, Stmt);
}

// Answers statements that need no target: slots of targets are scarce, and
// session values and prepared names are set on the connection that runs a later
// statement.
void SessionPipeline::answerLocally(const CallerSessionPtr &Session,
                                    const Statement &Stmt) {
  if (Stmt.Kind == StatementKind::Set) {
    Session->Values[Stmt.Name] = Stmt.Value;
    if (Session->Transaction)
      Session->Transaction->HasSetValues = true;
  } else if (Stmt.Kind == StatementKind::Prepare) {
    Session->Prepared[Stmt.Name] = {Stmt.Value, Stmt.Writes};
  } else if (Session->Prepared.erase(Stmt.Name) == 0) {
    return replyRefused(Session, Stmt,
                        refused(RefusalCode::NoStatement,
                                "no prepared statement '" + Stmt.Name + "'"),
                        "unknown name");
  }
  replyDone(Session);
}

void SessionPipeline::beginTransaction(const CallerSessionPtr &Session,
                                       const Statement &Stmt) {
  if (Session->Phase != SessionPhase::Idle)
    return replyRefused(
        Session, Stmt,
        refused(RefusalCode::Malformed, "a transaction is open already"),
        "transaction open");
  if (refusesTransactions(Session->Database)) {
    Session->IsEnding = refusesNewWork(Session->Database);
    return replyRefused(Session, Stmt, stopRefusal(), "proxy stops");
  }
  // The transaction gets a connection only with its first statement: callers
  // pause, and connections are scarce.
  SessionTransaction New;
  New.IsReadOnly = Stmt.Kind == StatementKind::BeginRead;
  New.StartedAt = Deps.Time.now();
  New.LastUsed = New.StartedAt;
  Session->Transaction = std::move(New);
  Session->Phase = SessionPhase::InTransaction;
  Ticker.requestWithin(IdleInterval);
  replyDone(Session);
}

void SessionPipeline::rollBack(const CallerSessionPtr &Session) {
  if (Session->Transaction)
    endTransaction(std::move(*Session->Transaction));
  Session->Transaction.reset();
  Session->Phase = SessionPhase::Idle;
  Session->IsAbortUnreported = false;
}

void SessionPipeline::endTransaction(SessionTransaction Transaction) {
  const TargetConnectionPtr Connection = std::move(Transaction.Connection);
  if (!Connection || Connection->stage() == TargetConnection::Stage::Closed)
    return;
  if (Transaction.HasSetValues)
    Connection->invalidateValues();
  // The connection serves another session only once the target has confirmed
  // that no transaction is open on it.
  Connection->send({makeRollbackStep(Connection)});
}

TargetConnection::Step
SessionPipeline::makeRollbackStep(const TargetConnectionPtr &Connection) {
  return {{.Operation = TargetCommand::Kind::Rollback},
          [this, Connection](const StatementAnswer &Answer) {
            if (Answer.Refusal || Answer.Phase != SessionPhase::Idle)
              discard(Connection);
            else
              release(Connection);
          }};
}

void SessionPipeline::reply(const CallerSessionPtr &Session,
                            const StatementAnswer &Answer) {
  if (Session->IsClosed)
    return;
  Session->QuietSince = Deps.Time.now();
  Session->Link->answer(Answer);
}

void SessionPipeline::replyDone(const CallerSessionPtr &Session) {
  reply(Session, done(Session->Phase));
}

void SessionPipeline::replyRefused(const CallerSessionPtr &Session,
                                   const Statement &Stmt,
                                   StatementRefusal Refusal,
                                   const std::string &Grounds) {
  if (guaranteesNothingKept(Refusal.Code))
    ++Counts.NotRun;
  else if (Refusal.Code == RefusalCode::Unknown)
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
  RefusedSignal.emit(*Session, Stmt, Refusal, Grounds);
  StatementAnswer Answer = done(Session->Phase);
  Answer.Refusal = std::move(Refusal);
  reply(Session, Answer);
}

void SessionPipeline::handleDisconnect(std::uint64_t Id) {
  const auto Found = Sessions.find(Id);
  if (Found == Sessions.end())
    return;
  const CallerSessionPtr Session = Found->second;
  Sessions.erase(Found);
  Session->IsClosed = true;
  Session->PendingStatements.clear();
  if (const SessionJobPtr Job = Session->Current) {
    if (Job->CurrentStage == SessionJob::Stage::Waiting) {
      Groups[Job->Route.Group].Waiting.remove(Job);
      Groups[Job->Route.Group].AwaitingFloor.remove(Job);
      stopWaitingForPermit(Job);
      Job->CurrentStage = SessionJob::Stage::Done;
      Session->Current.reset();
    } else {
      // The answer decides whether the connection is reused.
      return;
    }
  }
  rollBack(Session);
}

void SessionPipeline::closeSession(const CallerSessionPtr &Session) {
  Session->IsClosed = true;
  Sessions.erase(Session->Id);
  Session->Link->close();
}

// Statements that need a target.

void SessionPipeline::startJob(const CallerSessionPtr &Session,
                               const Statement &Stmt) {
  const RoutePolicy *Route = Plan.route(Session->Database);
  // A change of routes applies from the next transaction on.
  const bool IsBound =
      Session->Transaction && Session->Transaction->Connection != nullptr;
  if (Route == nullptr && !IsBound)
    return replyRefused(
        Session, Stmt,
        refused(isPlanCurrent() ? RefusalCode::NoDatabase : RefusalCode::Busy,
                "no route has the name '" + Session->Database + "' any more"),
        "route removed");
  auto Job = std::make_shared<SessionJob>();
  Job->Stmt = Stmt;
  Job->Session = Session;
  Job->ArrivedAt = Deps.Time.now();
  Job->QueuedAt = Job->ArrivedAt;
  if (Route != nullptr)
    Job->Route = *Route;
  else
    Job->Route.StatementTimeout = TimeoutWithoutRoute;
  if (IsBound)
    Job->Route.Group = Session->Transaction->Connection->address().Group;
  limitToStop(*Job);
  Job->DeadlineAt = Job->ArrivedAt + Job->Route.StatementTimeout;
  setWaitDeadlines(*Job);
  Job->Writes = Stmt.Kind == StatementKind::Write;
  if (!resolveExecution(Session, *Job))
    return;
  choosePlacement(*Session, *Job);
  Session->Current = Job;
  if (!IsBound)
    return beginOperation(Session, Job) ? enqueueOrWaitForFloor(Job) : void();
  SessionTransaction &Transaction = *Session->Transaction;
  Transaction.LastUsed = Job->ArrivedAt;
  Job->Connection = Transaction.Connection;
  if (Transaction.Connection->stage() == TargetConnection::Stage::Closed) {
    Job->CurrentStage = SessionJob::Stage::Running;
    return handleLostConnection(Job, "the transaction's connection had closed");
  }
  Running.insert(Job);
  Job->CurrentStage = SessionJob::Stage::Running;
  Ticker.requestWithin(RunningInterval);
  runStatement(Job, false);
}

bool SessionPipeline::resolveExecution(const CallerSessionPtr &Session,
                                       SessionJob &Job) {
  if (Job.Stmt.Kind != StatementKind::Execute)
    return true;
  const auto Found = Session->Prepared.find(Job.Stmt.Name);
  if (Found == Session->Prepared.end()) {
    replyRefused(Session, Job.Stmt,
                 refused(RefusalCode::NoStatement,
                         "no prepared statement '" + Job.Stmt.Name + "'"),
                 "unknown name");
    return false;
  }
  Job.Writes = Found->second.Writes;
  return true;
}

void SessionPipeline::choosePlacement(const CallerSession &Session,
                                      SessionJob &Job) const {
  const auto &Transaction = Session.Transaction;
  const bool MayWrite = Job.Writes || (Transaction && !Transaction->IsReadOnly);
  Job.Destination = Placement::Primary;
  if (MayWrite || Job.Route.Reads == Freshness::Primary ||
      Job.LaggingRefusals > 1)
    return;
  // The accepted age of a transaction counts from the arrival of its first
  // statement.
  const Millis From = Transaction ? Transaction->StartedAt : Job.ArrivedAt;
  auto Floor = Deps.Floors.floor(Job.Route.Group, From, Job.Route.MaxStaleness);
  if (!Floor)
    return;
  if (Job.Route.Reads == Freshness::ReadYourWrites) {
    const auto OwnCommit = Session.LastCommit.find(Job.Route.Group);
    Job.IsFloorOwnCommit =
        OwnCommit != Session.LastCommit.end() && OwnCommit->second > *Floor;
    if (Job.IsFloorOwnCommit)
      Floor = OwnCommit->second;
  }
  Job.Floor = Floor;
  Job.Destination = Placement::AnyFresh;
}

// True for a read that would run at the leader only because no floor is recent
// enough.
bool SessionPipeline::wantsFloor(const CallerSession &Session,
                                 const SessionJob &Job) {
  const auto &Transaction = Session.Transaction;
  const bool MayWrite = Job.Writes || (Transaction && !Transaction->IsReadOnly);
  return !MayWrite && Job.Route.Reads != Freshness::Primary &&
         Job.Destination == Placement::Primary && !Job.HasAskedForFloor;
}

void SessionPipeline::enqueueOrWaitForFloor(const SessionJobPtr &Job) {
  const CallerSessionPtr Session = Job->Session.lock();
  if (Session && wantsFloor(*Session, *Job))
    return waitForFloor(Job);
  enqueue(Job);
}

void SessionPipeline::enqueue(const SessionJobPtr &Job) {
  Job->CurrentStage = SessionJob::Stage::Waiting;
  Job->QueuedAt = Deps.Time.now();
  recordLag(*Job);
  Group &G = Groups[Job->Route.Group];
  recordIfFree(G, *Job);
  G.Waiting.insert(Job);
  dispatchWaiting(Job->Route.Group);
  if (Job->CurrentStage != SessionJob::Stage::Waiting ||
      refuseIfTooLate(G, Job))
    return;
  Ticker.requestWithin(WaitingInterval);
}

} // namespace corianderdyke
