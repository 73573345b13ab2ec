/// \file
/// Shares few connections to a target among many links.

#include "Relay/BrokerLink.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// How often bounds are looked at: while links wait or connections open,
/// while statements run, and while connections stand idle.
constexpr Millis WaitingInterval(20);
constexpr Millis RunningInterval(50);
constexpr Millis IdleInterval(250);
/// An opening that takes longer than this isn't answered any more.
constexpr Millis OpenPatience(400);
/// A target from which nothing comes for this long, while answers are due, is
/// reported as silent: ten times what most statements take.
constexpr Millis SilenceNoticed(250);
/// How long the first in the queue waits before another connection is opened:
/// most statements end sooner, and a new connection costs the target a slot.
constexpr Millis WaitBeforeOpening(10);
/// A target that had all the work it may get this lately is busy, though not at
/// this moment.
constexpr Millis PressureLasts(2000);
/// Pause between two connections that are opened ahead of need. With 12 ms an
/// opening four gateways together take a tenth of what two slots can do.
constexpr Millis WarmPause(250);
/// Statements that all gateways together send to a target beyond what it
/// works on, in parts of that: enough that a slot which comes free finds the
/// next one there, though each gateway counts only its own.
constexpr std::size_t SentBeyondSlots = 2;
/// Connections to one target that are opened at a time where each belongs to
/// an organisation: several organisations wait then, none for the others'.
constexpr std::size_t OpeningsWhereDivided = 3;
/// Slots of a target that didn't say how many it has.
constexpr std::size_t UsualSlots = 2;

} // namespace

TargetBroker::TargetBroker(Clock &Time, Scheduler &Timers,
                           TargetConnector &Direct)
    : Time(Time), Direct(Direct), Ticker(Time, Timers, [this] { tick(); }) {}

TargetBroker::~TargetBroker() {
  for (auto &[Id, Each] : Targets)
    for (const TargetConnectionPtr &Open : Each.Pool.connections())
      Open->close();
}

std::unique_ptr<TargetLink> TargetBroker::open(const TargetAddress &To,
                                               TargetLink::Events Events) {
  return std::make_unique<Link>(*this, To, std::move(Events));
}

TargetBroker::Target &TargetBroker::targetOf(const TargetAddress &To) {
  const auto Found = Targets.find(To.Id);
  if (Found != Targets.end())
    return Found->second;
  TargetRecord Record;
  Record.Id = To.Id;
  Record.Group = To.Group;
  Record.Address = To.Address;
  Target &Made =
      Targets
          .emplace(To.Id, Target{TargetPool(Record,
                                            GatewayShares[To.Group].Connections,
                                            Time.now())})
          .first->second;
  applySharing(Made.Pool);
  return Made;
}

TargetBroker::Target *TargetBroker::find(const std::string &Id) {
  const auto Found = Targets.find(Id);
  return Found == Targets.end() ? nullptr : &Found->second;
}

TargetBroker::Link *TargetBroker::findLink(std::uint64_t Number) const {
  const auto Found = Links.find(Number);
  return Found == Links.end() ? nullptr : Found->second;
}

std::size_t TargetBroker::maxInFlight(const Target &At) const {
  const TargetRecord &Of = At.Pool.record();
  const std::size_t Slots = Of.Slots > 0 ? Of.Slots : UsualSlots;
  const auto Among = GatewayShares.find(Of.Group);
  const std::size_t Gateways =
      Among == GatewayShares.end() ? 1 : Among->second.Gateways;
  return std::max<std::size_t>(
      1, (Slots * (1 + SentBeyondSlots) + Gateways - 1) / Gateways);
}

void TargetBroker::update(const TargetDirectory &Known) {
  const Millis Now = Time.now();
  for (auto Each = Targets.begin(); Each != Targets.end();) {
    TargetPool &Pool = Each->second.Pool;
    if (const TargetRecord *Record = Known.find(Each->first)) {
      if (Pool.isNewIncarnation(*Record))
        closeStaleConnections(Each->second);
      Pool.update(*Record, Now);
    }
    Pool.maintain(Now);
    const bool Ended = Pool.record().IsGone && Pool.size() == 0 &&
                       Each->second.Waiting.empty() &&
                       Each->second.Ready.empty();
    Each = Ended ? Targets.erase(Each) : std::next(Each);
  }
  for (const std::string &Id : GatewayTargets)
    if (const TargetRecord *Record = Known.find(Id))
      targetOf({Record->Group, Record->Id, Record->Address})
          .Pool.update(*Record, Now);
  Ticker.requestWithin(WaitingInterval);
}

void TargetBroker::setGatewayTargets(std::set<std::string> Targets) {
  GatewayTargets = std::move(Targets);
}

void TargetBroker::setShare(const std::string &Group, std::size_t Connections,
                            std::size_t Gateways) {
  GatewayShares[Group] = {Connections, Gateways};
  for (auto &[Id, Each] : Targets)
    if (Each.Pool.record().Group == Group)
      Each.Pool.setShare(Connections);
}

// Where connections belong to organisations each gateway uses all of its share.
void TargetBroker::applySharing(TargetPool &Pool) const {
  Pool.setPerOrganisation(IsPerOrganisation);
  Pool.limitToShare(IsPerOrganisation);
}

void TargetBroker::setPerOrganisation(bool New) {
  IsPerOrganisation = New;
  for (auto &[Id, Each] : Targets)
    applySharing(Each.Pool);
}

bool TargetBroker::isBusy() const {
  return std::any_of(Links.begin(), Links.end(), [](const auto &Each) {
    return Each.second->holdsConnection();
  });
}

std::size_t TargetBroker::connections() const {
  std::size_t Out = 0;
  for (const auto &[Id, Each] : Targets)
    Out += Each.Pool.size();
  return Out;
}

QueueEntry<TargetBroker::Link> TargetBroker::enqueue(Link &New,
                                                     std::list<Link *> &In) {
  auto Place = In.end();
  while (Place != In.begin() &&
         (*std::prev(Place))->priority() > New.priority())
    --Place;
  return {In, Place, New};
}

void TargetBroker::waitForConnection(Link &New) {
  Target &At = targetOf(New.to());
  if (!New.isWaiting())
    New.setConnectionQueueEntry(enqueue(New, At.Waiting));
  dispatch(At);
  Ticker.requestWithin(At.Waiting.empty() ? RunningInterval : WaitingInterval);
}

void TargetBroker::waitForTurn(Link &New) {
  Target &At = targetOf(New.to());
  New.setTurnQueueEntry(enqueue(New, At.Ready));
  dispatch(At);
}

// One that holds a connection goes first among equals: others wait for it.
bool TargetBroker::runNext(Target &At) {
  const bool MayWork = At.InFlight < maxInFlight(At);
  Link *Inside = MayWork && !At.Ready.empty() ? At.Ready.front() : nullptr;
  for (Link *Next : At.Waiting) {
    if (Inside != nullptr && Inside->priority() <= Next->priority())
      break;
    if (!MayWork && Next->hasSlotCommands())
      continue;
    const TargetConnectionPtr Free =
        Next->to().IsInternal
            ? At.Pool.idleForInternalUse()
            : At.Pool.idle(Next->to().Organisation, Next->values());
    // Another organisation's may be idle.
    if (!Free)
      continue;
    Free->setBusy(true, Time.now());
    Next->run(Free);
    return true;
  }
  if (Inside == nullptr)
    return false;
  Inside->takeTurn();
  return true;
}

void TargetBroker::dispatch(Target &At) {
  if (std::exchange(At.IsDispatching, true))
    return;
  const Millis Now = Time.now();
  while (runNext(At)) {
  }
  At.IsDispatching = false;
  if (At.Waiting.empty())
    return;
  if (At.Pool.size() == 0 && At.Pool.isBackingOff(Now))
    return refuseAll(At, RefusalCode::Unreachable,
                     "the target can't be reached");
  openIfAllowed(At);
}

// Load pattern: everything was down and all callers come back at once. Each
// opening takes a slot for as long as several statements do, and while as much
// is at work as this gateway may send, another connection has nothing to carry.
// It helps only where those that stand are held by transactions that rest.
void TargetBroker::openIfAllowed(Target &At) {
  if (At.InFlight >= maxInFlight(At))
    return;
  const std::size_t Most = IsPerOrganisation ? OpeningsWhereDivided : 1;
  while (At.Pool.opening() < Most) {
    const Link *Next = firstToOpenFor(At);
    if (Next == nullptr)
      return;
    openConnection(At, Next->to().Organisation);
  }
}

TargetBroker::Link *TargetBroker::firstToOpenFor(const Target &At) const {
  const Millis Now = Time.now();
  std::set<std::string> Seen;
  for (Link *Each : At.Waiting) {
    const std::string &Organisation = Each->to().Organisation;
    // Who comes first waits for what is idle or on its way.
    if (!Seen.insert(Organisation).second ||
        At.Pool.opening(Organisation) > 0 ||
        At.Pool.idle(Organisation, Each->values()) != nullptr)
      continue;
    if (At.Pool.size(Organisation) > 0 &&
        Now - Each->queuedAt() < WaitBeforeOpening)
      continue;
    if (At.Pool.mayOpen(Organisation, Now))
      return Each;
  }
  return nullptr;
}

// The first one is opened at once, the others when the target has time.
void TargetBroker::warmUp(Target &At) {
  const Millis Now = Time.now();
  if (GatewayTargets.count(At.Pool.record().Id) == 0 ||
      !At.Pool.needsWarmConnections() || At.Pool.opening() > 0 ||
      !At.Pool.mayOpen("", Now))
    return;
  const bool IsQuiet = At.InFlight == 0 && At.Waiting.empty();
  if (At.Pool.size() > 0 && (!IsQuiet || Now - At.OpenedAt < WarmPause))
    return;
  openConnection(At, "");
}

void TargetBroker::openConnection(Target &At, const std::string &Organisation) {
  ++Openings.Begun;
  At.OpenedAt = Time.now();
  At.Pool.open(Direct, {Organisation}, Time.now(),
               {[this](const TargetConnectionPtr &Open) {
                  Open->setBusy(false, Time.now());
                  Target &Of = targetOf(Open->address());
                  Of.Pool.recordReachable(Time.now());
                  dispatch(Of);
                },
                [this](const TargetConnectionPtr &Gone,
                       const std::optional<StatementRefusal> &Why) {
                  handleClose(Gone, Why);
                }});
  Ticker.requestWithin(WaitingInterval);
}

void TargetBroker::handleClose(const TargetConnectionPtr &Gone,
                               const std::optional<StatementRefusal> &Why) {
  Target *At = find(Gone->address().Id);
  if (At == nullptr)
    return;
  if (isAtLimit(Why))
    ++Openings.RefusedAtLimit;
  if (At->Pool.handleClosed(Gone, Why, Time.now()))
    TargetFailed.emit({Gone->address().Id, true});
  std::vector<std::uint64_t> Holders;
  for (const auto &[Number, Each] : Links)
    if (Each->holds(Gone))
      Holders.push_back(Number);
  for (const std::uint64_t Number : Holders)
    if (Link *Each = findLink(Number))
      Each->handleConnectionLoss();
  dispatch(*At);
}

// As at a proxy with connections of its own: those of a former life are dead.
void TargetBroker::closeStaleConnections(Target &At) {
  for (const TargetConnectionPtr &Each : At.Pool.closeAll())
    handleClose(Each, std::nullopt);
}

void TargetBroker::release(const TargetConnectionPtr &Used) {
  if (Used->stage() == TargetConnection::Stage::Closed)
    return;
  Used->setBusy(false, Time.now());
  Target &At = targetOf(Used->address());
  if (At.Pool.record().IsLeaving)
    At.Pool.maintain(Time.now());
  dispatch(At);
}

void TargetBroker::discard(const TargetConnectionPtr &Used) {
  targetOf(Used->address()).Pool.remove(Used);
  Used->close();
}

void TargetBroker::recordAnswer(const TargetConnectionPtr &From) {
  TargetPool &Pool = targetOf(From->address()).Pool;
  Pool.recordReachable(Time.now());
  if (Pool.record().IsPrimary)
    Reached.emit(Pool.record().Id);
}

void TargetBroker::refuseAll(Target &At, RefusalCode Code,
                             const std::string &Why) {
  std::vector<std::uint64_t> Refused;
  for (const Link *Each : At.Waiting)
    Refused.push_back(Each->number());
  for (const std::uint64_t Number : Refused)
    if (Link *Each = findLink(Number))
      Each->refuse(Code, Why);
}

void TargetBroker::tick() {
  const Millis Now = Time.now();
  bool IsUrgent = false;
  for (auto &[Id, Each] : Targets) {
    expireWaiting(Each);
    detectSilence(Each);
    if (Each.InFlight >= maxInFlight(Each))
      Each.SaturatedAt = Now;
    Each.Pool.setSaturated(Now - Each.SaturatedAt < PressureLasts);
    Each.Pool.setRetiring(IsPerOrganisation && GatewayTargets.count(Id) == 0);
    Each.Pool.maintain(Now);
    warmUp(Each);
    const auto Open = Each.Pool.connections();
    for (const TargetConnectionPtr &Connection : Open) {
      if (Connection->stage() != TargetConnection::Stage::Opening)
        continue;
      IsUrgent = true;
      if (Now - Connection->openedAt() <= OpenPatience)
        continue;
      Connection->close();
      TargetFailed.emit({Id, false});
      handleClose(Connection, std::nullopt);
    }
    if (!Each.Waiting.empty()) {
      IsUrgent = true;
      dispatch(Each);
    }
  }
  if (IsUrgent)
    Ticker.requestWithin(WaitingInterval);
  else if (isBusy())
    Ticker.requestWithin(RunningInterval);
  else if (connections() > 0 || !GatewayTargets.empty())
    Ticker.requestWithin(IdleInterval);
}

void TargetBroker::expireWaiting(Target &At) {
  const Millis Now = Time.now();
  std::vector<std::uint64_t> Late;
  for (const Link *Each : At.Waiting)
    if (Now >= Each->deadline())
      Late.push_back(Each->number());
  for (const std::uint64_t Number : Late)
    if (Link *Each = findLink(Number))
      Each->refuse(RefusalCode::Busy, "no connection came free");
}

void TargetBroker::detectSilence(Target &At) {
  const Millis Now = Time.now();
  for (const auto &[Number, Each] : Links) {
    const auto Since = Each->awaitingSince();
    if (Each->to().Id != At.Pool.record().Id || !Since ||
        Now - *Since < SilenceNoticed || At.Pool.lastAnswer() > *Since)
      continue;
    if (!At.Pool.isBackingOff(Now))
      At.Pool.recordUnreachable(Now);
    return TargetFailed.emit({Each->to().Id, false});
  }
}

} // namespace corianderdyke
