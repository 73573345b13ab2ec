/// \file
/// A proxy's side of its lease.

#ifndef CORIANDERDYKE_LEASE_LEASEHOLDER_H
#define CORIANDERDYKE_LEASE_LEASEHOLDER_H

#include "Lease/Messages.h"

namespace corianderdyke {

/// Knows until when the proxy may acknowledge and serve by the revision that
/// it has applied.
class LeaseHolder {
public:
  explicit LeaseHolder(ProcessId Self) : Self(std::move(Self)) {}

  /// Takes a grant in. One for another life of this proxy, or for a request
  /// that was never sent, is ignored.
  void applyGrant(const LeaseGrant &Grant);

  /// Moves to a later revision; an earlier one is ignored, so that a late
  /// update can't take a decision back. True where it moved.
  bool applyRevision(std::uint64_t Revision);

  /// True while the proxy may serve and acknowledge.
  bool isHeld(Millis Now) const { return Now < End; }

  Millis end() const { return End; }
  std::uint64_t appliedRevision() const { return Applied; }

  /// Numbers the next request.
  std::uint64_t nextSequence() { return ++Sequence; }

private:
  ProcessId Self;
  std::uint64_t Sequence = 0;
  std::uint64_t Applied = 0;
  /// End of the leases whose revision is applied.
  Millis End = Millis(-1);
  /// Ends of leases that wait for their revision. Any that is reached moves
  /// into End; the lease in hand is never lengthened without its revision.
  std::map<std::uint64_t, Millis> PendingEnds;
};

} // namespace corianderdyke

#endif
