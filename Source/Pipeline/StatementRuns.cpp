/// \file
/// Sends commands on connections to targets, in the order that each statement
/// needs.

#include "Pipeline/SessionPipeline.h"

#include <algorithm>

namespace corianderdyke {

void SessionPipeline::run(const SessionJobPtr &Job,
                          const TargetConnectionPtr &Connection) {
  const CallerSessionPtr Session = Job->Session.lock();
  if (!Session) {
    release(Connection);
    return;
  }
  Job->CurrentStage = SessionJob::Stage::Running;
  Job->SentAt = Deps.Time.now();
  Running.insert(Job);
  Ticker.requestWithin(RunningInterval);
  const bool AtPrimary = Job->Destination == Placement::Primary;
  if (Session->Transaction || (AtPrimary && !Job->Writes))
    return openTransaction(Job, AtPrimary);
  runStatement(Job, false);
}

// The first statement of a transaction is sent only once the target has opened
// the transaction: after a refused opening it would run on its own. A read that
// must not miss any commit also runs inside a transaction, which only a leader
// opens: a replaced primary answers a plain read from its old log, without the
// commits that the new primary has acknowledged.
void SessionPipeline::openTransaction(const SessionJobPtr &Job,
                                      bool AtPrimary) {
  if (Job->Connection->isShared())
    return openAndRun(Job, AtPrimary);
  const CallerSessionPtr Session = Job->Session.lock();
  std::vector<TargetConnection::Step> Steps;
  Job->Connection->appendValueSteps(Session->Values, Steps);
  Steps.push_back(makeOpeningStep(Job, AtPrimary));
  Job->Connection->send(std::move(Steps));
}

TargetConnection::Step
SessionPipeline::makeOpeningStep(const SessionJobPtr &Job, bool AtPrimary) {
  setQueueTimes(*Job);
  const CallerSessionPtr Session = Job->Session.lock();
  const bool IsOutsideTransaction = !Session->Transaction;
  return {{.Operation = AtPrimary ? TargetCommand::Kind::Begin
                                  : TargetCommand::Kind::BeginRead,
           .MinPosition = AtPrimary ? std::nullopt : Job->Floor,
           .Priority = Job->Route.Priority,
           .MaxQueueTime = Job->MaxQueueTime,
           .MaxLateTime = Job->MaxLateTime},
          [this, Job, AtPrimary,
           IsOutsideTransaction](const StatementAnswer &Answer) {
            if (IsOutsideTransaction)
              handlePrimaryOpened(Job, Answer);
            else
              handleTransactionOpened(Job, AtPrimary, Answer);
          },
          AtPrimary && !IsOutsideTransaction};
}

void SessionPipeline::handleTransactionOpened(const SessionJobPtr &Job,
                                              bool AtPrimary,
                                              const StatementAnswer &Answer) {
  if (Job->CurrentStage != SessionJob::Stage::Running)
    return;
  const CallerSessionPtr Session = Job->Session.lock();
  if (AtPrimary && hasLostLog(Job, Answer))
    return handleLostLog(Job);
  // The answer may be a copy of that to an earlier opening; the statement's own
  // answer proves the lead and tells the position.
  recordAnswer(Job, Answer, false);
  if (Answer.Refusal || Answer.Phase != SessionPhase::InTransaction)
    return handleRefusedOpening(Job, Answer);
  if (!Session || !Session->Transaction || Session->IsClosed) {
    // The caller has disconnected in the meantime.
    Running.erase(Job);
    Job->CurrentStage = SessionJob::Stage::Done;
    if (Session)
      Session->Current.reset();
    SessionTransaction Unused;
    Unused.Connection = Job->Connection;
    return endTransaction(std::move(Unused));
  }
  Session->Transaction->Connection = Job->Connection;
  Session->Transaction->AtPrimary = AtPrimary;
  handleWaitEnd(*Job);
  // A gateway sends the statement itself.
  if (!Job->IsSent)
    runStatement(Job, false);
}

// Sends the opening and the first statement to the gateway in one write; the
// gateway sends the statement only once the opening has succeeded. A read
// outside a transaction is followed by a rollback.
void SessionPipeline::openAndRun(const SessionJobPtr &Job, bool AtPrimary) {
  const CallerSessionPtr Session = Job->Session.lock();
  const TargetConnectionPtr Connection = Job->Connection;
  std::vector<TargetConnection::Step> Steps;
  Connection->appendValueSteps(Session->Values, Steps);
  TargetCommand Command = makeCommand(Job, Steps);
  Command.NeedsPrevious = true;
  // After a refused opening, the job may already run elsewhere when the refusal
  // of the statement behind the opening arrives.
  const auto IsCurrentTry = [Job, Try = Job->Tries] {
    return Job->Tries == Try;
  };
  Steps.push_back(makeOpeningStep(Job, AtPrimary));
  Steps.push_back({std::move(Command),
                   [this, Job, IsCurrentTry](const StatementAnswer &Answer) {
                     if (IsCurrentTry())
                       handleAnswer(Job, Answer);
                   }});
  if (!Session->Transaction) {
    TargetConnection::Step End = makeRollbackStep(Connection);
    End.Handler = [IsCurrentTry, Ended = std::move(End.Handler)](
                      const StatementAnswer &Answer) {
      // The rollback was not sent, because the opening was refused.
      if (Answer.Refusal && !IsCurrentTry())
        return;
      Ended(Answer);
    };
    Steps.push_back(std::move(End));
  }
  Job->IsSent = true;
  Connection->send(std::move(Steps));
}

bool SessionPipeline::hasLostLog(const SessionJobPtr &Job,
                                 const StatementAnswer &Answer) const {
  return !Answer.Refusal && Answer.Position &&
         Deps.Floors.isRegression(Job->Route.Group, *Answer.Position,
                                  Job->SentAt);
}

// Treats the target as one that does not lead. If a gateway has already sent
// the statement behind the opening, its answer belongs to a finished try.
void SessionPipeline::handleLostLog(const SessionJobPtr &Job) {
  if (TargetPool *Pool = findPool(Job->Connection))
    Pool->recordNotPrimary(Deps.Time.now());
  discard(Job->Connection);
  handleLostConnection(
      Job, "target " + Job->Connection->address().Id +
               " has lost a part of its log and isn't believed to lead");
}

void SessionPipeline::handleRefusedOpening(const SessionJobPtr &Job,
                                           const StatementAnswer &Answer) {
  Running.erase(Job);
  const TargetConnectionPtr Connection = Job->Connection;
  const StatementRefusal Refusal = Answer.Refusal.value_or(
      StatementRefusal{RefusalCode::Busy, "the target opened no transaction"});
  // Schedules the next try before the connection is released: the statement
  // that gets the connection may be refused at once, and answers that are still
  // due to this try arrive with that refusal. They must not be sent to the
  // caller as answers to the job.
  retryOpening(Job, Connection, Refusal);
  if (Answer.Phase == SessionPhase::Idle)
    release(Connection);
  else
    discard(Connection);
}

void SessionPipeline::retryOpening(const SessionJobPtr &Job,
                                   const TargetConnectionPtr &Connection,
                                   const StatementRefusal &Refusal) {
  if (Refusal.Code == RefusalCode::Lagging) {
    ++Job->LaggingRefusals;
    Job->ExcludedTargets.insert(Connection->address().Id);
    return tryAgain(Job, Refusal, Millis(0));
  }
  if (Refusal.Code == RefusalCode::Unreachable)
    return handleUnreachableTarget(Job, Connection, Refusal);
  tryAgain(Job, Refusal, busyPause(*Job));
}

void SessionPipeline::handlePrimaryOpened(const SessionJobPtr &Job,
                                          const StatementAnswer &Answer) {
  if (Job->CurrentStage != SessionJob::Stage::Running)
    return;
  if (hasLostLog(Job, Answer))
    return handleLostLog(Job);
  if (!Answer.Refusal && Answer.Phase == SessionPhase::InTransaction) {
    handleWaitEnd(*Job);
    // A gateway sends the statement itself.
    if (!Job->IsSent)
      runStatement(Job, true);
    return;
  }
  recordAnswer(Job, Answer, false);
  handleRefusedOpening(Job, Answer);
}

TargetCommand
SessionPipeline::makeCommand(const SessionJobPtr &Job,
                             std::vector<TargetConnection::Step> &Steps) {
  TargetCommand Out;
  Out.Id = Job->Stmt.Id;
  Out.Text = Job->Stmt.Text;
  const CallerSessionPtr Session = Job->Session.lock();
  const bool IsOutsideTransaction = Session && !Session->Transaction;
  if (IsOutsideTransaction && Job->Destination == Placement::AnyFresh)
    Out.MinPosition = Job->Floor;
  if (IsOutsideTransaction &&
      (Job->Writes || Job->Destination == Placement::AnyFresh)) {
    setQueueTimes(*Job);
    Out.Priority = Job->Route.Priority;
    Out.MaxQueueTime = Job->MaxQueueTime;
    Out.MaxLateTime = Job->MaxLateTime;
  }
  if (Job->Stmt.Kind == StatementKind::Execute && Session) {
    Out.Operation = TargetCommand::Kind::Execute;
    Out.Name =
        Job->Connection->prepare(Session->Prepared[Job->Stmt.Name], Steps);
    Out.Text = Job->Stmt.Arguments;
  }
  return Out;
}

void SessionPipeline::runStatement(const SessionJobPtr &Job,
                                   bool RollBackAfter) {
  const CallerSessionPtr Session = Job->Session.lock();
  const TargetConnectionPtr Connection = Job->Connection;
  if (!Session || !Connection)
    return;
  std::vector<TargetConnection::Step> Steps;
  Connection->appendValueSteps(Session->Values, Steps);
  TargetCommand Command = makeCommand(Job, Steps);
  Steps.push_back(
      {std::move(Command), [this, Job](const StatementAnswer &Answer) {
         handleAnswer(Job, Answer);
       }});
  if (RollBackAfter)
    Steps.push_back(makeRollbackStep(Connection));
  Job->IsSent = true;
  Job->SentAt = Deps.Time.now();
  Connection->send(std::move(Steps));
}

} // namespace corianderdyke
