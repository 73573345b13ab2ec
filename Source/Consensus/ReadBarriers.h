/// \file
/// What waits for a majority to confirm that this host still leads.

#ifndef CORIANDERDYKE_CONSENSUS_READBARRIERS_H
#define CORIANDERDYKE_CONSENSUS_READBARRIERS_H

#include "Consensus/Consensus.h"

#include <functional>
#include <map>

namespace corianderdyke {

/// Handlers of reads by their tickets. Each runs once: with success when the
/// agreement has confirmed its read, else with why it can't.
class ReadBarriers {
public:
  using Handler = std::function<void(const Expected<void> &)>;

  /// Begins a read; Unavailable where this host doesn't lead, and the handler
  /// isn't kept then.
  Expected<void> await(Consensus &Agreement, Millis Now, Handler OnDone);

  /// Runs the handlers of the reads that these outputs end.
  void finish(const ConsensusOutputs &Ended);

  /// This host leads no more: ends all that wait as Unavailable.
  void failAll();

private:
  void end(std::uint64_t Ticket, const Expected<void> &Result);

  std::map<std::uint64_t, Handler> PendingHandlers; ///< By ticket.
};

} // namespace corianderdyke

#endif
