/// \file
/// Admission control for one database's requests at one proxy.

#include "Admission/AdmissionController.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// A request is admitted, and later sent, only if this many times its estimated
/// time fits before its deadline. The estimate changes with each answer.
/// Without the margin, the queue of an overloading organisation fills up to the
/// deadline, and estimation errors cause requests to be refused after most of
/// the time until their deadline, or to be sent and answered too late.
constexpr double EstimateMargin = 4.0 / 3.0;

double millisBetween(Millis From, Millis To) {
  return static_cast<double>((To - From).count());
}

std::uint64_t &counterOf(AdmissionCounts &Counts, RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::DeadlineOutOfReach:
    return Counts.DeadlineOutOfReach;
  case RefusalReason::QueueFull:
    return Counts.QueueFull;
  case RefusalReason::Displaced:
    return Counts.Displaced;
  case RefusalReason::GivenUp:
    break;
  }
  return Counts.GivenUp;
}

} // namespace

std::string refusalText(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::DeadlineOutOfReach:
    return "the queue is too long for the deadline";
  case RefusalReason::QueueFull:
    return "the queue is full";
  case RefusalReason::Displaced:
    return "the queue is full, and others use less of it";
  case RefusalReason::GivenUp:
    break;
  }
  return "it can't be served before its deadline any more";
}

double AdmissionController::estimatedWait(double CostAhead) const {
  return CostAhead / static_cast<double>(LastConcurrency);
}

Refusal AdmissionController::refuse(QueuedRequest Request, RefusalReason Reason,
                                    double Wait, Millis Now) {
  ++counterOf(Counts, Reason);
  const double Interval =
      Request.Cost / (static_cast<double>(LastConcurrency) *
                      Discipline->expectedShare(Request.Organisation));
  const Millis RetryAfter =
      RetryTimes.reserve(Request.Organisation, Wait, Interval, Now);
  return {std::move(Request), Reason, RetryAfter};
}

std::optional<Refusal>
AdmissionController::refuseOnArrival(const QueuedRequest &Request, Millis Now) {
  // If nothing is running, the estimate may date from the last overload. The
  // request is admitted, since only its answer can correct the estimate.
  if (Running == 0 && Discipline->size() == 0)
    return std::nullopt;
  const double Wait =
      estimatedWait(Discipline->costAhead(Request.Organisation, Request.Kind));
  const double Lateness = (Wait + Request.Cost) * EstimateMargin -
                          millisBetween(Now, Request.DeadlineAt);
  if (Lateness > 0)
    return refuse(Request, RefusalReason::DeadlineOutOfReach, Lateness, Now);
  return std::nullopt;
}

std::vector<Refusal> AdmissionController::admit(QueuedRequest Request,
                                                Millis Now) {
  ++Counts.Arrived;
  Request.ArrivedAt = Now;
  Request.Cost = HoldTimes.holdTime(Request.Kind);
  std::vector<Refusal> Out;
  if (auto Refused = refuseOnArrival(Request, Now)) {
    Out.push_back(std::move(*Refused));
    return Out;
  }
  if (Discipline->size() >= std::max<std::size_t>(QueueLimit, 1)) {
    const double Wait = estimatedWait(
        Discipline->costAhead(Request.Organisation, Request.Kind));
    const auto Victim = Discipline->displacementVictim(Request.Organisation);
    if (!Victim) {
      Out.push_back(
          refuse(std::move(Request), RefusalReason::QueueFull, Wait, Now));
      return Out;
    }
    if (auto Removed = Discipline->remove(*Victim))
      Out.push_back(
          refuse(std::move(*Removed), RefusalReason::Displaced, Wait, Now));
  }
  Discipline->push(std::move(Request));
  return Out;
}

std::optional<QueuedRequest>
AdmissionController::next(const QueueDiscipline::RunnablePredicate &CanRun,
                          Millis Now, std::vector<Refusal> &GivenUp) {
  while (auto Found = Discipline->pop(CanRun)) {
    const double Remaining = millisBetween(Now, Found->DeadlineAt);
    const bool TooLate =
        Remaining <= 0 ||
        (Running > 0 &&
         HoldTimes.holdTime(Found->Kind) * EstimateMargin > Remaining);
    if (TooLate) {
      // Sending it would occupy a connection for an answer that comes after the
      // deadline.
      Discipline->complete(*Found, 0);
      GivenUp.push_back(
          refuse(std::move(*Found), RefusalReason::GivenUp, 0, Now));
      continue;
    }
    ++Running;
    LastConcurrency = Running;
    ++Counts.Sent;
    const Millis Waited = Now - Found->ArrivedAt;
    Counts.TotalWait += Waited;
    Counts.LongestWait = std::max(Counts.LongestWait, Waited);
    return Found;
  }
  return std::nullopt;
}

void AdmissionController::complete(const QueuedRequest &Request,
                                   std::optional<double> Spent) {
  if (Running > 0)
    --Running;
  if (Spent)
    HoldTimes.observe(Request.Kind, *Spent);
  Discipline->complete(Request, Spent.value_or(0));
}

std::vector<Refusal> AdmissionController::shedUnservable(Millis Now) {
  std::vector<Refusal> Out;
  for (const auto &Each : Discipline->waiting()) {
    // The cost was estimated on arrival; the current estimate decides.
    const double Cost = HoldTimes.holdTime(Each.Request.Kind);
    const double Wait =
        estimatedWait(Each.CostAhead) * Cost / Each.Request.Cost;
    const double Lateness =
        Wait + Cost - millisBetween(Now, Each.Request.DeadlineAt);
    const bool Overdue = Each.Request.DeadlineAt <= Now;
    if (!Overdue && (Lateness <= 0 || Running == 0))
      continue;
    if (Discipline->remove(Each.Request.Id))
      Out.push_back(refuse(Each.Request, RefusalReason::GivenUp,
                           std::max(Lateness, 0.0), Now));
  }
  return Out;
}

} // namespace corianderdyke
