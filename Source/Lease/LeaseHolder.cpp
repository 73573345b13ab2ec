/// \file
/// The lease state of a proxy.

#include "Lease/LeaseHolder.h"

#include <algorithm>

namespace corianderdyke {

void LeaseHolder::applyGrant(const LeaseGrant &Grant) {
  if (Grant.Proxy != Self || Grant.Sequence > Sequence)
    return;
  // The lease starts when the request was sent, because the answer may have
  // been in transit for longer than the lease.
  const Millis GrantEnd = Grant.SentAt + Grant.Duration;
  if (Grant.RequiredRevision <= Applied)
    End = std::max(End, GrantEnd);
  else
    PendingEnds[Grant.RequiredRevision] =
        std::max(PendingEnds[Grant.RequiredRevision], GrantEnd);
}

bool LeaseHolder::applyRevision(std::uint64_t Revision) {
  if (Revision <= Applied)
    return false;
  Applied = Revision;
  while (!PendingEnds.empty() && PendingEnds.begin()->first <= Applied) {
    End = std::max(End, PendingEnds.begin()->second);
    PendingEnds.erase(PendingEnds.begin());
  }
  return true;
}

} // namespace corianderdyke
