/// \file
/// Gets a permit within the organisation's quota for each operation before the
/// operation gets a target.
///
/// Short waits smooth bursts within the quota. An operation that would wait
/// longer than its objective is refused at once, with the time at which the
/// quota has permits again.

#include "Pipeline/SessionPipeline.h"

namespace corianderdyke {

bool SessionPipeline::beginOperation(const CallerSessionPtr &Session,
                                     const SessionJobPtr &Job) {
  if (Deps.Permits == nullptr ||
      !Deps.Permits->isLimited(Session->Organisation) ||
      (Session->Transaction && Session->Transaction->IsCountedInQuota))
    return true;
  Job->CurrentStage = SessionJob::Stage::Waiting;
  Job->QueuedAt = Deps.Time.now();
  Job->PermitRequestId = Deps.Permits->requestPermit(
      Session->Organisation, Job->QueueDeadline,
      [this, Job](std::optional<Millis> RetryAfter) {
        if (Job->CurrentStage != SessionJob::Stage::Waiting)
          return;
        if (RetryAfter)
          refuseOverQuota(Job, *RetryAfter);
        else
          beginPermitted(Job);
      });
  return false;
}

void SessionPipeline::beginPermitted(const SessionJobPtr &Job) {
  const CallerSessionPtr Session = Job->Session.lock();
  if (!Session)
    return;
  if (Session->Transaction)
    Session->Transaction->IsCountedInQuota = true;
  const Millis Now = Deps.Time.now();
  // The operation waited for its quota, not in the queue of a target; newer
  // floors may be known now.
  if (Now > Job->QueuedAt) {
    Job->WaitingSince = Now;
    choosePlacement(*Session, *Job);
  }
  enqueueOrWaitForFloor(Job);
}

void SessionPipeline::refuseOverQuota(const SessionJobPtr &Job,
                                      Millis RetryAfter) {
  ++Counts.OverQuota;
  finishRefused(Job,
                {RefusalCode::Busy,
                 "the organisation is over its quota; come back after " +
                     std::to_string(RetryAfter.count()) + " ms"},
                "over quota");
}

void SessionPipeline::stopWaitingForPermit(const SessionJobPtr &Job) {
  if (Job->PermitRequestId != 0)
    Deps.Permits->cancel(Job->PermitRequestId);
}

} // namespace corianderdyke
