/// \file
/// Handlers of reads that wait until a majority confirms that this host still
/// leads.

#include "Consensus/ReadBarriers.h"

#include <utility>

namespace corianderdyke {

namespace {

tl::unexpected<Error> notLeading() {
  return fail(ErrorCode::Unavailable, "this control host doesn't lead");
}

} // namespace

Expected<void> ReadBarriers::await(Consensus &Agreement, Millis Now,
                                   Handler OnDone) {
  const auto Ticket = Agreement.beginRead(Now);
  if (!Ticket)
    return tl::unexpected(Ticket.error());
  PendingHandlers[*Ticket] = std::move(OnDone);
  return {};
}

void ReadBarriers::finish(const ConsensusOutputs &Ended) {
  for (const std::uint64_t Ticket : Ended.FailedReads)
    end(Ticket, notLeading());
  for (const ConfirmedRead &Each : Ended.Reads)
    end(Each.Ticket, {});
}

void ReadBarriers::failAll() {
  const auto All = std::exchange(PendingHandlers, {});
  for (const auto &[Ticket, OnDone] : All)
    OnDone(notLeading());
}

// The handler is removed before it runs, because it may begin another read.
void ReadBarriers::end(std::uint64_t Ticket, const Expected<void> &Result) {
  const auto Found = PendingHandlers.find(Ticket);
  if (Found == PendingHandlers.end())
    return;
  const Handler OnDone = std::move(Found->second);
  PendingHandlers.erase(Found);
  OnDone(Result);
}

} // namespace corianderdyke
