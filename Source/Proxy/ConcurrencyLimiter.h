/// \file
/// Limits the statements that a proxy has in flight at each target.

#ifndef CORIANDERDYKE_PROXY_CONCURRENCYLIMITER_H
#define CORIANDERDYKE_PROXY_CONCURRENCYLIMITER_H

#include "Admission/Concurrency.h"
#include "Admission/DatabaseQueues.h"
#include "Proxy/TargetPools.h"
#include "Rights/ConnectionRights.h"

namespace corianderdyke {

/// Compares the statements in flight with the limits set by the connections and
/// the server's slots, and computes the proxy's demand for connections.
class ConcurrencyLimiter {
public:
  ConcurrencyLimiter(const ClusterView &View, const TargetPools &Pools,
                     const DatabaseQueues &Queues)
      : View(View), Pools(Pools), Queues(Queues) {}

  /// Records that a statement was sent or answered on a pooled connection.
  /// \p BeginsTransaction is true if it begins a transaction, which keeps the
  /// connection.
  void recordSent(const std::string &Target, bool BeginsTransaction);
  void recordAnswered(const std::string &Target, bool BeginsTransaction);

  /// True if a statement may use a connection now.
  bool hasCapacity(const std::string &Target, const std::string &Database,
                   bool BeginsTransaction) const;

  /// This proxy's use of each target, for its requests for connection rights.
  std::map<std::string, ConnectionUse> connectionUse() const;

  /// True if statements are queued or the proxy has no rights to connections to
  /// some target, so that it requests rights at the shorter interval.
  bool needsConnections() const;

private:
  struct InFlightCounts {
    std::size_t All = 0;
    std::size_t Begins = 0;
  };

  InFlightCounts inFlightCounts(const std::string &Target) const;
  TargetCapacity capacityOf(const std::string &Database) const;
  std::size_t pendingStatements(const std::string &Target) const;
  /// Connections that transactions hold or are about to hold.
  std::size_t heldByTransactions(const std::string &Target) const;
  std::size_t maxTransactions(const TargetCapacity &Capacity) const;

  const ClusterView &View;
  const TargetPools &Pools;
  const DatabaseQueues &Queues;
  std::map<std::string, InFlightCounts> InFlight; ///< By target.
};

} // namespace corianderdyke

#endif
