/// \file
/// The control leader's record of who holds which part of a quota.

#include "Quota/SeatLedger.h"

#include "Lease/LeaseRegistry.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// Two clocks differ by this much of a span at most, in parts of a million.
constexpr std::uint32_t ClockDriftPpm = 1000;

/// A seat waits this long for the one that it was noted for: several times as
/// long as a proxy that lacks one takes to ask again.
constexpr Millis NotedKept(1500);

Millis longestSeat() {
  return maxLeaseAcrossClocks(SeatLeaseDuration, ClockDriftPpm);
}

} // namespace

void SeatLedger::startTerm(std::uint64_t LeaderTerm,
                           const SeatAssignments &Noted, Millis Now) {
  *this = SeatLedger();
  Term = LeaderTerm;
  AwaitReportsUntil = Now + longestSeat();
  for (const auto &[Which, Name] : Noted)
    Seats[Which].Name = Name;
}

bool SeatLedger::isFree(const Seat &Of, Millis Now) const {
  if (Of.IsReserved)
    return false;
  if (Of.Name.empty())
    return true;
  return Of.HasReported ? Of.HeldUntil <= Now : Now >= AwaitReportsUntil;
}

void SeatLedger::applyReport(const ProcessId &Proxy, const SeatRequest &Request,
                             Millis Now) {
  for (auto &[Which, Each] : Seats) {
    if (Each.Name != Proxy.Name)
      continue;
    const bool IsHeld = std::find(Request.Held.begin(), Request.Held.end(),
                                  Which) != Request.Held.end();
    const bool IsFormers = Each.HasReported && Each.Holder != Proxy;
    const bool IsUnderWay = Each.HasReported && !IsFormers &&
                            Each.GrantSequence > Request.AppliedGrant;
    Each.HasReported = true;
    if (!IsHeld && !IsUnderWay)
      Each.HeldUntil = Millis();
    else if (IsHeld)
      Each.HeldUntil = std::max(Each.HeldUntil, Now + longestSeat());
    if (Each.Holder != Proxy)
      Each.GrantSequence = 0;
    Each.Holder = Proxy;
  }
}

void SeatLedger::grant(const ProcessId &Proxy, const SeatRequest &Request,
                       const SeatDemand &Wanted, Millis Now, SeatGrant &Out) {
  std::uint32_t Given = 0;
  const std::uint32_t Most = std::min(Wanted.Count, SeatsPerOrganisation);
  for (std::uint32_t Index = 0; Index < SeatsPerOrganisation; ++Index) {
    const QuotaSeat Which{Wanted.Organisation, Index};
    const auto Known = Seats.find(Which);
    if (Given >= Most || Known == Seats.end() || Known->second.IsReserved ||
        Known->second.Name != Proxy.Name)
      continue;
    Known->second.HeldUntil = Now + longestSeat();
    Known->second.GrantSequence = Request.Sequence;
    Out.Seats.push_back(Which);
    ++Given;
  }
  // What lacks is noted first, and granted with a later request.
  for (std::uint32_t Index = 0; Index < SeatsPerOrganisation && Given < Most;
       ++Index) {
    Seat &Other = Seats[{Wanted.Organisation, Index}];
    if (!isFree(Other, Now) || Other.Name == Proxy.Name)
      continue;
    Other.IsReserved = true;
    ProposedAssignments[{Wanted.Organisation, Index}] = Proxy.Name;
    ++Given;
  }
}

bool SeatLedger::isLatest(const ProcessId &Proxy, const SeatRequest &Request) {
  if (Request.LeaderTerm < Term)
    return false;
  const auto Known = Latest.find(Proxy.Name);
  if (Known != Latest.end() && Known->second.Id == Proxy)
    return true;
  const auto New = UnconfirmedProcesses.find(Proxy.Name);
  if (New == UnconfirmedProcesses.end() || New->second.Id != Proxy ||
      New->second.Nonce != Request.Nonce)
    return false;
  UnconfirmedProcesses.erase(New);
  Latest[Proxy.Name] = {Proxy, 0};
  return true;
}

std::optional<SeatGrant> SeatLedger::answer(const ProcessId &Proxy,
                                            const SeatRequest &Request,
                                            Millis ReceivedAt) {
  if (Request.LeaderTerm > Term)
    return std::nullopt;
  SeatGrant Out{Proxy, Request.Sequence, Request.SentAt, Millis(), Term, 0, {}};
  // What it reports of an earlier term may still grow by a late grant.
  if (!isLatest(Proxy, Request)) {
    Out.Nonce = ++LastNonce;
    UnconfirmedProcesses[Proxy.Name] = {Proxy, Out.Nonce};
    return Out;
  }
  std::uint64_t &Last = Latest[Proxy.Name].LastSequence;
  if (Request.Sequence <= Last)
    return std::nullopt;
  Last = Request.Sequence;
  applyReport(Proxy, Request, ReceivedAt);
  Out.Duration = SeatLeaseDuration;
  for (const SeatDemand &Each : Request.Wanted)
    grant(Proxy, Request, Each, ReceivedAt, Out);
  return Out;
}

SeatAssignments SeatLedger::takeProposedAssignments() {
  return std::exchange(ProposedAssignments, {});
}

void SeatLedger::applyCommitted(const SeatAssignments &Done, Millis Now) {
  for (const auto &[Which, Name] : Done) {
    Seat &Of = Seats[Which];
    Of = Seat();
    Of.Name = Name;
    // Nobody of that name was granted it before.
    Of.HasReported = true;
    Of.HeldUntil = Now + NotedKept;
    const auto Process = Latest.find(Name);
    if (Process != Latest.end())
      Of.Holder = Process->second.Id;
  }
}

} // namespace corianderdyke
