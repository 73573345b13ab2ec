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
    const std::size_t All = Policy->usableConnections();
    const bool IsShared = Deps.Targets.sharesConnections(Name);
    for (auto &[Id, Pool] : Each.Pools) {
      Pool.setShare(std::max(MinShare, All / Proxies));
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
    Group &In = Groups[Each.Group];
    const auto Pool = In.Pools.find(Each.Id);
    if (Pool == In.Pools.end()) {
      if (!Each.IsGone)
        In.Pools.emplace(Each.Id, TargetPool(Each, MinShare, Now));
      continue;
    }
    if (Pool->second.isNewIncarnation(Each))
      closeStaleConnections(Each.Group, Pool->second);
    Pool->second.update(Each, Now);
  }
  for (auto &[Name, Each] : Groups) {
    adoptPrimary(Name, Each, Directory);
    for (auto Pool = Each.Pools.begin(); Pool != Each.Pools.end();) {
      Pool->second.maintain(Now);
      warmUp(Name, Pool->second, Now);
      const bool Ended =
          Pool->second.record().IsGone && Pool->second.size() == 0;
      Pool = Ended ? Each.Pools.erase(Pool) : std::next(Pool);
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
    closed(GroupName, Each, std::nullopt);
}

std::vector<PoolReport> SessionPipeline::pools() const {
  std::vector<PoolReport> Out;
  for (const auto &[Name, Each] : Groups)
    for (const auto &[Id, Pool] : Each.Pools)
      Out.push_back({Id, Pool.size(), Pool.busy()});
  return Out;
}

void SessionPipeline::dispatchWaiting(const std::string &Name) {
  Group &In = Groups[Name];
  if (In.IsDispatching)
    return;
  In.IsDispatching = true;
  const Millis Now = Deps.Time.now();
  for (auto Each = In.Waiting.begin(); Each != In.Waiting.end();) {
    const SessionJobPtr Job = *Each;
    if (Job->RetryAt > Now || !assign(In, Job)) {
      ++Each;
      continue;
    }
    Each = In.Waiting.erase(Each);
    In.forecast(*Job).recordDeparture(In.waiting(*Job), Now);
    const TargetConnectionPtr On = Job->Connection;
    run(Job, On);
  }
  In.IsDispatching = false;
}

std::vector<TargetPool *> SessionPipeline::candidates(Group &In,
                                                      const SessionJob &Job) {
  const Millis Now = Deps.Time.now();
  std::vector<TargetPool *> Out;
  for (auto &[Id, Pool] : In.Pools) {
    const TargetRecord &Record = Pool.record();
    if (Record.IsGone)
      continue;
    // No gateway reaches the target at the moment.
    if (Pool.isShared() && Pool.isBackingOff(Now))
      continue;
    // A leaving primary serves until another one is promoted, or until shortly
    // before the end of the time that it was promised.
    if (Job.Destination == Placement::Primary &&
        (Id != In.Primary || !Pool.mayBePrimary(Now) ||
         !Pool.acceptsNewWork(Now)))
      continue;
    if (Job.Destination == Placement::AnyFresh &&
        (Record.IsLeaving || Job.ExcludedTargets.count(Id) != 0 ||
         Pool.lag().isBackingOff(Now)))
      continue;
    Out.push_back(&Pool);
  }
  if (Job.Destination == Placement::AnyFresh && Out.size() > 1)
    excludeCongestedPrimary(In, Out);
  return cheapestFirst(In, Out, Job, Now);
}

// Each cost is computed once: it changes with time, and a sort whose order
// changes while it runs reads out of bounds.
std::vector<TargetPool *>
SessionPipeline::cheapestFirst(const Group &In,
                               const std::vector<TargetPool *> &Among,
                               const SessionJob &Job, Millis Now) const {
  std::vector<std::pair<double, TargetPool *>> Ranked;
  Ranked.reserve(Among.size());
  for (TargetPool *Each : Among)
    Ranked.emplace_back(cost(In, *Each, Job, Now), Each);
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
    const Group &In, std::vector<TargetPool *> &Among) {
  Among.erase(std::remove_if(Among.begin(), Among.end(),
                             [&In](const TargetPool *Each) {
                               return Each->record().Id == In.Primary &&
                                      Each->window().isCongested();
                             }),
              Among.end());
}

double SessionPipeline::cost(const Group &In, const TargetPool &Pool,
                             const SessionJob &Job, Millis Now) const {
  double Out =
      static_cast<double>(Pool.busy()) + Pool.window().mean() / LatencyUnit;
  if (Pool.record().FailureDomain != OwnLocality.FailureDomain)
    Out += DistanceCost;
  if (Job.Floor && Pool.lag().isBehind(*Job.Floor, Now))
    Out += BehindCost;
  if (Pool.record().Id == In.Primary)
    Out += PrimaryCost;
  return Out;
}

bool SessionPipeline::assign(Group &In, const SessionJobPtr &Job) {
  const Millis Now = Deps.Time.now();
  const CallerSessionPtr Session = Job->Session.lock();
  if (!Session)
    return false;
  std::vector<TargetPool *> Choices = candidates(In, *Job);
  if (Choices.empty() && Job->Destination == Placement::AnyFresh) {
    // All replicas refused the read, or none is left.
    Job->Destination = Placement::Primary;
    Job->Floor.reset();
    Choices = candidates(In, *Job);
  }
  if (Choices.empty() ||
      (Job->Destination == Placement::Primary && Choices.front()->size() == 0 &&
       Choices.front()->isBackingOff(Now)))
    In.Outage.recordNoPrimary(Now);
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
  for (TargetPool *Pool : Choices) {
    if (const TargetConnectionPtr Free =
            Pool->idle(Organisation, Session->Values)) {
      Free->setBusy(true, Now);
      Job->Connection = Free;
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
  return Deps.Targets.knowsShares() &&
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
  Pool.open(Deps.Targets, For, Deps.Time.now(),
            {[this, GroupName](const TargetConnectionPtr &Open) {
               opened(GroupName, Open);
             },
             [this, GroupName](const TargetConnectionPtr &Gone,
                               const std::optional<StatementRefusal> &Why) {
               closed(GroupName, Gone, Why);
             },
             [this](const TargetConnectionPtr &Silent) {
               handleKeepaliveTimeout(Silent);
             }});
  Ticker.requestWithin(WaitingInterval);
}

void SessionPipeline::opened(const std::string &GroupName,
                             const TargetConnectionPtr &Made) {
  Made->setBusy(false, Deps.Time.now());
  if (TargetPool *Pool = poolOf(Made)) {
    Pool->recordReachable(Deps.Time.now());
    warmUp(GroupName, *Pool, Deps.Time.now());
  }
  const Group &In = Groups[GroupName];
  if (!In.AwaitingFloor.empty() && !In.Probe.Connection)
    askForFloor(GroupName);
  dispatchWaiting(GroupName);
}

void SessionPipeline::closed(const std::string &GroupName,
                             const TargetConnectionPtr &Gone,
                             const std::optional<StatementRefusal> &Why) {
  Group &In = Groups[GroupName];
  TargetPool *Pool = poolOf(Gone);
  if (isAtLimit(Why))
    ++Counts.Openings.RefusedAtLimit;
  // For shared connections the gateway reports target failures itself.
  if (Pool != nullptr && Pool->handleClosed(Gone, Why, Deps.Time.now()) &&
      !Gone->isShared())
    TargetFailed.emit({Gone->address().Id, true});
  if (In.Probe.Connection == Gone)
    endProbe(GroupName);
  // Statements that wait for an answer on the connection fail now.
  std::vector<SessionJobPtr> Lost;
  for (const SessionJobPtr &Job : Running)
    if (Job->Connection == Gone)
      Lost.push_back(Job);
  for (const SessionJobPtr &Job : Lost)
    handleLostConnection(Job, "the connection to target " + Gone->address().Id +
                                  " was lost");
  if (!In.Waiting.empty())
    dispatchWaiting(GroupName);
}

TargetPool *SessionPipeline::poolOf(const TargetConnectionPtr &Used) {
  if (!Used)
    return nullptr;
  const auto In = Groups.find(Used->address().Group);
  if (In == Groups.end())
    return nullptr;
  const auto Pool = In->second.Pools.find(Used->address().Id);
  return Pool == In->second.Pools.end() ? nullptr : &Pool->second;
}

void SessionPipeline::release(const TargetConnectionPtr &Used) {
  if (Used->stage() == TargetConnection::Stage::Closed)
    return;
  const std::string GroupName = Used->address().Group;
  Used->setBusy(false, Deps.Time.now());
  if (TargetPool *Pool = poolOf(Used);
      Pool != nullptr &&
      (Pool->record().IsLeaving || Pool->isShared() != Used->isShared()))
    Pool->maintain(Deps.Time.now());
  dispatchWaiting(GroupName);
}

void SessionPipeline::discard(const TargetConnectionPtr &Used) {
  if (!Used)
    return;
  if (TargetPool *Pool = poolOf(Used))
    Pool->remove(Used);
  Used->close();
}

} // namespace corianderdyke
