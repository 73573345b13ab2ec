/// \file
/// The queues of a TargetBroker: which link sends next, and which has waited
/// for too long.

#include "Relay/BrokerLink.h"

namespace corianderdyke {

namespace {

/// How long the first link in the queue waits before another connection is
/// opened: most statements end sooner, and opening a connection occupies a slot
/// of the target.
constexpr Millis WaitBeforeOpening(10);
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

SlotShare TargetBroker::slotShare(const Target &At) const {
  const TargetRecord &Of = At.Pool.record();
  const auto Share = GatewayShares.find(Of.Group);
  return {Of.Slots > 0 ? Of.Slots : DefaultSlots,
          Share == GatewayShares.end() ? 1 : Share->second.Gateways};
}

std::size_t TargetBroker::maxInFlight(const Target &At) const {
  return slotShare(At).times(1 + ExtraPerSlot, 1);
}

bool TargetBroker::maySend(const Target &At, std::uint32_t Priority) const {
  if (At.InFlight.count() >= maxInFlight(At))
    return false;
  if (!Load.UrgentRoom)
    return true;
  const auto Urgent = At.Arrivals.mostUrgent(Time.now());
  if (!Urgent || Priority <= *Urgent)
    return true;
  std::size_t LessUrgent = 0;
  for (auto Each = At.InFlightOf.upper_bound(*Urgent);
       Each != At.InFlightOf.end(); ++Each)
    LessUrgent += Each->second.count();
  return LessUrgent < UrgentRoom::limit(slotShare(At));
}

bool TargetBroker::hasSlotForLate(const Target &At) const {
  return At.InFlight.count() + At.OpeningTransactions.count() <
         slotShare(At).times(1, 1);
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
  recordIfFree(At);
  if (!New.isWaiting()) {
    const Millis Now = Time.now();
    if (Load.LateService && Now >= New.deadline() && Now < New.lateDeadline()) {
      if (!waitLate(At, New))
        return refuseAfterWait(At, New);
    } else {
      New.setConnectionQueueEntry(enqueue(New, At.Waiting));
    }
  }
  dispatch(At);
  Ticker.requestWithin(At.hasWaiting() ? WaitingInterval : RunningInterval);
}

void TargetBroker::waitForTurn(Link &New) {
  Target &At = targetOf(New.to());
  New.setTurnQueueEntry(enqueue(New, At.Ready));
  dispatch(At);
}

void TargetBroker::recordIfFree(Target &At) {
  if (At.Ready.empty() && !At.hasWaiting() && hasSlotForLate(At))
    At.LateStarts.recordFree(Time.now());
}

bool TargetBroker::waitLate(Target &At, Link &Waiter) {
  const Millis Now = Time.now();
  if (!Load.LateService || Now >= Waiter.lateDeadline())
    return false;
  const auto Ahead = static_cast<std::size_t>(std::count_if(
      At.Late.begin(), At.Late.end(), [&Waiter](const Link *Each) {
        return Each->priority() <= Waiter.priority();
      }));
  const std::size_t Width = slotShare(At).times(1, 1);
  Link *Replaced = nullptr;
  if (Now + At.LateStarts.expectedWait(Ahead, Width, Now) >=
      Waiter.lateDeadline()) {
    // Only one round waits for the end of a sustained overload.
    if (At.Late.size() <= Width)
      Replaced = replaceableBy(At, Waiter);
    if (Replaced == nullptr)
      return false;
  }
  Waiter.setClass(ServiceClass::Late);
  Waiter.setConnectionQueueEntry(enqueue(Waiter, At.Late));
  // Its handler may destroy any link.
  if (Replaced != nullptr)
    refuseAfterWait(At, *Replaced);
  return true;
}

// During a sustained overload, statements with much time left wait for its end,
// and their predecessors are refused before their own time ends. Replacing them
// earlier than after half of that time would hold each refused statement for a
// while.
TargetBroker::Link *TargetBroker::replaceableBy(const Target &At,
                                                const Link &Waiter) const {
  const Millis Now = Time.now();
  Link *Out = nullptr;
  for (Link *Each : At.Late)
    if (Each->priority() >= Waiter.priority() &&
        Now >=
            Each->deadline() + (Each->lateDeadline() - Each->deadline()) / 2 &&
        At.LateStarts.isOverdue(Each->lateDeadline(), Now) &&
        (Out == nullptr || Each->lateDeadline() < Out->lateDeadline()))
      Out = Each;
  return Out;
}

void TargetBroker::refuseAfterWait(Target &At, Link &Waiter) {
  std::string Reason = "no connection came free";
  if (Load.LateService) {
    ++LateStatements.Refused;
    const Millis After = At.LateStarts.retryAfter(
        At.Late.size(), slotShare(At).times(1, 1), Time.now());
    Reason += "; come back after " + std::to_string(After.count()) + " ms";
  }
  Waiter.refuse(RefusalCode::Busy, Reason);
}

// Idle connections may all belong to other organisations.
TargetConnectionPtr TargetBroker::idleFor(Target &At,
                                          const Link &Waiter) const {
  return Waiter.to().IsInternal
             ? At.Pool.idleForInternalUse()
             : At.Pool.idle(Waiter.to().Organisation, Waiter.values());
}

// At equal priority a link that holds a connection goes first, because other
// links wait for that connection.
bool TargetBroker::runNext(Target &At) {
  Link *NextHolder =
      !At.Ready.empty() && maySend(At, At.Ready.front()->priority())
          ? At.Ready.front()
          : nullptr;
  for (Link *Next : At.Waiting) {
    if (NextHolder != nullptr && NextHolder->priority() <= Next->priority())
      break;
    if (Next->hasSlotCommands() && !maySend(At, Next->priority()))
      continue;
    const TargetConnectionPtr Free = idleFor(At, *Next);
    if (!Free)
      continue;
    Free->setBusy(true, Time.now());
    Next->run(Free);
    return true;
  }
  if (NextHolder == nullptr)
    return runNextLate(At);
  NextHolder->takeTurn();
  return true;
}

// Statements inside transactions hold a connection and go first, too.
bool TargetBroker::runNextLate(Target &At) {
  if (At.Late.empty() || !At.Ready.empty() || !hasSlotForLate(At))
    return false;
  const Millis Now = Time.now();
  for (Link *Next : At.Late) {
    if (Now >= Next->lateDeadline() || !maySend(At, Next->priority()))
      continue;
    const TargetConnectionPtr Free = idleFor(At, *Next);
    if (!Free)
      continue;
    ++LateStatements.Started;
    At.LateStarts.recordStart(At.Late.size() - 1, Now);
    Free->setBusy(true, Now);
    Next->run(Free);
    return true;
  }
  return false;
}

void TargetBroker::dispatch(Target &At) {
  if (std::exchange(At.IsDispatching, true))
    return;
  while (runNext(At)) {
  }
  At.IsDispatching = false;
  recordIfFree(At);
  if (!At.hasWaiting())
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
  const auto MayOpenFor = [&](const Link &Waiter) {
    const std::string &Organisation = Waiter.to().Organisation;
    // The first link of an organisation uses the connection that is idle or
    // being opened.
    if (!Organisations.insert(Organisation).second ||
        At.Pool.opening(Organisation) > 0 ||
        At.Pool.idle(Organisation, Waiter.values()) != nullptr)
      return false;
    if (At.Pool.size(Organisation) > 0 &&
        Now - Waiter.queuedAt() < WaitBeforeOpening)
      return false;
    return At.Pool.mayOpen(Organisation, Now);
  };
  for (Link *Each : At.Waiting)
    if (MayOpenFor(*Each))
      return Each;
  // An opening takes a slot, too.
  if (At.Ready.empty() && hasSlotForLate(At))
    for (Link *Each : At.Late)
      if (MayOpenFor(*Each))
        return Each;
  return nullptr;
}

void TargetBroker::refuseAll(Target &At, RefusalCode Code,
                             const std::string &Reason) {
  std::vector<std::uint64_t> Refused;
  for (const auto *Queue : {&At.Waiting, &At.Late})
    for (const Link *Each : *Queue)
      Refused.push_back(Each->number());
  for (const std::uint64_t Number : Refused)
    if (Link *Each = findLink(Number))
      Each->refuse(Code, Reason);
}

void TargetBroker::expireWaiting(Target &At) {
  const Millis Now = Time.now();
  std::vector<std::uint64_t> Expired;
  for (const Link *Each : At.Waiting)
    if (Now >= Each->deadline())
      Expired.push_back(Each->number());
  for (const Link *Each : At.Late)
    if (Now >= Each->lateDeadline())
      Expired.push_back(Each->number());
  for (const std::uint64_t Number : Expired)
    if (Link *Each = findLink(Number))
      if (Each->isWaiting() && (Each->isLate() || !waitLate(At, *Each)))
        refuseAfterWait(At, *Each);
}

} // namespace corianderdyke
