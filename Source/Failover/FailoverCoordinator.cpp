/// \file
/// Replaces failed primaries. Runs on the leading control host.

#include "Failover/FailoverCoordinator.h"

#include <algorithm>
#include <utility>

namespace corianderdyke {

namespace {

/// An order without an answer is sent again after this long.
constexpr Millis CallAgainAfter(150);
/// A proposal normally commits within a few milliseconds.
constexpr Millis ProposeAgainAfter(1000);
/// How many times SuspectAfter a group with too few targets waits before its
/// manifest's promote-with-loss policy applies.
constexpr std::int64_t TooFewPatience = 10;
/// A hand-over waits for what runs at the leaving primary, but not longer.
constexpr Millis DrainAtMost(10000);
/// The former primary is chosen again only where the others don't answer
/// within this time.
constexpr Millis OthersFirst(150);

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
    if (Now - Holder.LastRequestAt > Policy.LeaseDuration || !Holder.hasView())
      continue;
    ++Live;
    if (Holder.unhealthyReport(Target) != nullptr)
      ++Against;
  }
  return Live > 0 && Against * 2 > Live;
}

FailoverActions FailoverCoordinator::step(const ClusterView &View,
                                          const LeaseRegistry &Leases,
                                          Millis Now) {
  FailoverActions Out;
  if (!View.CurrentManifest)
    return Out;
  for (const DatabasePolicy &Policy : View.CurrentManifest->Databases) {
    const GroupRecord *Group = View.group(Policy.Name);
    if (Group == nullptr)
      continue;
    GroupState &Of = Databases[Policy.Name];
    Progress &At = Of.At;
    if (At.Term != Group->Term || At.Phase != Group->Phase ||
        At.Revision == 0) {
      if (At.Phase == GroupPhase::Promoted)
        Of.Pace.recordReplacement(Now);
      At = Progress();
      At.Term = Group->Term;
      At.Phase = Group->Phase;
      At.Since = Now;
      At.Revision = View.Revision;
    }
    const Step In{View, *Group, Policy, Leases, Now, Out};
    switch (Group->Phase) {
    case GroupPhase::Forming:
      stepForming(In, At);
      break;
    case GroupPhase::Promoted:
      stepPromoted(In, Of);
      break;
    case GroupPhase::Draining:
      stepDraining(In, Of);
      break;
    case GroupPhase::Fencing:
      stepFencing(In, Of);
      break;
    }
  }
  return Out;
}

void FailoverCoordinator::stepForming(const Step &In, Progress &At) {
  if (In.View.targetsOf(In.Group.Database).size() <
          In.Group.failoverQuorum(In.Policy) ||
      In.Now < At.ProposedUntil)
    return;
  At.ProposedUntil = In.Now + ProposeAgainAfter;
  In.Out.Proposals.push_back(
      FenceGroup{In.Group.Database, In.Group.Term + 1, "first primary"});
}

std::string FailoverCoordinator::reasonToReplace(const Step &In,
                                                 GroupState &Of) {
  const std::string &Name = In.Group.Primary;
  const TargetAnnouncement *Primary = In.View.target(Name);
  if (Primary == nullptr)
    return Name + " is gone";
  // A primary that restarted may have lost its log or the end of it. Given
  // the same term again it would use positions twice, and copies of what its
  // former life wrote would pass for copies of what it writes now.
  const bool Restarted =
      !Primary->Leaving && Primary->Sequence != In.Group.PrimarySequence;
  const FailoverPolicy &Limits = In.View.CurrentManifest->Failover;
  if (!Restarted && !isSuspected(Name, In.Leases, Limits, In.Now)) {
    Of.At.SuspectedSince.reset();
    return "";
  }
  if (!Of.At.SuspectedSince)
    Of.At.SuspectedSince = In.Now;
  if (In.Now - *Of.At.SuspectedSince <
      Of.Pace.delay(Limits.SuspectAfter, In.Now))
    return "";
  return Name + (Restarted
                     ? " has restarted"
                     : " can't be reached, or can't copy to its replicas");
}

void FailoverCoordinator::stepPromoted(const Step &In, GroupState &Of) {
  const std::string Reason = reasonToReplace(In, Of);
  if (!Reason.empty()) {
    if (In.Now < Of.At.ProposedUntil)
      return;
    Of.At.ProposedUntil = In.Now + ProposeAgainAfter;
    Of.Replaced = In.Group.Primary;
    In.Out.Proposals.push_back(
        FenceGroup{In.Group.Database, In.Group.Term + 1, Reason});
    return;
  }
  if (In.View.target(In.Group.Primary)->Leaving)
    return startHandOver(In, Of.At);
  assignRoles(In, Of.At);
  confirmCaughtUpTargets(In, Of.At);
}

void FailoverCoordinator::startHandOver(const Step &In, Progress &At) {
  // Begun without enough others, a hand-over would end in a group that
  // stands still: its primary is better kept until they are there.
  const GroupRecord &Group = In.Group;
  std::size_t Ready = 0;
  for (const TargetAnnouncement &Each : In.View.targetsOf(Group.Database))
    if (Group.isLogComplete(Each) &&
        !isSuspected(Each.Name, In.Leases, In.View.CurrentManifest->Failover,
                     In.Now))
      ++Ready;
  const std::size_t Needed = In.Group.failoverQuorum(In.Policy);
  const std::string Who = Group.Primary + " is leaving";
  if (Ready < Needed) {
    if (!std::exchange(At.ShortageRecorded, true))
      In.Out.Proposals.push_back(
          RecordAuditEvent{"hand-over-waiting", Group.Database,
                           Who + "; " + std::to_string(Ready) +
                               " other targets can take over, " +
                               std::to_string(Needed) + " are needed"});
    return;
  }
  if (In.Now < At.ProposedUntil)
    return;
  At.ProposedUntil = In.Now + ProposeAgainAfter;
  In.Out.Proposals.push_back(DrainGroup{Group.Database, Group.Term, Who});
}

void FailoverCoordinator::stepDraining(const Step &In, GroupState &Of) {
  // What runs ends by its own deadline or by the bound of idle transactions.
  // One caller must not keep all others waiting for longer.
  const std::string Failed = reasonToReplace(In, Of);
  const bool Drained =
      In.Leases.isDrained(In.View, In.Group.Database, Of.At.Revision, In.Now);
  if ((Failed.empty() && !Drained && In.Now - Of.At.Since < DrainAtMost) ||
      In.Now < Of.At.ProposedUntil)
    return;
  Of.At.ProposedUntil = In.Now + ProposeAgainAfter;
  In.Out.Proposals.push_back(FenceGroup{
      In.Group.Database, In.Group.Term + 1,
      Failed.empty() ? In.Group.Primary + " has handed over" : Failed});
}

bool FailoverCoordinator::mayCall(const std::string &Target, Progress &At,
                                  Millis Now) {
  const auto Called = At.CalledAt.find(Target);
  if (Called != At.CalledAt.end() && Now - Called->second < CallAgainAfter)
    return false;
  At.CalledAt[Target] = Now;
  return true;
}

void FailoverCoordinator::assignRoles(const Step &In, Progress &At) {
  const GroupRecord &Group = In.Group;
  const TargetAnnouncement &Primary = *In.View.target(Group.Primary);
  if (Primary.Sequence != Group.PrimarySequence)
    return;
  for (const TargetAnnouncement &Each : In.View.targetsOf(Group.Database)) {
    const auto Done = At.Confirmed.find(Each.Name);
    if ((Done != At.Confirmed.end() && Done->second >= Each.Sequence) ||
        !mayCall(Each.Name, At, In.Now))
      continue;
    In.Out.Orders.push_back({Each.Name == Group.Primary
                                 ? TargetOrderKind::Promote
                                 : TargetOrderKind::Follow,
                             Each, Group.Term, Primary.Address, Group.Forks});
  }
}

void FailoverCoordinator::confirmCaughtUpTargets(const Step &In, Progress &At) {
  const GroupRecord &Group = In.Group;
  const TargetAnnouncement &Primary = *In.View.target(Group.Primary);
  for (const TargetAnnouncement &Each : In.View.targetsOf(Group.Database)) {
    const bool Proven = Group.isLogComplete(Each) &&
                        Group.UnverifiedTargets.count(Each.Name) == 0;
    if (Proven || Each.Name == Group.Primary)
      continue;
    CatchUp &Of = At.CatchUps[Each.Name];
    const std::uint64_t Version = In.View.CurrentManifest->Version;
    if (Of.Revision == 0 || Of.LogId != Each.LogId ||
        Of.ManifestVersion != Version)
      Of = {Each.LogId, Version, In.View.Revision, false, std::nullopt, false};
    if (!In.Leases.isInForce(In.View, Of.Revision, In.Now))
      continue;
    if (Of.Reached && In.Now >= At.ProposedUntil) {
      At.ProposedUntil = In.Now + ProposeAgainAfter;
      In.Out.Proposals.push_back(
          ConfirmTargetLog{Group.Database, Group.Term, Each.Name, Each.LogId});
    }
    if (Of.Reached)
      continue;
    // Asked again, each answers with its position and changes nothing.
    const bool ToPrimary = !Of.PrimaryPosition;
    const TargetAnnouncement &Called = ToPrimary ? Primary : Each;
    if (!mayCall(Called.Name, At, In.Now))
      continue;
    Of.PrimaryAsked = Of.PrimaryAsked || ToPrimary;
    In.Out.Orders.push_back(
        {ToPrimary ? TargetOrderKind::Promote : TargetOrderKind::Follow, Called,
         Group.Term, Primary.Address, Group.Forks});
  }
}

bool FailoverCoordinator::hasPosition(const TargetAnnouncement &Target,
                                      const Progress &At) {
  const auto Found = At.Readings.find(Target.Name);
  return Found != At.Readings.end() &&
         Found->second.Sequence == Target.Sequence;
}

std::vector<TargetAnnouncement>
FailoverCoordinator::targetsWithPosition(const Step &In, const Progress &At,
                                         bool SettledOnly) {
  std::vector<TargetAnnouncement> Out;
  for (const TargetAnnouncement &Each : In.View.targetsOf(In.Group.Database))
    if (hasPosition(Each, At) && (!SettledOnly || In.Group.isLogComplete(Each)))
      Out.push_back(Each);
  return Out;
}

TargetAnnouncement
FailoverCoordinator::mostAdvanced(const std::vector<TargetAnnouncement> &Of,
                                  const Progress &At) {
  return *std::max_element(
      Of.begin(), Of.end(),
      [&At](const TargetAnnouncement &Left, const TargetAnnouncement &Right) {
        return isBehind(At.Readings.at(Left.Name).At,
                        At.Readings.at(Right.Name).At);
      });
}

void FailoverCoordinator::stepFencing(const Step &In, GroupState &Of) {
  const GroupRecord &Group = In.Group;
  Progress &At = Of.At;
  // One that is leaving is told too, though it's no candidate any more.
  for (const TargetAnnouncement &Each : In.View.allTargetsOf(Group.Database))
    if (!hasPosition(Each, At) && mayCall(Each.Name, At, In.Now))
      In.Out.Orders.push_back(
          {TargetOrderKind::Fence, Each, Group.Term, Endpoint{}, Group.Forks});
  // The former primary must be unable to be acknowledged anywhere before
  // another takes its place.
  if (!In.Leases.isInForce(In.View, At.Revision, In.Now) ||
      In.Now < At.ProposedUntil)
    return;
  // A target that came back without its log proves nothing by its position.
  std::vector<TargetAnnouncement> Read = targetsWithPosition(In, At, true);
  const std::size_t Readings = Read.size();
  const std::size_t Needed = In.Group.failoverQuorum(In.Policy);
  std::string Reason =
      std::to_string(Readings) + " of " + std::to_string(In.Policy.Targets) +
      " targets told their position, " + std::to_string(Needed) + " are needed";
  if (Readings < Needed) {
    const Millis Patience =
        In.View.CurrentManifest->Failover.SuspectAfter * TooFewPatience;
    if (In.Now - At.Since < Patience)
      return;
    Read = targetsWithPosition(In, At, false);
    if (Read.empty() ||
        In.Policy.InsufficientTargets == InsufficientTargetsPolicy::Wait) {
      if (!std::exchange(At.ShortageRecorded, true))
        In.Out.Proposals.push_back(
            RecordAuditEvent{"failover-waiting", Group.Database, Reason});
      return;
    }
    Reason += "; acknowledged writes may be lost";
  } else if (!excludeFormerPrimary(In, Of, Read)) {
    return;
  }
  At.ProposedUntil = In.Now + ProposeAgainAfter;
  const TargetAnnouncement Best = mostAdvanced(Read, At);
  In.Out.Proposals.push_back(PromoteTarget{
      Group.Database, Group.Term, Best.Name, At.Readings[Best.Name].At.Position,
      Best.Sequence, Readings < Needed, Reason});
}

bool FailoverCoordinator::excludeFormerPrimary(
    const Step &In, const GroupState &Of,
    std::vector<TargetAnnouncement> &Read) {
  // The former primary often has the highest position, by writes that nobody
  // was told of. Chosen for them it would be replaced again at once, and
  // callers would never write. Enough others prove that they hold all that
  // was acknowledged.
  std::vector<TargetAnnouncement> Others;
  for (const TargetAnnouncement &Each : Read)
    if (Each.Name != Of.Replaced)
      Others.push_back(Each);
  if (Others.size() == Read.size())
    return true;
  if (Others.size() < In.Group.failoverQuorum(In.Policy))
    return In.Now - Of.At.Since >= OthersFirst;
  Read = std::move(Others);
  return true;
}

void FailoverCoordinator::recordAnswer(const TargetOrderRequest &Call,
                                       const TargetPosition &Answer) {
  const auto Known = Databases.find(Call.Target.Database);
  if (Known == Databases.end() || Known->second.At.Term != Call.Term ||
      Answer.Term != Call.Term)
    return;
  Progress &At = Known->second.At;
  const std::string &Name = Call.Target.Name;
  if (Call.Kind == TargetOrderKind::Fence) {
    At.Readings[Name] = {Call.Target.Sequence, Answer};
    return;
  }
  At.Confirmed[Name] = Call.Target.Sequence;
  for (auto &[Joining, Of] : At.CatchUps) {
    if (Call.Kind == TargetOrderKind::Promote && Of.PrimaryAsked &&
        !Of.PrimaryPosition)
      Of.PrimaryPosition = Answer.Position;
    if (Joining == Name && Of.LogId == Call.Target.LogId && Of.PrimaryPosition)
      Of.Reached = Answer.Position >= *Of.PrimaryPosition;
  }
}

} // namespace corianderdyke
