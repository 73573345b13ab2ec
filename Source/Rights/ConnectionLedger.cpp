/// \file
/// The control leader's record of the connections that proxies may have open.

#include "Rights/ConnectionLedger.h"

#include "Lease/LeaseRegistry.h"
#include "Rights/Division.h"

#include <algorithm>

namespace corianderdyke {

namespace {

Millis longestRights(const ClusterView &View) {
  const std::uint32_t DriftPpm =
      View.Current ? View.Current->Failover.ClockDriftPpm : 0;
  return longestLease(RightsDuration, DriftPpm);
}

std::uint32_t limitOf(const ClusterView &View, const std::string &Target) {
  const TargetAnnouncement *Known = View.target(Target);
  if (Known == nullptr || !View.Current)
    return 0;
  // A leaving primary serves until another has taken its place. Without its
  // connections even strict reads would wait for the end of the hand-over.
  const GroupRecord *Group = View.group(Known->Database);
  if (Known->Leaving && (Group == nullptr || Group->Primary != Target))
    return 0;
  const DatabasePolicy *Policy = View.Current->database(Known->Database);
  return Policy == nullptr ? 0 : Policy->ConnectionsPerTarget;
}

} // namespace

std::uint32_t ConnectionLedger::Loan::outstanding() const {
  std::uint32_t Most = Held;
  for (const auto &[Sequence, Connections] : UnderWay)
    Most = std::max(Most, Connections);
  return Most;
}

void ConnectionLedger::begin(std::uint64_t LeaderTerm, const ClusterView &View,
                             Millis Now) {
  Term = LeaderTerm;
  Holders.clear();
  Unheard.clear();
  for (const auto &[Id, Where] : View.Proxies)
    Unheard.insert(Id);
  UnheardUntil = Now + longestRights(View);
}

bool ConnectionLedger::isRebuilt(Millis Now) const {
  return Unheard.empty() || Now >= UnheardUntil;
}

bool ConnectionLedger::mayHold(const ProcessId &Proxy, Millis Now) const {
  if (Unheard.count(Proxy) != 0 && Now < UnheardUntil)
    return true;
  const auto Found = Holders.find(Proxy);
  return Found != Holders.end() && Now < Found->second.End;
}

std::uint32_t ConnectionLedger::outstanding(const std::string &Target) const {
  std::uint32_t Sum = 0;
  for (const auto &[Id, Each] : Holders)
    Sum += outstanding(Id, Target);
  return Sum;
}

std::uint32_t ConnectionLedger::outstanding(const ProcessId &Proxy,
                                            const std::string &Target) const {
  const auto Of = Holders.find(Proxy);
  if (Of == Holders.end())
    return 0;
  const auto Found = Of->second.Loans.find(Target);
  return Found == Of->second.Loans.end() ? 0 : Found->second.outstanding();
}

void ConnectionLedger::expire(Millis Now) {
  std::erase_if(Holders,
                [Now](const auto &Each) { return Each.second.End <= Now; });
}

void ConnectionLedger::takeReport(Holder &Of, const RightsRequest &Request) {
  Of.LastSequence = Request.Sequence;
  Of.Leaving = Request.Leaving;
  for (auto &[Target, Each] : Of.Loans) {
    Each.Held = 0;
    Each.Wanted = 0;
    std::erase_if(Each.UnderWay, [&Request](const auto &Grant) {
      return Grant.first <= Request.AppliedGrant;
    });
  }
  for (const RightsDemand &Each : Request.Demands) {
    Of.Loans[Each.Target].Held = Each.Held;
    Of.Loans[Each.Target].Wanted = Each.Wanted;
  }
}

std::uint32_t ConnectionLedger::decide(const ProcessId &Proxy,
                                       const std::string &Target,
                                       std::uint32_t Limit, Millis Now) const {
  std::vector<ConnectionClaim> Claims;
  std::size_t Own = 0;
  for (const auto &[Id, Each] : Holders) {
    if (Each.Leaving)
      continue;
    if (Id == Proxy)
      Own = Claims.size();
    const auto Found = Each.Loans.find(Target);
    Claims.push_back(Found == Each.Loans.end()
                         ? ConnectionClaim{}
                         : ConnectionClaim{Found->second.Wanted,
                                           Found->second.outstanding()});
  }
  const std::vector<std::uint32_t> Parts = divideConnections(Limit, Claims);
  const std::uint32_t Lent = outstanding(Target);
  std::uint32_t Missing = 0;
  for (std::size_t Index = 0; Index < Claims.size(); ++Index)
    if (Parts[Index] > Claims[Index].Outstanding)
      Missing += Parts[Index] - Claims[Index].Outstanding;
  const std::uint32_t Mine = Claims[Own].Outstanding;
  const bool MayLend = isRebuilt(Now) && Lent < Limit;
  const std::uint32_t Free = MayLend ? Limit - Lent : 0;
  if (Parts[Own] >= Mine)
    return Mine + std::min(Parts[Own] - Mine, Free);
  // Idle connections are taken back only where another proxy needs them.
  const std::uint32_t Over = Lent > Limit ? Lent - Limit : 0;
  const std::uint32_t Needed =
      std::max(Missing - std::min(Missing, Free), Over);
  return std::max(Parts[Own], Mine - std::min(Mine, Needed));
}

std::optional<RightsGrant>
ConnectionLedger::answer(const RightsRequest &Request, const ClusterView &View,
                         Millis ReceivedAt) {
  expire(ReceivedAt);
  if (View.Proxies.count(Request.Proxy) == 0 || Request.LeaderTerm > Term)
    return std::nullopt;
  RightsGrant Out{
      Request.Proxy, Request.Sequence, Request.SentAt, Millis(), Term, {}};
  if (Request.LeaderTerm < Term)
    return Out;
  Holder &Of = Holders[Request.Proxy];
  if (Request.Sequence <= Of.LastSequence)
    return std::nullopt;
  Unheard.erase(Request.Proxy);
  takeReport(Of, Request);
  Of.End = ReceivedAt + longestRights(View);
  if (Of.Leaving)
    return std::nullopt;
  Out.Duration = RightsDuration;
  for (auto &[Target, Each] : Of.Loans) {
    const std::uint32_t Connections =
        decide(Request.Proxy, Target, limitOf(View, Target), ReceivedAt);
    Each.UnderWay[Request.Sequence] = Connections;
    Out.Shares.push_back({Target, Connections});
  }
  return Out;
}

} // namespace corianderdyke
