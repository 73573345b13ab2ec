/// \file
/// Replaces failed primaries. Runs on the leading control host.

#include "Failover/FailoverCoordinator.h"

#include <algorithm>
#include <utility>

namespace corianderdyke {

namespace {

/// Interval after which an unanswered order is sent again.
constexpr Millis OrderRetryInterval(150);
/// Minimum interval between two proposals for a group in one phase, audit
/// records excepted. A proposal normally commits within a few milliseconds.
constexpr Millis ProposalRetryInterval(1000);
/// Number of SuspectAfter intervals that a group with too few targets waits
/// before the promote-with-loss policy of its manifest applies.
constexpr std::int64_t ShortageWaitFactor = 10;
/// Maximum time that a hand-over waits for the work that runs at the leaving
/// primary.
constexpr Millis MaxDrainTime(10000);
/// Time during which the former primary is not a candidate while other targets
/// may still answer.
constexpr Millis FormerPrimaryDelay(150);

/// Compares the log term first: a target that followed an abandoned fork may
/// hold a higher position in it.
bool isBehind(const TargetPosition &Left, const TargetPosition &Right) {
  return std::pair(Left.LogTerm, Left.Position) <
         std::pair(Right.LogTerm, Right.Position);
}

} // namespace

bool isSuspected(const std::string &Target, const LeaseRegistry &Leases,
                 const FailoverPolicy &Policy, Millis Now) {
  std::size_t LiveProxies = 0;
  std::size_t ReportingProxies = 0;
  for (const auto &[Id, Holder] : Leases.holders()) {
    if (Now - Holder.LastRequestAt > Policy.LeaseDuration || !Holder.hasView())
      continue;
    ++LiveProxies;
    if (Holder.unhealthyReport(Target) != nullptr)
      ++ReportingProxies;
  }
  return LiveProxies > 0 && ReportingProxies * 2 > LiveProxies;
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
    GroupState &State = Databases[Policy.Name];
    Progress &Current = State.Current;
    if (Current.Term != Group->Term || Current.Phase != Group->Phase ||
        Current.Revision == 0) {
      if (Current.Phase == GroupPhase::Promoted)
        State.Backoff.recordReplacement(Now);
      Current = Progress();
      Current.Term = Group->Term;
      Current.Phase = Group->Phase;
      Current.Since = Now;
      Current.Revision = View.Revision;
    }
    const StepContext Context{View, *Group, Policy, Leases, Now, Out};
    switch (Group->Phase) {
    case GroupPhase::Forming:
      stepForming(Context, Current);
      break;
    case GroupPhase::Promoted:
      stepPromoted(Context, State);
      break;
    case GroupPhase::Draining:
      stepDraining(Context, State);
      break;
    case GroupPhase::Fencing:
      stepFencing(Context, State);
      break;
    }
  }
  return Out;
}

void FailoverCoordinator::stepForming(const StepContext &Context,
                                      Progress &Current) {
  if (Context.View.targetsOf(Context.Group.Database).size() <
          Context.Group.failoverQuorum(Context.Policy) ||
      Context.Now < Current.ProposedUntil)
    return;
  Current.ProposedUntil = Context.Now + ProposalRetryInterval;
  Context.Out.Proposals.push_back(FenceGroup{
      Context.Group.Database, Context.Group.Term + 1, "first primary"});
}

std::string FailoverCoordinator::reasonToReplace(const StepContext &Context,
                                                 GroupState &State) {
  const std::string &Name = Context.Group.Primary;
  const TargetAnnouncement *Primary = Context.View.target(Name);
  if (Primary == nullptr)
    return Name + " is gone";
  // A primary that restarted may have lost all or the end of its log. If it got
  // the same term again, it would use positions twice, and copies of writes of
  // its former incarnation would be taken for copies of its new writes.
  const bool Restarted =
      !Primary->Leaving && Primary->Sequence != Context.Group.PrimarySequence;
  const FailoverPolicy &Policy = Context.View.CurrentManifest->Failover;
  if (!Restarted && !isSuspected(Name, Context.Leases, Policy, Context.Now)) {
    State.Current.SuspectedSince.reset();
    return "";
  }
  if (!State.Current.SuspectedSince)
    State.Current.SuspectedSince = Context.Now;
  if (Context.Now - *State.Current.SuspectedSince <
      State.Backoff.delay(Policy.SuspectAfter, Context.Now))
    return "";
  return Name + (Restarted
                     ? " has restarted"
                     : " can't be reached, or can't copy to its replicas");
}

void FailoverCoordinator::stepPromoted(const StepContext &Context,
                                       GroupState &State) {
  const std::string Reason = reasonToReplace(Context, State);
  if (!Reason.empty()) {
    if (Context.Now < State.Current.ProposedUntil)
      return;
    State.Current.ProposedUntil = Context.Now + ProposalRetryInterval;
    State.Replaced = Context.Group.Primary;
    Context.Out.Proposals.push_back(
        FenceGroup{Context.Group.Database, Context.Group.Term + 1, Reason});
    return;
  }
  if (Context.View.target(Context.Group.Primary)->Leaving)
    return startHandOver(Context, State.Current);
  assignRoles(Context, State.Current);
  confirmCaughtUpTargets(Context, State.Current);
}

void FailoverCoordinator::startHandOver(const StepContext &Context,
                                        Progress &Current) {
  // A hand-over without enough other targets would leave the group without a
  // primary. The primary is kept until the other targets are available.
  const GroupRecord &Group = Context.Group;
  std::size_t Ready = 0;
  for (const TargetAnnouncement &Each : Context.View.targetsOf(Group.Database))
    if (Group.isLogComplete(Each) &&
        !isSuspected(Each.Name, Context.Leases,
                     Context.View.CurrentManifest->Failover, Context.Now))
      ++Ready;
  const std::size_t Needed = Context.Group.failoverQuorum(Context.Policy);
  const std::string LeavingReason = Group.Primary + " is leaving";
  if (Ready < Needed) {
    if (!std::exchange(Current.ShortageRecorded, true))
      Context.Out.Proposals.push_back(
          RecordAuditEvent{"hand-over-waiting", Group.Database,
                           LeavingReason + "; " + std::to_string(Ready) +
                               " other targets can take over, " +
                               std::to_string(Needed) + " are needed"});
    return;
  }
  if (Context.Now < Current.ProposedUntil)
    return;
  Current.ProposedUntil = Context.Now + ProposalRetryInterval;
  Context.Out.Proposals.push_back(
      DrainGroup{Group.Database, Group.Term, LeavingReason});
}

void FailoverCoordinator::stepDraining(const StepContext &Context,
                                       GroupState &State) {
  // Running work ends by its own deadline or by the limit on idle transactions.
  // One caller must not delay all others for longer than MaxDrainTime.
  const std::string Failed = reasonToReplace(Context, State);
  const bool Drained =
      Context.Leases.isDrained(Context.View, Context.Group.Database,
                               State.Current.Revision, Context.Now);
  if ((Failed.empty() && !Drained &&
       Context.Now - State.Current.Since < MaxDrainTime) ||
      Context.Now < State.Current.ProposedUntil)
    return;
  State.Current.ProposedUntil = Context.Now + ProposalRetryInterval;
  Context.Out.Proposals.push_back(FenceGroup{
      Context.Group.Database, Context.Group.Term + 1,
      Failed.empty() ? Context.Group.Primary + " has handed over" : Failed});
}

bool FailoverCoordinator::shouldSendOrder(const std::string &Target,
                                          Progress &Current, Millis Now) {
  const auto LastOrder = Current.OrderedAt.find(Target);
  if (LastOrder != Current.OrderedAt.end() &&
      Now - LastOrder->second < OrderRetryInterval)
    return false;
  Current.OrderedAt[Target] = Now;
  return true;
}

void FailoverCoordinator::assignRoles(const StepContext &Context,
                                      Progress &Current) {
  const GroupRecord &Group = Context.Group;
  const TargetAnnouncement &Primary = *Context.View.target(Group.Primary);
  if (Primary.Sequence != Group.PrimarySequence)
    return;
  for (const TargetAnnouncement &Each :
       Context.View.targetsOf(Group.Database)) {
    const auto Confirmation = Current.Confirmed.find(Each.Name);
    if ((Confirmation != Current.Confirmed.end() &&
         Confirmation->second >= Each.Sequence) ||
        !shouldSendOrder(Each.Name, Current, Context.Now))
      continue;
    Context.Out.Orders.push_back(
        {Each.Name == Group.Primary ? TargetOrderKind::Promote
                                    : TargetOrderKind::Follow,
         Each, Group.Term, Primary.Address, Group.Forks});
  }
}

void FailoverCoordinator::confirmCaughtUpTargets(const StepContext &Context,
                                                 Progress &Current) {
  const GroupRecord &Group = Context.Group;
  const TargetAnnouncement &Primary = *Context.View.target(Group.Primary);
  for (const TargetAnnouncement &Each :
       Context.View.targetsOf(Group.Database)) {
    const bool IsComplete = Group.isLogComplete(Each) &&
                            Group.UnverifiedTargets.count(Each.Name) == 0;
    if (IsComplete || Each.Name == Group.Primary)
      continue;
    CatchUp &Check = Current.CatchUps[Each.Name];
    const std::uint64_t Version = Context.View.CurrentManifest->Version;
    if (Check.Revision == 0 || Check.LogId != Each.LogId ||
        Check.ManifestVersion != Version)
      Check = {Each.LogId, Version,      Context.View.Revision,
               false,      std::nullopt, false};
    if (!Context.Leases.isInForce(Context.View, Check.Revision, Context.Now))
      continue;
    if (Check.Reached && Context.Now >= Current.ProposedUntil) {
      Current.ProposedUntil = Context.Now + ProposalRetryInterval;
      Context.Out.Proposals.push_back(
          ConfirmTargetLog{Group.Database, Group.Term, Each.Name, Each.LogId});
    }
    if (Check.Reached)
      continue;
    // A repeated order only makes the target answer with its position.
    const bool ToPrimary = !Check.PrimaryPosition;
    const TargetAnnouncement &Recipient = ToPrimary ? Primary : Each;
    if (!shouldSendOrder(Recipient.Name, Current, Context.Now))
      continue;
    Check.PrimaryAsked = Check.PrimaryAsked || ToPrimary;
    Context.Out.Orders.push_back(
        {ToPrimary ? TargetOrderKind::Promote : TargetOrderKind::Follow,
         Recipient, Group.Term, Primary.Address, Group.Forks});
  }
}

bool FailoverCoordinator::hasPosition(const TargetAnnouncement &Target,
                                      const Progress &Current) {
  const auto Found = Current.Positions.find(Target.Name);
  return Found != Current.Positions.end() &&
         Found->second.Sequence == Target.Sequence;
}

std::vector<TargetAnnouncement>
FailoverCoordinator::targetsWithPosition(const StepContext &Context,
                                         const Progress &Current,
                                         bool CompleteLogsOnly) {
  std::vector<TargetAnnouncement> Out;
  for (const TargetAnnouncement &Each :
       Context.View.targetsOf(Context.Group.Database))
    if (hasPosition(Each, Current) &&
        (!CompleteLogsOnly || Context.Group.isLogComplete(Each)))
      Out.push_back(Each);
  return Out;
}

TargetAnnouncement FailoverCoordinator::mostAdvanced(
    const std::vector<TargetAnnouncement> &Candidates,
    const Progress &Current) {
  return *std::max_element(Candidates.begin(), Candidates.end(),
                           [&Current](const TargetAnnouncement &Left,
                                      const TargetAnnouncement &Right) {
                             return isBehind(
                                 Current.Positions.at(Left.Name).Position,
                                 Current.Positions.at(Right.Name).Position);
                           });
}

void FailoverCoordinator::stepFencing(const StepContext &Context,
                                      GroupState &State) {
  const GroupRecord &Group = Context.Group;
  Progress &Current = State.Current;
  // A target that is leaving is fenced too, though it is no longer a candidate.
  for (const TargetAnnouncement &Each :
       Context.View.allTargetsOf(Group.Database))
    if (!hasPosition(Each, Current) &&
        shouldSendOrder(Each.Name, Current, Context.Now))
      Context.Out.Orders.push_back(
          {TargetOrderKind::Fence, Each, Group.Term, Endpoint{}, Group.Forks});
  // No write at the former primary may be acknowledged by any proxy once
  // another primary takes its place.
  if (!Context.Leases.isInForce(Context.View, Current.Revision, Context.Now) ||
      Context.Now < Current.ProposedUntil)
    return;
  // The position of a target that came back without its log proves nothing.
  std::vector<TargetAnnouncement> Candidates =
      targetsWithPosition(Context, Current, true);
  const std::size_t PositionCount = Candidates.size();
  const std::size_t Needed = Context.Group.failoverQuorum(Context.Policy);
  std::string Reason = std::to_string(PositionCount) + " of " +
                       std::to_string(Context.Policy.Targets) +
                       " targets told their position, " +
                       std::to_string(Needed) + " are needed";
  if (PositionCount < Needed) {
    const Millis MaxWait = Context.View.CurrentManifest->Failover.SuspectAfter *
                           ShortageWaitFactor;
    if (Context.Now - Current.Since < MaxWait)
      return;
    Candidates = targetsWithPosition(Context, Current, false);
    if (Candidates.empty() ||
        Context.Policy.InsufficientTargets == InsufficientTargetsPolicy::Wait) {
      if (!std::exchange(Current.ShortageRecorded, true))
        Context.Out.Proposals.push_back(
            RecordAuditEvent{"failover-waiting", Group.Database, Reason});
      return;
    }
    Reason += "; acknowledged writes may be lost";
  } else if (!excludeFormerPrimary(Context, State, Candidates)) {
    return;
  }
  Current.ProposedUntil = Context.Now + ProposalRetryInterval;
  const TargetAnnouncement Best = mostAdvanced(Candidates, Current);
  Context.Out.Proposals.push_back(
      PromoteTarget{Group.Database, Group.Term, Best.Name,
                    Current.Positions[Best.Name].Position.Position,
                    Best.Sequence, PositionCount < Needed, Reason});
}

bool FailoverCoordinator::excludeFormerPrimary(
    const StepContext &Context, const GroupState &State,
    std::vector<TargetAnnouncement> &Candidates) {
  // The former primary often has the highest position because of writes that
  // were never acknowledged. If it were selected for them, it would be replaced
  // again at once, and callers could never write. Enough other targets prove
  // that they hold everything that was acknowledged.
  std::vector<TargetAnnouncement> Others;
  for (const TargetAnnouncement &Each : Candidates)
    if (Each.Name != State.Replaced)
      Others.push_back(Each);
  if (Others.size() == Candidates.size())
    return true;
  if (Others.size() < Context.Group.failoverQuorum(Context.Policy))
    return Context.Now - State.Current.Since >= FormerPrimaryDelay;
  Candidates = std::move(Others);
  return true;
}

void FailoverCoordinator::recordAnswer(const TargetOrderRequest &Order,
                                       const TargetPosition &Answer) {
  const auto Known = Databases.find(Order.Target.Database);
  if (Known == Databases.end() || Known->second.Current.Term != Order.Term ||
      Answer.Term != Order.Term)
    return;
  Progress &Current = Known->second.Current;
  const std::string &Name = Order.Target.Name;
  if (Order.Kind == TargetOrderKind::Fence) {
    Current.Positions[Name] = {Order.Target.Sequence, Answer};
    return;
  }
  Current.Confirmed[Name] = Order.Target.Sequence;
  for (auto &[Joining, Check] : Current.CatchUps) {
    if (Order.Kind == TargetOrderKind::Promote && Check.PrimaryAsked &&
        !Check.PrimaryPosition)
      Check.PrimaryPosition = Answer.Position;
    if (Joining == Name && Check.LogId == Order.Target.LogId &&
        Check.PrimaryPosition)
      Check.Reached = Answer.Position >= *Check.PrimaryPosition;
  }
}

} // namespace corianderdyke
