/// \file
/// Handles the answers of targets, and lost answers.

#include "Pipeline/SessionPipeline.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// Limit for the tries of one statement. tryAgain() limits retries after
/// ReadOnly, Busy or Unreachable by time alone.
constexpr unsigned MaxTries = 6;

StatementRefusal refused(RefusalCode Code, std::string Reason) {
  return {Code, std::move(Reason)};
}

} // namespace

void SessionPipeline::recordAnswer(const SessionJobPtr &Job,
                                   const StatementAnswer &Answer,
                                   bool ProvesLead) {
  TargetPool *Pool = findPool(Job->Connection);
  if (Pool != nullptr) {
    Pool->recordReachable(Deps.Time.now());
    if (Pool->record().IsPrimary && !Pool->isShared())
      PrimaryAnswered.emit(Pool->record().Id);
    if (!Answer.Refusal) {
      const Millis AnswerTime = targetAnswerTime(*Job, *Pool);
      Pool->window().recordAnswerTime(AnswerTime, Deps.Time.now());
      AnswerTimes.recordAnswerTime(AnswerTime, Deps.Time.now());
    }
    if (Answer.Refusal && Answer.Refusal->Code == RefusalCode::Lagging)
      ++Counts.LaggingRefusals;
    if (Deps.Replicas != nullptr)
      recordReplicaAnswer(*Job, Pool->record().Id, Answer);
    if (Answer.Position)
      Pool->lag().recordPosition(*Answer.Position, Deps.Time.now());
    if (Job->Floor && Job->Destination == Placement::AnyFresh) {
      if (!Answer.Refusal)
        Pool->lag().recordCaughtUp();
      else if (Answer.Refusal->Code == RefusalCode::Lagging &&
               !Job->IsFloorOwnCommit)
        Pool->lag().recordLagRefusal(Deps.Time.now());
    }
    if (Answer.Refusal && Answer.Refusal->Code == RefusalCode::ReadOnly)
      Pool->recordNotPrimary(Deps.Time.now());
  }
  if (!ProvesLead || Answer.Refusal)
    return;
  Groups[Job->Route.Group].Outage.recordPrimary(Deps.Time.now());
  if (Answer.Position)
    Deps.Floors.record(Job->Route.Group, *Answer.Position, Job->SentAt,
                       Deps.Time.now());
}

void SessionPipeline::handleAnswer(const SessionJobPtr &Job,
                                   const StatementAnswer &Answer) {
  if (Job->CurrentStage != SessionJob::Stage::Running)
    return;
  Running.erase(Job);
  const CallerSessionPtr Session = Job->Session.lock();
  if (!Session) {
    discard(Job->Connection);
    return;
  }
  // A successful result without the target's signature does not belong to this
  // statement: an answer was lost or duplicated on the way. The caller must not
  // get it, and all later answers on the connection are shifted in the same
  // way.
  if (!Answer.Refusal && Answer.Signature.empty()) {
    const std::string From =
        Job->Connection ? Job->Connection->address().Id : "";
    AnswerUnexpected.emit({From, AnswerMatcher::Verdict::Mismatched, Answer});
    discard(Job->Connection);
    return handleLostConnection(Job, "target " + From + " signed no result");
  }
  if (Session->Transaction)
    handleAnswerInTransaction(Job, Session, Answer);
  else
    handleAnswerOutsideTransaction(Job, Session, Answer);
}

void SessionPipeline::handleAnswerInTransaction(const SessionJobPtr &Job,
                                                const CallerSessionPtr &Session,
                                                const StatementAnswer &Answer) {
  SessionTransaction &Transaction = *Session->Transaction;
  Transaction.LastUsed = Deps.Time.now();
  const bool Commits = Job->Stmt.Kind == StatementKind::Commit;
  // The commit of a transaction without writes does not prove that the target
  // leads.
  recordAnswer(Job, Answer,
               Transaction.AtPrimary && (!Commits || Transaction.HasWritten));
  if (Answer.Refusal && Answer.Refusal->Code == RefusalCode::Busy &&
      Answer.Phase == SessionPhase::InTransaction && Job->Tries < MaxTries &&
      Deps.Time.now() < Job->RetryDeadline) {
    ++Job->Tries;
    ++Counts.Retries;
    Running.insert(Job);
    Deps.Timers.after(busyPause(*Job), [this, Weak = std::weak_ptr(Job)] {
      const SessionJobPtr Again = Weak.lock();
      if (Again && Again->CurrentStage == SessionJob::Stage::Running &&
          Running.count(Again) != 0)
        runStatement(Again, false);
    });
    return;
  }
  if (!Answer.Refusal && !Commits &&
      Answer.Phase != SessionPhase::InTransaction) {
    // The target no longer holds the transaction.
    discard(Transaction.Connection);
    return handleLostConnection(Job, "the target had ended the transaction");
  }
  Job->CurrentStage = SessionJob::Stage::Done;
  Session->Current.reset();
  if (Answer.Refusal) {
    const TargetConnectionPtr Connection = Transaction.Connection;
    if (Commits) {
      endTransaction(std::move(Transaction));
      Session->Transaction.reset();
      Session->Phase = SessionPhase::Idle;
    }
    replyRefused(Session, Job->Stmt, *Answer.Refusal,
                 "target " + Connection->address().Id);
  } else {
    if (Job->Writes) {
      Transaction.HasWritten = true;
      ++Counts.Writes;
    }
    if (Commits) {
      ++Counts.Commits;
      if (Answer.Position && Transaction.HasWritten)
        Session->LastCommit[Job->Route.Group] = *Answer.Position;
      const TargetConnectionPtr Connection = std::move(Transaction.Connection);
      if (Transaction.HasSetValues)
        Connection->invalidateValues();
      Session->Transaction.reset();
      Session->Phase = SessionPhase::Idle;
      if (Answer.Phase == SessionPhase::Idle)
        release(Connection);
      else
        discard(Connection);
    }
    countIfLate(*Job);
    if (Job->Connection) {
      recordServedRead(*Job, Job->Connection->address().Id);
      Served.emit(*Job, Job->Connection->address().Id, Answer);
    }
    StatementAnswer Out = Answer;
    Out.Phase = Session->Phase;
    reply(Session, Out);
  }
  if (Session->IsClosed)
    rollBack(Session);
  startNext(Session);
}

void SessionPipeline::handleAnswerOutsideTransaction(
    const SessionJobPtr &Job, const CallerSessionPtr &Session,
    const StatementAnswer &Answer) {
  const bool AtPrimary = Job->Destination == Placement::Primary;
  recordAnswer(Job, Answer, AtPrimary);
  const TargetConnectionPtr Connection = std::move(Job->Connection);
  const std::string Target = Connection->address().Id;
  // The prepared statements that the target holds for this connection differ
  // from the recorded ones, so no other statement may use it.
  const bool HasLostPrepared =
      Answer.Refusal && Answer.Refusal->Code == RefusalCode::NoStatement;
  // The rollback that follows a read at the leader releases its connection.
  if (AtPrimary && !Job->Writes && !HasLostPrepared) {
    // Released by the answer to the rollback.
  } else if (Answer.Phase == SessionPhase::Idle && !HasLostPrepared) {
    release(Connection);
  } else {
    discard(Connection);
  }
  if (Answer.Refusal) {
    switch (Answer.Refusal->Code) {
    case RefusalCode::Unreachable:
      return handleUnreachableTarget(Job, Connection, *Answer.Refusal);
    case RefusalCode::Busy:
      return tryAgain(Job, *Answer.Refusal, busyPause(*Job));
    case RefusalCode::ReadOnly:
      return tryAgain(Job, *Answer.Refusal, Millis(0));
    case RefusalCode::Lagging:
      ++Job->LaggingRefusals;
      Job->LaggingTargets.insert(Target);
      Job->ExcludedTargets.insert(Target);
      return tryAgain(Job, *Answer.Refusal, Millis(0));
    case RefusalCode::NoStatement:
      return tryAgain(Job, *Answer.Refusal, Millis(0));
    case RefusalCode::Unknown:
      if (!Job->Writes)
        return tryAgain(Job, *Answer.Refusal, Millis(0));
      [[fallthrough]];
    default:
      return finishRefused(Job, *Answer.Refusal, "target " + Target);
    }
  }
  Job->CurrentStage = SessionJob::Stage::Done;
  Session->Current.reset();
  if (Job->Writes) {
    ++Counts.Writes;
    if (Answer.Position)
      Session->LastCommit[Job->Route.Group] = *Answer.Position;
  } else if (AtPrimary) {
    ++Counts.ReadsByPrimary;
  } else {
    ++Counts.ReadsByReplica;
  }
  countIfLate(*Job);
  recordServedRead(*Job, Target);
  Served.emit(*Job, Target, Answer);
  StatementAnswer Out = Answer;
  Out.Phase = Session->Phase;
  reply(Session, Out);
  startNext(Session);
}

void SessionPipeline::tryAgain(const SessionJobPtr &Job,
                               const StatementRefusal &Refusal, Millis After) {
  Job->IsSent = false;
  Job->Connection.reset();
  const Millis Now = Deps.Time.now();
  if (++Job->Tries > MaxTries && Refusal.Code != RefusalCode::ReadOnly &&
      Refusal.Code != RefusalCode::Busy &&
      Refusal.Code != RefusalCode::Unreachable)
    return finishRefused(Job, Refusal, "tried at several targets");
  Job->Class = ServiceClass::InTime;
  if (Now >= effectiveQueueDeadline(*Job) && !tryAgainLate(Job, Refusal, After))
    return refuseUntried(Job, Refusal);
  ++Counts.Retries;
  Retried.emit(*Job, Refusal);
  Job->RetryAt = Now + After;
  if (const CallerSessionPtr Session = Job->Session.lock())
    choosePlacement(*Session, *Job);
  enqueue(Job);
}

void SessionPipeline::handleUnreachableTarget(
    const SessionJobPtr &Job, const TargetConnectionPtr &Connection,
    const StatementRefusal &Refusal) {
  if (TargetPool *Pool = findPool(Connection))
    Pool->recordUnreachable(Deps.Time.now());
  Job->ExcludedTargets.insert(Connection->address().Id);
  tryAgain(Job, Refusal, Millis(0));
}

// When many gateways fail at the same time, each proxy detects each of them by
// itself. A read that is retried through another gateway before the failed one
// is given up can still meet its objective.
//
// Nothing is retried while answers are slow everywhere: the gateway is then
// overloaded, and retries add to its load.
void SessionPipeline::handleKeepaliveTimeout(
    const TargetConnectionPtr &Connection) {
  if (!AnswerTimes.isUncongested())
    return;
  // A connection carries one statement at a time.
  const auto Found = std::find_if(Running.begin(), Running.end(),
                                  [&Connection](const SessionJobPtr &Each) {
                                    return Each->Connection == Connection;
                                  });
  if (Found == Running.end())
    return;
  const CallerSessionPtr Session = (*Found)->Session.lock();
  if ((*Found)->Writes || !Session || Session->Transaction)
    return;
  const auto Taken = Running.extract(Found);
  const SessionJobPtr &Job = Taken.value();
  discard(Connection);
  Job->MaxLateTime = Millis(0);
  Job->WaitingSince = Deps.Time.now();
  tryAgain(Job,
           refused(RefusalCode::Busy, "no sign of life on the way to target " +
                                          Connection->address().Id),
           Millis(0));
}

// The connection is lost or its answer overdue. The refusal depends on what was
// sent: a refusal that guarantees that nothing is kept must be true whatever
// the target did with the statement.
void SessionPipeline::handleLostConnection(const SessionJobPtr &Job,
                                           const std::string &Grounds) {
  Running.erase(Job);
  const CallerSessionPtr Session = Job->Session.lock();
  if (!Session)
    return;
  if (Session->Transaction &&
      (Session->Transaction->Connection || Job->IsSent)) {
    SessionTransaction &Transaction = *Session->Transaction;
    const bool MayHaveCommitted = Job->Stmt.Kind == StatementKind::Commit &&
                                  Job->IsSent && Transaction.HasWritten;
    Job->CurrentStage = SessionJob::Stage::Done;
    Session->Current.reset();
    const bool Commits = Job->Stmt.Kind == StatementKind::Commit;
    if (Commits) {
      Session->Transaction.reset();
      Session->Phase = SessionPhase::Idle;
    }
    replyRefused(
        Session, Job->Stmt,
        MayHaveCommitted
            ? refused(RefusalCode::Unknown, "the answer to the commit was lost")
            : refused(RefusalCode::Aborted,
                      "the transaction's connection was lost"),
        Grounds);
    if (Session->IsClosed)
      rollBack(Session);
    return startNext(Session);
  }
  if (Job->Writes && Job->IsSent)
    return finishRefused(
        Job, refused(RefusalCode::Unknown, "the answer to the write was lost"),
        Grounds);
  if (Job->Connection)
    Job->ExcludedTargets.insert(Job->Connection->address().Id);
  if (AnswerTimes.isUncongested())
    Job->WaitingSince = Deps.Time.now();
  // Another gateway may let it wait late.
  Job->MaxLateTime = Millis(0);
  tryAgain(Job, refused(RefusalCode::Busy, Grounds), Millis(0));
}

void SessionPipeline::finishRefused(const SessionJobPtr &Job,
                                    StatementRefusal Refusal,
                                    const std::string &Grounds) {
  recordRefusedRead(*Job, Refusal);
  Running.erase(Job);
  Job->CurrentStage = SessionJob::Stage::Done;
  const CallerSessionPtr Session = Job->Session.lock();
  if (!Session)
    return;
  Session->Current.reset();
  replyRefused(Session, Job->Stmt, std::move(Refusal), Grounds);
  startNext(Session);
}

} // namespace corianderdyke
