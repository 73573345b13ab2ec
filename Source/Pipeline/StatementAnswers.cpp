/// \file
/// What targets' answers, and their absence, mean for callers.

#include "Pipeline/SessionPipeline.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// Targets that one statement is tried at.
constexpr unsigned MaxTries = 6;

StatementRefusal refused(RefusalCode Code, std::string Why) {
  return {Code, std::move(Why)};
}

} // namespace

void SessionPipeline::noteAnswer(const SessionJobPtr &Job,
                                 const StatementAnswer &Answer,
                                 bool ProvesLead) {
  TargetPool *Pool = poolOf(Job->Connection);
  if (Pool != nullptr) {
    Pool->reached(Outside.Time.now());
    if (Pool->record().IsPrimary && !Pool->isShared())
      Reached.emit(Pool->record().Id);
    if (!Answer.Refusal) {
      const Millis Taken = Outside.Time.now() - Job->SentAt;
      Pool->window().note(Taken, Outside.Time.now());
      AnswerTimes.note(Taken, Outside.Time.now());
    }
    if (Answer.Position)
      Pool->lag().notePosition(*Answer.Position, Outside.Time.now());
    if (Job->Floor && Job->Where == Placement::Replica) {
      if (!Answer.Refusal)
        Pool->lag().noteFresh();
      else if (Answer.Refusal->Code == RefusalCode::Lagging && !Job->IsFloorOwn)
        Pool->lag().noteRefused(Outside.Time.now());
    }
    if (Answer.Refusal && Answer.Refusal->Code == RefusalCode::ReadOnly)
      Pool->noteNotLeading(Outside.Time.now());
  }
  if (!ProvesLead || Answer.Refusal)
    return;
  Groups[Job->Route.Group].Outage.noteLeading(Outside.Time.now());
  if (Answer.Position)
    Outside.Floors.note(Job->Route.Group, *Answer.Position, Job->SentAt,
                        Outside.Time.now());
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
  // A success that its target didn't sign answers something else: an answer
  // got lost or came twice on the way. Passed on, its caller would be told of
  // a result that nobody has; all that follows on the connection is as wrong.
  if (!Answer.Refusal && Answer.Proof.empty()) {
    const std::string From = Job->Connection ? Job->Connection->to().Id : "";
    discard(Job->Connection);
    return lost(Job, "target " + From + " signed no result");
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
    Running.insert(Job);
    Outside.Timers.after(busyPause(*Job), [this, Weak = std::weak_ptr(Job)] {
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
    case RefusalCode::Unreachable:
      return noGateway(Job, Used, *Answer.Refusal);
    case RefusalCode::Busy:
      return tryAgain(Job, *Answer.Refusal, busyPause(*Job));
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
  if (++Job->Tries > MaxTries && Why.Code != RefusalCode::ReadOnly &&
      Why.Code != RefusalCode::Busy && Why.Code != RefusalCode::Unreachable)
    return finishRefused(Job, Why, "tried at several targets");
  if (Now >= waitEnd(*Job))
    return finishRefused(Job, Why, "no time for another try");
  ++Counts.Retries;
  Moved.emit(*Job, Why);
  Job->RetryAt = Now + After;
  if (const CallerSessionPtr Session = Job->Of.lock())
    place(*Session, *Job);
  enqueue(Job);
}

void SessionPipeline::noGateway(const SessionJobPtr &Job,
                                const TargetConnectionPtr &Used,
                                const StatementRefusal &Why) {
  if (TargetPool *Pool = poolOf(Used))
    Pool->unreachable(Outside.Time.now());
  Job->Avoid.insert(Used->to().Id);
  tryAgain(Job, Why, Millis(0));
}

// Load pattern: many gateways end at the same moment, and each proxy detects
// each of them by itself. A read that is retried through another gateway before
// the failed one is given up can still meet its objective.
//
// Not while answers are slow everywhere: the gateway is then overloaded, and
// retries add to its load.
void SessionPipeline::noteDoubt(const TargetConnectionPtr &Silent) {
  if (!AnswerTimes.isCalm())
    return;
  // A connection carries one statement at a time.
  const auto Found = std::find_if(Running.begin(), Running.end(),
                                  [&Silent](const SessionJobPtr &Each) {
                                    return Each->Connection == Silent;
                                  });
  if (Found == Running.end())
    return;
  const CallerSessionPtr Session = (*Found)->Of.lock();
  if ((*Found)->Writes || !Session || Session->Transaction)
    return;
  const auto Taken = Running.extract(Found);
  const SessionJobPtr &Job = Taken.value();
  discard(Silent);
  Job->WaitsSince = Outside.Time.now();
  tryAgain(Job,
           refused(RefusalCode::Busy,
                   "no sign of life on the way to target " + Silent->to().Id),
           Millis(0));
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
  if (Session->Transaction &&
      (Session->Transaction->Connection || Job->IsSent)) {
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
  if (AnswerTimes.isCalm())
    Job->WaitsSince = Outside.Time.now();
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

} // namespace corianderdyke
