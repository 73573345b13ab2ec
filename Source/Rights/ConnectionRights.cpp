/// \file
/// The connections that this proxy may have open.

#include "Rights/ConnectionRights.h"

#include <algorithm>

namespace corianderdyke {

RightsRequest
ConnectionRights::request(const std::map<std::string, ConnectionUse> &Use,
                          Millis Now) {
  RightsRequest Out{Self,         ++Sequence, Now, LeaderTerm,
                    AppliedGrant, Leaving,    {}};
  std::map<std::string, ConnectionUse> All = Use;
  for (const auto &[Target, Connections] : AllocationByTarget)
    All.try_emplace(Target);
  std::map<std::string, std::uint32_t> Wanted;
  for (const auto &[Target, Each] : All) {
    Wanted[Target] = Each.Wanted;
    const std::uint32_t Held = std::max(Each.Open, limit(Target, Now));
    Out.Demands.push_back(
        {Target, Held, std::max(Each.Wanted, PreviouslyWanted[Target])});
  }
  PreviouslyWanted = std::move(Wanted);
  return Out;
}

bool ConnectionRights::apply(const RightsGrant &Grant) {
  if (Grant.Proxy != Self || Grant.LeaderTerm < LeaderTerm)
    return false;
  const bool IsNewLeader = Grant.LeaderTerm > LeaderTerm;
  LeaderTerm = Grant.LeaderTerm;
  if (Grant.Duration == Millis())
    return IsNewLeader;
  if (Leaving || Grant.Sequence <= AppliedGrant || Grant.Sequence > Sequence)
    return false;
  AppliedGrant = Grant.Sequence;
  End = Grant.SentAt + Grant.Duration;
  AllocationByTarget.clear();
  for (const RightsAllocation &Each : Grant.Allocations)
    AllocationByTarget[Each.Target] = Each.Connections;
  return false;
}

void ConnectionRights::relinquish() {
  Leaving = true;
  AllocationByTarget.clear();
  PreviouslyWanted.clear();
  // Grants in flight are ignored from now on, so none needs to be counted.
  AppliedGrant = Sequence;
}

std::uint32_t ConnectionRights::limit(const std::string &Target,
                                      Millis Now) const {
  const auto Found = AllocationByTarget.find(Target);
  return Now >= End || Found == AllocationByTarget.end() ? 0 : Found->second;
}

} // namespace corianderdyke
