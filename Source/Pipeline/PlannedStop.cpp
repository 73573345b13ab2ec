/// \file
/// Ends sessions and transactions in a planned stop, and refuses statements
/// that could not be answered before the process ends.

#include "Pipeline/SessionPipeline.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// A session without a statement for this long is closed without an error. The
/// next statement of a caller that waits for nothing but its answers arrives
/// within a round trip, and closing the session then would break it.
constexpr Millis QuietPeriod(100);

} // namespace

void SessionPipeline::beginStop(const StopSchedule &Schedule) {
  Stop = Schedule;
  FirstSessionOfStop = NextSession;
  SessionsAtStop = Sessions.size();
  for (const auto &[Id, Each] : Sessions)
    if (Each->Current)
      limitToStop(*Each->Current);
  Ticker.requestWithin(WaitingInterval);
}

std::size_t SessionPipeline::statementsInProgress() const {
  return static_cast<std::size_t>(
      std::count_if(Sessions.begin(), Sessions.end(), [](const auto &Each) {
        return Each.second->Current != nullptr;
      }));
}

void SessionPipeline::limitToStop(SessionJob &Job) const {
  if (!Stop)
    return;
  Job.Route.StatementTimeout =
      std::min(Job.Route.StatementTimeout, Stop->answersBy() - Job.ArrivedAt);
  Job.DeadlineAt = std::min(Job.DeadlineAt, Stop->answersBy());
  Job.RetryDeadline = std::min(Job.RetryDeadline, Job.DeadlineAt);
  Job.QueueDeadline = std::min(Job.QueueDeadline, Job.DeadlineAt);
}

bool SessionPipeline::refusesNewWork(const std::string &Database) const {
  if (!Stop)
    return false;
  const RoutePolicy *Route = Plan.route(Database);
  return Deps.Time.now() >=
         Stop->lastStart(Route != nullptr ? Route->Objective : Millis(0));
}

bool SessionPipeline::refusesTransactions(const std::string &Database) const {
  return Stop && (Deps.Time.now() >= Stop->lastTransactionBegin() ||
                  refusesNewWork(Database));
}

StatementRefusal SessionPipeline::stopRefusal() {
  return {RefusalCode::Busy,
          "this proxy stops; others may serve it: come back after 0 ms"};
}

void SessionPipeline::refuseWhileStopping(const CallerSessionPtr &Session,
                                          const Statement &Stmt) {
  Session->IsEnding = true;
  if (!Session->Transaction)
    return replyRefused(Session, Stmt, stopRefusal(), "proxy stops");
  if (Stmt.Kind == StatementKind::Commit)
    rollBack(Session);
  replyRefused(Session, Stmt,
               {RefusalCode::Aborted, "the transaction's proxy stops"},
               "proxy stops");
}

void SessionPipeline::closeIfEnding(const CallerSessionPtr &Session) {
  if (Session->IsEnding && isBetweenStatements(*Session))
    closeSession(Session);
}

bool SessionPipeline::isBetweenStatements(const CallerSession &Session) {
  return !Session.IsClosed && !Session.Current &&
         Session.PendingStatements.empty() && !Session.AdmissionDeadline &&
         Session.Phase == SessionPhase::Idle;
}

// Sessions that were open when the stop began are closed at a constant rate, so
// that their callers do not all reconnect to other proxies at once. That begins
// when the load balancer sends them elsewhere: before, they would come back.
// Sessions opened during the stop are in use; they are closed when new
// statements are refused.
void SessionPipeline::closeQuietSessions(Millis Now) {
  if (!Stop)
    return;
  std::size_t Remaining = 0;
  for (const auto &[Id, Each] : Sessions)
    Remaining += Id < FirstSessionOfStop ? 1 : 0;
  const std::size_t MayRemain = sessionsThatMayRemain(Now);
  const auto All = Sessions;
  for (const auto &[Id, Each] : All) {
    if (Now >= Stop->answersBy()) {
      if (!Each->Current && !Each->IsClosed) {
        rollBack(Each);
        closeSession(Each);
      }
      continue;
    }
    if (!isBetweenStatements(*Each) || Now - Each->QuietSince < QuietPeriod)
      continue;
    const bool IsDue = Id < FirstSessionOfStop && Remaining > MayRemain;
    if (!IsDue && !refusesNewWork(Each->Database))
      continue;
    if (Id < FirstSessionOfStop)
      --Remaining;
    closeSession(Each);
  }
}

std::size_t SessionPipeline::sessionsThatMayRemain(Millis Now) const {
  const Millis From = Stop->unnoticedUntil();
  const Millis Until = Stop->lastStart(plan().longestObjective());
  if (Now <= From)
    return SessionsAtStop;
  if (Now >= Until)
    return 0;
  return SessionsAtStop * static_cast<std::size_t>((Until - Now).count()) /
         static_cast<std::size_t>((Until - From).count());
}

} // namespace corianderdyke
