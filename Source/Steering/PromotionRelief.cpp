/// \file
/// Moves the lead of a group off a saturated primary.
///
/// Until the primary has stepped down, a failed step leaves it leading. From
/// then on only a replica with its whole log may lead, or it leads again
/// itself: it is alive, and a replica that lacks records would roll back
/// acknowledged writes.

#include "Steering/PromotionCoordinator.h"

#include <algorithm>

namespace corianderdyke {

void PromotionCoordinator::recordPressure(
    const ProcessId &Proxy, std::uint64_t Sequence,
    const std::vector<GroupPressure> &Counts) {
  if (IsReliefEnabled)
    Pressure.record(Proxy, Sequence, Counts, Time.now());
}

void PromotionCoordinator::updateStaleness(const RoutePlan &Plan) {
  const Millis Now = Time.now();
  Pressure.removeExpired(Rules.Window, Now);
  const bool IsNewPlan = StalenessVersion != Plan.Version;
  StalenessVersion = Plan.Version;
  for (const GroupPolicy &Each : Plan.Groups) {
    const auto [Found, IsNew] = Groups.try_emplace(Each.Name);
    Group &In = Found->second;
    if (IsNew)
      In.History.start(Rules, LeadingSince);
    if (IsNewPlan)
      In.MaxStaleness = smallestStaleness(Plan, Each.Name);
    const auto Primary = Directory.primaryOf(Each.Name);
    In.History.observe(Directory.ofGroup(Each.Name), Primary ? Primary->Id : "",
                       Now);
  }
}

void PromotionCoordinator::considerRelief(const std::string &Name, Group &In,
                                          const TargetRecord &Primary) {
  if (!IsReliefEnabled || !In.MaxStaleness)
    return;
  const Millis Now = Time.now();
  if (In.Query) {
    if (Now >= In.Query->NextAt)
      sendReliefQueries(Name);
    return;
  }
  const GroupPressure Recent = Pressure.recent(Name, Rules.Window, Now);
  if (!shouldConsiderRelief(Rules, In.History, Recent, Now))
    return;
  ReliefQuery Query;
  Query.Id = ++LastQueryId;
  Query.Primary = Primary;
  Query.MaxStaleness = *In.MaxStaleness;
  Query.Pressure = Recent;
  Query.StartedAt = Now;
  Query.Answers[Primary.Id] = {ReliefAnswer::Kind::Busy};
  for (const TargetRecord &Each : Directory.ofGroup(Name)) {
    if (Each.Id == Primary.Id || Each.IsLeaving)
      continue;
    Query.Incarnations[Each.Id] = Each.Incarnation;
    Query.Answers[Each.Id] = {ReliefAnswer::Kind::Busy};
  }
  if (Query.Incarnations.empty())
    return;
  In.Query = std::move(Query);
  sendReliefQueries(Name);
}

// Asks the targets that were too busy to answer, at first all of them.
void PromotionCoordinator::sendReliefQueries(const std::string &Name) {
  Group &In = Groups[Name];
  In.Query->NextAt = Time.now() + Times.QueryTimeout + Times.QueryInterval;
  std::vector<TargetRecord> Asked;
  for (auto &[Id, Each] : In.Query->Answers) {
    if (Each.Outcome != ReliefAnswer::Kind::Busy)
      continue;
    const TargetRecord *Known = Directory.find(Id);
    Each.Outcome = Known == nullptr ? ReliefAnswer::Kind::Missing
                                    : ReliefAnswer::Kind::Pending;
    if (Known != nullptr)
      Asked.push_back(*Known);
  }
  // An answer may end the query.
  const std::uint64_t Id = In.Query->Id;
  for (const TargetRecord &Each : Asked)
    Commands.send(
        addressOf(Each), TargetCommand::Kind::Status, 0, Times.QueryTimeout,
        [this, Name, Each, Id](const Expected<TargetStatus> &Answer) {
          Group &Current = Groups[Name];
          if (!IsActive || !Current.Query || Current.Query->Id != Id)
            return;
          ReliefAnswer &Known = Current.Query->Answers[Each.Id];
          if (Answer && isSameIncarnation(Each))
            Known = {ReliefAnswer::Kind::Answered, *Answer};
          else if (!Answer && Answer.error().Code == ErrorCode::Conflict)
            Known.Outcome = ReliefAnswer::Kind::Busy;
          else
            Known.Outcome = ReliefAnswer::Kind::Missing;
          evaluateRelief(Name);
        });
}

void PromotionCoordinator::evaluateRelief(const std::string &Name) {
  Group &In = Groups[Name];
  const Millis Now = Time.now();
  const ReliefDecision Decision =
      decideRelief(Rules, *In.Query, Times.QueryTimeout, Now);
  switch (Decision.What) {
  case ReliefDecision::Action::Wait:
    return;
  case ReliefDecision::Action::Query:
    In.Query->NextAt = Now + Times.QueryInterval;
    return;
  case ReliefDecision::Action::Nothing:
    In.Query.reset();
    return In.History.forbidUntil(Now + Rules.QueryPause);
  case ReliefDecision::Action::Move:
    In.Reason = Decision.Reason;
    return beginRelief(Name);
  }
}

void PromotionCoordinator::beginRelief(const std::string &Name) {
  Group &In = Groups[Name];
  const Millis Now = Time.now();
  ReliefQuery Query = std::move(*In.Query);
  In.Query.reset();
  // Heartbeats may have announced another change since the query began.
  const auto Primary = Directory.primaryOf(Name);
  if (In.CurrentStage != Stage::Watching || !Primary || Primary->IsLeaving ||
      Primary->Id != Query.Primary.Id ||
      Primary->Incarnation != Query.Primary.Incarnation)
    return;
  // Only replicas that answered are known to receive the log.
  std::erase_if(Query.Incarnations, [&Query](const auto &Each) {
    return Query.Answers[Each.first].Outcome != ReliefAnswer::Kind::Answered;
  });
  In.IsPlanned = true;
  In.OldPrimary = Primary->Id;
  In.RequiredPosition.reset();
  In.Failures.clear();
  In.HasOrderedStepDown = false;
  In.ChangeBeganAt = Now;
  In.History.forbidUntil(Now + Rules.MinInterval);
  In.Relief = std::move(Query);
  ++Reliefs;
  Step.emit(Name, "planned-change", In.Reason);
  enter(In, Stage::SteppingDown);
  continueStepDown(Name);
}

void PromotionCoordinator::continueStepDown(const std::string &Name) {
  Group &In = Groups[Name];
  In.NextQueryAt.reset();
  Commands.send(
      addressOf(In.Relief->Primary), TargetCommand::Kind::Status, 0,
      Times.QueryTimeout,
      [this, Name, Round = In.Round](const Expected<TargetStatus> &Answer) {
        if (isCurrent(Name, Round, Stage::SteppingDown))
          handleStepDownStatus(Name, Answer);
      });
}

void PromotionCoordinator::handleStepDownStatus(
    const std::string &Name, const Expected<TargetStatus> &Answer) {
  Group &In = Groups[Name];
  if (!Answer)
    return retryStepDown(Name, Answer.error().Message);
  if (!Answer->IsPrimary) {
    // The answer to the order was lost.
    if (In.HasOrderedStepDown)
      return handleSteppedDown(Name, Answer->Received);
    Step.emit(Name, "attempt-ended", In.OldPrimary + " does not lead");
    return resumeWatching(In, AttemptPause);
  }
  In.HasOrderedStepDown = true;
  Commands.send(
      addressOf(In.Relief->Primary), TargetCommand::Kind::StepDown,
      Answer->Term + 1, Times.QueryTimeout,
      [this, Name, Round = In.Round](const Expected<TargetStatus> &Result) {
        if (!isCurrent(Name, Round, Stage::SteppingDown))
          return;
        if (!Result)
          return retryStepDown(Name, Result.error().Message);
        if (Result->IsPrimary)
          return retryStepDown(Name, "it leads on");
        handleSteppedDown(Name, Result->Received);
      });
}

// A saturated primary refuses many commands as busy. While it refuses, it
// leads; after an order without an answer it may lead or not.
void PromotionCoordinator::retryStepDown(const std::string &Name,
                                         const std::string &Problem) {
  Group &In = Groups[Name];
  if (Time.now() - In.StageSince < Times.CatchUpTimeout)
    return scheduleQuery(In);
  if (In.HasOrderedStepDown)
    return returnLead(Name, "no answer to the order to step down");
  Step.emit(Name, "attempt-ended",
            In.OldPrimary + " can't be asked to step down: " + Problem);
  resumeWatching(In, Millis(0));
}

void PromotionCoordinator::handleSteppedDown(const std::string &Name,
                                             LogPosition Last) {
  Group &In = Groups[Name];
  In.RequiredPosition = Last;
  In.ChangeBeganAt = Time.now();
  queryPositions(Name);
}

void PromotionCoordinator::chooseForRelief(const std::string &Name) {
  Group &In = Groups[Name];
  const std::string Next =
      chooseReliefSuccessor(In.Statuses, *In.RequiredPosition);
  if (!Next.empty())
    return proposePromotion(Name, Next);
  if (Time.now() - In.ChangeBeganAt < Times.CatchUpTimeout)
    return scheduleQuery(In);
  returnLead(Name, "no replica received the whole log in time");
}

void PromotionCoordinator::returnLead(const std::string &Name,
                                      const std::string &Problem) {
  Group &In = Groups[Name];
  In.History.forbidUntil(Time.now() + Rules.MinIntervalAfterFailure);
  In.IsReturning = true;
  In.Reason = Problem + "; " + In.OldPrimary + " leads again";
  Step.emit(Name, "lead-returned", In.Reason);
  proposePromotion(Name, In.OldPrimary);
}

bool PromotionCoordinator::mayRelieve(const ReliefQuery &Relief,
                                      const TargetRecord &Target) {
  const auto Asked = Relief.Incarnations.find(Target.Id);
  return Asked != Relief.Incarnations.end() &&
         Asked->second == Target.Incarnation && !Target.IsLeaving;
}

// Until its next heartbeat, an old primary that is to lead again is recorded as
// still leading.
bool PromotionCoordinator::isPromoted(const Group &In,
                                      const TargetRecord &Primary) const {
  if (Primary.Id != In.Successor)
    return false;
  return !In.IsReturning || (In.CurrentStage == Stage::Awaiting &&
                             Directory.lastUpdate(Primary.Id) > In.StageSince);
}

} // namespace corianderdyke
