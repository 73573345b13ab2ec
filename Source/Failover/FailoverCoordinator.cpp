/// \file
/// Replaces failed primaries. Runs on the leading control host.

#include "Failover/FailoverCoordinator.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// An order without an answer is sent again after this long.
constexpr Millis CallAgainAfter(150);
/// A proposal normally commits within a few milliseconds.
constexpr Millis ProposeAgainAfter(1000);
/// How many times SuspectAfter a group with too few targets waits before its
/// manifest's promote-with-loss policy applies.
constexpr std::int64_t TooFewPatience = 10;

std::size_t readingsNeeded(const DatabasePolicy &Policy) {
  return Policy.Targets - Policy.Copies + 1;
}

/// Higher log term first: a target that followed a fork may hold a higher
/// position of a term that lost.
bool isBehind(const TargetPosition &Left, const TargetPosition &Right) {
  return std::pair(Left.LogTerm, Left.Position) <
         std::pair(Right.LogTerm, Right.Position);
}

} // namespace

bool isSuspected(const std::string &Target, const LeaseRegistry &Leases,
                 const FailoverPolicy &Policy, Millis Now) {
  std::size_t Live = 0;
  std::size_t Against = 0;
  for (const auto &[Id, Holder] : Leases.holders()) {
    if (Now - Holder.LastHeard > Policy.LeaseDuration)
      continue;
    for (const TargetReport &Each : Holder.Reports) {
      if (Each.Target != Target)
        continue;
      ++Live;
      if (!Each.Reachable)
        ++Against;
    }
  }
  return Live > 0 && Against * 2 > Live;
}

FailoverActions FailoverCoordinator::step(const ClusterView &View,
                                          const LeaseRegistry &Leases,
                                          Millis Now) {
  FailoverActions Out;
  if (!View.Current)
    return Out;
  for (const DatabasePolicy &Policy : View.Current->Databases) {
    const GroupRecord *Group = View.group(Policy.Name);
    if (Group == nullptr)
      continue;
    Progress &At = Databases[Policy.Name];
    if (At.Term != Group->Term || At.Phase != Group->Phase || At.Revision == 0)
      At = Progress{Group->Term, Group->Phase, Now, View.Revision,
                    Millis(),    {},           {},  {}};
    switch (Group->Phase) {
    case GroupPhase::Forming:
      stepForming(View, *Group, Policy, At, Now, Out);
      break;
    case GroupPhase::Promoted:
      stepPromoted(View, *Group, Leases, At, Now, Out);
      break;
    case GroupPhase::Fencing:
      stepFencing(View, *Group, Policy, Leases, At, Now, Out);
      break;
    }
  }
  return Out;
}

void FailoverCoordinator::stepForming(const ClusterView &View,
                                      const GroupRecord &Group,
                                      const DatabasePolicy &Policy,
                                      Progress &At, Millis Now,
                                      FailoverActions &Out) {
  if (View.targetsOf(Group.Database).size() < readingsNeeded(Policy) ||
      Now < At.ProposedUntil)
    return;
  At.ProposedUntil = Now + ProposeAgainAfter;
  Out.Proposals.push_back(
      FenceGroup{Group.Database, Group.Term + 1, "first primary"});
}

void FailoverCoordinator::stepPromoted(const ClusterView &View,
                                       const GroupRecord &Group,
                                       const LeaseRegistry &Leases,
                                       Progress &At, Millis Now,
                                       FailoverActions &Out) {
  const TargetAnnouncement *Primary = View.target(Group.Primary);
  const bool Leaving = Primary == nullptr || Primary->Leaving;
  const bool Silent =
      isSuspected(Group.Primary, Leases, View.Current->Failover, Now);
  if (Leaving || Silent) {
    if (Now < At.ProposedUntil)
      return;
    At.ProposedUntil = Now + ProposeAgainAfter;
    Out.Proposals.push_back(FenceGroup{
        Group.Database, Group.Term + 1,
        Group.Primary + (Leaving ? " is leaving" : " can't be reached")});
    return;
  }
  for (const TargetAnnouncement &Each : View.targetsOf(Group.Database)) {
    if (At.Confirmed.count(Each.Name) != 0 &&
        At.Confirmed[Each.Name] >= Each.Sequence)
      continue;
    const auto Called = At.CalledAt.find(Each.Name);
    if (Called != At.CalledAt.end() && Now - Called->second < CallAgainAfter)
      continue;
    At.CalledAt[Each.Name] = Now;
    Out.Calls.push_back({Each.Name == Group.Primary ? TargetOrder::Promote
                                                    : TargetOrder::Follow,
                         Each, Group.Term, Primary->Address, Group.Forks});
  }
}

void FailoverCoordinator::stepFencing(const ClusterView &View,
                                      const GroupRecord &Group,
                                      const DatabasePolicy &Policy,
                                      const LeaseRegistry &Leases, Progress &At,
                                      Millis Now, FailoverActions &Out) {
  const std::vector<TargetAnnouncement> Targets =
      View.targetsOf(Group.Database);
  for (const TargetAnnouncement &Each : Targets) {
    const auto Called = At.CalledAt.find(Each.Name);
    if (At.Positions.count(Each.Name) != 0 ||
        (Called != At.CalledAt.end() && Now - Called->second < CallAgainAfter))
      continue;
    At.CalledAt[Each.Name] = Now;
    Out.Calls.push_back(
        {TargetOrder::Fence, Each, Group.Term, Endpoint{}, Group.Forks});
  }
  // The former primary must be unable to be acknowledged anywhere before
  // another takes its place.
  if (!Leases.isInForce(View, At.Revision, Now) || Now < At.ProposedUntil)
    return;
  const TargetAnnouncement *Best = nullptr;
  std::size_t Readings = 0;
  for (const TargetAnnouncement &Each : Targets) {
    if (At.Positions.count(Each.Name) == 0)
      continue;
    ++Readings;
    if (Best == nullptr ||
        isBehind(At.Positions[Best->Name], At.Positions[Each.Name]))
      Best = &Each;
  }
  std::string Reason = std::to_string(Readings) + " of " +
                       std::to_string(Policy.Targets) + " targets read";
  if (Readings < readingsNeeded(Policy)) {
    const Millis Patience =
        View.Current->Failover.SuspectAfter * TooFewPatience;
    if (Best == nullptr || Policy.TooFew == TooFewPolicy::Wait ||
        Now - At.Since < Patience)
      return;
    Reason += "; acknowledged writes may be lost";
  }
  At.ProposedUntil = Now + ProposeAgainAfter;
  Out.Proposals.push_back(PromoteTarget{Group.Database, Group.Term, Best->Name,
                                        At.Positions[Best->Name].Position,
                                        Reason});
}

void FailoverCoordinator::answered(const TargetCall &Call,
                                   const TargetPosition &Answer) {
  const auto Known = Databases.find(Call.Target.Database);
  if (Known == Databases.end() || Known->second.Term != Call.Term ||
      Answer.Term != Call.Term)
    return;
  if (Call.Order == TargetOrder::Fence)
    Known->second.Positions[Call.Target.Name] = Answer;
  else
    Known->second.Confirmed[Call.Target.Name] = Call.Target.Sequence;
}

} // namespace corianderdyke
