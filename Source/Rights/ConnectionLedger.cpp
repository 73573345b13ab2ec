/// \file
/// The control leader's record of the connections granted to proxies.

#include "Rights/ConnectionLedger.h"

#include "Lease/LeaseRegistry.h"
#include "Rights/ConnectionDivision.h"

#include <algorithm>

namespace corianderdyke {

namespace {

Millis maxRightsDuration(const ClusterView &View) {
  const std::uint32_t DriftPpm =
      View.CurrentManifest ? View.CurrentManifest->Failover.ClockDriftPpm : 0;
  return maxLeaseAcrossClocks(RightsDuration, DriftPpm);
}

std::uint32_t limitOf(const ClusterView &View, const std::string &Target) {
  const TargetAnnouncement *Known = View.target(Target);
  if (Known == nullptr || !View.CurrentManifest)
    return 0;
  // A leaving primary serves until its successor is promoted. Without
  // connections to it, even reads that need the primary would wait until then.
  const GroupRecord *Group = View.group(Known->Database);
  if (Known->Leaving && (Group == nullptr || Group->Primary != Target))
    return 0;
  const DatabasePolicy *Policy =
      View.CurrentManifest->database(Known->Database);
  return Policy == nullptr ? 0 : Policy->ConnectionsPerTarget;
}

} // namespace

std::uint32_t ConnectionLedger::Allocation::outstanding() const {
  std::uint32_t Most = Held;
  for (const auto &[Sequence, Connections] : UnconfirmedGrants)
    Most = std::max(Most, Connections);
  return Most;
}

void ConnectionLedger::startTerm(std::uint64_t LeaderTerm,
                                 const ClusterView &View, Millis Now) {
  Term = LeaderTerm;
  Holders.clear();
  AwaitedProxies.clear();
  for (const auto &[Id, Where] : View.Proxies)
    AwaitedProxies.insert(Id);
  AwaitReportsUntil = Now + maxRightsDuration(View);
}

bool ConnectionLedger::isComplete(Millis Now) const {
  return AwaitedProxies.empty() || Now >= AwaitReportsUntil;
}

bool ConnectionLedger::mayHoldConnections(const ProcessId &Proxy,
                                          Millis Now) const {
  if (AwaitedProxies.count(Proxy) != 0 && Now < AwaitReportsUntil)
    return true;
  const auto Found = Holders.find(Proxy);
  return Found != Holders.end() && Now < Found->second.ExpiresAt;
}

std::uint32_t ConnectionLedger::outstanding(const std::string &Target) const {
  std::uint32_t Sum = 0;
  for (const auto &[Id, Each] : Holders)
    Sum += outstanding(Id, Target);
  return Sum;
}

std::uint32_t ConnectionLedger::outstanding(const ProcessId &Proxy,
                                            const std::string &Target) const {
  const auto Known = Holders.find(Proxy);
  if (Known == Holders.end())
    return 0;
  const auto Found = Known->second.Allocations.find(Target);
  return Found == Known->second.Allocations.end() ? 0
                                                  : Found->second.outstanding();
}

void ConnectionLedger::expire(Millis Now) {
  std::erase_if(Holders, [Now](const auto &Each) {
    return Each.second.ExpiresAt <= Now;
  });
}

void ConnectionLedger::applyReport(Holder &Sender,
                                   const RightsRequest &Request) {
  Sender.LastSequence = Request.Sequence;
  Sender.Leaving = Request.Leaving;
  for (auto &[Target, Each] : Sender.Allocations) {
    Each.Held = 0;
    Each.Wanted = 0;
    std::erase_if(Each.UnconfirmedGrants, [&Request](const auto &Grant) {
      return Grant.first <= Request.AppliedGrant;
    });
  }
  for (const RightsDemand &Each : Request.Demands) {
    Sender.Allocations[Each.Target].Held = Each.Held;
    Sender.Allocations[Each.Target].Wanted = Each.Wanted;
  }
}

std::uint32_t ConnectionLedger::computeGrant(const ProcessId &Proxy,
                                             const std::string &Target,
                                             std::uint32_t Limit,
                                             Millis Now) const {
  std::vector<ConnectionClaim> Claims;
  std::size_t Own = 0;
  for (const auto &[Id, Each] : Holders) {
    if (Each.Leaving)
      continue;
    if (Id == Proxy)
      Own = Claims.size();
    const auto Found = Each.Allocations.find(Target);
    Claims.push_back(Found == Each.Allocations.end()
                         ? ConnectionClaim{}
                         : ConnectionClaim{Found->second.Wanted,
                                           Found->second.outstanding()});
  }
  const std::vector<std::uint32_t> Parts = divideConnections(Limit, Claims);
  const std::uint32_t Granted = outstanding(Target);
  std::uint32_t Missing = 0;
  for (std::size_t Index = 0; Index < Claims.size(); ++Index)
    if (Parts[Index] > Claims[Index].Outstanding)
      Missing += Parts[Index] - Claims[Index].Outstanding;
  const std::uint32_t OwnOutstanding = Claims[Own].Outstanding;
  const bool MayGrant = isComplete(Now) && Granted < Limit;
  const std::uint32_t Free = MayGrant ? Limit - Granted : 0;
  if (Parts[Own] >= OwnOutstanding)
    return OwnOutstanding + std::min(Parts[Own] - OwnOutstanding, Free);
  // Idle connections are reclaimed only if another proxy needs them.
  const std::uint32_t Over = Granted > Limit ? Granted - Limit : 0;
  const std::uint32_t Needed =
      std::max(Missing - std::min(Missing, Free), Over);
  return std::max(Parts[Own],
                  OwnOutstanding - std::min(OwnOutstanding, Needed));
}

std::optional<RightsGrant>
ConnectionLedger::handleRequest(const RightsRequest &Request,
                                const ClusterView &View, Millis ReceivedAt) {
  expire(ReceivedAt);
  if (View.Proxies.count(Request.Proxy) == 0 || Request.LeaderTerm > Term)
    return std::nullopt;
  RightsGrant Out{
      Request.Proxy, Request.Sequence, Request.SentAt, Millis(), Term, {}};
  if (Request.LeaderTerm < Term)
    return Out;
  Holder &Sender = Holders[Request.Proxy];
  if (Request.Sequence <= Sender.LastSequence)
    return std::nullopt;
  AwaitedProxies.erase(Request.Proxy);
  applyReport(Sender, Request);
  Sender.ExpiresAt = ReceivedAt + maxRightsDuration(View);
  if (Sender.Leaving)
    return std::nullopt;
  Out.Duration = RightsDuration;
  for (auto &[Target, Each] : Sender.Allocations) {
    const std::uint32_t Connections =
        computeGrant(Request.Proxy, Target, limitOf(View, Target), ReceivedAt);
    Each.UnconfirmedGrants[Request.Sequence] = Connections;
    Out.Allocations.push_back({Target, Connections});
  }
  return Out;
}

} // namespace corianderdyke
