/// \file
/// Shares a small number of target connections among many links.

#include "Relay/BrokerLink.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// Intervals between checks of the timeouts: while links wait or connections
/// are being opened, while statements run, and while connections are idle.
constexpr Millis WaitingInterval(20);
constexpr Millis RunningInterval(50);
constexpr Millis IdleInterval(250);
/// Timeout for opening a connection.
constexpr Millis OpenTimeout(400);
/// A target that sends nothing for this long while answers are outstanding is
/// reported as silent. Most statements take a tenth of this.
constexpr Millis SilenceTimeout(250);
/// How long the first link in the queue waits before another connection is
/// opened: most statements end sooner, and opening a connection occupies a slot
/// of the target.
constexpr Millis WaitBeforeOpening(10);
/// A target counts as saturated for this long after its statements in flight
/// last reached the limit.
constexpr Millis SaturationHold(2000);
/// Pause between two connections that are opened in advance. An opening takes
/// 12 ms, so four gateways together use a tenth of the capacity of two slots.
constexpr Millis WarmUpInterval(250);
/// Statements that all gateways together send to a target beyond its slots, as
/// a multiple of the slots: enough that a slot that becomes free has a next
/// statement, although each gateway counts only its own.
constexpr std::size_t ExtraPerSlot = 2;
/// Connections to one target that are opened concurrently if each belongs to
/// an organisation, since several organisations may each wait for their own.
constexpr std::size_t MaxOpeningsWhenPerOrganisation = 3;
/// Assumed slots of a target that does not report their number.
constexpr std::size_t DefaultSlots = 2;

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
  Target &Created =
      Targets
          .try_emplace(To.Id,
                       TargetPool(Record, GatewayShares[To.Group].Connections,
                                  Time.now()))
          .first->second;
  applySharing(Created.Pool);
  return Created;
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
  const std::size_t Slots = Of.Slots > 0 ? Of.Slots : DefaultSlots;
  const auto Share = GatewayShares.find(Of.Group);
  const std::size_t Gateways =
      Share == GatewayShares.end() ? 1 : Share->second.Gateways;
  return std::max<std::size_t>(1, (Slots * (1 + ExtraPerSlot) + Gateways - 1) /
                                      Gateways);
}

void TargetBroker::update(const TargetDirectory &Directory) {
  const Millis Now = Time.now();
  for (auto &[Id, Each] : Targets) {
    if (const TargetRecord *Record = Directory.find(Id)) {
      if (Each.Pool.isNewIncarnation(*Record))
        closeStaleConnections(Each);
      Each.Pool.update(*Record, Now);
    }
    Each.Pool.maintain(Now);
  }
  for (const std::string &Id : GatewayTargets)
    if (const TargetRecord *Record = Directory.find(Id))
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

// If connections belong to organisations, each gateway uses its whole share, so
// the share is a hard limit.
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

bool TargetBroker::isFailing(const Target &At) const {
  const Millis Now = Time.now();
  const bool IsSpare =
      ServesAsSpare && GatewayTargets.count(At.Pool.record().Id) == 0;
  return At.Pool.isBackingOff(Now) ||
         (IsSpare && At.Pool.size() == 0 && !At.Pool.mayOpen("", Now));
}

bool TargetBroker::isFailing(const std::string &Id) const {
  const auto Found = Targets.find(Id);
  return Found != Targets.end() && isFailing(Found->second);
}

std::set<std::string> TargetBroker::failingTargets() const {
  std::set<std::string> Out;
  for (const auto &[Id, Each] : Targets)
    if (isFailing(Each))
      Out.insert(Id);
  return Out;
}

std::map<std::string, std::uint32_t> TargetBroker::load() const {
  std::map<std::string, std::uint32_t> Out;
  for (const auto &[Id, Each] : Targets)
    Out[Id] = static_cast<std::uint32_t>(
        Each.Waiting.size() + Each.Ready.size() + Each.InFlight.count());
  return Out;
}

QueueEntry<TargetBroker::Link> TargetBroker::enqueue(Link &New,
                                                     std::list<Link *> &In) {
  auto Position = In.end();
  while (Position != In.begin() &&
         (*std::prev(Position))->priority() > New.priority())
    --Position;
  return {In, Position, New};
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

// At equal priority a link that holds a connection goes first, because other
// links wait for that connection.
bool TargetBroker::runNext(Target &At) {
  const bool MaySend = At.InFlight.count() < maxInFlight(At);
  Link *NextHolder = MaySend && !At.Ready.empty() ? At.Ready.front() : nullptr;
  for (Link *Next : At.Waiting) {
    if (NextHolder != nullptr && NextHolder->priority() <= Next->priority())
      break;
    if (!MaySend && Next->hasSlotCommands())
      continue;
    const TargetConnectionPtr Free =
        Next->to().IsInternal
            ? At.Pool.idleForInternalUse()
            : At.Pool.idle(Next->to().Organisation, Next->values());
    // Idle connections may all belong to other organisations.
    if (!Free)
      continue;
    Free->setBusy(true, Time.now());
    Next->run(Free);
    return true;
  }
  if (NextHolder == nullptr)
    return false;
  NextHolder->takeTurn();
  return true;
}

void TargetBroker::dispatch(Target &At) {
  if (std::exchange(At.IsDispatching, true))
    return;
  while (runNext(At)) {
  }
  At.IsDispatching = false;
  if (At.Waiting.empty())
    return;
  if (At.Pool.size() == 0 && isFailing(At))
    return refuseAll(At, RefusalCode::Unreachable,
                     "the target can't be reached");
  openIfAllowed(At);
}

// After a full outage all callers reconnect at once. Each opening occupies a
// slot for as long as several statements do, and while the statements in flight
// are at this gateway's limit, another connection could not be used. It helps
// only if the open connections are held by idle transactions.
void TargetBroker::openIfAllowed(Target &At) {
  if (At.InFlight.count() >= maxInFlight(At))
    return;
  const std::size_t MaxOpenings =
      IsPerOrganisation ? MaxOpeningsWhenPerOrganisation : 1;
  while (At.Pool.opening() < MaxOpenings) {
    const Link *Next = firstToOpenFor(At);
    if (Next == nullptr)
      return;
    openConnection(At, Next->to().Organisation);
  }
}

TargetBroker::Link *TargetBroker::firstToOpenFor(const Target &At) const {
  const Millis Now = Time.now();
  std::set<std::string> Organisations;
  for (Link *Each : At.Waiting) {
    const std::string &Organisation = Each->to().Organisation;
    // The first link of an organisation uses the connection that is idle or
    // being opened.
    if (!Organisations.insert(Organisation).second ||
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

// Opens the first connection immediately and the others while the target is
// idle.
void TargetBroker::warmUp(Target &At) {
  const Millis Now = Time.now();
  if (GatewayTargets.count(At.Pool.record().Id) == 0 ||
      !At.Pool.needsWarmConnections() || At.Pool.opening() > 0 ||
      !At.Pool.mayOpen("", Now))
    return;
  const bool IsIdle = At.InFlight.count() == 0 && At.Waiting.empty();
  if (At.Pool.size() > 0 && (!IsIdle || Now - At.OpenedAt < WarmUpInterval))
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
                [this](const TargetConnectionPtr &Closed,
                       const std::optional<StatementRefusal> &Refusal) {
                  handleClose(Closed, Refusal);
                }});
  Ticker.requestWithin(WaitingInterval);
}

void TargetBroker::handleClose(const TargetConnectionPtr &Closed,
                               const std::optional<StatementRefusal> &Refusal) {
  Target *At = find(Closed->address().Id);
  if (At == nullptr)
    return;
  if (isAtLimit(Refusal))
    ++Openings.RefusedAtLimit;
  if (At->Pool.handleClosed(Closed, Refusal, Time.now()))
    TargetFailed.emit({Closed->address().Id, true});
  std::vector<std::uint64_t> Holders;
  for (const auto &[Number, Each] : Links)
    if (Each->holds(Closed))
      Holders.push_back(Number);
  for (const std::uint64_t Number : Holders)
    if (Link *Each = findLink(Number))
      Each->handleConnectionLoss();
  dispatch(*At);
}

// Connections to an earlier incarnation of the target no longer work.
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
    PrimaryAnswered.emit(Pool.record().Id);
}

void TargetBroker::refuseAll(Target &At, RefusalCode Code,
                             const std::string &Reason) {
  std::vector<std::uint64_t> Refused;
  for (const Link *Each : At.Waiting)
    Refused.push_back(Each->number());
  for (const std::uint64_t Number : Refused)
    if (Link *Each = findLink(Number))
      Each->refuse(Code, Reason);
}

void TargetBroker::tick() {
  const Millis Now = Time.now();
  bool IsUrgent = false;
  std::erase_if(Targets,
                [](const auto &Each) { return Each.second.hasEnded(); });
  for (auto &[Id, Each] : Targets) {
    expireWaiting(Each);
    detectSilence(Each);
    if (Each.InFlight.count() >= maxInFlight(Each))
      Each.SaturatedAt = Now;
    Each.Pool.setSaturated(Now - Each.SaturatedAt < SaturationHold);
    Each.Pool.setRetiring((IsPerOrganisation || ServesAsSpare) &&
                          GatewayTargets.count(Id) == 0);
    Each.Pool.maintain(Now);
    warmUp(Each);
    const auto Open = Each.Pool.connections();
    for (const TargetConnectionPtr &Connection : Open) {
      if (Connection->stage() != TargetConnection::Stage::Opening)
        continue;
      IsUrgent = true;
      if (Now - Connection->openedAt() <= OpenTimeout)
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
  std::vector<std::uint64_t> Expired;
  for (const Link *Each : At.Waiting)
    if (Now >= Each->deadline())
      Expired.push_back(Each->number());
  for (const std::uint64_t Number : Expired)
    if (Link *Each = findLink(Number))
      Each->refuse(RefusalCode::Busy, "no connection came free");
}

void TargetBroker::detectSilence(Target &At) {
  const Millis Now = Time.now();
  for (const auto &[Number, Each] : Links) {
    const auto Since = Each->awaitingSince();
    if (Each->to().Id != At.Pool.record().Id || !Since ||
        Now - *Since < SilenceTimeout || At.Pool.lastAnswer() > *Since)
      continue;
    if (!At.Pool.isBackingOff(Now))
      At.Pool.recordUnreachable(Now);
    return TargetFailed.emit({Each->to().Id, false});
  }
}

} // namespace corianderdyke
