/// \file
/// Gets floors from leaders for the reads that wait for one.
///
/// If many proxies each have few statements for a group, or all of them have
/// just started, none has had a recent answer from the leader. Without a recent
/// floor every bounded read would run at the leader, where the writes run. An
/// opening and its rollback take none of the target's slots and return the same
/// position, once for all reads that wait.

#include "Pipeline/SessionPipeline.h"

namespace corianderdyke {

namespace {

/// Reads run at the leader if the probe is not answered within this time: a
/// round trip takes a few milliseconds.
constexpr Millis ProbeTimeout(60);

} // namespace

void SessionPipeline::waitForFloor(const SessionJobPtr &Job) {
  Job->CurrentStage = SessionJob::Stage::Waiting;
  Job->QueuedAt = Deps.Time.now();
  Job->HasAskedForFloor = true;
  const std::string &Name = Job->Route.Group;
  Groups[Name].AwaitingFloor.push_back(Job);
  if (!Groups[Name].Probe.Connection)
    askForFloor(Name);
  Ticker.requestWithin(WaitingInterval);
}

void SessionPipeline::askForFloor(const std::string &Name) {
  Group &G = Groups[Name];
  const Millis Now = Deps.Time.now();
  const auto Leader = G.Pools.find(G.Primary);
  if (Leader == G.Pools.end())
    return endProbe(Name);
  TargetPool &Pool = Leader->second;
  if (Pool.isBackingOff(Now) || !Pool.mayBePrimary(Now) ||
      !Pool.acceptsNewWork(Now))
    return endProbe(Name);
  const TargetConnectionPtr Connection = Pool.idleForInternalUse();
  if (!Connection) {
    // A link to shared connections opens at once; a dedicated connection would
    // take a slot of the target, which the read itself can use instead.
    if (!Pool.isShared() || !mayOpen(Pool, ""))
      return endProbe(Name);
    if (Pool.opening("") == 0)
      openConnection(Name, Pool, {.IsInternal = true});
    return;
  }
  Connection->setBusy(true, Now);
  G.Probe = {Connection, Now};
  probeLead(Connection, ProbeTimeout,
            [this, Name, Connection](std::optional<LogPosition> Position) {
              handleFloorAnswer(Name, Connection, Position);
            });
}

void SessionPipeline::handleFloorAnswer(const std::string &Name,
                                        const TargetConnectionPtr &Connection,
                                        std::optional<LogPosition> Position) {
  Group &G = Groups[Name];
  if (Position && !Deps.Floors.isRegression(Name, *Position, G.Probe.SentAt))
    Deps.Floors.record(Name, *Position, G.Probe.SentAt, Deps.Time.now());
  if (G.Probe.Connection == Connection)
    endProbe(Name);
}

void SessionPipeline::endProbe(const std::string &Name) {
  Group &G = Groups[Name];
  G.Probe.Connection.reset();
  for (const SessionJobPtr &Job : std::exchange(G.AwaitingFloor, {})) {
    const CallerSessionPtr Session = Job->Session.lock();
    if (!Session || Job->CurrentStage != SessionJob::Stage::Waiting)
      continue;
    // The read waited for the floor, not in the queue. A lost probe takes
    // longer than a statement may wait in the queue, so its reads would be
    // refused without a single try.
    Job->WaitingSince = Deps.Time.now();
    choosePlacement(*Session, *Job);
    enqueue(Job);
  }
}

void SessionPipeline::expireProbe(const std::string &Name, Group &G,
                                  Millis Now) {
  if (G.AwaitingFloor.empty() ||
      Now - G.AwaitingFloor.front()->QueuedAt < ProbeTimeout)
    return;
  if (G.Probe.Connection)
    discard(G.Probe.Connection);
  endProbe(Name);
}

} // namespace corianderdyke
