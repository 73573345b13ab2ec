/// \file
/// Statements that miss their objective and may still be answered before their
/// timeout.

#include "Pipeline/SessionPipeline.h"

namespace corianderdyke {

namespace {

/// Limit for the tries of a late statement. Each further gateway or target
/// costs messages, and a late statement has little time left.
constexpr unsigned MaxLateTries = 3;
/// Longest recorded answer of a statement that may have waited late, in halves
/// of the usual answer time. Recorded whole, late waits would make every target
/// look slow, and the statements in time would be refused earlier.
constexpr std::int64_t MaxAnswerHalves = 3;

} // namespace

Millis SessionPipeline::latestStartOf(const SessionJob &Job) const {
  const auto FoundGroup = Groups.find(Job.Route.Group);
  return latestStart(Job.ArrivedAt, Job.Route.StatementTimeout,
                     FoundGroup == Groups.end()
                         ? Millis(0)
                         : answerTime(FoundGroup->second, Job));
}

std::size_t SessionPipeline::lateWidth(const Group &G,
                                       const SessionJob &Job) const {
  std::size_t Out = 0;
  for (const auto &[Id, Pool] : G.Pools)
    if (Job.Destination == Placement::Primary ? Id == G.Primary
                                              : !Pool.record().IsGone)
      Out += SlotShare{Pool.record().Slots, Proxies}.times(1, 1);
  return Out;
}

bool SessionPipeline::becomeLate(Group &G, SessionJob &Job) {
  // While no target leads, no departure predicts when one will.
  if (!Deps.Load.LateService ||
      (Job.Destination == Placement::Primary && G.Outage.isActive()))
    return false;
  const Millis Now = Deps.Time.now();
  const JobQueue::List &Jobs = G.Waiting.jobs();
  const auto Ahead = static_cast<std::size_t>(std::count_if(
      Jobs.begin(), Jobs.end(), [&Job](const SessionJobPtr &Each) {
        return Each->Class == ServiceClass::Late &&
               Each->Destination == Job.Destination &&
               Each->Route.Priority <= Job.Route.Priority;
      }));
  const Millis Wait =
      G.lateForecast(Job).expectedWait(Ahead, lateWidth(G, Job), Now);
  if (std::max(Now + Wait, Job.RetryAt) >= latestStartOf(Job))
    return false;
  Job.Class = ServiceClass::Late;
  return true;
}

// A gateway that could let the statement wait late and refused it as busy
// expects no capacity in time, nor would another gateway of a saturated target.
bool SessionPipeline::tryAgainLate(const SessionJobPtr &Job,
                                   const StatementRefusal &Refusal,
                                   Millis After) {
  if (!Deps.Load.LateService)
    return false;
  Group &G = Groups[Job->Route.Group];
  const bool IsFinal =
      Refusal.Code == RefusalCode::Busy && Job->MaxLateTime > Millis(0);
  Job->RetryAt = Deps.Time.now() + After;
  if (!IsFinal && Job->Tries <= MaxLateTries && becomeLate(G, *Job))
    return true;
  ++Counts.Late.Refused;
  return false;
}

Millis SessionPipeline::lateRetryAfter(Group &G, const SessionJob &Job) const {
  const JobQueue::List &Jobs = G.Waiting.jobs();
  const auto Ahead = static_cast<std::size_t>(std::count_if(
      Jobs.begin(), Jobs.end(), [&Job](const SessionJobPtr &Each) {
        return Each->Class == ServiceClass::Late &&
               Each->Destination == Job.Destination;
      }));
  return G.lateForecast(Job).retryAfter(Ahead, lateWidth(G, Job),
                                        Deps.Time.now());
}

void SessionPipeline::refuseAfterWait(Group &G, const SessionJobPtr &Job,
                                      const std::string &What,
                                      const std::string &Grounds) {
  ++Counts.Late.Refused;
  finishRefused(Job,
                {RefusalCode::Busy,
                 What + "; come back after " +
                     std::to_string(lateRetryAfter(G, *Job).count()) + " ms"},
                Grounds);
}

void SessionPipeline::recordIfFree(Group &G, const SessionJob &Job) const {
  const JobQueue::List &Jobs = G.Waiting.jobs();
  if (std::none_of(Jobs.begin(), Jobs.end(), [&Job](const SessionJobPtr &Each) {
        return Each->Destination == Job.Destination;
      }))
    G.lateForecast(Job).recordFree(Deps.Time.now());
}

void SessionPipeline::refuseUntried(const SessionJobPtr &Job,
                                    StatementRefusal Refusal) {
  if (Deps.Load.LateService && Refusal.Code == RefusalCode::Busy &&
      Refusal.Reason.find("come back after") == std::string::npos)
    Refusal.Reason +=
        "; come back after " +
        std::to_string(lateRetryAfter(Groups[Job->Route.Group], *Job).count()) +
        " ms";
  finishRefused(Job, std::move(Refusal), "no time for another try");
}

// Only a gateway lets a command wait.
void SessionPipeline::setQueueTimes(SessionJob &Job) const {
  Job.MaxQueueTime = remainingQueueTime(Job);
  Job.MaxLateTime = Millis(0);
  if (!Deps.Load.LateService || !Job.Connection || !Job.Connection->isShared())
    return;
  Job.MaxLateTime = std::max(
      latestStartOf(Job) - Deps.Time.now() - Job.MaxQueueTime, Millis(0));
}

// A gateway sends the statement itself once the transaction has opened, and
// SentAt is the time when both were sent to it: the time that the opening took
// is not part of the statement's answer time.
void SessionPipeline::handleWaitEnd(SessionJob &Job) const {
  const bool IsSentByGateway = Job.MaxLateTime > Millis(0) && Job.IsSent;
  Job.MaxQueueTime = IsSentByGateway ? Deps.Time.now() - Job.SentAt : Millis(0);
  Job.MaxLateTime = Millis(0);
}

Millis SessionPipeline::targetAnswerTime(const SessionJob &Job,
                                         TargetPool &From) const {
  const Millis Whole = Deps.Time.now() - Job.SentAt;
  if (!Deps.Load.LateService || !From.isShared())
    return Whole;
  const Millis Usual(static_cast<std::int64_t>(From.window().mean()) + 1);
  return std::min(Whole, Job.MaxQueueTime + Usual * MaxAnswerHalves / 2);
}

void SessionPipeline::countIfLate(const SessionJob &Job) {
  if (Job.Route.Objective == Millis(0) ||
      Deps.Time.now() <= Job.ArrivedAt + Job.Route.Objective)
    return;
  if (Job.Writes)
    ++Counts.WritesServedLate;
  else if (Job.Stmt.Kind != StatementKind::Commit)
    ++Counts.ReadsServedLate;
}

std::size_t SessionPipeline::lateWaiting() const {
  std::size_t Out = 0;
  for (const auto &[Name, Each] : Groups)
    for (const SessionJobPtr &Job : Each.Waiting.jobs())
      Out += Job->Class == ServiceClass::Late ? 1 : 0;
  return Out;
}

} // namespace corianderdyke
