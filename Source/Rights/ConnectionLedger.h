/// \file
/// The control leader's record of the connections granted to proxies.
///
/// A server accepts about 16 connections, and its load may come through one or
/// two of eight proxies. With an even split each proxy would have two, and
/// twelve would stay unused while callers wait.
///
/// Rights are therefore granted in whole connections by demand. The sum over
/// all proxies never exceeds the server's limit, because a grant counts until
/// its holder reports that it has returned the connections, or until the
/// holder's lease has expired by every clock within the drift bound:
///  - a grant in flight counts as held until a report contains a later one;
///  - a proxy that crashes or is unreachable counts until its lease expires;
///  - a new leader does not know its predecessor's grants. It grants no further
///    connections until every registered proxy has reported to it, or until all
///    of the predecessor's leases have expired. A report counts only if the
///    proxy follows the new leader's term: before that, a late grant of the
///    predecessor could still raise the reported number.

#ifndef CORIANDERDYKE_RIGHTS_CONNECTIONLEDGER_H
#define CORIANDERDYKE_RIGHTS_CONNECTIONLEDGER_H

#include "Rights/Messages.h"
#include "State/ClusterView.h"

#include <map>
#include <optional>
#include <set>

namespace corianderdyke {

class ConnectionLedger {
public:
  /// Starts as the leader of a term.
  void startTerm(std::uint64_t LeaderTerm, const ClusterView &View, Millis Now);

  /// Answers a request that arrived at \p ReceivedAt. The caller ensures that
  /// this host was still the leader after that moment. Returns nothing if the
  /// proxy is not registered or is leaving, the request is old, or this
  /// leader's term is old.
  std::optional<RightsGrant> handleRequest(const RightsRequest &Request,
                                           const ClusterView &View,
                                           Millis ReceivedAt);

  /// True while a proxy may have connections open. It stays registered until
  /// then, so that a new leader waits for its report.
  bool mayHoldConnections(const ProcessId &Proxy, Millis Now) const;

  /// True if no unknown grant of a predecessor can still be in force.
  bool isComplete(Millis Now) const;

  /// Known number of connections to a target that proxies may have open.
  std::uint32_t outstanding(const std::string &Target) const;

  /// Connections that one proxy may have open to a target.
  std::uint32_t outstanding(const ProcessId &Proxy,
                            const std::string &Target) const;

private:
  struct Allocation {
    std::uint32_t Held = 0;
    std::uint32_t Wanted = 0;
    /// Grants that no report has confirmed yet, by sequence number.
    std::map<std::uint64_t, std::uint32_t> UnconfirmedGrants;

    std::uint32_t outstanding() const;
  };

  struct Holder {
    std::uint64_t LastSequence = 0;
    bool Leaving = false;
    Millis ExpiresAt;
    std::map<std::string, Allocation> Allocations;
  };

  void expire(Millis Now);
  void applyReport(Holder &Sender, const RightsRequest &Request);
  std::uint32_t computeGrant(const ProcessId &Proxy, const std::string &Target,
                             std::uint32_t Limit, Millis Now) const;

  std::uint64_t Term = 0;
  std::map<ProcessId, Holder> Holders;
  /// Proxies that may hold a predecessor's grants and have not reported yet.
  std::set<ProcessId> AwaitedProxies;
  Millis AwaitReportsUntil;
};

} // namespace corianderdyke

#endif
