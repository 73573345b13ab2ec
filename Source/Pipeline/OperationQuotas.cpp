/// \file
/// Operations get a permit within their organisation's quota before they look
/// for a target.
///
/// A short wait smooths what comes unevenly within the quota. What would wait
/// longer than its objective is refused at once, with the time at which the
/// quota has room again.

#include "Pipeline/SessionPipeline.h"

namespace corianderdyke {

bool SessionPipeline::beginOperation(const CallerSessionPtr &Session,
                                     const SessionJobPtr &Job) {
  if (Outside.Permits == nullptr ||
      !Outside.Permits->isLimited(Session->Organisation) ||
      (Session->Transaction && Session->Transaction->HasBegun))
    return true;
  Job->At = SessionJob::Stage::Waiting;
  Job->QueuedAt = Outside.Time.now();
  Job->Permit =
      Outside.Permits->ask(Session->Organisation, Job->QueueUntil,
                           [this, Job](std::optional<Millis> ComeBack) {
                             if (Job->At != SessionJob::Stage::Waiting)
                               return;
                             if (ComeBack)
                               refuseOverQuota(Job, *ComeBack);
                             else
                               beginPermitted(Job);
                           });
  return false;
}

void SessionPipeline::beginPermitted(const SessionJobPtr &Job) {
  const CallerSessionPtr Session = Job->Of.lock();
  if (!Session)
    return;
  if (Session->Transaction)
    Session->Transaction->HasBegun = true;
  const Millis Now = Outside.Time.now();
  // It waited for the quota, not in a target's queue; floors are younger now.
  if (Now > Job->QueuedAt) {
    Job->WaitsSince = Now;
    place(*Session, *Job);
  }
  seekTarget(Job);
}

void SessionPipeline::refuseOverQuota(const SessionJobPtr &Job,
                                      Millis ComeBack) {
  ++Counts.OverQuota;
  finishRefused(Job,
                {RefusalCode::Busy,
                 "the organisation is over its quota; come back after " +
                     std::to_string(ComeBack.count()) + " ms"},
                "over quota");
}

void SessionPipeline::stopWaitingForPermit(const SessionJobPtr &Job) {
  if (Job->Permit != 0)
    Outside.Permits->cancel(Job->Permit);
}

} // namespace corianderdyke
