/// \file
/// The control leader's record of the holders of quota seats.

#include "Quota/SeatLedger.h"

#include "Lease/LeaseRegistry.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// Bound for the drift between two clocks, in parts per million of a span.
constexpr std::uint32_t ClockDriftPpm = 1000;

/// How long a committed assignment is held for its proxy: several times as long
/// as a proxy that lacks a seat takes to send its next request.
constexpr Millis AssignmentHold(1500);

Millis maxSeatLease() {
  return maxLeaseAcrossClocks(SeatLeaseDuration, ClockDriftPpm);
}

} // namespace

void SeatLedger::startTerm(std::uint64_t LeaderTerm,
                           const SeatAssignments &Committed, Millis Now) {
  *this = SeatLedger();
  Term = LeaderTerm;
  AwaitReportsUntil = Now + maxSeatLease();
  for (const auto &[SeatId, Name] : Committed)
    Seats[SeatId].Name = Name;
}

bool SeatLedger::isFree(const Seat &S, Millis Now) const {
  if (S.IsReserved)
    return false;
  if (S.Name.empty())
    return true;
  return S.HasReported ? S.HeldUntil <= Now : Now >= AwaitReportsUntil;
}

void SeatLedger::applyReport(const ProcessId &Proxy, const SeatRequest &Request,
                             Millis Now) {
  for (auto &[SeatId, Each] : Seats) {
    if (Each.Name != Proxy.Name)
      continue;
    const bool IsHeld = std::find(Request.Held.begin(), Request.Held.end(),
                                  SeatId) != Request.Held.end();
    const bool IsOfFormerProcess = Each.HasReported && Each.Holder != Proxy;
    const bool IsGrantInFlight = Each.HasReported && !IsOfFormerProcess &&
                                 Each.GrantSequence > Request.AppliedGrant;
    Each.HasReported = true;
    if (!IsHeld && !IsGrantInFlight)
      Each.HeldUntil = Millis();
    else if (IsHeld)
      Each.HeldUntil = std::max(Each.HeldUntil, Now + maxSeatLease());
    if (Each.Holder != Proxy)
      Each.GrantSequence = 0;
    Each.Holder = Proxy;
  }
}

void SeatLedger::grant(const ProcessId &Proxy, const SeatRequest &Request,
                       const SeatDemand &Wanted, Millis Now, SeatGrant &Out) {
  std::uint32_t Granted = 0;
  const std::uint32_t MaxCount = std::min(Wanted.Count, SeatsPerOrganisation);
  for (std::uint32_t Index = 0; Index < SeatsPerOrganisation; ++Index) {
    const QuotaSeat SeatId{Wanted.Organisation, Index};
    const auto Known = Seats.find(SeatId);
    if (Granted >= MaxCount || Known == Seats.end() ||
        Known->second.IsReserved || Known->second.Name != Proxy.Name)
      continue;
    Known->second.HeldUntil = Now + maxSeatLease();
    Known->second.GrantSequence = Request.Sequence;
    Out.Seats.push_back(SeatId);
    ++Granted;
  }
  // Missing seats are committed first, and granted with a later request.
  for (std::uint32_t Index = 0;
       Index < SeatsPerOrganisation && Granted < MaxCount; ++Index) {
    Seat &Other = Seats[{Wanted.Organisation, Index}];
    if (!isFree(Other, Now) || Other.Name == Proxy.Name)
      continue;
    Other.IsReserved = true;
    ProposedAssignments[{Wanted.Organisation, Index}] = Proxy.Name;
    ++Granted;
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
  // A late grant of an earlier term may still add to its report.
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
  for (const auto &[SeatId, Name] : Done) {
    Seat &S = Seats[SeatId];
    S = Seat();
    S.Name = Name;
    // No process of that name was granted the seat before, so that no report
    // has to be awaited.
    S.HasReported = true;
    S.HeldUntil = Now + AssignmentHold;
    const auto Process = Latest.find(Name);
    if (Process != Latest.end())
      S.Holder = Process->second.Id;
  }
}

} // namespace corianderdyke
