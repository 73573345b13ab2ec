/// \file
/// Leases granted by the leader, and which proxies may still act on old
/// decisions.

#ifndef CORIANDERDYKE_LEASE_LEASEREGISTRY_H
#define CORIANDERDYKE_LEASE_LEASEREGISTRY_H

#include "Lease/Messages.h"

namespace corianderdyke {

/// Upper bound of the time that a lease of \p Duration lasts by the clock of
/// another host. Each clock deviates by at most \p DriftPpm, so one may run
/// slow while the other runs fast, and each reading is truncated to a whole
/// millisecond.
Millis maxLeaseAcrossClocks(Millis Duration, std::uint32_t DriftPpm);

/// Determines whether every proxy has either applied a revision or lost every
/// lease that it could use without it. Until then, a proxy may still
/// acknowledge writes of a former primary.
class LeaseRegistry {
public:
  /// Initializes the registry on a new leader: any registered proxy may hold a
  /// lease that the predecessor granted at the last moment.
  void startTerm(const ClusterView &View, Millis Now);

  /// Records a request. Its reports replace the earlier reports of the proxy.
  void recordRequest(const LeaseRequest &Request, const Endpoint &ReplyTo,
                     Millis Now);

  /// Records a lease granted for a request that arrived at \p ReceivedAt. The
  /// lease is counted from that time, which is later than the time of sending
  /// from which the proxy counts.
  void recordGrant(const LeaseGrant &Grant, Millis ReceivedAt,
                   std::uint32_t DriftPpm);

  void recordApplied(const ProcessId &Proxy, std::uint64_t Revision);

  /// True once no proxy of the view can act without \p Revision.
  bool isInForce(const ClusterView &View, std::uint64_t Revision,
                 Millis Now) const;

  /// True once no work that began before \p Revision was applied still runs at
  /// the primary of a database, according to the reports of live proxies.
  bool isDrained(const ClusterView &View, const std::string &Database,
                 std::uint64_t Revision, Millis Now) const;

  /// Returns when the last lease of a proxy ends, or std::nullopt if it has
  /// none.
  std::optional<Millis> expiry(const ProcessId &Proxy) const;

  struct Holder {
    Endpoint ReplyTo;
    Millis LastRequestAt;
    std::uint64_t AppliedRevision = 0;
    /// Sequence of the latest request, which also supplied the next three
    /// members.
    std::uint64_t Sequence = 0;
    std::uint64_t ReportedRevision = 0; ///< Revision applied at that time.
    std::vector<TargetReport> Reports;  ///< Unhealthy targets only.
    std::set<std::string> BusyDatabases;
    /// Latest end of the leases that require a revision, by that revision.
    std::map<std::uint64_t, Millis> LeaseEnds;

    /// Returns the report of the proxy on an unhealthy target, or null if it
    /// reports none.
    const TargetReport *unhealthyReport(const std::string &Target) const;
    /// True if the proxy has a view and therefore monitors the targets in it.
    bool hasView() const { return AppliedRevision > 0; }
  };

  const std::map<ProcessId, Holder> &holders() const { return Holders; }
  void forget(const ProcessId &Proxy) { Holders.erase(Proxy); }

private:
  std::map<ProcessId, Holder> Holders;
};

} // namespace corianderdyke

#endif
