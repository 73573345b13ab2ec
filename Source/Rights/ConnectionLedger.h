/// \file
/// The control leader's record of the connections that proxies may have open.
///
/// Load pattern: a server takes about 16 connections, and the load on it
/// comes through one or two of eight proxies. With an even split each has
/// two, and twelve stay unused while callers wait.
///
/// Rights are lent in whole connections and move by demand. The sum over all
/// proxies never passes the server's limit, because what was lent counts
/// until its holder reports that it's back, or until the holder's lease of it
/// has ended by every clock within the drift bound:
///  - a grant under way counts as held until a report contains a later one;
///  - a proxy that dies, or is cut off, counts until its lease has ended;
///  - a new leader doesn't know what its predecessor lent. It lends nothing
///    anew until every registered proxy has reported to it, or until all of
///    the predecessor's leases have ended. A report counts only once the
///    proxy follows the new leader's term: before that, a late grant of the
///    predecessor could still raise what was reported.

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

  /// Answers a request that came in at \p ReceivedAt. The caller makes sure
  /// that this host was still the leader after that moment. Nothing for a
  /// proxy that isn't registered, for an old request or by an old leader.
  std::optional<RightsGrant> handleRequest(const RightsRequest &Request,
                                           const ClusterView &View,
                                           Millis ReceivedAt);

  /// True while a proxy may have connections open. It stays registered as
  /// long, so that a new leader waits for it.
  bool mayHoldConnections(const ProcessId &Proxy, Millis Now) const;

  /// True once nothing of a predecessor's grants is unknown any more.
  bool isComplete(Millis Now) const;

  /// Connections to a target that proxies may have open, as far as known.
  std::uint32_t outstanding(const std::string &Target) const;

  /// Connections that one proxy may have open to a target.
  std::uint32_t outstanding(const ProcessId &Proxy,
                            const std::string &Target) const;

private:
  struct Allocation {
    std::uint32_t Held = 0;
    std::uint32_t Wanted = 0;
    /// Grants that no report has contained yet, by their sequence.
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
  void applyReport(Holder &Of, const RightsRequest &Request);
  std::uint32_t computeGrant(const ProcessId &Proxy, const std::string &Target,
                             std::uint32_t Limit, Millis Now) const;

  std::uint64_t Term = 0;
  std::map<ProcessId, Holder> Holders;
  /// Proxies that may hold something of a predecessor.
  std::set<ProcessId> AwaitedProxies;
  Millis AwaitReportsUntil;
};

} // namespace corianderdyke

#endif
