/// \file
/// What is known of how far one replica has applied its log.

#include "Replicas/ReplicaProgress.h"

#include <algorithm>

namespace corianderdyke {

namespace {

constexpr double MillisPerSecond = 1000;

} // namespace

void ReplicaProgress::recordAnswer(LogPosition Position, Millis SentAt,
                                   Millis Now) {
  IsTrialOutstanding = false;
  if (Latest && Position < Latest->Position) {
    // Answers of several connections arrive out of order.
    if (SentAt <= AdvancedAt)
      return;
    reset(Now);
  }
  LatestOwn = {Position, Now};
  accept(Position, Now);
}

void ReplicaProgress::recordReport(LogPosition Position, Millis Age,
                                   Millis Now) {
  // Checked first: any age may have been sent, and the difference could
  // overflow.
  if (Age < Millis(0))
    return;
  const Millis At = Now - Age;
  if (At <= DiscardedAt || (Latest && Position < Latest->Position))
    return;
  accept(Position, At);
}

void ReplicaProgress::recordLagging(LogPosition Floor, Millis Now) {
  if (holdsNow(Floor))
    reset(Now);
  IsTrialOutstanding = false;
  TriedAt = Now;
}

void ReplicaProgress::reset(Millis Now) {
  *this = ReplicaProgress();
  DiscardedAt = Now;
}

void ReplicaProgress::accept(LogPosition Position, Millis At) {
  if (Latest && Position.Term > Latest->Position.Term) {
    RateSince.reset();
    LastRate.reset();
    PreviousRate.reset();
  }
  if (!Latest || Position > Latest->Position)
    AdvancedAt = At;
  Latest = {Position, Latest ? std::max(Latest->At, At) : At};
  measureRate();
}

void ReplicaProgress::measureRate() {
  if (!RateSince) {
    RateSince = Latest;
    return;
  }
  const Millis Span = Latest->At - RateSince->At;
  if (Span < MinRateWindow)
    return;
  PreviousRate = LastRate;
  LastRate = static_cast<double>(Latest->Position.Number -
                                 RateSince->Position.Number) *
             MillisPerSecond / static_cast<double>(Span.count());
  RateSince = Latest;
}

Millis ReplicaProgress::stalledFor() const {
  return Latest ? Latest->At - AdvancedAt : Millis(0);
}

std::optional<double> ReplicaProgress::rate(Millis Now) const {
  if (!Latest || !LastRate || Now - Latest->At > RateMaxAge)
    return std::nullopt;
  const double Measured = std::min(*LastRate, PreviousRate.value_or(*LastRate));
  // A log that has not advanced for a while applies at most one record in that
  // time.
  const auto Stalled = static_cast<double>(stalledFor().count());
  return Stalled > 0 ? std::min(Measured, MillisPerSecond / Stalled) : Measured;
}

std::optional<Millis> ReplicaProgress::expectedAt(LogPosition Floor,
                                                  Millis Now) const {
  if (holdsNow(Floor))
    return Latest->At;
  const auto Measured = rate(Now);
  // The records that a later term adds are not counted by its numbers alone.
  if (!Measured || *Measured <= 0 || Floor.Term != Latest->Position.Term)
    return std::nullopt;
  const auto Missing =
      static_cast<double>(Floor.Number - Latest->Position.Number);
  const double Needed = Missing / (*Measured * RateShare) * MillisPerSecond;
  // Beyond this nothing is predicted, and the conversion could overflow.
  constexpr double MaxNeeded = 3600 * MillisPerSecond;
  return Latest->At +
         Millis(static_cast<std::int64_t>(std::min(Needed, MaxNeeded)));
}

// An expected time is no more certain than the time since the observation is
// long: a replica that is expected within that time may be there already. One
// that is expected later is behind by more than that, and reads tried at it
// would be in vain.
ReplicaReadiness ReplicaProgress::readiness(LogPosition Floor, Millis ArrivesAt,
                                            Millis Now) const {
  const auto Expected = expectedAt(Floor, Now);
  if (Expected && *Expected <= ArrivesAt)
    return ReplicaReadiness::Ready;
  const bool IsUncertain = !Expected || *Expected - Now <= Now - Latest->At;
  return IsUncertain && mayTry(Now) ? ReplicaReadiness::MayTry
                                    : ReplicaReadiness::Behind;
}

bool ReplicaProgress::mayTry(Millis Now) const {
  if (IsTrialOutstanding && Now - TriedAt < MaxTrialPause)
    return false;
  const Millis Pause = std::clamp(stalledFor(), MinTrialPause, MaxTrialPause);
  const Millis Since =
      std::max(TriedAt, Latest ? Latest->At : Millis(-1000000));
  return Now - Since >= Pause;
}

void ReplicaProgress::beginTrial(Millis Now) {
  TriedAt = Now;
  IsTrialOutstanding = true;
}

} // namespace corianderdyke
