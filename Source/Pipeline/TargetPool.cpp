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

std::size_t TargetPool::count(TargetConnection::Stage Which) const {
  return static_cast<std::size_t>(
      std::count_if(All.begin(), All.end(), [Which](const auto &Each) {
        return Each->stage() == Which;
      }));
}

TargetConnectionPtr TargetPool::idle(const SessionValues &Wanted) const {
  TargetConnectionPtr Best;
  for (const TargetConnectionPtr &Each : All) {
    if (Each->stage() != TargetConnection::Stage::Idle)
      continue;
    if (Each->carries(Wanted))
      return Each;
    if (!Best || Each->idleSince() > Best->idleSince())
      Best = Each;
  }
  return Best;
}

void TargetPool::setShared(bool New, Millis Now) {
  if (std::exchange(IsShared, New) != New)
    tend(Now);
}

bool TargetPool::mayOpen(Millis Now) const {
  if (IsShared)
    return !isAvoided(Now) && All.size() < MaxLinks;
  return !isAvoided(Now) && Now >= Seen.OpenAgainAt &&
         All.size() < Seen.Limit.value_or(Share + Burst);
}

void TargetPool::open(TargetConnector &Connector, Millis Now,
                      OpenHandlers Handlers) {
  auto Weak = std::make_shared<std::weak_ptr<TargetConnection>>();
  auto Made = std::make_shared<TargetConnection>(
      Connector, TargetAddress{Record.Group, Record.Id, Record.Address}, Now,
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
  if (Seen.Limit && Now - Seen.LimitRaisedAt >= LimitRecovery) {
    Seen.LimitRaisedAt = Now;
    if (++*Seen.Limit >= Share + Burst)
      Seen.Limit.reset();
  }
  const bool ServesOn =
      Record.IsLeaving ? Record.IsPrimary && mayTakeWork(Now) : !Record.IsGone;
  const std::size_t Kept = ServesOn ? kept() : 0;
  const std::vector<TargetConnectionPtr> Before = All;
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
    if (Kept > 0 && Now - Each->idleSince() < IdleBeyondWarm)
      continue;
    Each->close();
    remove(Each);
  }
}

} // namespace corianderdyke
