/// \file
/// Handlers of reads that wait until a majority confirms that this host still
/// leads.

#ifndef CORIANDERDYKE_CONSENSUS_READBARRIERS_H
#define CORIANDERDYKE_CONSENSUS_READBARRIERS_H

#include "Consensus/Consensus.h"

#include <functional>
#include <map>

namespace corianderdyke {

/// Keeps the handlers of pending reads by ticket. Each handler runs once: with
/// success when the read is confirmed, otherwise with the error.
class ReadBarriers {
public:
  using Handler = std::function<void(const Expected<void> &)>;

  /// Begins a read. Returns Unavailable if this host does not lead; the handler
  /// is then not kept.
  Expected<void> await(Consensus &Agreement, Millis Now, Handler OnDone);

  /// Runs the handlers of the reads that \p Ended confirms or fails.
  void finish(const ConsensusOutputs &Ended);

  /// Fails all pending reads as Unavailable because this host has lost the
  /// leadership.
  void failAll();

private:
  void end(std::uint64_t Ticket, const Expected<void> &Result);

  std::map<std::uint64_t, Handler> PendingHandlers; ///< By ticket.
};

} // namespace corianderdyke

#endif
