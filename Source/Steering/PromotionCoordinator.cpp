/// \file
/// Decides which target of a group leads, where a promotion is all it takes.

#include "Steering/PromotionCoordinator.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// After a failed attempt the next follows this much later.
constexpr Millis AttemptPause(100);
/// Where a planned change can't be made now, it's tried again after this.
constexpr Millis PlannedPause(400);
/// Proxies that must find a primary unusable before control looks into it,
/// where that many follow: one alone may be cut off itself.
constexpr std::size_t LeastReports = 2;

} // namespace

PromotionCoordinator::PromotionCoordinator(
    Clock &Time, const TargetDirectory &Directory, TargetOrderPort &Orders,
    PromotionPort &Promotions, Propose OnPropose, std::string Holder,
    PromotionTimes Times)
    : Time(Time), Directory(Directory), Orders(Orders), Promotions(Promotions),
      OnPropose(std::move(OnPropose)), Holder(std::move(Holder)), Times(Times) {
}

void PromotionCoordinator::begin() {
  IsActive = true;
  BeganAt = Time.now();
  for (auto &[Name, Each] : Groups)
    back(Each, Millis(0));
  MayBeStopped.clear();
  for (const TargetRecord &Each : Directory.all()) {
    if (!Each.IsGone && !Each.IsPrimary)
      MayBeStopped.insert(Each.Id);
    if (!Each.IsGone && Each.IsPrimary) {
      Groups[Each.Group].Led = Each.Id;
      Groups[Each.Group].LedBornAt = Each.BornAt;
    }
  }
}

void PromotionCoordinator::end() {
  // Its successor decides on what was begun, and lets replicas receive again.
  IsActive = false;
  for (auto &[Name, Each] : Groups) {
    Each.Stopped.clear();
    back(Each, Millis(0));
  }
}

void PromotionCoordinator::noteSightings(
    const ProcessId &Proxy, const std::vector<PrimarySighting> &Seen) {
  for (const PrimarySighting &Each : Seen) {
    // What was met of an earlier life says nothing of the present one.
    const TargetRecord *Present = Directory.find(Each.Id);
    if (Present != nullptr && Present->BornAt != Each.BornAt)
      continue;
    Sighting &Known = Sightings[Each.Id][Proxy];
    if (Known.BornAt != Each.BornAt)
      Known = {.BornAt = Each.BornAt};
    (Each.IsReached ? Known.ReachedAt : Known.FailedAt) = Time.now();
  }
}

std::size_t PromotionCoordinator::countSightings(
    const TargetRecord &Target,
    const std::function<bool(const Sighting &)> &Counts) const {
  const auto Found = Sightings.find(Target.Id);
  if (Found == Sightings.end())
    return 0;
  return static_cast<std::size_t>(std::count_if(
      Found->second.begin(), Found->second.end(), [&](const auto &Each) {
        return Each.second.BornAt == Target.BornAt && Counts(Each.second);
      }));
}

std::size_t
PromotionCoordinator::failedLately(const TargetRecord &Target) const {
  return countSightings(Target, [this](const Sighting &Said) {
    return Said.FailedAt > Said.ReachedAt &&
           Time.now() - Said.FailedAt < Times.SightingKept;
  });
}

std::size_t
PromotionCoordinator::reachedLately(const TargetRecord &Target) const {
  return countSightings(Target, [this](const Sighting &Said) {
    return Said.ReachedAt >= Said.FailedAt &&
           Time.now() - Said.ReachedAt < Times.SightingKept;
  });
}

std::size_t PromotionCoordinator::reachedSince(const TargetRecord &Target,
                                               Millis Since) const {
  return countSightings(Target, [Since](const Sighting &Said) {
    return Said.ReachedAt >= Said.FailedAt && Said.ReachedAt >= Since;
  });
}

void PromotionCoordinator::enter(Group &In, Stage Next) {
  In.At = Next;
  In.Since = Time.now();
  ++In.Round;
}

void PromotionCoordinator::readLater(Group &In) {
  In.ReadAgainAt = Time.now() + Times.AskPause;
}

void PromotionCoordinator::back(Group &In, Millis Pause) {
  // Replicas that were left without their primary's log would fall behind
  // for good.
  if (IsActive)
    receiveAgain(In);
  In.ReadAgainAt.reset();
  enter(In, Stage::Watching);
  In.RetryAt = Time.now() + Pause;
}

bool PromotionCoordinator::isCurrent(const std::string &Name,
                                     std::uint64_t Round,
                                     Stage Expected) const {
  const auto Found = Groups.find(Name);
  return IsActive && Found != Groups.end() && Found->second.Round == Round &&
         Found->second.At == Expected;
}

void PromotionCoordinator::tick(const RoutePlan &Plan, std::size_t Proxies) {
  if (!IsActive)
    return;
  for (const GroupPolicy &Each : Plan.Groups) {
    Group &In = Groups[Each.Name];
    In.SyncReplicas = Each.SyncReplicas;
    if (In.ReadAgainAt && Time.now() >= *In.ReadAgainAt)
      read(Each.Name);
    else if (In.At == Stage::Watching)
      watch(Each.Name, In, Proxies);
    else
      settle(Each.Name, In);
  }
}

// The new primary shows itself by its own heartbeat, whatever the answer to
// the call was. A stage that stands still for long begins anew.
void PromotionCoordinator::settle(const std::string &Name, Group &In) {
  const auto Primary = Directory.primaryOf(Name);
  const Millis Now = Time.now();
  if ((In.At == Stage::Awaiting || In.At == Stage::Ordering) && Primary &&
      Primary->Id == In.Chosen) {
    Step.emit(Name, "promoted",
              In.Chosen + " leads after " +
                  std::to_string((Now - In.BeganAt).count()) + " ms");
    In.Excluded.clear();
    return back(In, Millis(0));
  }
  if (Now - In.Since <= Times.PromotionPatience)
    return;
  Step.emit(Name, "attempt-ended", "no progress in time");
  if (In.At == Stage::Awaiting)
    In.Excluded.insert(In.Chosen);
  back(In, AttemptPause);
}

void PromotionCoordinator::watch(const std::string &Name, Group &In,
                                 std::size_t Proxies) {
  const Millis Now = Time.now();
  if (Now < In.RetryAt)
    return;
  const auto Primary = Directory.primaryOf(Name);
  if (!Primary) {
    const bool IsKnown = !Directory.ofGroup(Name).empty();
    if (!IsKnown || Now - BeganAt < Times.Acquaintance)
      return;
    In.IsPlanned = false;
    In.Reason = "no target leads";
    In.Old.clear();
    In.BeganAt = Now;
    return read(Name);
  }
  In.Old = Primary->Id;
  // A former leader may have died between stopping replicas and promoting.
  if (In.SyncReplicas > 0)
    for (const TargetRecord &Each : Directory.ofGroup(Name))
      if (MayBeStopped.erase(Each.Id) != 0)
        In.Stopped.insert(Each.Id);
  if (In.At == Stage::Watching)
    receiveAgain(In);
  if (hasBegunAnew(In, *Primary)) {
    In.IsPlanned = false;
    In.Reason = "the primary has started again and may lack its log";
    In.BeganAt = Now;
    // It is asked with the others: nothing changes where it has the most, or
    // where it can't be asked and is judged by what proxies see of it.
    In.Old.clear();
    return read(Name);
  }
  In.Led = Primary->Id;
  In.LedBornAt = Primary->BornAt;
  if (Primary->IsLeaving) {
    In.IsPlanned = true;
    In.Reason = "the primary is leaving";
    In.BeganAt = Now;
    return stepDown(Name, *Primary);
  }
  const std::size_t Failed = failedLately(*Primary);
  const std::size_t Reached = reachedLately(*Primary);
  const bool Reported = Failed > 0 && Failed >= std::min(LeastReports, Proxies);
  // What was heard before this host began to lead went to another.
  const Millis HeardAt = std::max(Directory.lastHeard(Primary->Id), BeganAt);
  const bool IsSilent = Now - HeardAt > Times.SuspectAfter && Reached == 0;
  if (!Reported && !IsSilent)
    return;
  In.BeganAt = Now;
  probe(Name, *Primary, Proxies);
}

// A primary that starts again under its id may still say that it leads, with
// none of the log that its replicas hold. Left alone it would go on from
// there, and all that was acknowledged before would be missing.
bool PromotionCoordinator::hasBegunAnew(const Group &In,
                                        const TargetRecord &Primary) const {
  return In.Led == Primary.Id && In.LedBornAt > 0 &&
         Primary.BornAt > In.LedBornAt;
}

bool PromotionCoordinator::isSameLife(const TargetRecord &Asked) const {
  const TargetRecord *Known = Directory.find(Asked.Id);
  return Known != nullptr && Known->BornAt == Asked.BornAt;
}

// What control itself meets decides. A primary that refuses connections has
// ended, however lately some proxy was served. One that is only silent may be
// cut off from control, so more proxies must miss it than reach it. What they
// reached before the first of them failed says nothing: all are asked to tell
// anew while control asks the primary itself.
void PromotionCoordinator::probe(const std::string &Name,
                                 const TargetRecord &Primary,
                                 std::size_t Proxies) {
  Group &In = Groups[Name];
  enter(In, Stage::Probing);
  LookedInto.emit();
  Orders.ask(addressOf(Primary), TargetCommand::Kind::Status, 0,
             Times.ProbeTimeout,
             [this, Name, Round = In.Round, Primary,
              Proxies](const Expected<TargetStatus> &Answer) {
               if (isCurrent(Name, Round, Stage::Probing))
                 judge(Name, Primary, Proxies, Answer);
             });
}

void PromotionCoordinator::judge(const std::string &Name,
                                 const TargetRecord &Primary,
                                 std::size_t Proxies,
                                 const Expected<TargetStatus> &Answer) {
  Group &In = Groups[Name];
  const std::size_t Failed = failedLately(Primary);
  const std::size_t Reached = reachedSince(Primary, In.Since);
  const bool IsBusy = !Answer && Answer.error().Code == ErrorCode::Conflict;
  const bool IsGone = !Answer && Answer.error().Code == ErrorCode::NotFound;
  const bool IsMissed = IsGone || Reached == 0 || Failed > Reached;
  const bool WorksForMost =
      Answer && Answer->IsPrimary && Failed * 2 <= Proxies;
  if (IsBusy || WorksForMost || !IsMissed)
    return back(In, AttemptPause);
  In.Reason = Failed == 0 ? "no heartbeat"
                          : std::to_string(Failed) + " proxies can't use it, " +
                                std::to_string(Reached) + " can";
  In.IsPlanned = Answer && Answer->IsPrimary;
  if (In.IsPlanned) {
    // It works, but not for those who need it.
    In.Reason += "; control can";
    return stepDown(Name, Primary);
  }
  In.Reason += "; nor can control";
  read(Name);
}

void PromotionCoordinator::stepDown(const std::string &Name,
                                    const TargetRecord &Primary) {
  Group &In = Groups[Name];
  // Nobody could take over: it goes on.
  const auto Others = Directory.ofGroup(Name);
  const bool HasOther =
      std::any_of(Others.begin(), Others.end(), [&](const TargetRecord &Each) {
        return Each.Id != Primary.Id && !Each.IsLeaving;
      });
  if (!HasOther)
    return back(In, PlannedPause);
  Step.emit(Name, "planned-change", In.Reason);
  enter(In, Stage::SteppingDown);
  const auto OnStatus = [this, Name, Round = In.Round,
                         Primary](const Expected<TargetStatus> &Answer) {
    if (!isCurrent(Name, Round, Stage::SteppingDown))
      return;
    if (!Answer)
      return read(Name);
    Orders.ask(addressOf(Primary), TargetCommand::Kind::StepDown,
               Answer->Term + 1, Times.AskTimeout,
               [this, Name, Round](const Expected<TargetStatus> &Last) {
                 if (!isCurrent(Name, Round, Stage::SteppingDown))
                   return;
                 if (Last)
                   Groups[Name].Goal = Last->Received;
                 read(Name);
               });
  };
  In.Goal.reset();
  Orders.ask(addressOf(Primary), TargetCommand::Kind::Status, 0,
             Times.AskTimeout, OnStatus);
}

std::vector<TargetRecord>
PromotionCoordinator::choices(const std::string &Name) const {
  const Group &In = Groups.at(Name);
  std::vector<TargetRecord> Out;
  for (const TargetRecord &Each : Directory.ofGroup(Name)) {
    if (Each.Id == In.Old || In.Excluded.count(Each.Id) != 0)
      continue;
    // A leaving replica counts for what was acknowledged until it ends.
    if (!Each.IsLeaving || In.SyncReplicas > 0)
      Out.push_back(Each);
  }
  return Out;
}

void PromotionCoordinator::read(const std::string &Name) {
  Group &In = Groups[Name];
  enter(In, Stage::Reading);
  if (!In.IsPlanned)
    In.Goal.reset();
  In.ReadAgainAt.reset();
  const std::vector<TargetRecord> All = choices(Name);
  if (All.empty()) {
    In.Excluded.clear();
    return back(In, AttemptPause);
  }
  askAll(Name, All, TargetCommand::Kind::Status, 0);
}

// Where commits are acknowledged on the strength of a replica's copy, the old
// primary may go on while it's only cut off from control: a commit that it
// acknowledges after the replicas were read would be missing from the winner.
// So they stop receiving first, and tell their positions then.
void PromotionCoordinator::stopReceiving(const std::string &Name) {
  Group &In = Groups[Name];
  std::uint64_t Newest = 0;
  std::vector<TargetRecord> All;
  for (const auto &[Id, Each] : In.Read) {
    Newest = std::max(Newest, Each.Term);
    if (const TargetRecord *Known = Directory.find(Id))
      All.push_back(*Known);
    In.Stopped.insert(Id);
  }
  askAll(Name, All, TargetCommand::Kind::StopReceiving, Newest + 1);
}

void PromotionCoordinator::askAll(const std::string &Name,
                                  const std::vector<TargetRecord> &All,
                                  TargetCommand::Kind What,
                                  std::uint64_t Term) {
  Group &In = Groups[Name];
  In.Read.clear();
  In.Asked = All.size();
  In.Answered = 0;
  In.IsIncomplete = false;
  const bool IsLast =
      In.SyncReplicas == 0 || What == TargetCommand::Kind::StopReceiving;
  for (const TargetRecord &Each : All)
    Orders.ask(addressOf(Each), What, Term, Times.AskTimeout,
               [this, Name, Round = In.Round, Each,
                IsLast](const Expected<TargetStatus> &Answer) {
                 if (!isCurrent(Name, Round, Stage::Reading))
                   return;
                 Group &In = Groups[Name];
                 ++In.Answered;
                 if (Answer && isSameLife(Each))
                   In.Read[Each.Id] = *Answer;
                 In.IsIncomplete |=
                     !Answer && Answer.error().Code == ErrorCode::Conflict;
                 if (In.Answered < In.Asked)
                   return;
                 if (IsLast || In.Read.empty())
                   decide(Name);
                 else
                   stopReceiving(Name);
               });
}

void PromotionCoordinator::receiveAgain(Group &In) {
  for (const std::string &Id : std::exchange(In.Stopped, {}))
    if (const TargetRecord *Known = Directory.find(Id))
      Orders.ask(addressOf(*Known), TargetCommand::Kind::ReceiveAgain, 0,
                 Times.AskTimeout, [](const Expected<TargetStatus> &) {});
}

void PromotionCoordinator::decide(const std::string &Name) {
  Group &In = Groups[Name];
  const auto Best = std::max_element(
      In.Read.begin(), In.Read.end(), [](const auto &Left, const auto &Right) {
        return Left.second.Received < Right.second.Received;
      });
  if (Best == In.Read.end()) {
    Step.emit(Name, "attempt-ended", "no replica answers");
    return back(In, AttemptPause);
  }
  // Any commit that was acknowledged is on so many replicas: among one more
  // than the others there's one that has it.
  const std::size_t All = choices(Name).size();
  if (In.SyncReplicas > 0 && In.Read.size() + In.SyncReplicas <= All) {
    Step.emit(Name, "attempt-ended",
              std::to_string(In.Read.size()) + " of " + std::to_string(All) +
                  " replicas answer; the others may hold more");
    return back(In, AttemptPause);
  }
  const Millis Waited = Time.now() - In.BeganAt;
  // One that is too busy to tell its position may have the most.
  if (In.IsIncomplete && Waited < Times.CatchUpPatience)
    return readLater(In);
  if (In.Goal && Best->second.Received < *In.Goal &&
      Waited < Times.CatchUpPatience)
    return readLater(In);
  const auto Present = Directory.primaryOf(Name);
  const auto Own = Present ? In.Read.find(Present->Id) : In.Read.end();
  const bool HasBegunAnew = Present && hasBegunAnew(In, *Present);
  const bool HoldsMost = Own != In.Read.end() && Own->second.IsPrimary &&
                         Own->second.Received >= Best->second.Received;
  if (HoldsMost || (HasBegunAnew && Own == In.Read.end())) {
    In.LedBornAt = Present->BornAt;
    Step.emit(Name, "kept",
              Present->Id + " leads on: no replica is known to hold more");
    return back(In, Millis(0));
  }
  order(Name, Best->first);
}

void PromotionCoordinator::order(const std::string &Name,
                                 const std::string &Target) {
  Group &In = Groups[Name];
  enter(In, Stage::Ordering);
  In.Chosen = Target;
  std::string Read;
  for (const auto &[Id, Each] : In.Read)
    Read += (Read.empty() ? "" : ", ") + Id + " has " +
            std::to_string(Each.Received.Term) + "." +
            std::to_string(Each.Received.Number);
  const std::string Why = In.Reason + "; " + Read;
  Step.emit(Name, "promotion-ordered", Target + ": " + Why);
  const TargetRecord *Known = Directory.find(Target);
  const std::uint64_t BornAt = Known == nullptr ? 0 : Known->BornAt;
  OnPropose({Name, Target, Holder, Why},
            [this, Name, Target, BornAt,
             Round = In.Round](std::optional<std::uint64_t> Token) {
              if (!isCurrent(Name, Round, Stage::Ordering))
                return;
              // One that has started again since it was asked hasn't got the
              // log that it was chosen for.
              const TargetRecord *Now = Directory.find(Target);
              const bool IsSame = Now != nullptr && Now->BornAt == BornAt;
              if (!Token || !IsSame)
                return back(Groups[Name], AttemptPause);
              carryOut(Name, Target, *Token);
            });
}

void PromotionCoordinator::carryOut(const std::string &Name,
                                    const std::string &Target,
                                    std::uint64_t Token) {
  Group &In = Groups[Name];
  enter(In, Stage::Awaiting);
  Promotions.promote(
      Name, Target, Token,
      [this, Name, Target, Round = In.Round](PromotionPort::Result Result) {
        if (!isCurrent(Name, Round, Stage::Awaiting))
          return;
        Group &In = Groups[Name];
        if (Result == PromotionPort::Result::Taken)
          return;
        Step.emit(Name, "promotion-refused",
                  Target + (Result == PromotionPort::Result::Rejected
                                ? ": rejected"
                                : ": no answer"));
        if (Result == PromotionPort::Result::Rejected)
          In.Excluded.insert(Target);
        // A call without an answer may still be carried out. The next order
        // has a higher token, so the later one wins whichever comes first.
        back(In, AttemptPause);
      });
}

} // namespace corianderdyke
