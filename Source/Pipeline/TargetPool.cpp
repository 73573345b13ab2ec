/// \file
/// The connections of this proxy to one target, and what it knows of it.

#include "Pipeline/TargetPool.h"

#include <algorithm>
#include <utility>

namespace corianderdyke {

void TargetPool::update(const TargetRecord &New, Millis Now) {
  if (beginsLife(New))
    Seen = Observations(Now);
  if (New.IsLeaving && !Record.IsLeaving)
    Seen.LeavingSince = Now;
  Record = New;
}

TargetConnectionPtr TargetPool::idle(const std::string &Organisation,
                                     const SessionValues &Wanted) const {
  TargetConnectionPtr Best;
  for (const TargetConnectionPtr &Each : All) {
    if (Each->stage() != TargetConnection::Stage::Idle ||
        Each->to().IsOwnWork || Each->to().Organisation != Organisation)
      continue;
    if (Each->carries(Wanted))
      return Each;
    if (!Best || Each->idleSince() > Best->idleSince())
      Best = Each;
  }
  return Best;
}

// A link to shared connections takes one of its own organisation with each
// statement, so only one that is marked keeps questions from waiting for that.
TargetConnectionPtr TargetPool::idleForOwnWork() const {
  TargetConnectionPtr Best;
  for (const TargetConnectionPtr &Each : All)
    if (Each->stage() == TargetConnection::Stage::Idle &&
        (!IsShared || !IsDivided || Each->to().IsOwnWork) &&
        (!Best || Each->idleSince() > Best->idleSince()))
      Best = Each;
  return Best;
}

std::size_t TargetPool::size(const std::string &Organisation) const {
  return count([&](const TargetConnection &Each) {
    return Each.to().Organisation == Organisation;
  });
}

std::size_t TargetPool::opening(const std::string &Organisation) const {
  return count([&](const TargetConnection &Each) {
    return Each.stage() == TargetConnection::Stage::Opening &&
           Each.to().Organisation == Organisation;
  });
}

TargetConnectionPtr
TargetPool::replaceable(const std::string &Organisation) const {
  TargetConnectionPtr Longest;
  for (const TargetConnectionPtr &Each : All)
    if (Each->stage() == TargetConnection::Stage::Idle &&
        Each->to().Organisation != Organisation &&
        (!Longest || Each->idleSince() < Longest->idleSince()))
      Longest = Each;
  return Longest;
}

std::size_t TargetPool::mostConnections() const {
  return IsShared ? MaxLinks : Seen.Limit.value_or(Share + Burst);
}

void TargetPool::setShared(bool New, Millis Now) {
  if (std::exchange(IsShared, New) != New)
    tend(Now);
}

bool TargetPool::mayOpen(const std::string &Organisation, Millis Now) const {
  if (isAvoided(Now) || (!IsShared && Now < Seen.OpenAgainAt))
    return false;
  return All.size() < mostConnections() || replaceable(Organisation);
}

void TargetPool::open(TargetConnector &Connector, const ConnectionPurpose &For,
                      Millis Now, OpenHandlers Handlers) {
  if (All.size() >= mostConnections())
    if (const TargetConnectionPtr Replaced = replaceable(For.Organisation)) {
      Replaced->close();
      remove(Replaced);
    }
  auto Weak = std::make_shared<std::weak_ptr<TargetConnection>>();
  auto Made = std::make_shared<TargetConnection>(
      Connector,
      TargetAddress{Record.Group, Record.Id, Record.Address, For.Organisation,
                    For.IsOwnWork},
      Now,
      TargetConnection::Events{
          [Weak, OnOpen = std::move(Handlers.OnOpen)] {
            if (const TargetConnectionPtr Open = Weak->lock())
              OnOpen(Open);
          },
          [Weak, OnClose = std::move(Handlers.OnClose)](
              const std::optional<StatementRefusal> &Why) {
            if (const TargetConnectionPtr Gone = Weak->lock())
              OnClose(Gone, Why);
          },
          [Weak, OnSilent = std::move(Handlers.OnSilent)] {
            const TargetConnectionPtr Silent = Weak->lock();
            if (Silent && OnSilent)
              OnSilent(Silent);
          }});
  *Weak = Made;
  All.push_back(std::move(Made));
}

bool TargetPool::noteClosed(const TargetConnectionPtr &Gone,
                            const std::optional<StatementRefusal> &Why,
                            Millis Now) {
  remove(Gone);
  if (isAtLimit(Why))
    refusedConnection(Now);
  else if (!Gone->hasOpened())
    unreachable(Now);
  return !Gone->hasOpened() && (!Why || Why->Code == RefusalCode::Misrouted);
}

void TargetPool::remove(const TargetConnectionPtr &Gone) {
  All.erase(std::remove(All.begin(), All.end(), Gone), All.end());
}

std::vector<TargetConnectionPtr> TargetPool::closeAll() {
  for (const TargetConnectionPtr &Each : All)
    Each->close();
  return All;
}

void TargetPool::refusedConnection(Millis Now) {
  Seen.Limit = std::max<std::size_t>(1, All.size());
  Seen.LimitRaisedAt = Now;
  Seen.OpenAgainAt = Now + RefusedPause;
}

void TargetPool::unreachable(Millis Now) {
  Seen.LastAvoid = Seen.LastAvoid == Millis()
                       ? FirstAvoid
                       : std::min(Seen.LastAvoid * 2, LongestAvoid);
  Seen.AvoidUntil = Now + Seen.LastAvoid;
}

void TargetPool::reached(Millis Now) {
  Seen.LastAnswer = Now;
  Seen.LastAvoid = Millis();
  Seen.AvoidUntil = Millis();
}

void TargetPool::tend(Millis Now) {
  const Millis Recovery = IsDivided ? LimitRecoveryWhereDivided : LimitRecovery;
  if (Seen.Limit && Now - Seen.LimitRaisedAt >= Recovery) {
    Seen.LimitRaisedAt = Now;
    if (++*Seen.Limit >= Share + Burst)
      Seen.Limit.reset();
  }
  if (All.empty())
    return;
  const bool ServesOn =
      Record.IsLeaving ? Record.IsPrimary && mayTakeWork(Now) : !Record.IsGone;
  const std::size_t Kept = ServesOn ? kept() : 0;
  const Millis IdleBorne =
      IsDivided && IsPressed && !IsRetiring ? IdleWherePressed : IdleBeyondWarm;
  std::vector<TargetConnectionPtr> Before = All;
  // The one that was idle for longest goes first; links all stay or all go.
  if (!IsShared)
    std::sort(
        Before.begin(), Before.end(),
        [](const TargetConnectionPtr &Left, const TargetConnectionPtr &Right) {
          return Left->idleSince() < Right->idleSince();
        });
  for (const TargetConnectionPtr &Each : Before) {
    if (Each->isShared() != IsShared &&
        Each->stage() == TargetConnection::Stage::Idle) {
      Each->close();
      remove(Each);
    }
    if (All.size() <= Kept || (IsShared && ServesOn))
      continue;
    if (Each->stage() != TargetConnection::Stage::Idle)
      continue;
    if (ServesOn && Now - Each->idleSince() < IdleBorne)
      continue;
    Each->close();
    remove(Each);
  }
}

} // namespace corianderdyke
