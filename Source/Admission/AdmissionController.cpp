/// \file
/// Admission of one database's requests at one proxy.

#include "Admission/AdmissionController.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// A request is let in, and later sent, only where this many times its
/// estimated time fits. The estimate moves with each answer; without the
/// margin the queue of a flooding organisation reaches up to the deadline
/// itself, and whoever falls to the noise is refused after waiting for most
/// of it, or sent and answered too late.
constexpr double Margin = 4.0 / 3.0;

double span(Millis From, Millis To) {
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
  const double Pace =
      Request.Cost / (static_cast<double>(LastConcurrency) *
                      Discipline->expectedShare(Request.Organisation));
  const Millis RetryAfter =
      RetryTimes.reserve(Request.Organisation, Wait, Pace, Now);
  return {std::move(Request), Reason, RetryAfter};
}

std::optional<Refusal>
AdmissionController::refuseOnArrival(const QueuedRequest &Request, Millis Now) {
  // With nothing running the estimate may be as old as the last overload.
  // Whoever comes then is let through, else nobody would ever correct it.
  if (Running == 0 && Discipline->size() == 0)
    return std::nullopt;
  const double Wait =
      estimatedWait(Discipline->costAhead(Request.Organisation, Request.Kind));
  const double Late =
      (Wait + Request.Cost) * Margin - span(Now, Request.DeadlineAt);
  if (Late > 0)
    return refuse(Request, RefusalReason::DeadlineOutOfReach, Late, Now);
  return std::nullopt;
}

std::vector<Refusal> AdmissionController::admit(QueuedRequest Request,
                                                Millis Now) {
  ++Counts.Arrived;
  Request.ArrivedAt = Now;
  Request.Cost = Costs.holdTime(Request.Kind);
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
    const double Left = span(Now, Found->DeadlineAt);
    const bool TooLate =
        Left <= 0 ||
        (Running > 0 && Costs.holdTime(Found->Kind) * Margin > Left);
    if (TooLate) {
      // Sending it would spend a connection on an answer that nobody waits
      // for any more.
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
    Costs.observe(Request.Kind, *Spent);
  Discipline->complete(Request, Spent.value_or(0));
}

std::vector<Refusal> AdmissionController::shedUnservable(Millis Now) {
  std::vector<Refusal> Out;
  for (const auto &Each : Discipline->waiting()) {
    // What waits was estimated on arrival; the pace of now decides.
    const double Cost = Costs.holdTime(Each.Request.Kind);
    const double Wait =
        estimatedWait(Each.CostAhead) * Cost / Each.Request.Cost;
    const double Late = Wait + Cost - span(Now, Each.Request.DeadlineAt);
    const bool Overdue = Each.Request.DeadlineAt <= Now;
    if (!Overdue && (Late <= 0 || Running == 0))
      continue;
    if (Discipline->remove(Each.Request.Id))
      Out.push_back(refuse(Each.Request, RefusalReason::GivenUp,
                           std::max(Late, 0.0), Now));
  }
  return Out;
}

} // namespace corianderdyke
