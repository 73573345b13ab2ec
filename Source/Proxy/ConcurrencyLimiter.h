/// \file
/// How many statements a proxy has under way at each target, and whether one
/// more fits.

#ifndef CORIANDERDYKE_PROXY_CONCURRENCYLIMITER_H
#define CORIANDERDYKE_PROXY_CONCURRENCYLIMITER_H

#include "Admission/Concurrency.h"
#include "Admission/DatabaseQueues.h"
#include "Proxy/TargetPools.h"
#include "Rights/ConnectionRights.h"

namespace corianderdyke {

/// Weighs what is under way against what the connections and the server's
/// slots bear, and says what the proxy would use of each target.
class ConcurrencyLimiter {
public:
  ConcurrencyLimiter(const ClusterView &View, const TargetPools &Pools,
                     const DatabaseQueues &Queues)
      : View(View), Pools(Pools), Queues(Queues) {}

  /// A statement went out on a connection of the pool, or came back from
  /// there. \p Begins tells that it begins a transaction, which keeps the
  /// connection.
  void recordSent(const std::string &Target, bool BeginsTransaction);
  void recordAnswered(const std::string &Target, bool Begins);

  /// True where a statement may take a connection now.
  bool hasCapacity(const std::string &Target, const std::string &Database,
                   bool Begins) const;

  /// What this proxy does with each target, for its request for rights.
  std::map<std::string, ConnectionUse> connectionUse() const;

  /// True where callers wait for connections that the proxy has no right to.
  bool needsConnections() const;

private:
  struct InFlightCounts {
    std::size_t All = 0;
    std::size_t Begins = 0;
  };

  InFlightCounts inFlightCounts(const std::string &Target) const;
  TargetCapacity capacityOf(const std::string &Database) const;
  std::size_t pendingStatements(const std::string &Target) const;
  /// Connections that transactions hold, or are about to.
  std::size_t pinned(const std::string &Target) const;
  std::size_t maxTransactions(const TargetCapacity &Of) const;

  const ClusterView &View;
  const TargetPools &Pools;
  const DatabaseQueues &Queues;
  std::map<std::string, InFlightCounts> InFlight; ///< By target.
};

} // namespace corianderdyke

#endif
