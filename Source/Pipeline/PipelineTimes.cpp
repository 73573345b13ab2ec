/// \file
/// What ends with time: waits, statements, idle transactions, and sessions
/// before a planned stop.

#include "Pipeline/SessionPipeline.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// A statement without an answer for this long, or for its objective where
/// that is longer, counts as lost where it may be sent again or taken back.
constexpr Millis AnswerPatience(250);
/// A target from which nothing comes for this long, while an answer is due, is
/// told to control: several times what statements take.
constexpr Millis SilenceNoticed(200);
/// Opening a transaction takes a target no work.
constexpr Millis OpeningPatience(200);

} // namespace

void SessionPipeline::tick() {
  const Millis Now = Deps.Time.now();
  bool IsUrgent = IsStopping;
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
      const auto Open = Pool.connections();
      for (const TargetConnectionPtr &Connection : Open)
        if (Connection->stage() == TargetConnection::Stage::Opening) {
          IsUrgent = true;
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
    if (Running.count(Job) != 0) {
      checkUnresponsive(Job, Now);
      checkAnswerTimeout(Job, Now);
    }
  processPendingOpenings(Now);
  endIdleTransactions(Now);
  closeIdleSessions(Now);
  if (IsUrgent)
    Ticker.requestWithin(WaitingInterval);
  else if (!Running.empty())
    Ticker.requestWithin(RunningInterval);
  else if (!Sessions.empty())
    Ticker.requestWithin(IdleInterval);
}

void SessionPipeline::expireWaiting(Group &In, Millis Now) {
  const std::list<SessionJobPtr> Waiting = In.Waiting;
  for (const SessionJobPtr &Job : Waiting) {
    // The next statement of a caller that was just refused has connections
    // assigned anew. One that got a connection by that has been sent: its
    // caller would be told that it hasn't run, and send it a second time.
    if (Job->CurrentStage != SessionJob::Stage::Waiting)
      continue;
    const bool IsHopeless = Job->Destination == Placement::Primary &&
                            !In.Outage.isWorthWaiting(Now, Job->RetryDeadline);
    if (!IsHopeless && Now < effectiveQueueDeadline(*Job))
      continue;
    In.Waiting.remove(Job);
    const Millis Back =
        In.forecast(*Job).expectedWait(In.waiting(*Job) + 1, Now);
    std::string Why = "no connection came free; come back after " +
                      std::to_string(Back.count()) + " ms";
    if (IsHopeless)
      Why = "no target leads; come back after " +
            std::to_string(In.Outage.retryAfter(Now).count()) + " ms";
    finishRefused(Job, {RefusalCode::Busy, std::move(Why)},
                  IsHopeless ? "no leader within its time"
                             : "waited for a connection");
  }
}

void SessionPipeline::checkAnswerTimeout(const SessionJobPtr &Job, Millis Now) {
  const bool IsAlone = [&] {
    const CallerSessionPtr Session = Job->Session.lock();
    return Session && !Session->Transaction;
  }();
  if (Now < Job->SentAt + answerTimeout(*Job, IsAlone))
    return;
  const TargetConnectionPtr Used = Job->Connection;
  // An answer that got lost is no sign that the target is in trouble while
  // others come from it; a change of primary would cost more than it mends.
  const TargetPool *Pool = poolOf(Used);
  // What came in the same millisecond, such as the opening of the connection,
  // was no answer to what was sent then.
  if (Pool == nullptr || Pool->lastAnswer() <= Job->SentAt)
    reportUnresponsive(Used, Now);
  discard(Used);
  if (IsAlone && !Job->Writes && Job->IsSent && Now >= Job->RetryDeadline)
    return finishRefused(Job,
                         {RefusalCode::Timeout, "no answer before the timeout"},
                         "no answer before the timeout");
  handleLostConnection(Job, "no answer within " +
                                std::to_string((Now - Job->SentAt).count()) +
                                " ms");
}

// A statement may be waited for longer than it takes to see that nothing at
// all comes from its target. Control hears of it by then, and a change of
// primary begins that much sooner.
void SessionPipeline::checkUnresponsive(const SessionJobPtr &Job, Millis Now) {
  const TargetPool *Pool = poolOf(Job->Connection);
  if (Pool == nullptr || Pool->isShared() ||
      Now < Job->SentAt + SilenceNoticed || Pool->lastAnswer() > Job->SentAt ||
      Pool->isBackingOff(Now))
    return;
  reportUnresponsive(Job->Connection, Now);
}

void SessionPipeline::reportUnresponsive(const TargetConnectionPtr &Used,
                                         Millis Now) {
  // Behind a shared connection the gateway may be the silent one; it reports
  // its targets itself.
  if (!Used || Used->isShared())
    return;
  if (TargetPool *Pool = poolOf(Used))
    Pool->recordUnreachable(Now);
  TargetFailed.emit({Used->address().Id, false});
}

// A statement that may run again, or whose transaction is rolled back with
// its connection, isn't waited for longer than answers usually take. A write
// on its own and a commit are: nobody else can tell what became of them.
Millis SessionPipeline::answerTimeout(const SessionJob &Job,
                                      bool IsAlone) const {
  if (!Job.IsSent)
    return OpeningPatience + Job.MaxQueueTime;
  const bool Settles =
      Job.Stmt.Kind == StatementKind::Commit || (IsAlone && Job.Writes);
  const Millis Rest = Job.DeadlineAt - Job.SentAt;
  if (Settles || (IsAlone && Deps.Time.now() >= Job.RetryDeadline))
    return Rest;
  return std::min(Rest, std::max(AnswerPatience, Job.Route.Objective) +
                            Job.MaxQueueTime);
}

void SessionPipeline::endIdleTransactions(Millis Now) {
  // Ending one doesn't end its session.
  for (const auto &[Id, Each] : Sessions) {
    if (!Each->Transaction || Each->Current)
      continue;
    const bool TooLong =
        Now - Each->Transaction->LastUsed > plan().TransactionIdleTimeout ||
        exceedsRevocationGrace(*Each, Now);
    const bool Stops = IsStopping && Now >= TransactionsUntil;
    if (!TooLong && !Stops)
      continue;
    endTransaction(std::move(*Each->Transaction));
    Each->Transaction.reset();
    Each->Phase = SessionPhase::Failed;
    Each->IsAbortUnreported = true;
  }
}

void SessionPipeline::beginStop(Millis TransactionsBy, Millis SessionsBy) {
  IsStopping = true;
  StopBeganAt = Deps.Time.now();
  TransactionsUntil = TransactionsBy;
  SessionsUntil = SessionsBy;
  SessionsAtStop = Sessions.size();
  Ticker.requestWithin(WaitingInterval);
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
    if (!Each->Current && Each->PendingStatements.empty() &&
        Each->Phase == SessionPhase::Idle)
      closeSession(Each);
  }
}

} // namespace corianderdyke
