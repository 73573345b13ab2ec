/// \file
/// Assigns connections to targets to the statements that wait for them.

#include "Pipeline/SessionPipeline.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// Least share of a target's connections that one proxy gets.
constexpr std::size_t MinShare = 1;
/// Added cost of a target in another failure domain, in units of one statement
/// in flight there: the round trip between failure domains costs time and
/// traffic.
constexpr double DistanceCost = 3;
/// Added cost of a replica that was behind the floor in its last answer: it
/// would refuse the read, which costs a round trip.
constexpr double BehindCost = 3;
/// How long a statement waits for a connection in use before another is opened:
/// most statements end sooner.
constexpr Millis WaitBeforeOpening(10);
/// Added cost of the primary for reads that a replica can serve. A read saves
/// less by a primary in its own failure domain than a write behind it loses,
/// since writes can run nowhere else. With a cost below DistanceCost, a third
/// of the reads run at the primary: with 300 proxies, 8.1 of 100 operations
/// that need the primary are late instead of 6.1.
constexpr double PrimaryCost = DistanceCost + 1;
/// Mean answer time of a target, in milliseconds, that costs as much as one
/// statement in flight there.
constexpr double LatencyUnit = 15;

} // namespace

void SessionPipeline::adopt(const RoutePlan &New) {
  // Older plans are ignored: callers have already seen the newer one.
  if (New.Version <= plan().Version)
    return;
  if (plan().Version == 0)
    FirstPlanAt = Deps.Time.now();
  Plan.set(New);
  Organisations = OrganisationTable(plan());
  setProxyCount(Proxies);
  revokeSessions();
  admitPendingOpenings();
}

void SessionPipeline::setProxyCount(std::size_t Count) {
  Proxies = std::max<std::size_t>(Count, 1);
  for (auto &[Name, Each] : Groups) {
    const GroupPolicy *Policy = Plan.group(Name);
    if (Policy == nullptr)
      continue;
    const std::size_t Usable = Policy->usableConnections();
    const bool IsShared = Deps.Targets.sharesConnections(Name);
    for (auto &[Id, Pool] : Each.Pools) {
      Pool.setShare(std::max(MinShare, Usable / Proxies));
      Pool.setPerOrganisation(!plan().Organisations.empty());
      Pool.setShared(IsShared, Deps.Time.now());
    }
  }
}

void SessionPipeline::updateTargets(const TargetDirectory &Directory) {
  const Millis Now = Deps.Time.now();
  for (const TargetRecord &Each : Directory.all()) {
    // The plan does not declare the group: a heartbeat alone opens no
    // connection.
    if (Plan.group(Each.Group) == nullptr && Groups.count(Each.Group) == 0)
      continue;
    Group &G = Groups[Each.Group];
    const auto Pool = G.Pools.find(Each.Id);
    if (Pool == G.Pools.end()) {
      if (!Each.IsGone)
        G.Pools.emplace(Each.Id, TargetPool(Each, MinShare, Now));
      continue;
    }
    if (Pool->second.isNewIncarnation(Each))
      closeStaleConnections(Each.Group, Pool->second);
    Pool->second.update(Each, Now);
  }
  if (Deps.Replicas != nullptr)
    for (const TargetRecord &Each : Directory.all())
      Deps.Replicas->update(Each, Now);
  for (auto &[Name, Each] : Groups) {
    adoptPrimary(Name, Each, Directory);
    for (auto &[Id, Pool] : Each.Pools) {
      Pool.maintain(Now);
      warmUp(Name, Pool, Now);
      if (Pool.hasEnded())
        Ticker.requestWithin(WaitingInterval);
    }
  }
  setProxyCount(Proxies);
  std::vector<std::string> Names;
  for (const auto &[Name, Each] : Groups)
    Names.push_back(Name);
  for (const std::string &Name : Names)
    dispatchWaiting(Name);
}

// A target may restart under its id before its failure is detected. Statements
// that wait on a connection of the earlier incarnation would never be answered,
// so they are failed now.
void SessionPipeline::closeStaleConnections(const std::string &GroupName,
                                            TargetPool &Pool) {
  for (const TargetConnectionPtr &Each : Pool.closeAll())
    handleClosed(GroupName, Each, std::nullopt);
}

std::vector<PoolReport> SessionPipeline::pools() const {
  std::vector<PoolReport> Out;
  for (const auto &[Name, Each] : Groups)
    for (const auto &[Id, Pool] : Each.Pools)
      Out.push_back({Id, Pool.size(), Pool.busy()});
  return Out;
}

void SessionPipeline::dispatchWaiting(const std::string &Name) {
  Group &G = Groups[Name];
  if (G.IsDispatching)
    return;
  G.IsDispatching = true;
  const Millis Now = Deps.Time.now();
  JobQueue::Pass Pass(G.Waiting);
  while (const SessionJobPtr Job = Pass.next()) {
    if (Job->RetryAt > Now || !assign(G, Job))
      continue;
    Pass.removeCurrent();
    if (Job->Class == ServiceClass::Late) {
      ++Counts.Late.Started;
      G.lateForecast(*Job).recordStart(G.waiting(*Job), Now);
    } else {
      G.forecast(*Job).recordDeparture(G.waiting(*Job), Now);
      recordIfFree(G, *Job);
    }
    const TargetConnectionPtr Connection = Job->Connection;
    run(Job, Connection);
  }
  G.IsDispatching = false;
}

std::vector<TargetPool *> SessionPipeline::candidates(Group &G,
                                                      SessionJob &Job) {
  const Millis Now = Deps.Time.now();
  std::vector<TargetPool *> Out;
  bool HasReplica = false;
  bool IsReplicaBehind = false;
  for (auto &[Id, Pool] : G.Pools) {
    const TargetRecord &Record = Pool.record();
    if (Record.IsGone)
      continue;
    // No gateway reaches the target at the moment.
    if (Pool.isShared() && Pool.isBackingOff(Now))
      continue;
    // A leaving primary serves until another one is promoted, or until shortly
    // before the end of the time that it was promised.
    if (Job.Destination == Placement::Primary &&
        (Id != G.Primary || !Pool.mayBePrimary(Now) ||
         !Pool.acceptsNewWork(Now)))
      continue;
    if (Job.Destination == Placement::AnyFresh) {
      const bool IsBehind =
          readiness(G, Pool, Job, Now) == ReplicaReadiness::Behind;
      IsReplicaBehind = IsReplicaBehind || IsBehind;
      if (Record.IsLeaving || IsBehind || Job.ExcludedTargets.count(Id) != 0)
        continue;
      HasReplica = HasReplica || Id != G.Primary;
    }
    Out.push_back(&Pool);
  }
  if (Job.Destination == Placement::AnyFresh)
    Job.LacksReplica = IsReplicaBehind && !HasReplica;
  if (Job.Destination == Placement::AnyFresh && Out.size() > 1)
    excludeCongestedPrimary(G, Out);
  return cheapestFirst(G, Out, Job, Now);
}

// Each cost is computed once: it changes with time, and a sort whose order
// changes while it runs reads out of bounds.
std::vector<TargetPool *>
SessionPipeline::cheapestFirst(const Group &G,
                               const std::vector<TargetPool *> &Candidates,
                               const SessionJob &Job, Millis Now) const {
  std::vector<std::pair<double, TargetPool *>> Ranked;
  Ranked.reserve(Candidates.size());
  for (TargetPool *Each : Candidates)
    Ranked.emplace_back(cost(G, *Each, Job, Now), Each);
  std::stable_sort(Ranked.begin(), Ranked.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first < Right.first;
                   });
  std::vector<TargetPool *> Out;
  Out.reserve(Ranked.size());
  for (const auto &[Cost, Each] : Ranked)
    Out.push_back(Each);
  return Out;
}

// In a burst of reads and writes, reads have several targets and statements for
// the leader have one: each read at the leader delays writes that no other
// target can run.
void SessionPipeline::excludeCongestedPrimary(
    const Group &G, std::vector<TargetPool *> &Candidates) {
  Candidates.erase(std::remove_if(Candidates.begin(), Candidates.end(),
                                  [&G](const TargetPool *Each) {
                                    return Each->record().Id == G.Primary &&
                                           Each->window().isCongested();
                                  }),
                   Candidates.end());
}

double SessionPipeline::cost(const Group &G, const TargetPool &Pool,
                             const SessionJob &Job, Millis Now) const {
  double Out =
      static_cast<double>(Pool.busy()) + Pool.window().mean() / LatencyUnit;
  if (Pool.record().FailureDomain != OwnLocality.FailureDomain)
    Out += DistanceCost;
  if (Job.Floor && Pool.lag().isBehind(*Job.Floor, Now))
    Out += BehindCost;
  if (Pool.record().Id == G.Primary)
    Out += PrimaryCost;
  return Out;
}

bool SessionPipeline::assign(Group &G, const SessionJobPtr &Job) {
  const Millis Now = Deps.Time.now();
  const CallerSessionPtr Session = Job->Session.lock();
  if (!Session)
    return false;
  std::vector<TargetPool *> Choices = candidates(G, *Job);
  if (Job->LacksReplica && Job->Destination == Placement::AnyFresh)
    recordShortage(G, *Job, Now);
  if (Choices.empty() && Job->Destination == Placement::AnyFresh) {
    // All replicas refused the read, or none is left.
    Job->Destination = Placement::Primary;
    Job->Floor.reset();
    Choices = candidates(G, *Job);
  }
  if (Choices.empty() ||
      (Job->Destination == Placement::Primary && Choices.front()->size() == 0 &&
       Choices.front()->isBackingOff(Now)))
    G.Outage.recordNoPrimary(Now);
  // Opens a connection to the cheapest target even while another target has an
  // idle one; otherwise callers would stay with the distant target.
  const Millis Waited = Now - Job->QueuedAt;
  Choices.erase(
      std::remove_if(Choices.begin(), Choices.end(),
                     [this](const TargetPool *Each) { return isFull(*Each); }),
      Choices.end());
  const std::string &Organisation = Session->Organisation;
  if (!Choices.empty() && !Choices.front()->idle(Organisation, Session->Values))
    openIfAllowed(Job->Route.Group, *Choices.front(), Organisation, Waited);
  // Its session may have ended meanwhile.
  if (Job->CurrentStage != SessionJob::Stage::Waiting)
    return false;
  for (TargetPool *Pool : Choices) {
    if (const TargetConnectionPtr Free =
            Pool->idle(Organisation, Session->Values)) {
      Free->setBusy(true, Now);
      Job->Connection = Free;
      recordAssignment(G, *Job, *Pool, Now);
      return true;
    }
  }
  // One opening connection serves all waiting statements: each costs the target
  // a slot.
  for (TargetPool *Pool : Choices)
    if (Pool->opening(Organisation) > 0 ||
        openIfAllowed(Job->Route.Group, *Pool, Organisation, Waited))
      break;
  return false;
}

bool SessionPipeline::mayOpen(const TargetPool &Pool,
                              const std::string &Organisation) const {
  return Deps.Targets.isShareKnown() &&
         Pool.mayOpen(Organisation, Deps.Time.now());
}

// Callers arrive at all proxies at the same time, and opening a connection
// takes longer than most statements.
void SessionPipeline::warmUp(const std::string &GroupName, TargetPool &Pool,
                             Millis Now) {
  if (plan().Version == 0 || Pool.isShared() || Pool.opening() > 0 ||
      !Pool.acceptsNewWork(Now) || !mayOpen(Pool, ""))
    return;
  if (Pool.updateNeedsWarmup())
    openConnection(GroupName, Pool, {});
}

bool SessionPipeline::openIfAllowed(const std::string &GroupName,
                                    TargetPool &Pool,
                                    const std::string &Organisation,
                                    Millis Waited) {
  // Opening a connection costs the target as much as a statement and uses one
  // of its few connections; the next statement to end may free one. A link to
  // shared connections costs nothing: as many are opened as statements wait.
  if (Pool.isShared()) {
    if (Pool.opening() >= Groups[GroupName].Waiting.size() ||
        !mayOpen(Pool, Organisation))
      return false;
    openConnection(GroupName, Pool, {Organisation});
    return true;
  }
  if (Pool.size(Organisation) > 0 && Waited < WaitBeforeOpening)
    return false;
  if (Pool.opening(Organisation) > 0 || !mayOpen(Pool, Organisation))
    return false;
  openConnection(GroupName, Pool, {Organisation});
  return true;
}

void SessionPipeline::openConnection(const std::string &GroupName,
                                     TargetPool &Pool,
                                     const ConnectionPurpose &For) {
  if (!Pool.isShared())
    ++Counts.Openings.Begun;
  Pool.open(
      Deps.Targets, For, Deps.Time.now(),
      {[this, GroupName](const TargetConnectionPtr &Open) {
         handleOpened(GroupName, Open);
       },
       [this, GroupName](const TargetConnectionPtr &Connection,
                         const std::optional<StatementRefusal> &Refusal) {
         handleClosed(GroupName, Connection, Refusal);
       },
       [this](const TargetConnectionPtr &Connection) {
         handleKeepaliveTimeout(Connection);
       },
       [this](const UnexpectedAnswer &What) { AnswerUnexpected.emit(What); }});
  Ticker.requestWithin(WaitingInterval);
}

void SessionPipeline::handleOpened(const std::string &GroupName,
                                   const TargetConnectionPtr &Connection) {
  Connection->setBusy(false, Deps.Time.now());
  if (TargetPool *Pool = findPool(Connection)) {
    Pool->recordReachable(Deps.Time.now());
    warmUp(GroupName, *Pool, Deps.Time.now());
  }
  const Group &G = Groups[GroupName];
  if (!G.AwaitingFloor.empty() && !G.Probe.Connection)
    askForFloor(GroupName);
  dispatchWaiting(GroupName);
}

void SessionPipeline::handleClosed(
    const std::string &GroupName, const TargetConnectionPtr &Connection,
    const std::optional<StatementRefusal> &Refusal) {
  Group &G = Groups[GroupName];
  TargetPool *Pool = findPool(Connection);
  if (isAtLimit(Refusal))
    ++Counts.Openings.RefusedAtLimit;
  // For shared connections the gateway reports target failures itself.
  if (Pool != nullptr &&
      Pool->handleClosed(Connection, Refusal, Deps.Time.now()) &&
      !Connection->isShared())
    TargetFailed.emit({Connection->address().Id, true});
  if (G.Probe.Connection == Connection)
    endProbe(GroupName);
  // Statements that wait for an answer on the connection fail now.
  std::vector<SessionJobPtr> Lost;
  for (const SessionJobPtr &Job : Running)
    if (Job->Connection == Connection)
      Lost.push_back(Job);
  const std::string &Reason = Connection->endReason();
  const std::string Grounds =
      "the connection to target " + Connection->address().Id +
      (Reason.empty() ? " was lost" : " was ended: " + Reason);
  for (const SessionJobPtr &Job : Lost)
    handleLostConnection(Job, Grounds);
  if (!G.Waiting.empty())
    dispatchWaiting(GroupName);
}

TargetPool *SessionPipeline::findPool(const TargetConnectionPtr &Connection) {
  if (!Connection)
    return nullptr;
  const auto FoundGroup = Groups.find(Connection->address().Group);
  if (FoundGroup == Groups.end())
    return nullptr;
  const auto Pool = FoundGroup->second.Pools.find(Connection->address().Id);
  return Pool == FoundGroup->second.Pools.end() ? nullptr : &Pool->second;
}

void SessionPipeline::release(const TargetConnectionPtr &Connection) {
  if (Connection->stage() == TargetConnection::Stage::Closed)
    return;
  const std::string GroupName = Connection->address().Group;
  Connection->setBusy(false, Deps.Time.now());
  if (TargetPool *Pool = findPool(Connection);
      Pool != nullptr && (Pool->record().IsLeaving || Connection->isWorn() ||
                          Pool->isShared() != Connection->isShared()))
    Pool->maintain(Deps.Time.now());
  dispatchWaiting(GroupName);
}

void SessionPipeline::discard(const TargetConnectionPtr &Connection) {
  if (!Connection)
    return;
  if (TargetPool *Pool = findPool(Connection))
    Pool->remove(Connection);
  Connection->close();
}

} // namespace corianderdyke
