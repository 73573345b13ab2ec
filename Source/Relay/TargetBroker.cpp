/// \file
/// Shares a small number of target connections among many links.

#include "Relay/BrokerLink.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// Interval between checks of the timeouts while connections are idle.
constexpr Millis IdleInterval(250);
/// Timeout for opening a connection.
constexpr Millis OpenTimeout(400);
/// A target that sends nothing for this long while answers are outstanding is
/// reported as silent. Most statements take a tenth of this.
constexpr Millis SilenceTimeout(250);
/// A target counts as saturated for this long after its statements in flight
/// last reached the limit.
constexpr Millis SaturationHold(2000);
/// Pause between two connections that are opened in advance. An opening takes
/// 12 ms, so four gateways together use a tenth of the capacity of two slots.
constexpr Millis WarmUpInterval(250);

} // namespace

TargetBroker::TargetBroker(Clock &Time, Scheduler &Timers,
                           TargetConnector &Direct, LoadOptions Load)
    : Time(Time), Direct(Direct), Load(Load),
      Ticker(Time, Timers, [this] { tick(); }) {}

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

std::size_t TargetBroker::lateWaiting() const {
  std::size_t Out = 0;
  for (const auto &[Id, Each] : Targets)
    Out += Each.Late.size();
  return Out;
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
    Out[Id] =
        static_cast<std::uint32_t>(Each.Waiting.size() + Each.Late.size() +
                                   Each.Ready.size() + Each.InFlight.count());
  return Out;
}

// Opens the first connection immediately and the others while the target is
// idle.
void TargetBroker::warmUp(Target &At) {
  const Millis Now = Time.now();
  if (GatewayTargets.count(At.Pool.record().Id) == 0 ||
      !At.Pool.needsWarmConnections() || At.Pool.opening() > 0 ||
      !At.Pool.mayOpen("", Now))
    return;
  const bool IsIdle = At.InFlight.count() == 0 && !At.hasWaiting();
  if (At.Pool.size() > 0 && (!IsIdle || Now - At.OpenedAt < WarmUpInterval))
    return;
  openConnection(At, "");
}

void TargetBroker::openConnection(Target &At, const std::string &Organisation) {
  ++Openings.Begun;
  At.OpenedAt = Time.now();
  At.Pool.open(
      Direct, {Organisation}, Time.now(),
      {[this](const TargetConnectionPtr &Open) {
         Open->setBusy(false, Time.now());
         Target &Of = targetOf(Open->address());
         Of.Pool.recordReachable(Time.now());
         dispatch(Of);
       },
       [this](const TargetConnectionPtr &Closed,
              const std::optional<StatementRefusal> &Refusal) {
         handleClose(Closed, Refusal);
       },
       nullptr,
       [this](const UnexpectedAnswer &What) { AnswerUnexpected.emit(What); }});
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
  if (At.Pool.record().IsLeaving || Used->isWorn())
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
    if (Each.hasWaiting()) {
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
