/// \file
/// The control leader's record of who holds which part of a quota.
///
/// At any moment a seat has one holder at most, because
///  - the group notes the name of a seat's holder before it's granted, so that
///    every later leader knows whose word it must wait for;
///  - a seat is given to another name only once its holder has reported that
///    it's released, or its lease has ended by every clock within the drift
///    bound;
///  - a grant under way counts until a report contains a later one;
///  - a report counts only once its proxy follows this leader's term, since a
///    late grant of the predecessor could add to an earlier one.
/// A later process of the same name holds nothing of the former one's, which
/// has ended, and may have its seats at once. A process counts as the latest of
/// its name once it sends back the last nonce that was given for the name: the
/// late request of one that has ended can't.

#ifndef CORIANDERDYKE_QUOTA_SEATLEDGER_H
#define CORIANDERDYKE_QUOTA_SEATLEDGER_H

#include "Quota/Messages.h"

#include <map>
#include <optional>

namespace corianderdyke {

/// Names of the holders by seat; empty where none was noted.
using SeatAssignments = std::map<QuotaSeat, std::string>;

class SeatLedger {
public:
  /// Starts as the leader of a term with what the group has noted.
  void startTerm(std::uint64_t LeaderTerm, const SeatAssignments &Noted,
                 Millis Now);

  /// Answers a request that came in at \p ReceivedAt. The caller makes sure
  /// that this host still led after that moment. Nothing for an old request.
  std::optional<SeatGrant>
  answer(const ProcessId &Proxy, const SeatRequest &Request, Millis ReceivedAt);

  /// Holders that the group should note; each seat waits until it has.
  SeatAssignments takeProposedAssignments();
  /// The group has noted them; they ask for their seats soon.
  void applyCommitted(const SeatAssignments &Done, Millis Now);

private:
  struct Seat {
    std::string Name;         ///< As noted.
    bool IsReserved = false;  ///< Another name is about to be noted.
    bool HasReported = false; ///< Its holder has reported in this term.
    ProcessId Holder;         ///< That it was granted to or that reported it.
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

  /// True where it's the latest process of its name, as from now on.
  bool isLatest(const ProcessId &Proxy, const SeatRequest &Request);
  bool isFree(const Seat &Of, Millis Now) const;
  void applyReport(const ProcessId &Proxy, const SeatRequest &Request,
                   Millis Now);
  void grant(const ProcessId &Proxy, const SeatRequest &Request,
             const SeatDemand &Wanted, Millis Now, SeatGrant &Out);

  std::uint64_t Term = 0;
  Millis AwaitReportsUntil;
  std::map<QuotaSeat, Seat> Seats;
  /// The latest process of each name.
  std::map<std::string, Process> Latest;
  /// Those that were given a nonce last, by name.
  std::map<std::string, UnconfirmedProcess> UnconfirmedProcesses;
  std::uint64_t LastNonce = 0;
  SeatAssignments ProposedAssignments;
};

} // namespace corianderdyke

#endif
