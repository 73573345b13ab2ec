/// \file
/// Decides which target of a group leads and orders its promotion.

#include "Steering/PromotionCoordinator.h"

#include <algorithm>
#include <tuple>

namespace corianderdyke {

namespace {

/// Pause before a planned change that is not possible now is retried.
constexpr Millis PlannedPause(400);
/// Proxies that must report a primary as unusable before control probes it, if
/// that many are connected: a single one may be partitioned itself.
constexpr std::size_t MinReports = 2;
/// Pause before a target that refused or failed is ordered again; doubled with
/// each further failure. Each order is kept in the control group's log.
constexpr Millis FirstRetryPause(200);
constexpr Millis MaxRetryPause(5000);

} // namespace

PromotionCoordinator::PromotionCoordinator(
    Clock &Time, const TargetDirectory &Directory, const OpenOrders &Orders,
    TargetCommandPort &Commands, PromotionPort &Promotions, Propose OnPropose,
    std::string Holder, PromotionTimes Times)
    : Time(Time), Directory(Directory), Orders(Orders), Commands(Commands),
      Promotions(Promotions), OnPropose(std::move(OnPropose)),
      Holder(std::move(Holder)), Times(Times) {}

void PromotionCoordinator::startLeading(
    const std::vector<TargetRecord> &Departed) {
  IsActive = true;
  LeadingSince = Time.now();
  for (auto &[Name, Each] : Groups) {
    Each.Quorum = ReadQuorum();
    Each.Awaited.clear();
    Each.Confirming = {.Attempt = Each.Confirming.Attempt + 1};
    resumeWatching(Each, Millis(0));
  }
  for (const TargetRecord &Each : Departed)
    Groups[Each.Group].Quorum.addDeparted(Each);
  Pressure.clear();
  StalenessVersion = 0;
  MayBeStopped.clear();
  for (const TargetRecord &Each : Directory.all()) {
    if (!Each.IsGone)
      Groups[Each.Group].Quorum.addMember(Each);
    if (!Each.IsGone && !Each.IsPrimary)
      MayBeStopped.insert(Each.Id);
    if (!Each.IsGone && Each.IsPrimary) {
      Groups[Each.Group].LastPrimary = Each.Id;
      Groups[Each.Group].LastPrimaryIncarnation = Each.Incarnation;
    }
  }
  for (auto &[Name, Each] : Groups)
    Each.History.start(Rules, LeadingSince);
}

void PromotionCoordinator::stopLeading() {
  // The next leader decides on unfinished changes and lets replicas receive
  // again.
  IsActive = false;
  for (auto &[Name, Each] : Groups) {
    Each.StoppedReplicas.clear();
    Each.Awaited.clear();
    resumeWatching(Each, Millis(0));
  }
}

void PromotionCoordinator::recordReports(
    const ProcessId &Proxy, const std::vector<ReachabilityReport> &Reports) {
  for (const ReachabilityReport &Each : Reports) {
    // Reports on another incarnation do not apply to the current one.
    const TargetRecord *Present = Directory.find(Each.Id);
    if (Present != nullptr && Present->Incarnation != Each.Incarnation)
      continue;
    Reachability &Known = ReachabilityByTarget[Each.Id][Proxy];
    if (Known.Incarnation != Each.Incarnation)
      Known = {.Incarnation = Each.Incarnation};
    (Each.IsReachable ? Known.ReachedAt : Known.FailedAt) = Time.now();
  }
}

std::size_t PromotionCoordinator::countProxies(
    const TargetRecord &Target,
    const std::function<bool(const Reachability &)> &Matches) const {
  const auto Found = ReachabilityByTarget.find(Target.Id);
  if (Found == ReachabilityByTarget.end())
    return 0;
  return static_cast<std::size_t>(std::count_if(
      Found->second.begin(), Found->second.end(), [&](const auto &Each) {
        return Each.second.Incarnation == Target.Incarnation &&
               Matches(Each.second);
      }));
}

std::size_t
PromotionCoordinator::countRecentFailures(const TargetRecord &Target) const {
  return countProxies(Target, [this](const Reachability &Known) {
    return Known.FailedAt > Known.ReachedAt &&
           Time.now() - Known.FailedAt < Times.ReportValidity;
  });
}

std::size_t
PromotionCoordinator::countRecentlyReached(const TargetRecord &Target) const {
  return countProxies(Target, [this](const Reachability &Known) {
    return Known.ReachedAt >= Known.FailedAt &&
           Time.now() - Known.ReachedAt < Times.ReportValidity;
  });
}

std::size_t PromotionCoordinator::countReachedSince(const TargetRecord &Target,
                                                    Millis Since) const {
  return countProxies(Target, [Since](const Reachability &Known) {
    return Known.ReachedAt >= Known.FailedAt && Known.ReachedAt >= Since;
  });
}

void PromotionCoordinator::enter(Group &In, Stage Next) {
  In.CurrentStage = Next;
  In.Query.reset();
  In.StageSince = Time.now();
  ++In.Round;
}

void PromotionCoordinator::scheduleQuery(Group &In) {
  In.NextQueryAt = Time.now() + Times.QueryInterval;
}

void PromotionCoordinator::resumeWatching(Group &In, Millis Pause) {
  // Replicas that stay stopped would fall behind their primary's log
  // permanently.
  if (IsActive)
    resumeReceiving(In);
  In.NextQueryAt.reset();
  In.Relief.reset();
  In.IsReturning = false;
  enter(In, Stage::Watching);
  In.RetryAt = Time.now() + Pause;
}

bool PromotionCoordinator::isCurrent(const std::string &Name,
                                     std::uint64_t Round,
                                     Stage Expected) const {
  const auto Found = Groups.find(Name);
  return IsActive && Found != Groups.end() && Found->second.Round == Round &&
         Found->second.CurrentStage == Expected;
}

void PromotionCoordinator::tick(const RoutePlan &Plan, std::size_t Proxies) {
  if (!IsActive)
    return;
  if (IsReliefEnabled)
    updateStaleness(Plan);
  for (const GroupPolicy &Each : Plan.Groups) {
    Group &In = Groups[Each.Name];
    In.SyncReplicas = Each.SyncReplicas;
    updateRivals(Each.Name, In);
    In.Quorum.update(In.SyncReplicas == 0 ? std::vector<TargetRecord>()
                                          : Directory.ofGroup(Each.Name),
                     In.SyncReplicas);
    if (In.NextQueryAt && Time.now() >= *In.NextQueryAt &&
        In.CurrentStage == Stage::SteppingDown)
      continueStepDown(Each.Name);
    else if (In.NextQueryAt && Time.now() >= *In.NextQueryAt)
      queryPositions(Each.Name);
    else if (In.CurrentStage == Stage::Watching)
      watch(Each.Name, In, Proxies);
    else
      checkProgress(Each.Name, In);
  }
}

// The new primary's own heartbeat confirms a promotion, regardless of the
// answer to the order. A stage without progress ends the attempt.
void PromotionCoordinator::checkProgress(const std::string &Name, Group &In) {
  const auto Primary = Directory.primaryOf(Name);
  const Millis Now = Time.now();
  if ((In.CurrentStage == Stage::Awaiting ||
       In.CurrentStage == Stage::Ordering) &&
      Primary && isPromoted(In, *Primary)) {
    Step.emit(Name, "promoted",
              In.Successor + " leads after " +
                  std::to_string((Now - In.ChangeBeganAt).count()) + " ms");
    recordTakeover(Name, In);
    In.Failures.clear();
    In.Awaited.clear();
    return resumeWatching(In, Millis(0));
  }
  if (Now - In.StageSince <= Times.PromotionTimeout)
    return;
  Step.emit(Name, "attempt-ended", "no progress in time");
  if (In.CurrentStage == Stage::Awaiting)
    recordFailure(In, In.Successor);
  resumeWatching(In, AttemptPause);
}

void PromotionCoordinator::watch(const std::string &Name, Group &In,
                                 std::size_t Proxies) {
  const Millis Now = Time.now();
  if (Now < In.RetryAt)
    return;
  const auto Primary = Directory.primaryOf(Name);
  if (!Primary) {
    const bool IsKnown = !Directory.ofGroup(Name).empty();
    if (!IsKnown || Now - LeadingSince < Times.StartupGracePeriod)
      return;
    In.IsPlanned = false;
    In.Reason = "no target leads";
    In.OldPrimary.clear();
    In.ChangeBeganAt = Now;
    return queryPositions(Name);
  }
  In.OldPrimary = Primary->Id;
  // An earlier leader may have failed between stopping replicas and promoting.
  if (In.SyncReplicas > 0)
    for (const TargetRecord &Each : Directory.ofGroup(Name))
      if (MayBeStopped.erase(Each.Id) != 0)
        In.StoppedReplicas.insert(Each.Id);
  if (In.CurrentStage == Stage::Watching)
    resumeReceiving(In);
  if (hasRestarted(In, *Primary)) {
    In.IsPlanned = false;
    In.Reason = "the primary has started again and may lack its log";
    In.ChangeBeganAt = Now;
    // It is queried with the replicas. Nothing changes if its position is the
    // highest, or if it does not answer and is left to the proxies' reports.
    In.OldPrimary.clear();
    return queryPositions(Name);
  }
  In.LastPrimary = Primary->Id;
  In.LastPrimaryIncarnation = Primary->Incarnation;
  if (Primary->IsLeaving) {
    In.IsPlanned = true;
    In.Reason = "the primary is leaving";
    In.ChangeBeganAt = Now;
    return stepDown(Name, *Primary);
  }
  const std::size_t Failed = countRecentFailures(*Primary);
  const std::size_t Reached = countRecentlyReached(*Primary);
  const bool Reported = Failed > 0 && Failed >= std::min(MinReports, Proxies);
  // Heartbeats before this host began to lead went to another leader.
  const Millis LastUpdateAt =
      std::max(Directory.lastUpdate(Primary->Id), LeadingSince);
  const bool IsSilent = Now - LastUpdateAt > Times.SuspectAfter && Reached == 0;
  if (!Reported && !IsSilent) {
    if (Reached > 0 || Directory.lastUpdate(Primary->Id) > In.ChangeBeganAt)
      abandonChange(Name, In, *Primary);
    considerConfirmation(Name, In, *Primary);
    considerSettling(Name, In, *Primary);
    return considerRelief(Name, In, *Primary);
  }
  In.ChangeBeganAt = Now;
  probe(Name, *Primary, Proxies);
}

void PromotionCoordinator::abandonChange(const std::string &Name, Group &In,
                                         const TargetRecord &Primary) {
  if (!In.Awaited.empty())
    Step.emit(Name, "kept", Primary.Id + " leads on: it works again");
  In.Awaited.clear();
  In.Failures.clear();
}

// A primary that restarts under its id may still report that it leads, without
// the log that its replicas hold. Without a change it would continue from an
// empty log, and all acknowledged writes would be lost.
bool PromotionCoordinator::hasRestarted(const Group &In,
                                        const TargetRecord &Primary) const {
  return In.LastPrimary == Primary.Id && In.LastPrimaryIncarnation > 0 &&
         Primary.Incarnation > In.LastPrimaryIncarnation;
}

bool PromotionCoordinator::isSameIncarnation(const TargetRecord &Asked) const {
  const TargetRecord *Known = Directory.find(Asked.Id);
  return Known != nullptr && Known->Incarnation == Asked.Incarnation;
}

// Control's own probe decides. A primary that refuses connections has ended,
// however recently it answered a proxy. A primary that is only silent may be
// partitioned from control, so more proxies must fail to use it than reach it.
// Earlier successes do not count: all proxies are asked for new reports while
// control queries the primary.
void PromotionCoordinator::probe(const std::string &Name,
                                 const TargetRecord &Primary,
                                 std::size_t Proxies) {
  Group &In = Groups[Name];
  enter(In, Stage::Probing);
  ProbeStarted.emit();
  Commands.send(addressOf(Primary), TargetCommand::Kind::Status, 0,
                Times.ProbeTimeout,
                [this, Name, Round = In.Round, Primary,
                 Proxies](const Expected<TargetStatus> &Answer) {
                  if (isCurrent(Name, Round, Stage::Probing))
                    evaluateProbe(Name, Primary, Proxies, Answer);
                });
}

void PromotionCoordinator::evaluateProbe(const std::string &Name,
                                         const TargetRecord &Primary,
                                         std::size_t Proxies,
                                         const Expected<TargetStatus> &Answer) {
  Group &In = Groups[Name];
  const std::size_t Failed = countRecentFailures(Primary);
  const std::size_t Reached = countReachedSince(Primary, In.StageSince);
  const bool IsBusy = !Answer && Answer.error().Code == ErrorCode::Conflict;
  const bool IsGone = !Answer && Answer.error().Code == ErrorCode::NotFound;
  const bool IsUnusable = IsGone || Reached == 0 || Failed > Reached;
  const bool IsUsableByMost =
      Answer && Answer->IsPrimary && Failed * 2 <= Proxies;
  if (IsBusy || IsUsableByMost || !IsUnusable)
    return resumeWatching(In, AttemptPause);
  In.Reason = Failed == 0 ? "no heartbeat"
                          : std::to_string(Failed) + " proxies can't use it, " +
                                std::to_string(Reached) + " can";
  In.IsPlanned = Answer && Answer->IsPrimary;
  if (In.IsPlanned) {
    // It works, but proxies cannot use it.
    In.Reason += "; control can";
    return stepDown(Name, Primary);
  }
  In.Reason += "; nor can control";
  queryPositions(Name);
}

void PromotionCoordinator::stepDown(const std::string &Name,
                                    const TargetRecord &Primary) {
  Group &In = Groups[Name];
  // Without a possible successor the primary continues.
  const auto Others = Directory.ofGroup(Name);
  const bool HasSuccessor =
      std::any_of(Others.begin(), Others.end(), [&](const TargetRecord &Each) {
        return Each.Id != Primary.Id && !Each.IsLeaving;
      });
  if (!HasSuccessor)
    return resumeWatching(In, PlannedPause);
  Step.emit(Name, "planned-change", In.Reason);
  enter(In, Stage::SteppingDown);
  const auto OnStatus = [this, Name, Round = In.Round,
                         Primary](const Expected<TargetStatus> &Answer) {
    if (!isCurrent(Name, Round, Stage::SteppingDown))
      return;
    if (!Answer)
      return queryPositions(Name);
    Commands.send(
        addressOf(Primary), TargetCommand::Kind::StepDown, Answer->Term + 1,
        Times.QueryTimeout,
        [this, Name, Round](const Expected<TargetStatus> &StepDownAnswer) {
          if (!isCurrent(Name, Round, Stage::SteppingDown))
            return;
          if (StepDownAnswer)
            Groups[Name].RequiredPosition = StepDownAnswer->Received;
          queryPositions(Name);
        });
  };
  In.RequiredPosition.reset();
  Commands.send(addressOf(Primary), TargetCommand::Kind::Status, 0,
                Times.QueryTimeout, OnStatus);
}

std::vector<TargetRecord>
PromotionCoordinator::candidates(const std::string &Name) const {
  const Group &In = Groups.at(Name);
  std::vector<TargetRecord> Out;
  for (const TargetRecord &Each : Directory.ofGroup(Name)) {
    if (Each.Id == In.OldPrimary)
      continue;
    const bool IsCounted = In.SyncReplicas > 0 && !In.Relief;
    if (!IsCounted && In.Failures.count(Each.Id) != 0)
      continue;
    if (In.Relief && !mayRelieve(*In.Relief, Each))
      continue;
    // A leaving replica may hold acknowledged commits and counts until it ends.
    if (!Each.IsLeaving || In.SyncReplicas > 0)
      Out.push_back(Each);
  }
  return Out;
}

void PromotionCoordinator::queryPositions(const std::string &Name) {
  Group &In = Groups[Name];
  enter(In, Stage::Reading);
  if (!In.IsPlanned)
    In.RequiredPosition.reset();
  In.NextQueryAt.reset();
  const std::vector<TargetRecord> All = candidates(Name);
  if (All.empty() && In.Relief)
    return returnLead(Name, "no replica is left");
  if (All.empty()) {
    In.Failures.clear();
    return resumeWatching(In, AttemptPause);
  }
  queryAll(Name, All, TargetCommand::Kind::Status, 0);
}

// With synchronous replicas, an old primary that is only partitioned from
// control may continue: a commit that it acknowledges after the positions were
// read would be missing from the successor. The replicas therefore stop
// receiving first and then report their positions.
void PromotionCoordinator::stopReceiving(const std::string &Name) {
  Group &In = Groups[Name];
  std::uint64_t Newest = 0;
  std::vector<TargetRecord> All;
  for (const auto &[Id, Each] : In.Statuses) {
    Newest = std::max(Newest, Each.Term);
    if (const TargetRecord *Known = Directory.find(Id))
      All.push_back(*Known);
    In.StoppedReplicas.insert(Id);
  }
  queryAll(Name, All, TargetCommand::Kind::StopReceiving, Newest + 1);
}

void PromotionCoordinator::queryAll(const std::string &Name,
                                    const std::vector<TargetRecord> &All,
                                    TargetCommand::Kind What,
                                    std::uint64_t Term) {
  Group &In = Groups[Name];
  In.Statuses.clear();
  In.Asked = All.size();
  In.Answered = 0;
  In.IsIncomplete = false;
  // In a relief the old primary has stepped down and acknowledges nothing, and
  // the successor still has to receive the rest of its log.
  const bool IsFinalQuery = In.SyncReplicas == 0 || In.Relief ||
                            What == TargetCommand::Kind::StopReceiving;
  for (const TargetRecord &Each : All)
    Commands.send(addressOf(Each), What, Term, Times.QueryTimeout,
                  [this, Name, Round = In.Round, Each,
                   IsFinalQuery](const Expected<TargetStatus> &Answer) {
                    if (!isCurrent(Name, Round, Stage::Reading))
                      return;
                    Group &Current = Groups[Name];
                    ++Current.Answered;
                    if (Answer && isSameIncarnation(Each))
                      Current.Statuses[Each.Id] = *Answer;
                    Current.IsIncomplete |=
                        !Answer && Answer.error().Code == ErrorCode::Conflict;
                    if (Current.Answered < Current.Asked)
                      return;
                    if (IsFinalQuery || Current.Statuses.empty())
                      chooseSuccessor(Name);
                    else if (!awaitMissingTargets(Name))
                      stopReceiving(Name);
                  });
}

void PromotionCoordinator::chooseSuccessor(const std::string &Name) {
  Group &In = Groups[Name];
  if (In.Relief)
    return chooseForRelief(Name);
  if (In.SyncReplicas > 0 && awaitMissingTargets(Name))
    return;
  if (In.Statuses.empty()) {
    Step.emit(Name, "attempt-ended", "no replica answers");
    return resumeWatching(In, AttemptPause);
  }
  const auto Best = In.Statuses.find(longestLog(In));
  const Millis Waited = Time.now() - In.ChangeBeganAt;
  // A replica that is too busy to answer may have the highest position.
  if (In.IsIncomplete && Waited < Times.CatchUpTimeout)
    return scheduleQuery(In);
  if (In.RequiredPosition && Best->second.Received < *In.RequiredPosition &&
      Waited < Times.CatchUpTimeout)
    return scheduleQuery(In);
  const auto Present = Directory.primaryOf(Name);
  const auto PresentStatus =
      Present ? In.Statuses.find(Present->Id) : In.Statuses.end();
  const bool HasRestarted = Present && hasRestarted(In, *Present);
  const bool HoldsMost =
      PresentStatus != In.Statuses.end() && PresentStatus->second.IsPrimary &&
      PresentStatus->second.Received >= Best->second.Received;
  if (HoldsMost || (HasRestarted && PresentStatus == In.Statuses.end())) {
    In.LastPrimaryIncarnation = Present->Incarnation;
    Step.emit(Name, "kept",
              Present->Id + " leads on: no replica is known to hold more");
    return resumeWatching(In, Millis(0));
  }
  const auto Failed = In.Failures.find(Best->first);
  if (Failed != In.Failures.end() && Time.now() < Failed->second.RetryAt)
    return resumeWatching(In, Failed->second.RetryAt - Time.now());
  proposePromotion(Name, Best->first);
}

std::string PromotionCoordinator::longestLog(const Group &In) const {
  // Of equal logs, one whose target is likely to take over and to stay.
  const auto Rank = [this, &In](const auto &Each) {
    const TargetRecord *Known = Directory.find(Each.first);
    return std::tuple(Each.second.Received, In.Failures.count(Each.first) == 0,
                      Known != nullptr && !Known->IsLeaving);
  };
  const auto Best =
      std::max_element(In.Statuses.begin(), In.Statuses.end(),
                       [&Rank](const auto &Left, const auto &Right) {
                         return Rank(Left) < Rank(Right);
                       });
  return Best == In.Statuses.end() ? "" : Best->first;
}

void PromotionCoordinator::recordFailure(Group &In,
                                         const std::string &Target) const {
  FailedOrders &Failed = In.Failures[Target];
  Failed.Pause =
      std::min(Failed.Pause == Millis(0) ? FirstRetryPause : Failed.Pause * 2,
               MaxRetryPause);
  Failed.RetryAt = Time.now() + Failed.Pause;
}

} // namespace corianderdyke
