/// \file
/// Limits how long statements wait for a connection, and refuses those at once
/// that would wait too long.
///
/// The limits apply when, for seconds, more statements arrive than the targets
/// can serve.

#include "Pipeline/SessionPipeline.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// Part of its timeout during which a statement may wait for a connection or be
/// retried. Less than half: a refused caller then has time for another proxy,
/// and a statement that is sent has time to be answered.
constexpr std::int64_t WaitParts = 2; // Of TimeoutParts.
constexpr std::int64_t TimeoutParts = 5;

/// Shortest objective that limits the wait; no statement that waits meets a
/// shorter one. A statement that waits for a connection for its whole objective
/// is already late. If it is refused then, its caller has time for other
/// proxies; if it may wait for two fifths of the timeout, all statements that
/// wait in a burst time out.
constexpr Millis MinObjective(100);

/// Time that a statement needs after it was sent, in halves of the target's
/// mean answer time: answers of one kind differ by several times.
constexpr std::int64_t AnswerMargin = 3;
/// A statement may wait in the queue for the time left divided by this. If it
/// may wait for all of it, every statement that is served under overload has
/// waited that long, and callers that are refused retry too late.
constexpr std::int64_t QueueDivisor = 4;
/// For this long after a proxy's first plan, statements may wait for their
/// whole objective. After a power failure all callers reconnect at once, before
/// the connections to targets are open: the queue is long, but it drains.
constexpr Millis StartupPeriod(800);
/// A statement may wait this long even if its objective is shorter than the
/// usual answer time: the load changes within this time.
constexpr Millis MinWait(50);

} // namespace

void SessionPipeline::setWaitDeadlines(SessionJob &Job) {
  Job.WaitingSince = Job.ArrivedAt;
  Job.RetryDeadline =
      Job.ArrivedAt + Job.Route.StatementTimeout * WaitParts / TimeoutParts;
  Job.QueueDeadline =
      std::min(Job.RetryDeadline,
               Job.ArrivedAt + std::max(Job.Route.Objective, MinObjective));
}

Millis SessionPipeline::remainingQueueTime(const SessionJob &Job) const {
  return std::max(effectiveQueueDeadline(Job) - Deps.Time.now(), Millis(0));
}

Millis SessionPipeline::effectiveQueueDeadline(const SessionJob &Job) const {
  const auto FoundGroup = Groups.find(Job.Route.Group);
  const bool LacksLeader = Job.Destination == Placement::Primary &&
                           FoundGroup != Groups.end() &&
                           FoundGroup->second.Outage.isActive();
  if (LacksLeader || FoundGroup == Groups.end())
    return LacksLeader ? Job.RetryDeadline : Job.QueueDeadline;
  const Millis Objective = Job.QueueDeadline - Job.ArrivedAt;
  Millis Wait = Objective;
  if (Deps.Time.now() >= FirstPlanAt + StartupPeriod) {
    // A statement that is sent at the end of its objective is answered after
    // it.
    const Millis Answer =
        answerTime(FoundGroup->second, Job) * AnswerMargin / 2;
    Wait = std::max((Objective - Answer) / QueueDivisor,
                    std::min(Objective, MinWait));
  }
  // Time spent on an earlier try whose answer was lost does not count as
  // waiting.
  return std::min(Job.WaitingSince + Wait,
                  std::max(Job.RetryDeadline, Job.ArrivedAt + Wait));
}

// A gateway schedules the statements of all proxies itself.
bool SessionPipeline::isFull(const TargetPool &Pool) const {
  if (Pool.isShared())
    return false;
  const auto InFlight = std::count_if(
      Running.begin(), Running.end(), [&Pool](const SessionJobPtr &Each) {
        return Each->Connection &&
               Each->Connection->address().Id == Pool.record().Id;
      });
  return !Pool.window().mayBegin(static_cast<std::size_t>(InFlight));
}

bool SessionPipeline::refuseIfTooLate(Group &G, const SessionJobPtr &Job) {
  // The departure rate before a change of leader does not predict how long the
  // change takes.
  if (Job->Destination == Placement::Primary && G.Outage.isActive())
    return false;
  // A late statement was admitted by its own forecast.
  if (Job->Class == ServiceClass::Late)
    return false;
  const Millis Now = Deps.Time.now();
  std::size_t Ahead = 0;
  for (const SessionJobPtr &Each : G.Waiting.jobs()) {
    if (Each == Job)
      break;
    Ahead += Each->Destination == Job->Destination ? 1 : 0;
  }
  const Millis Wait = G.forecast(*Job).expectedWait(Ahead, Now);
  if (Now + Wait <= effectiveQueueDeadline(*Job))
    return false;
  G.Waiting.remove(Job);
  if (becomeLate(G, *Job)) {
    G.Waiting.insert(Job);
    return false;
  }
  if (Deps.Load.LateService) {
    refuseAfterWait(G, Job, "too many wait", "queue longer than its objective");
    return true;
  }
  finishRefused(Job,
                {RefusalCode::Busy, "too many wait; come back after " +
                                        std::to_string(Wait.count()) + " ms"},
                "queue longer than its objective");
  return true;
}

Millis SessionPipeline::answerTime(const Group &G,
                                   const SessionJob &Job) const {
  double Minimum = 0;
  for (const auto &[Id, Pool] : G.Pools) {
    if (Pool.record().IsGone ||
        (Job.Destination == Placement::Primary && Id != G.Primary))
      continue;
    const double Mean = Pool.window().mean();
    Minimum = Minimum == 0 ? Mean : std::min(Minimum, Mean);
  }
  return Millis(static_cast<std::int64_t>(Minimum));
}

} // namespace corianderdyke
