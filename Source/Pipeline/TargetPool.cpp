/// \file
/// The connections of this proxy to one target, and its observations of the
/// target.

#include "Pipeline/TargetPool.h"

#include <algorithm>
#include <utility>

namespace corianderdyke {

void TargetPool::update(const TargetRecord &New, Millis Now) {
  if (isNewIncarnation(New))
    Observed = Observations(Now);
  if (New.IsLeaving && !Record.IsLeaving)
    Observed.LeavingSince = Now;
  Record = New;
}

TargetConnectionPtr TargetPool::idle(const std::string &Organisation,
                                     const SessionValues &Wanted) const {
  TargetConnectionPtr Best;
  for (const TargetConnectionPtr &Each : All) {
    if (Each->stage() != TargetConnection::Stage::Idle || Each->isWorn() ||
        Each->address().IsInternal ||
        Each->address().Organisation != Organisation)
      continue;
    if (Each->hasValues(Wanted))
      return Each;
    if (!Best || Each->idleSince() > Best->idleSince())
      Best = Each;
  }
  return Best;
}

// A link to shared connections uses one of its own organisation for each
// statement. Only an internal link uses any of them, so that probes do not wait
// for a connection of one organisation.
TargetConnectionPtr TargetPool::idleForInternalUse() const {
  TargetConnectionPtr Best;
  for (const TargetConnectionPtr &Each : All)
    if (Each->stage() == TargetConnection::Stage::Idle && !Each->isWorn() &&
        (!IsShared || !IsPerOrganisation || Each->address().IsInternal) &&
        (!Best || Each->idleSince() > Best->idleSince()))
      Best = Each;
  return Best;
}

std::size_t TargetPool::size(const std::string &Organisation) const {
  return count([&](const TargetConnection &Each) {
    return Each.address().Organisation == Organisation;
  });
}

std::size_t TargetPool::opening(const std::string &Organisation) const {
  return count([&](const TargetConnection &Each) {
    return Each.stage() == TargetConnection::Stage::Opening &&
           Each.address().Organisation == Organisation;
  });
}

TargetConnectionPtr
TargetPool::replaceable(const std::string &Organisation) const {
  TargetConnectionPtr Longest;
  for (const TargetConnectionPtr &Each : All)
    if (Each->stage() == TargetConnection::Stage::Idle &&
        Each->address().Organisation != Organisation &&
        (!Longest || Each->idleSince() < Longest->idleSince()))
      Longest = Each;
  return Longest;
}

std::size_t TargetPool::connectionLimit() const {
  return IsShared ? MaxLinks : Observed.Limit.value_or(Share + Burst);
}

void TargetPool::setShared(bool New, Millis Now) {
  if (std::exchange(IsShared, New) != New)
    maintain(Now);
}

bool TargetPool::mayOpen(const std::string &Organisation, Millis Now) const {
  if (isBackingOff(Now) || (!IsShared && Now < Observed.NextOpenAt))
    return false;
  return All.size() < connectionLimit() || replaceable(Organisation);
}

void TargetPool::open(TargetConnector &Connector, const ConnectionPurpose &For,
                      Millis Now, OpenHandlers Handlers) {
  if (All.size() >= connectionLimit())
    if (const TargetConnectionPtr Replaced = replaceable(For.Organisation)) {
      Replaced->close();
      remove(Replaced);
    }
  auto Weak = std::make_shared<std::weak_ptr<TargetConnection>>();
  auto Created = std::make_shared<TargetConnection>(
      Connector,
      TargetAddress{Record.Group, Record.Id, Record.Address, For.Organisation,
                    For.IsInternal},
      Now,
      TargetConnection::Events{
          [Weak, OnOpen = std::move(Handlers.OnOpen)] {
            if (const TargetConnectionPtr Open = Weak->lock())
              OnOpen(Open);
          },
          [Weak, OnClose = std::move(Handlers.OnClose)](
              const std::optional<StatementRefusal> &Refusal) {
            if (const TargetConnectionPtr Connection = Weak->lock())
              OnClose(Connection, Refusal);
          },
          [Weak, OnKeepaliveTimeout = std::move(Handlers.OnKeepaliveTimeout)] {
            const TargetConnectionPtr Connection = Weak->lock();
            if (Connection && OnKeepaliveTimeout)
              OnKeepaliveTimeout(Connection);
          },
          std::move(Handlers.OnUnexpectedAnswer)});
  *Weak = Created;
  All.push_back(std::move(Created));
}

bool TargetPool::handleClosed(const TargetConnectionPtr &Connection,
                              const std::optional<StatementRefusal> &Refusal,
                              Millis Now) {
  remove(Connection);
  if (isAtLimit(Refusal))
    recordConnectionRefused(Now);
  else if (!Connection->hasOpened())
    recordUnreachable(Now);
  return !Connection->hasOpened() &&
         (!Refusal || Refusal->Code == RefusalCode::Misrouted);
}

void TargetPool::remove(const TargetConnectionPtr &Connection) {
  All.erase(std::remove(All.begin(), All.end(), Connection), All.end());
}

std::vector<TargetConnectionPtr> TargetPool::closeAll() {
  // Destroying a link may open a connection, so the list may change meanwhile.
  std::vector<TargetConnectionPtr> Closed = All;
  for (const TargetConnectionPtr &Each : Closed)
    Each->close();
  return Closed;
}

void TargetPool::recordConnectionRefused(Millis Now) {
  Observed.Limit = std::max<std::size_t>(1, All.size());
  Observed.LimitRaisedAt = Now;
  Observed.NextOpenAt = Now + RefusedPause;
}

void TargetPool::recordUnreachable(Millis Now) {
  Observed.LastBackoff = Observed.LastBackoff == Millis()
                             ? InitialBackoff
                             : std::min(Observed.LastBackoff * 2, MaxBackoff);
  Observed.BackoffUntil = Now + Observed.LastBackoff;
}

void TargetPool::recordReachable(Millis Now) {
  Observed.LastAnswer = Now;
  Observed.LastBackoff = Millis();
  Observed.BackoffUntil = Millis();
}

void TargetPool::maintain(Millis Now) {
  const Millis Recovery =
      IsPerOrganisation ? LimitRecoveryPerOrganisation : LimitRecovery;
  if (Observed.Limit && Now - Observed.LimitRaisedAt >= Recovery) {
    Observed.LimitRaisedAt = Now;
    if (++*Observed.Limit >= Share + Burst)
      Observed.Limit.reset();
  }
  if (All.empty())
    return;
  const bool ServesOn = Record.IsLeaving
                            ? Record.IsPrimary && acceptsNewWork(Now)
                            : !Record.IsGone;
  const std::size_t Kept = ServesOn ? minWarmConnections() : 0;
  const Millis IdleLimit = IsPerOrganisation && IsSaturated && !IsRetiring
                               ? SaturatedIdleTimeout
                               : IdleTimeout;
  std::vector<TargetConnectionPtr> Before = All;
  // Closes the one that has been idle longest first; links are all kept or all
  // closed.
  if (!IsShared)
    std::sort(
        Before.begin(), Before.end(),
        [](const TargetConnectionPtr &Left, const TargetConnectionPtr &Right) {
          return Left->idleSince() < Right->idleSince();
        });
  for (const TargetConnectionPtr &Each : Before) {
    if ((Each->isShared() != IsShared || Each->isWorn()) &&
        Each->stage() == TargetConnection::Stage::Idle) {
      Each->close();
      remove(Each);
    }
    if (All.size() <= Kept || (IsShared && ServesOn))
      continue;
    if (Each->stage() != TargetConnection::Stage::Idle)
      continue;
    if (ServesOn && Now - Each->idleSince() < IdleLimit)
      continue;
    Each->close();
    remove(Each);
  }
}

} // namespace corianderdyke
