/// \file
/// How long statements may wait for a connection, and who is told at once that
/// it would take too long.
///
/// Load pattern: more comes than targets can do, for seconds.

#include "Pipeline/SessionPipeline.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// Part of its timeout that a statement may wait for a connection, or be
/// tried again. Less than half: a caller who is refused then has time for
/// another proxy, and what is started then has time to be answered.
constexpr std::int64_t WaitParts = 2; // of 5
constexpr std::int64_t TimeoutParts = 5;

/// A statement that waits for a connection for as long as its whole objective
/// is late already. Refused then, its caller has time for other proxies; held
/// to two fifths of the timeout, a burst makes all that waits run out of time.
/// Objectives of less than this are met by none that waits.
constexpr Millis LeastObjective(100);

/// Halves of a target's mean answer time that a statement needs after it was
/// sent: answers of one kind differ by several times.
constexpr std::int64_t AnswerMargin = 3;
/// Part of the time left for it that a statement may wait in the queue. With
/// all of it everyone who is served under overload has waited it out, and those
/// who were refused come back too late for another try.
constexpr std::int64_t QueuePart = 4;
/// For this long after a proxy's first plan, statements may wait for their
/// whole objective. After a loss of power all callers reconnect at once, before
/// the connections to targets are open: the queue is long, but it drains.
constexpr Millis ReturnLasts(800);
/// A statement may wait this long even where its objective is shorter than
/// what answers take: load changes within it.
constexpr Millis LeastWait(50);

} // namespace

void SessionPipeline::setWaitDeadlines(SessionJob &Job) {
  Job.WaitingSince = Job.ArrivedAt;
  Job.RetryDeadline =
      Job.ArrivedAt + Job.Route.StatementTimeout * WaitParts / TimeoutParts;
  Job.QueueDeadline =
      std::min(Job.RetryDeadline,
               Job.ArrivedAt + std::max(Job.Route.Objective, LeastObjective));
}

Millis SessionPipeline::remainingQueueTime(const SessionJob &Job) const {
  return std::max(effectiveQueueDeadline(Job) - Deps.Time.now(), Millis(0));
}

Millis SessionPipeline::effectiveQueueDeadline(const SessionJob &Job) const {
  const auto In = Groups.find(Job.Route.Group);
  const bool LacksLeader = Job.Destination == Placement::Primary &&
                           In != Groups.end() && In->second.Outage.isActive();
  if (LacksLeader || In == Groups.end())
    return LacksLeader ? Job.RetryDeadline : Job.QueueDeadline;
  const Millis Objective = Job.QueueDeadline - Job.ArrivedAt;
  Millis Wait = Objective;
  if (Deps.Time.now() >= FirstPlanAt + ReturnLasts) {
    // What is sent at the end of its objective is answered after it.
    const Millis Answer = answerTime(In->second, Job) * AnswerMargin / 2;
    Wait = std::max((Objective - Answer) / QueuePart,
                    std::min(Objective, LeastWait));
  }
  // Time spent on an earlier try whose answer was lost doesn't count as
  // waiting.
  return std::min(Job.WaitingSince + Wait,
                  std::max(Job.RetryDeadline, Job.ArrivedAt + Wait));
}

// Behind a gateway others count too: it gives each its turn.
bool SessionPipeline::isFull(const TargetPool &Pool) const {
  if (Pool.isShared())
    return false;
  const auto UnderWay = std::count_if(
      Running.begin(), Running.end(), [&Pool](const SessionJobPtr &Each) {
        return Each->Connection &&
               Each->Connection->address().Id == Pool.record().Id;
      });
  return !Pool.window().mayBegin(static_cast<std::size_t>(UnderWay));
}

bool SessionPipeline::refuseIfTooLate(Group &In, const SessionJobPtr &Job) {
  // How long a change of leader takes isn't told by the pace before it.
  if (Job->Destination == Placement::Primary && In.Outage.isActive())
    return false;
  const Millis Now = Deps.Time.now();
  std::size_t Ahead = 0;
  for (const SessionJobPtr &Each : In.Waiting) {
    if (Each == Job)
      break;
    Ahead += Each->Destination == Job->Destination ? 1 : 0;
  }
  const Millis Wait = In.forecast(*Job).expectedWait(Ahead, Now);
  if (Now + Wait <= effectiveQueueDeadline(*Job))
    return false;
  In.Waiting.remove(Job);
  finishRefused(Job,
                {RefusalCode::Busy, "too many wait; come back after " +
                                        std::to_string(Wait.count()) + " ms"},
                "queue longer than its objective");
  return true;
}

Millis SessionPipeline::answerTime(const Group &In,
                                   const SessionJob &Job) const {
  double Least = 0;
  for (const auto &[Id, Pool] : In.Pools) {
    if (Pool.record().IsGone ||
        (Job.Destination == Placement::Primary && Id != In.Primary))
      continue;
    const double Here = Pool.window().mean();
    Least = Least == 0 ? Here : std::min(Least, Here);
  }
  return Millis(static_cast<std::int64_t>(Least));
}

} // namespace corianderdyke
