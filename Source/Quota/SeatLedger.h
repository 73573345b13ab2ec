/// \file
/// The control leader's record of the holders of quota seats.
///
/// At any moment a seat has at most one holder, because
///  - the control group commits the name of a seat's holder before the seat is
///    granted, so that every later leader knows whose report it must wait for;
///  - a seat is assigned to another name only once its holder has reported its
///    release, or its lease has ended by every clock within the drift bound;
///  - a grant in flight counts until a report contains a later one;
///  - a report counts only once its proxy follows this leader's term, since a
///    late grant of the previous leader could add to an earlier report.
/// A later process of the same name holds no seats of the former process, which
/// has ended, and may get them at once. A process counts as the latest of its
/// name once it returns the last nonce that was issued for the name: a late
/// request of a process that has ended cannot contain it.

#ifndef CORIANDERDYKE_QUOTA_SEATLEDGER_H
#define CORIANDERDYKE_QUOTA_SEATLEDGER_H

#include "Quota/Messages.h"

#include <map>
#include <optional>

namespace corianderdyke {

/// Names of the holders by seat; empty if none is committed.
using SeatAssignments = std::map<QuotaSeat, std::string>;

class SeatLedger {
public:
  /// Starts a term as its leader with the committed assignments.
  void startTerm(std::uint64_t LeaderTerm, const SeatAssignments &Committed,
                 Millis Now);

  /// Answers a request that arrived at \p ReceivedAt. The caller ensures that
  /// this host was still the leader after that moment. Returns nothing for an
  /// old request.
  std::optional<SeatGrant>
  answer(const ProcessId &Proxy, const SeatRequest &Request, Millis ReceivedAt);

  /// Returns the assignments that the control group should commit; each seat is
  /// granted only after that.
  SeatAssignments takeProposedAssignments();
  /// The control group has committed \p Done; the holders request their seats
  /// soon.
  void applyCommitted(const SeatAssignments &Done, Millis Now);

private:
  struct Seat {
    std::string Name;         ///< Committed holder.
    bool IsReserved = false;  ///< Another name is being committed.
    bool HasReported = false; ///< Its holder has reported in this term.
    ProcessId Holder;         ///< Process that was granted or reported it.
    Millis HeldUntil;
    std::uint64_t GrantSequence = 0; ///< Sequence of the last grant.
  };

  struct Process {
    ProcessId Id;
    std::uint64_t LastSequence = 0;
  };

  struct UnconfirmedProcess {
    ProcessId Id;
    std::uint64_t Nonce = 0;
  };

  /// True if \p Proxy is, or becomes with this request, the latest process of
  /// its name.
  bool isLatest(const ProcessId &Proxy, const SeatRequest &Request);
  bool isFree(const Seat &S, Millis Now) const;
  void applyReport(const ProcessId &Proxy, const SeatRequest &Request,
                   Millis Now);
  void grant(const ProcessId &Proxy, const SeatRequest &Request,
             const SeatDemand &Wanted, Millis Now, SeatGrant &Out);

  std::uint64_t Term = 0;
  Millis AwaitReportsUntil;
  std::map<QuotaSeat, Seat> Seats;
  /// The latest process of each name.
  std::map<std::string, Process> Latest;
  /// The processes that the last nonces were issued to, by name.
  std::map<std::string, UnconfirmedProcess> UnconfirmedProcesses;
  std::uint64_t LastNonce = 0;
  SeatAssignments ProposedAssignments;
};

} // namespace corianderdyke

#endif
