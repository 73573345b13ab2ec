/// \file
/// The seats of organisations' quotas that this proxy holds and gives out
/// permits from.

#include "Quota/QuotaSeats.h"

#include <algorithm>
#include <cmath>

namespace corianderdyke {

namespace {

constexpr double MillisPerSecond = 1000;
/// The tolerances of a window are split between the limits and the initial
/// tokens, since seats may start with initial tokens twice in one window. This
/// is the part of the tolerated fraction by which rate and burst are raised.
constexpr double RatePart = 0.6;
/// Part of the tolerated fraction that all seats together get as initial
/// tokens.
constexpr double InitialPart = 0.15;
/// Part of the tolerated operations that each seat's bucket may hold in
/// addition to its burst.
constexpr double BucketOperationsPart = 0.1;
/// Part of the tolerated operations that all seats together get as initial
/// tokens.
constexpr double InitialOperationsPart = 0.3;

} // namespace

void QuotaSeats::adopt(const RoutePlan &Plan) {
  Limits.clear();
  for (const PlannedOrganisation &Each : Plan.Organisations)
    if (Each.Limit)
      Limits[Each.Name] = *Each.Limit;
}

std::vector<std::string> QuotaSeats::limitedOrganisations() const {
  std::vector<std::string> Out;
  for (const auto &[Name, Each] : Limits)
    Out.push_back(Name);
  return Out;
}

void QuotaSeats::setWanted(std::map<std::string, std::uint32_t> New) {
  Wanted = std::move(New);
}

bool QuotaSeats::lacksSeat(Millis Now) const {
  for (const auto &[Name, Count] : Wanted) {
    std::uint32_t Held = 0;
    for (std::uint32_t Index = 0; Index < SeatsPerOrganisation; ++Index)
      Held += Now < LeaseEnd && Seats.count({Name, Index}) != 0 ? 1 : 0;
    if (Held < Count)
      return true;
  }
  return false;
}

Quota QuotaSeats::limitOfSeat(const std::string &Organisation) const {
  const auto Found = Limits.find(Organisation);
  if (Found == Limits.end())
    return {};
  const double Part =
      (1 + Tolerance.Fraction * RatePart) / SeatsPerOrganisation;
  return {Found->second.PerSecond * Part,
          Found->second.Burst * Part +
              Tolerance.Operations * BucketOperationsPart};
}

double QuotaSeats::initialTokens(const std::string &Organisation) const {
  const auto Found = Limits.find(Organisation);
  if (Found == Limits.end())
    return 0;
  const double InWindow = Found->second.PerSecond *
                              static_cast<double>(Tolerance.Window.count()) /
                              MillisPerSecond +
                          Found->second.Burst;
  return (InWindow * Tolerance.Fraction * InitialPart +
          Tolerance.Operations * InitialOperationsPart) /
         SeatsPerOrganisation;
}

PermitReply QuotaSeats::takePermits(const std::string &Organisation,
                                    std::uint32_t Count, Millis Now) {
  PermitReply Out;
  if (Now >= LeaseEnd)
    return Out;
  const Quota Limit = limitOfSeat(Organisation);
  double MinWait = -1;
  for (std::uint32_t Index = 0; Index < SeatsPerOrganisation; ++Index) {
    const auto Found = Seats.find({Organisation, Index});
    if (Found == Seats.end())
      continue;
    Out.HasSeat = true;
    Bucket &SeatBucket = Found->second;
    const double Passed =
        static_cast<double>((Now - SeatBucket.CountedAt).count()) /
        MillisPerSecond;
    // A bucket with a capacity below one token would never give out any.
    SeatBucket.Tokens = std::min(std::max(1.0, Limit.Burst),
                                 SeatBucket.Tokens + Passed * Limit.PerSecond);
    SeatBucket.CountedAt = Now;
    const auto Granted = std::min<std::uint32_t>(
        Count - Out.Granted, static_cast<std::uint32_t>(SeatBucket.Tokens));
    SeatBucket.Tokens -= Granted;
    Out.Granted += Granted;
    const double Lacking = 1 - SeatBucket.Tokens;
    const double Wait = Limit.PerSecond > 0
                            ? std::max(0.0, Lacking) / Limit.PerSecond
                            : static_cast<double>(SeatLeaseDuration.count());
    MinWait = MinWait < 0 ? Wait : std::min(MinWait, Wait);
  }
  if (Out.HasSeat)
    Out.RetryAfter =
        std::min(SeatLeaseDuration, Millis(static_cast<std::int64_t>(
                                        std::ceil(MinWait * MillisPerSecond))));
  return Out;
}

SeatRequest QuotaSeats::request(Millis Now) {
  if (Limits.empty() && Seats.empty())
    return {};
  SeatRequest Out{++Sequence, Now, LeaderTerm, Nonce, AppliedGrant, {}, {}};
  if (Now < LeaseEnd)
    for (const auto &[SeatId, Each] : Seats)
      Out.Held.push_back(SeatId);
  for (const auto &[Name, Count] : Wanted)
    Out.Wanted.push_back({Name, Count});
  return Out;
}

bool QuotaSeats::apply(const SeatGrant &Grant, Millis Now) {
  if (Grant.Proxy != Self || Grant.LeaderTerm < LeaderTerm)
    return false;
  LeaderTerm = Grant.LeaderTerm;
  if (Grant.Duration == Millis()) {
    Nonce = Grant.Nonce;
    return true;
  }
  if (Grant.Sequence <= AppliedGrant || Grant.Sequence > Sequence)
    return false;
  // Seats whose lease has ended start with initial tokens.
  if (Now >= LeaseEnd)
    Seats.clear();
  std::map<QuotaSeat, Bucket> New;
  for (const QuotaSeat &Each : Grant.Seats) {
    const auto Before = Seats.find(Each);
    New[Each] = Before != Seats.end()
                    ? Before->second
                    : Bucket{initialTokens(Each.Organisation), Now};
  }
  AppliedGrant = Grant.Sequence;
  LeaseEnd = Grant.SentAt + Grant.Duration;
  Seats = std::move(New);
  return false;
}

} // namespace corianderdyke
