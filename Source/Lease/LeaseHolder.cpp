/// \file
/// A proxy's side of its lease.

#include "Lease/LeaseHolder.h"

#include <algorithm>

namespace corianderdyke {

void LeaseHolder::grant(const LeaseGrant &Grant) {
  if (Grant.Proxy != Self || Grant.Sequence > Sequence)
    return;
  // It counts from the sending of the request: the answer may have been
  // under way for longer than the lease.
  const Millis GrantEnd = Grant.SentAt + Grant.Duration;
  if (Grant.RequiredRevision <= Applied)
    End = std::max(End, GrantEnd);
  else
    Waiting[Grant.RequiredRevision] =
        std::max(Waiting[Grant.RequiredRevision], GrantEnd);
}

bool LeaseHolder::apply(std::uint64_t Revision) {
  if (Revision <= Applied)
    return false;
  Applied = Revision;
  while (!Waiting.empty() && Waiting.begin()->first <= Applied) {
    End = std::max(End, Waiting.begin()->second);
    Waiting.erase(Waiting.begin());
  }
  return true;
}

} // namespace corianderdyke
