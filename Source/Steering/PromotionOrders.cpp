/// \file
/// Orders to promote and their ends.
///
/// An order whose end is not known stays open in the replicated state, also for
/// the next leader. Once a primary that the order would displace works, it is
/// ordered to lead on, until that order is accepted.

#include "Steering/PromotionCoordinator.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// Pause before a confirmation without an answer is sent again; doubled with
/// each further one. The promotion service accepts a limited rate of calls.
constexpr Millis FirstConfirmationPause(200);
constexpr Millis MaxConfirmationPause(2000);

} // namespace

void PromotionCoordinator::proposePromotion(const std::string &Name,
                                            const std::string &Target) {
  Group &In = Groups[Name];
  enter(In, Stage::Ordering);
  In.Successor = Target;
  std::string Positions;
  for (const auto &[Id, Each] : In.Statuses)
    Positions += (Positions.empty() ? "" : ", ") + Id + " has " +
                 std::to_string(Each.Received.Term) + "." +
                 std::to_string(Each.Received.Number);
  for (const TargetRecord &Each : candidates(Name))
    if (!In.Relief && In.Statuses.count(Each.Id) == 0)
      Positions += ", " + Each.Id + " did not answer";
  const std::string Why = In.Reason + "; " + Positions;
  Step.emit(Name, "promotion-ordered", Target + ": " + Why);
  const TargetRecord *Known = Directory.find(Target);
  const std::uint64_t Incarnation = Known == nullptr ? 0 : Known->Incarnation;
  OnPropose(OrderPromotion{Name, Target, Holder, Why},
            [this, Name, Target, Incarnation,
             Round = In.Round](std::optional<std::uint64_t> Token) {
              // A target that has restarted since the query no longer has the
              // log for which it was selected.
              const TargetRecord *Now = Directory.find(Target);
              const bool IsSame =
                  Now != nullptr && Now->Incarnation == Incarnation;
              const bool IsWanted = isCurrent(Name, Round, Stage::Ordering);
              if (Token && IsWanted && IsSame)
                return sendPromotion(Name, Target, *Token);
              // The order was not sent.
              if (Token)
                recordEnd(Name, *Token, PromotionPort::Result::Rejected);
              if (IsWanted)
                resumeWatching(Groups[Name], AttemptPause);
            });
}

void PromotionCoordinator::sendPromotion(const std::string &Name,
                                         const std::string &Target,
                                         std::uint64_t Token) {
  Group &In = Groups[Name];
  In.SuccessorToken = Token;
  In.LastOrderAt = Time.now();
  enter(In, Stage::Awaiting);
  Promotions.promote(
      Name, Target, Token,
      [this, Name, Target, Token,
       Round = In.Round](PromotionPort::Result Result) {
        recordEnd(Name, Token, Result);
        if (Result == PromotionPort::Result::Accepted ||
            !isCurrent(Name, Round, Stage::Awaiting))
          return;
        Group &Current = Groups[Name];
        const bool IsRejected = Result == PromotionPort::Result::Rejected;
        Step.emit(Name, "promotion-refused",
                  Target + (IsRejected ? ": rejected"
                            : Result == PromotionPort::Result::Deferred
                                ? ": too many requests"
                                : ": no answer"));
        if (IsRejected)
          recordFailure(Current, Target);
        resumeWatching(Current, AttemptPause);
      });
}

void PromotionCoordinator::recordEnd(const std::string &Name,
                                     std::uint64_t Token,
                                     PromotionPort::Result Result) {
  if (IsActive && Result != PromotionPort::Result::Unknown)
    OnPropose(
        EndPromotion{Name, Token, Result == PromotionPort::Result::Accepted},
        [](std::optional<std::uint64_t>) {});
}

std::map<std::string, std::size_t> PromotionCoordinator::openOrders() const {
  std::map<std::string, std::size_t> Out;
  for (const auto &[Name, In] : Groups) {
    const auto Primary = Directory.primaryOf(Name);
    Out[Name] = Orders.rivalsOf(Name, Primary ? Primary->Id : "").size();
  }
  return Out;
}

// A target that did not lead before its only order leads because that order was
// executed, even if the answer was lost.
void PromotionCoordinator::recordTakeover(const std::string &Name,
                                          const Group &In) {
  if (In.CurrentStage == Stage::Awaiting && !In.IsReturning &&
      Orders.isOnlyOrder(Name, In.Successor, In.SuccessorToken))
    recordEnd(Name, In.SuccessorToken, PromotionPort::Result::Accepted);
}

// The primary itself is asked whether it leads: the record of one that an open
// order has just displaced is older than that.
void PromotionCoordinator::considerConfirmation(const std::string &Name,
                                                Group &In,
                                                const TargetRecord &Primary) {
  Confirmation &Current = In.Confirming;
  if (Orders.rivalsOf(Name, Primary.Id).empty()) {
    Current = {.Attempt = Current.Attempt + 1};
    return;
  }
  if (Current.Primary != Primary.Id ||
      Current.Incarnation != Primary.Incarnation)
    Current = {.Primary = Primary.Id,
               .Incarnation = Primary.Incarnation,
               .Attempt = Current.Attempt + 1};
  if (Current.IsUnderWay || Time.now() < Current.NextAt)
    return;
  Current.IsUnderWay = true;
  Commands.send(
      addressOf(Primary), TargetCommand::Kind::Status, 0, Times.QueryTimeout,
      [this, Name, Primary,
       Attempt = ++Current.Attempt](const Expected<TargetStatus> &Answer) {
        if (!isConfirming(Name, Attempt))
          return;
        if (Answer && Answer->IsPrimary && isSameIncarnation(Primary) &&
            Groups[Name].CurrentStage == Stage::Watching)
          return orderConfirmation(Name, Primary);
        retryConfirmation(Name, AttemptPause);
      });
}

bool PromotionCoordinator::isConfirming(const std::string &Name,
                                        std::uint64_t Attempt) const {
  const auto Found = Groups.find(Name);
  return IsActive && Found != Groups.end() &&
         Found->second.Confirming.Attempt == Attempt;
}

void PromotionCoordinator::retryConfirmation(const std::string &Name,
                                             Millis Pause) {
  Confirmation &Current = Groups[Name].Confirming;
  Current.IsUnderWay = false;
  Current.NextAt = Time.now() + Pause;
}

void PromotionCoordinator::orderConfirmation(const std::string &Name,
                                             const TargetRecord &Primary) {
  Confirmation &Current = Groups[Name].Confirming;
  // Sent again with its token, so that the control group's log does not grow.
  if (Current.Token != 0)
    return sendConfirmation(Name);
  const std::string Why = "leads on; earlier orders may still be executed";
  Step.emit(Name, "confirmation-ordered", Primary.Id + ": " + Why);
  OnPropose(OrderPromotion{Name, Primary.Id, Holder, Why},
            [this, Name,
             Attempt = Current.Attempt](std::optional<std::uint64_t> Token) {
              if (isConfirming(Name, Attempt) && Token) {
                Groups[Name].Confirming.Token = *Token;
                return sendConfirmation(Name);
              }
              if (Token)
                recordEnd(Name, *Token, PromotionPort::Result::Rejected);
              if (isConfirming(Name, Attempt))
                retryConfirmation(Name, AttemptPause);
            });
}

void PromotionCoordinator::sendConfirmation(const std::string &Name) {
  const Confirmation Sent = Groups[Name].Confirming;
  Promotions.promote(
      Name, Sent.Primary, Sent.Token,
      [this, Name, Sent](PromotionPort::Result Result) {
        // After a rejection an earlier copy without an answer is still open.
        if (Result == PromotionPort::Result::Accepted ||
            (Result == PromotionPort::Result::Rejected &&
             Sent.Pause == Millis(0)))
          recordEnd(Name, Sent.Token, Result);
        if (!isConfirming(Name, Sent.Attempt))
          return;
        Confirmation &Current = Groups[Name].Confirming;
        if (Result == PromotionPort::Result::Accepted)
          Step.emit(Name, "confirmed",
                    Sent.Primary + " leads on; earlier orders are void");
        // Another order is proposed after one that was rejected.
        if (Result == PromotionPort::Result::Accepted ||
            Result == PromotionPort::Result::Rejected)
          Current.Token = 0;
        else
          Current.Pause =
              std::min(Current.Pause == Millis(0) ? FirstConfirmationPause
                                                  : Current.Pause * 2,
                       MaxConfirmationPause);
        retryConfirmation(Name, std::max(Current.Pause, AttemptPause));
      });
}

// Without synchronous replicas a promotion may roll back acknowledged commits
// in any case.
void PromotionCoordinator::updateRivals(const std::string &Name, Group &In) {
  const auto Primary = Directory.primaryOf(Name);
  std::set<std::string> Open =
      Orders.rivalsOf(Name, Primary ? Primary->Id : "");
  std::erase_if(Open, [this](const std::string &Id) {
    const TargetRecord *Known = Directory.find(Id);
    return Known == nullptr || Known->IsGone;
  });
  const Millis Now = Time.now();
  const Millis LastOrderAt = std::max(In.LastOrderAt, LeadingSince);
  if (!Open.empty() && Now - LastOrderAt < Times.OrderLifetime) {
    In.Rivals = std::move(Open);
    In.RivalsUntil = Now + Times.TakeoverTime;
  } else if (Now >= In.RivalsUntil || In.SyncReplicas == 0) {
    In.Rivals.clear();
  }
  if (Primary)
    In.Rivals.erase(Primary->Id);
}

// A commit is acknowledged once SyncReplicas replicas have it. If only as many
// receive, the target of an open order is among them.
std::set<std::string> PromotionCoordinator::resumable(const Group &In) const {
  if (In.SyncReplicas == 0 || In.Rivals.empty())
    return In.StoppedReplicas;
  std::set<std::string> Out;
  std::set<std::string> Receiving = In.Rivals;
  for (const std::string &Id : In.StoppedReplicas)
    if (In.Rivals.count(Id) != 0)
      Out.insert(Id);
  const TargetRecord *Rival = Directory.find(*In.Rivals.begin());
  if (Rival != nullptr)
    for (const TargetRecord &Each : Directory.ofGroup(Rival->Group))
      if (!Each.IsPrimary && In.StoppedReplicas.count(Each.Id) == 0)
        Receiving.insert(Each.Id);
  for (const std::string &Id : In.StoppedReplicas)
    if (Receiving.size() < In.SyncReplicas && Receiving.insert(Id).second)
      Out.insert(Id);
  return Out;
}

void PromotionCoordinator::resumeReceiving(Group &In) {
  for (const std::string &Id : resumable(In)) {
    In.StoppedReplicas.erase(Id);
    if (const TargetRecord *Known = Directory.find(Id))
      Commands.send(
          addressOf(*Known), TargetCommand::Kind::ResumeReceiving, 0,
          Times.QueryTimeout,
          [this, Each = *Known](const Expected<TargetStatus> &Answer) {
            handleResumeAnswer(Each, Answer);
          });
  }
}

// A replica whose answer is missing may still be stopped. The order is repeated
// while no change is under way; a replica that restarts receives by itself.
void PromotionCoordinator::handleResumeAnswer(
    const TargetRecord &Replica, const Expected<TargetStatus> &Answer) {
  const bool HasEnded = !Answer && Answer.error().Code == ErrorCode::NotFound;
  if (IsActive && !Answer && !HasEnded && isSameIncarnation(Replica))
    Groups[Replica.Group].StoppedReplicas.insert(Replica.Id);
}

} // namespace corianderdyke
