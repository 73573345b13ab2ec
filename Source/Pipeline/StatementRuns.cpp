/// \file
/// What is sent on a connection, and in which order.

#include "Pipeline/SessionPipeline.h"

#include <algorithm>

namespace corianderdyke {

void SessionPipeline::run(const SessionJobPtr &Job,
                          const TargetConnectionPtr &On) {
  const CallerSessionPtr Session = Job->Of.lock();
  if (!Session) {
    release(On);
    return;
  }
  Job->At = SessionJob::Stage::Running;
  Job->SentAt = Outside.Time.now();
  Running.insert(Job);
  Ticker.within(RunningInterval);
  const bool AtLeader = Job->Where == Placement::Leader;
  if (Session->Transaction || (AtLeader && !Job->Writes))
    return openTransaction(Job, AtLeader);
  runStatement(Job, false);
}

// A transaction's first statement goes out only once the target has opened
// the transaction: behind a refused opening it would run on its own. A read
// that must miss nothing runs inside a transaction too, which only a leader
// opens. A primary that was replaced answers a plain read from its old log,
// and its caller would miss what the new primary has acknowledged.
void SessionPipeline::openTransaction(const SessionJobPtr &Job, bool AtLeader) {
  if (Job->Connection->isShared())
    return openAndRun(Job, AtLeader);
  const CallerSessionPtr Session = Job->Of.lock();
  std::vector<TargetConnection::Step> Steps;
  Job->Connection->adjust(Session->Values, Steps);
  Steps.push_back(openingStep(Job, AtLeader));
  Job->Connection->send(std::move(Steps));
}

TargetConnection::Step SessionPipeline::openingStep(const SessionJobPtr &Job,
                                                    bool AtLeader) {
  Job->MayWait = queueTime(*Job);
  const CallerSessionPtr Session = Job->Of.lock();
  const bool IsAlone = !Session->Transaction;
  return {{.What = AtLeader ? TargetCommand::Kind::Begin
                            : TargetCommand::Kind::BeginRead,
           .After = AtLeader ? std::nullopt : Job->Floor,
           .Priority = Job->Route.Priority,
           .MayWait = Job->MayWait},
          [this, Job, AtLeader, IsAlone](const StatementAnswer &Answer) {
            if (IsAlone)
              leaderOpened(Job, Answer);
            else
              transactionOpened(Job, AtLeader, Answer);
          }};
}

void SessionPipeline::transactionOpened(const SessionJobPtr &Job, bool AtLeader,
                                        const StatementAnswer &Answer) {
  if (Job->At != SessionJob::Stage::Running)
    return;
  const CallerSessionPtr Session = Job->Of.lock();
  if (AtLeader && lacksItsLog(Job, Answer))
    return leaderHasShrunk(Job);
  noteAnswer(Job, Answer, AtLeader);
  if (Answer.Refusal || Answer.Phase != SessionPhase::InTransaction)
    return openingRefused(Job, Answer);
  if (!Session || !Session->Transaction || Session->IsGone) {
    // The caller left meanwhile.
    Running.erase(Job);
    Job->At = SessionJob::Stage::Done;
    if (Session)
      Session->Current.reset();
    SessionTransaction Unused;
    Unused.Connection = Job->Connection;
    return endTransaction(std::move(Unused));
  }
  Session->Transaction->Connection = Job->Connection;
  Session->Transaction->AtLeader = AtLeader;
  Job->MayWait = Millis(0);
  // A gateway sends the statement by itself.
  if (!Job->IsSent)
    runStatement(Job, false);
}

// The opening and the first statement go to the gateway in one write, and the
// gateway sends the second only once the first has succeeded. A read alone is
// followed by the end of its transaction.
void SessionPipeline::openAndRun(const SessionJobPtr &Job, bool AtLeader) {
  const CallerSessionPtr Session = Job->Of.lock();
  const TargetConnectionPtr On = Job->Connection;
  std::vector<TargetConnection::Step> Steps;
  On->adjust(Session->Values, Steps);
  TargetCommand Own = commandOf(Job, Steps);
  Own.NeedsPrevious = true;
  // After a refused opening the job may be under way again elsewhere when the
  // refusal of the statement behind it arrives.
  const auto IsThisTry = [Job, Try = Job->Tries] { return Job->Tries == Try; };
  Steps.push_back(openingStep(Job, AtLeader));
  Steps.push_back(
      {std::move(Own), [this, Job, IsThisTry](const StatementAnswer &Answer) {
         if (IsThisTry())
           answered(Job, Answer);
       }});
  if (!Session->Transaction) {
    TargetConnection::Step End = rollBackStep(On);
    End.Handler = [IsThisTry, Ended = std::move(End.Handler)](
                      const StatementAnswer &Answer) {
      // Not sent, behind a refused opening.
      if (Answer.Refusal && !IsThisTry())
        return;
      Ended(Answer);
    };
    Steps.push_back(std::move(End));
  }
  Job->IsSent = true;
  On->send(std::move(Steps));
}

bool SessionPipeline::lacksItsLog(const SessionJobPtr &Job,
                                  const StatementAnswer &Answer) const {
  return !Answer.Refusal && Answer.Position &&
         Outside.Floors.hasShrunk(Job->Route.Group, *Answer.Position,
                                  Job->SentAt);
}

// As if it had said that it doesn't lead. Where a gateway has sent the
// statement behind the opening already, its answer is for a try that is over.
void SessionPipeline::leaderHasShrunk(const SessionJobPtr &Job) {
  if (TargetPool *Pool = poolOf(Job->Connection))
    Pool->noteNotLeading(Outside.Time.now());
  discard(Job->Connection);
  lost(Job, "target " + Job->Connection->to().Id +
                " has lost a part of its log and isn't believed to lead");
}

void SessionPipeline::openingRefused(const SessionJobPtr &Job,
                                     const StatementAnswer &Answer) {
  Running.erase(Job);
  const TargetConnectionPtr On = Job->Connection;
  const StatementRefusal Why = Answer.Refusal.value_or(
      StatementRefusal{RefusalCode::Busy, "the target opened no transaction"});
  // The next try is settled before the connection is free: whoever gets it may
  // be refused at once, and the answers that this try is still owed come with
  // that. Taken for answers to the job they would be told to its caller.
  retryOpening(Job, On, Why);
  if (Answer.Phase == SessionPhase::Idle)
    release(On);
  else
    discard(On);
}

void SessionPipeline::retryOpening(const SessionJobPtr &Job,
                                   const TargetConnectionPtr &On,
                                   const StatementRefusal &Why) {
  if (Why.Code == RefusalCode::Lagging) {
    ++Job->Lagged;
    Job->Avoid.insert(On->to().Id);
    return tryAgain(Job, Why, Millis(0));
  }
  if (Why.Code == RefusalCode::Unreachable)
    return noGateway(Job, On, Why);
  tryAgain(Job, Why, busyPause(*Job));
}

void SessionPipeline::leaderOpened(const SessionJobPtr &Job,
                                   const StatementAnswer &Answer) {
  if (Job->At != SessionJob::Stage::Running)
    return;
  if (lacksItsLog(Job, Answer))
    return leaderHasShrunk(Job);
  if (!Answer.Refusal && Answer.Phase == SessionPhase::InTransaction) {
    Job->MayWait = Millis(0);
    // A gateway sends the statement by itself.
    if (!Job->IsSent)
      runStatement(Job, true);
    return;
  }
  noteAnswer(Job, Answer, false);
  openingRefused(Job, Answer);
}

TargetCommand
SessionPipeline::commandOf(const SessionJobPtr &Job,
                           std::vector<TargetConnection::Step> &Before) {
  TargetCommand Out;
  Out.Id = Job->What.Id;
  Out.Text = Job->What.Text;
  const CallerSessionPtr Session = Job->Of.lock();
  const bool IsAlone = Session && !Session->Transaction;
  if (IsAlone && Job->Where == Placement::Replica)
    Out.After = Job->Floor;
  if (IsAlone && (Job->Writes || Job->Where == Placement::Replica)) {
    Job->MayWait = queueTime(*Job);
    Out.Priority = Job->Route.Priority;
    Out.MayWait = Job->MayWait;
  }
  if (Job->What.Kind == StatementKind::Execute && Session) {
    Out.What = TargetCommand::Kind::Execute;
    Out.Name =
        Job->Connection->prepare(Session->Prepared[Job->What.Name], Before);
    Out.Text = Job->What.Arguments;
  }
  return Out;
}

void SessionPipeline::runStatement(const SessionJobPtr &Job,
                                   bool RollBackAfter) {
  const CallerSessionPtr Session = Job->Of.lock();
  const TargetConnectionPtr On = Job->Connection;
  if (!Session || !On)
    return;
  std::vector<TargetConnection::Step> Steps;
  On->adjust(Session->Values, Steps);
  TargetCommand Own = commandOf(Job, Steps);
  Steps.push_back({std::move(Own), [this, Job](const StatementAnswer &Answer) {
                     answered(Job, Answer);
                   }});
  if (RollBackAfter)
    Steps.push_back(rollBackStep(On));
  Job->IsSent = true;
  Job->SentAt = Outside.Time.now();
  On->send(std::move(Steps));
}

} // namespace corianderdyke
