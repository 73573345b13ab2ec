/// \file
/// Chooses replicas for reads by what is known of their logs.

#include "Pipeline/SessionPipeline.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// A read may be sent this long before the replica is expected to hold its
/// floor. An expectation further ahead is less certain than a refusal is
/// cheap.
constexpr Millis MaxLookahead(50);
/// The target checks the floor before it executes the read, which is about this
/// part of the usual answer time after the read was sent.
constexpr std::int64_t ArrivalDivisor = 2;

} // namespace

ReplicaReadiness SessionPipeline::readiness(const Group &G,
                                            const TargetPool &Pool,
                                            const SessionJob &Job,
                                            Millis Now) const {
  if (Deps.Replicas == nullptr)
    return Pool.lag().isBackingOff(Now) ? ReplicaReadiness::Behind
                                        : ReplicaReadiness::Ready;
  const std::string &Id = Pool.record().Id;
  const ReplicaProgress *Progress = Deps.Replicas->find(Job.Route.Group, Id);
  if (!Job.Floor || Id == G.Primary || Progress == nullptr)
    return ReplicaReadiness::Ready;
  const Millis Way(static_cast<std::int64_t>(Pool.window().mean()) /
                   ArrivalDivisor);
  return Progress->readiness(*Job.Floor, Now + std::min(Way, MaxLookahead),
                             Now);
}

void SessionPipeline::recordAssignment(Group &G, SessionJob &Job,
                                       const TargetPool &Pool, Millis Now) {
  if (Deps.Replicas == nullptr)
    return;
  if (Pool.record().Id == G.Primary) {
    Counts.ReadsLackingReplica += Job.LacksReplica ? 1 : 0;
    return;
  }
  if (Job.Destination != Placement::AnyFresh)
    return;
  Job.IsReplicaTrial = readiness(G, Pool, Job, Now) == ReplicaReadiness::MayTry;
  if (Job.IsReplicaTrial)
    Deps.Replicas->find(Job.Route.Group, Pool.record().Id)->beginTrial(Now);
  else if (!Job.IsFloorOwnCommit &&
           std::exchange(G.Shortage.IsReported, false)) {
    G.Shortage.EndReportedAt = Now;
    ReplicasBehind.emit(Job.Route.Group, false);
  }
}

void SessionPipeline::recordReplicaAnswer(SessionJob &Job,
                                          const std::string &Target,
                                          const StatementAnswer &Answer) {
  const bool IsTrial = std::exchange(Job.IsReplicaTrial, false);
  ReplicaProgress *Progress = Deps.Replicas->find(Job.Route.Group, Target);
  if (Progress == nullptr)
    return;
  const Millis Now = Deps.Time.now();
  if (Answer.Position)
    Progress->recordAnswer(*Answer.Position, Job.SentAt, Now);
  else if (Answer.Refusal && Answer.Refusal->Code == RefusalCode::Lagging &&
           Job.Floor)
    Progress->recordLagging(*Job.Floor, Now);
  else if (IsTrial)
    Progress->endTrial();
}

std::vector<ReplicaStatus> SessionPipeline::replicas() const {
  std::vector<ReplicaStatus> Out;
  if (Deps.Replicas == nullptr)
    return Out;
  const Millis Now = Deps.Time.now();
  for (const auto &[Name, Each] : Groups)
    for (const auto &[Id, Pool] : Each.Pools) {
      const ReplicaProgress *Progress = Deps.Replicas->find(Name, Id);
      if (Id != Each.Primary && Progress != nullptr && Progress->latest())
        Out.push_back({Id, Progress->latest()->Position, Progress->rate(Now)});
    }
  return Out;
}

} // namespace corianderdyke
