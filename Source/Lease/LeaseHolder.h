/// \file
/// The lease state of a proxy.

#ifndef CORIANDERDYKE_LEASE_LEASEHOLDER_H
#define CORIANDERDYKE_LEASE_LEASEHOLDER_H

#include "Lease/Messages.h"

namespace corianderdyke {

/// Tracks until when the proxy may serve and acknowledge statements with the
/// revision that it has applied.
class LeaseHolder {
public:
  explicit LeaseHolder(ProcessId Self) : Self(std::move(Self)) {}

  /// Applies a grant. A grant for another incarnation of this proxy, or for a
  /// request that was never sent, is ignored.
  void applyGrant(const LeaseGrant &Grant);

  /// Advances to a later revision and returns true. An earlier revision is
  /// ignored and returns false, so that a late update cannot revert a decision.
  bool applyRevision(std::uint64_t Revision);

  /// True while the proxy may serve and acknowledge.
  bool isHeld(Millis Now) const { return Now < End; }

  Millis end() const { return End; }
  std::uint64_t appliedRevision() const { return Applied; }

  /// Returns the sequence number of the next request.
  std::uint64_t nextSequence() { return ++Sequence; }

private:
  ProcessId Self;
  std::uint64_t Sequence = 0;
  std::uint64_t Applied = 0;
  /// Latest end of the leases whose required revision is applied.
  Millis End = Millis(-1);
  /// Ends of the leases whose required revision is not applied yet, by that
  /// revision. They move into End when it is; the current lease is never
  /// extended before that.
  std::map<std::uint64_t, Millis> PendingEnds;
};

} // namespace corianderdyke

#endif
