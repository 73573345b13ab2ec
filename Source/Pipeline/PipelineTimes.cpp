/// \file
/// Applies time limits to waiting and running statements and to idle
/// transactions.

#include "Pipeline/SessionPipeline.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// Shortest answer timeout of a statement that may be sent again or rolled
/// back; the objective counts if it is longer.
constexpr Millis MinAnswerTimeout(250);
/// A target that sends nothing for this long while an answer is due is reported
/// to control: several times the usual duration of statements.
constexpr Millis UnresponsiveAfter(200);
/// Timeout for opening a transaction, which costs a target no work.
constexpr Millis BeginTimeout(200);

} // namespace

void SessionPipeline::tick() {
  const Millis Now = Deps.Time.now();
  bool IsUrgent = Stop.has_value();
  for (auto &[Name, Each] : Groups)
    std::erase_if(Each.Pools,
                  [](const auto &Pool) { return Pool.second.hasEnded(); });
  for (auto &[Name, Each] : Groups) {
    expireProbe(Name, Each, Now);
    searchPrimary(Name, Each, Now);
    expireWaiting(Each, Now);
    IsUrgent = IsUrgent || !Each.AwaitingFloor.empty();
    if (!Each.Waiting.empty()) {
      dispatchWaiting(Name);
      IsUrgent = true;
    }
    for (auto &[Id, Pool] : Each.Pools) {
      Pool.maintain(Now);
      warmUp(Name, Pool, Now);
      IsUrgent = IsUrgent || Pool.hasEnded();
      const auto Open = Pool.connections();
      for (const TargetConnectionPtr &Connection : Open)
        if (Connection->stage() == TargetConnection::Stage::Opening) {
          IsUrgent = true;
          constexpr Millis ConnectTimeout(400);
          if (Now - Connection->openedAt() > ConnectTimeout) {
            Connection->close();
            handleClosed(Name, Connection, std::nullopt);
          }
        }
    }
  }
  const std::set<SessionJobPtr> Watched = Running;
  for (const SessionJobPtr &Job : Watched)
    if (Running.count(Job) != 0) {
      checkUnresponsive(Job, Now);
      checkAnswerTimeout(Job, Now);
    }
  processPendingOpenings(Now);
  endIdleTransactions(Now);
  closeQuietSessions(Now);
  if (IsUrgent)
    Ticker.requestWithin(WaitingInterval);
  else if (!Running.empty())
    Ticker.requestWithin(RunningInterval);
  else if (!Sessions.empty())
    Ticker.requestWithin(IdleInterval);
}

void SessionPipeline::expireWaiting(Group &G, Millis Now) {
  const JobQueue::List Waiting = G.Waiting.jobs();
  for (const SessionJobPtr &Job : Waiting) {
    // A refusal below may start the caller's next statement, which assigns
    // connections again. A job that got a connection that way has been sent:
    // refusing it as not run would make its caller send it twice.
    if (Job->CurrentStage != SessionJob::Stage::Waiting)
      continue;
    const bool IsOutageTooLong =
        Job->Destination == Placement::Primary &&
        !G.Outage.isWorthWaiting(Now, Job->RetryDeadline);
    const bool IsLate = Job->Class == ServiceClass::Late;
    if (!IsOutageTooLong &&
        Now < (IsLate ? latestStartOf(*Job) : effectiveQueueDeadline(*Job)))
      continue;
    G.Waiting.remove(Job);
    if (!IsOutageTooLong && !IsLate && becomeLate(G, *Job)) {
      G.Waiting.insert(Job);
      continue;
    }
    if (!IsOutageTooLong && Deps.Load.LateService) {
      refuseAfterWait(G, Job, "no connection came free",
                      "waited for a connection");
      continue;
    }
    const Millis RetryAfter =
        G.forecast(*Job).expectedWait(G.waiting(*Job) + 1, Now);
    std::string Reason = "no connection came free; come back after " +
                         std::to_string(RetryAfter.count()) + " ms";
    if (IsOutageTooLong)
      Reason = "no target leads; come back after " +
               std::to_string(G.Outage.retryAfter(Now).count()) + " ms";
    finishRefused(Job, {RefusalCode::Busy, std::move(Reason)},
                  IsOutageTooLong ? "no leader within its time"
                                  : "waited for a connection");
  }
}

void SessionPipeline::checkAnswerTimeout(const SessionJobPtr &Job, Millis Now) {
  const bool IsOutsideTransaction = [&] {
    const CallerSessionPtr Session = Job->Session.lock();
    return Session && !Session->Transaction;
  }();
  if (Now < Job->SentAt + answerTimeout(*Job, IsOutsideTransaction))
    return;
  const TargetConnectionPtr Connection = Job->Connection;
  // A lost answer does not mean that the target has failed while other answers
  // arrive from it; a change of primary would cost more than it gains.
  const TargetPool *Pool = findPool(Connection);
  // An answer that arrived in the millisecond of the sending, such as the one
  // to the opening of the connection, belongs to something sent earlier.
  if (Pool == nullptr || Pool->lastAnswer() <= Job->SentAt)
    reportUnresponsive(Connection, Now);
  discard(Connection);
  if (IsOutsideTransaction && !Job->Writes && Job->IsSent &&
      Now >= Job->RetryDeadline)
    return finishRefused(Job,
                         {RefusalCode::Timeout, "no answer before the timeout"},
                         "no answer before the timeout");
  handleLostConnection(Job, "no answer within " +
                                std::to_string((Now - Job->SentAt).count()) +
                                " ms");
}

// A statement's answer timeout may be longer than it takes to detect that the
// target sends nothing at all. Reporting that to control earlier starts the
// change of primary earlier.
void SessionPipeline::checkUnresponsive(const SessionJobPtr &Job, Millis Now) {
  const TargetPool *Pool = findPool(Job->Connection);
  if (Pool == nullptr || Pool->isShared() ||
      Now < Job->SentAt + UnresponsiveAfter ||
      Pool->lastAnswer() > Job->SentAt || Pool->isBackingOff(Now))
    return;
  reportUnresponsive(Job->Connection, Now);
}

void SessionPipeline::reportUnresponsive(const TargetConnectionPtr &Connection,
                                         Millis Now) {
  // With a shared connection the gateway may be the one that does not respond;
  // it reports its targets itself.
  if (!Connection || Connection->isShared())
    return;
  if (TargetPool *Pool = findPool(Connection))
    Pool->recordUnreachable(Now);
  TargetFailed.emit({Connection->address().Id, false});
}

// A statement that may run again, or whose transaction is rolled back with its
// connection, times out after its objective or MinAnswerTimeout, whichever is
// longer. A write outside a transaction and a commit have their whole deadline:
// only their answers show whether they took effect.
Millis SessionPipeline::answerTimeout(const SessionJob &Job,
                                      bool IsOutsideTransaction) const {
  if (!Job.IsSent)
    return BeginTimeout + Job.MaxQueueTime + Job.MaxLateTime;
  const bool DecidesOutcome = Job.Stmt.Kind == StatementKind::Commit ||
                              (IsOutsideTransaction && Job.Writes);
  const Millis Remaining = Job.DeadlineAt - Job.SentAt;
  if (DecidesOutcome ||
      (IsOutsideTransaction && Deps.Time.now() >= Job.RetryDeadline))
    return Remaining;
  return std::min(Remaining, std::max(MinAnswerTimeout, Job.Route.Objective) +
                                 Job.MaxQueueTime + Job.MaxLateTime);
}

void SessionPipeline::endIdleTransactions(Millis Now) {
  // Ending a transaction does not end its session, but the pipeline's answers
  // to other statements may end any session.
  std::vector<CallerSessionPtr> Ended;
  for (const auto &[Id, Each] : Sessions) {
    if (!Each->Transaction || Each->Current)
      continue;
    const bool HasTimedOut =
        Now - Each->Transaction->LastUsed > plan().TransactionIdleTimeout ||
        exceedsRevocationGrace(*Each, Now);
    const bool MustStop = refusesNewWork(Each->Database);
    if (HasTimedOut || MustStop)
      Ended.push_back(Each);
  }
  for (const CallerSessionPtr &Each : Ended) {
    if (!Each->Transaction || Each->Current)
      continue;
    endTransaction(std::move(*Each->Transaction));
    Each->Transaction.reset();
    Each->Phase = SessionPhase::Failed;
    Each->IsAbortUnreported = true;
  }
}

} // namespace corianderdyke
