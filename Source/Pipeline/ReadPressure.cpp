/// \file
/// Counts reads that a leader refuses or serves late while all replicas lag.

#include "Pipeline/SessionPipeline.h"

namespace corianderdyke {

bool SessionPipeline::isReadBelowPrimary(const SessionJob &Job) const {
  const CallerSessionPtr Session = Job.Session.lock();
  const bool MayWrite =
      Job.Writes || !Session ||
      (Session->Transaction && !Session->Transaction->IsReadOnly);
  return !MayWrite && Job.Route.Reads != Freshness::Primary;
}

bool SessionPipeline::lagsEverywhere(const SessionJob &Job) const {
  // The progress of replicas tells that none holds the read's floor.
  if (Job.LacksReplica)
    return true;
  const auto Found = Groups.find(Job.Route.Group);
  if (Found == Groups.end() || Found->second.Primary.empty())
    return false;
  const Millis Now = Deps.Time.now();
  std::size_t Replicas = 0;
  for (const auto &[Id, Pool] : Found->second.Pools) {
    if (Id == Found->second.Primary || Pool.record().IsGone ||
        Pool.record().IsLeaving)
      continue;
    ++Replicas;
    if (!Pool.lag().isBackingOff(Now) && Job.LaggingTargets.count(Id) == 0)
      return false;
  }
  return Replicas > 0;
}

// A replica is skipped for as little as 100 ms after it refused a read, less
// than a read may wait at a saturated leader.
void SessionPipeline::recordLag(SessionJob &Job) const {
  if (!ReadPressure.empty())
    Job.HaveAllLagged = isReadBelowPrimary(Job) && lagsEverywhere(Job);
}

void SessionPipeline::recordRefusedRead(const SessionJob &Job,
                                        const StatementRefusal &Why) {
  if (!ReadPressure.empty() && Why.Code == RefusalCode::Busy &&
      (Job.HaveAllLagged || (isReadBelowPrimary(Job) && lagsEverywhere(Job))))
    ReadPressure.emit(Job.Route.Group, true);
}

void SessionPipeline::recordServedRead(const SessionJob &Job,
                                       const std::string &Target) {
  if (ReadPressure.empty() ||
      Deps.Time.now() <= Job.ArrivedAt + Job.Route.Objective)
    return;
  const auto Found = Groups.find(Job.Route.Group);
  if (Found != Groups.end() && Found->second.Primary == Target &&
      (Job.HaveAllLagged || (isReadBelowPrimary(Job) && lagsEverywhere(Job))))
    ReadPressure.emit(Job.Route.Group, false);
}

} // namespace corianderdyke
