/// \file
/// Asks lagging replicas for their positions while reads need them.
///
/// A replica that lacks the floors of reads gets no reads, so no answers tell
/// when it has caught up. An opening of a read transaction and its rollback
/// take none of its slots and return its position. The processes that probe
/// take turns, so that all together send one probe per interval; their answers
/// to other proxies pass on the positions (RelayServer).

#include "Pipeline/SessionPipeline.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// Interval of the probes of all processes together. A replica that has caught
/// up is known to have within this and the time that a probe takes.
constexpr Millis ProbeInterval(100);
/// A replica whose log does not advance for long is probed less often: at
/// intervals of the time that it has not advanced, divided by this. A record
/// that is delayed holds the log up for about 10 s, so within that time the
/// shortest interval applies.
constexpr std::int64_t StallDivisor = 100;
constexpr Millis MaxProbeInterval(1600);
/// Probes end this long after the last read that lacked a replica: a proxy in a
/// large system has a read of a group every second.
constexpr Millis ShortagePeriod(2000);
/// A shortage is reported once it has lasted for this long: shorter ones are
/// usual after a start, before the first answers.
constexpr Millis ReportAfter(500);
/// A probe without an answer for this long is lost: a round trip takes a few
/// milliseconds.
constexpr Millis ProbeTimeout(200);
/// How long a probe may wait at a gateway for one of the shared connections.
constexpr Millis MaxProbeQueueTime(60);
/// Pause before looking again for a connection that a probe can use.
constexpr Millis ConnectionPause(20);

} // namespace

void SessionPipeline::recordShortage(Group &G, const SessionJob &Job,
                                     Millis Now) {
  // A healthy replica lacks the session's own commit for a moment too.
  if (Deps.Replicas == nullptr || Job.IsFloorOwnCommit || !Job.Floor)
    return;
  FloorShortage &Shortage = G.Shortage;
  if (Now - Shortage.LastAt > ShortagePeriod) {
    Shortage.Since = Now;
    ReplicaTimer.requestWithin(Millis(0));
  }
  Shortage.LastAt = Now;
  Shortage.Floor = *Job.Floor;
  if (Now - std::max(Shortage.Since, Shortage.EndReportedAt) >= ReportAfter &&
      !std::exchange(Shortage.IsReported, true))
    ReplicasBehind.emit(Job.Route.Group, true);
}

void SessionPipeline::probeReplicas() {
  const Millis Now = Deps.Time.now();
  for (auto &[Name, Each] : Groups) {
    // Lost probes are given up also after the shortage: each keeps a
    // connection busy.
    for (auto &[Id, Probe] : Each.ReplicaProbes) {
      if (Probe.Connection && Now - Probe.SentAt >= ProbeTimeout) {
        const TargetConnectionPtr Lost =
            std::exchange(Probe.Connection, nullptr);
        if (Lost->stage() != TargetConnection::Stage::Closed)
          discard(Lost);
      }
      if (Probe.Connection)
        ReplicaTimer.requestWithin(ProbeTimeout);
    }
    if (Now - Each.Shortage.LastAt <= ShortagePeriod)
      ReplicaTimer.requestWithin(probeGroup(Name, Each, Now));
  }
}

Millis SessionPipeline::probeGroup(const std::string &Name, Group &G,
                                   Millis Now) {
  Millis Next = ProbeInterval;
  const auto Turn = Deps.Targets.probeTurn(Name, G.Primary);
  if (!Turn)
    return ShortagePeriod;
  const auto Count =
      static_cast<std::int64_t>(Turn->Count == 0 ? Proxies : Turn->Count);
  for (auto &[Id, Pool] : G.Pools) {
    const ReplicaProgress *Progress = Deps.Replicas->find(Name, Id);
    ReplicaProbe &Probe = G.ReplicaProbes[Id];
    if (Id == G.Primary || Probe.Connection || Progress == nullptr ||
        !Pool.acceptsNewWork(Now) || Pool.isBackingOff(Now) ||
        Progress->holdsNow(G.Shortage.Floor))
      continue;
    // The processes begin their turns one interval apart.
    Probe.NextAt =
        std::max(Probe.NextAt,
                 G.Shortage.Since +
                     ProbeInterval * static_cast<std::int64_t>(Turn->Rank));
    if (Now < Probe.NextAt) {
      Next = std::min(Next, Probe.NextAt - Now);
    } else if (probeReplica(Name, Pool, Probe, Now)) {
      const Millis Interval = std::clamp(Progress->stalledFor() / StallDivisor,
                                         ProbeInterval, MaxProbeInterval) *
                              Count;
      // Whole intervals after the last turn, so that the processes stay apart.
      Probe.NextAt +=
          Interval * ((Now - Probe.NextAt).count() / Interval.count() + 1);
    } else {
      Next = std::min(Next, ConnectionPause);
    }
  }
  return Next;
}

bool SessionPipeline::probeReplica(const std::string &Name, TargetPool &Pool,
                                   ReplicaProbe &Probe, Millis Now) {
  const TargetConnectionPtr Connection = Pool.idleForInternalUse();
  if (!Connection) {
    // A dedicated connection would take a slot of the target to open.
    if (Pool.isShared() && mayOpen(Pool, "") && Pool.opening("") == 0)
      openConnection(Name, Pool, {.IsInternal = true});
    return false;
  }
  Connection->setBusy(true, Now);
  Probe.Connection = Connection;
  Probe.SentAt = Now;
  std::vector<TargetConnection::Step> Steps;
  Steps.push_back({{.Operation = TargetCommand::Kind::BeginRead,
                    .MaxQueueTime = MaxProbeQueueTime},
                   [this, Connection, Now](const StatementAnswer &Answer) {
                     handleReplicaAnswer(Connection, Now, Answer);
                   }});
  Steps.push_back(makeRollbackStep(Connection));
  Connection->send(std::move(Steps));
  return true;
}

// Waiting reads are assigned when the rollback releases the connection.
void SessionPipeline::handleReplicaAnswer(const TargetConnectionPtr &Connection,
                                          Millis SentAt,
                                          const StatementAnswer &Answer) {
  const std::string &Name = Connection->address().Group;
  const std::string &Id = Connection->address().Id;
  if (Answer.Position)
    Deps.Replicas->recordAnswer(Name, Id, *Answer.Position, SentAt,
                                Deps.Time.now());
  ReplicaProbe &Probe = Groups[Name].ReplicaProbes[Id];
  if (Probe.Connection == Connection)
    Probe.Connection.reset();
}

} // namespace corianderdyke
