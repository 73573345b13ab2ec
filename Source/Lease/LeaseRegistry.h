/// \file
/// The leader's record of which proxies may still act on old decisions.

#ifndef CORIANDERDYKE_LEASE_LEASEREGISTRY_H
#define CORIANDERDYKE_LEASE_LEASEREGISTRY_H

#include "Lease/Messages.h"

namespace corianderdyke {

/// How long a lease of \p Duration may last by another host's clock, when
/// each clock is off by at most \p DriftPpm: one may run slow while the other
/// runs fast, and each reading is cut to a whole millisecond.
Millis maxLeaseAcrossClocks(Millis Duration, std::uint32_t DriftPpm);

/// Answers one question: has every proxy either applied a revision or lost
/// every lease that it could use without it? Until then a former primary may
/// still be acknowledged somewhere.
class LeaseRegistry {
public:
  /// Starts as a new leader: any registered proxy may hold a lease from the
  /// predecessor, granted at the last moment.
  void startTerm(const ClusterView &View, Millis Now);

  /// A request has come in; its reports replace the proxy's former ones.
  void recordRequest(const LeaseRequest &Request, const Endpoint &ReplyTo,
                     Millis Now);

  /// A lease was granted for a request that had come in at \p ReceivedAt. It
  /// counts from there: the proxy counts from before, when it sent it.
  void recordGrant(const LeaseGrant &Grant, Millis ReceivedAt,
                   std::uint32_t DriftPpm);

  void recordApplied(const ProcessId &Proxy, std::uint64_t Revision);

  /// True once no proxy of the view can act without \p Revision any more.
  bool isInForce(const ClusterView &View, std::uint64_t Revision,
                 Millis Now) const;

  /// True once nothing that began before \p Revision was applied still runs
  /// at a database's primary, as far as live proxies report.
  bool isDrained(const ClusterView &View, const std::string &Database,
                 std::uint64_t Revision, Millis Now) const;

  /// When the last lease of a proxy ends; nothing where it has none.
  std::optional<Millis> expiry(const ProcessId &Proxy) const;

  struct Holder {
    Endpoint ReplyTo;
    Millis LastRequestAt;
    std::uint64_t AppliedRevision = 0;
    /// Of the latest request, which also gave the three below.
    std::uint64_t Sequence = 0;
    std::uint64_t ReportedRevision = 0; ///< The revision applied by then.
    std::vector<TargetReport> Reports;  ///< Of targets in trouble.
    std::set<std::string> BusyDatabases;
    /// Latest end of the leases that require a revision, by that revision.
    std::map<std::uint64_t, Millis> LeaseEnds;

    /// What it reports of a target; null where it sees no trouble there.
    const TargetReport *unhealthyReport(const std::string &Target) const;
    /// It has a view, and so watches the targets in it.
    bool hasView() const { return AppliedRevision > 0; }
  };

  const std::map<ProcessId, Holder> &holders() const { return Holders; }
  void forget(const ProcessId &Proxy) { Holders.erase(Proxy); }

private:
  std::map<ProcessId, Holder> Holders;
};

} // namespace corianderdyke

#endif
