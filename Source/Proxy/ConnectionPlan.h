/// \file
/// How many statements a proxy has under way at each target, and whether one
/// more fits.

#ifndef CORIANDERDYKE_PROXY_CONNECTIONPLAN_H
#define CORIANDERDYKE_PROXY_CONNECTIONPLAN_H

#include "Admission/Concurrency.h"
#include "Admission/DatabaseQueues.h"
#include "Proxy/TargetPools.h"
#include "Rights/ConnectionRights.h"

namespace corianderdyke {

/// Weighs what is under way against what the connections and the server's
/// slots bear, and says what the proxy would use of each target.
class ConnectionPlan {
public:
  ConnectionPlan(const ClusterView &View, const TargetPools &Pools,
                 const DatabaseQueues &Queues)
      : View(View), Pools(Pools), Queues(Queues) {}

  /// A statement went out on a connection of the pool, or came back from
  /// there. \p Begins tells that it begins a transaction, which keeps the
  /// connection.
  void noteSent(const std::string &Target, bool Begins);
  void noteAnswered(const std::string &Target, bool Begins);

  /// True where a statement may take a connection now.
  bool hasRoom(const std::string &Target, const std::string &Database,
               bool Begins) const;

  /// What this proxy does with each target, for its request for rights.
  std::map<std::string, ConnectionUse> use() const;

  /// True where callers wait for connections that the proxy has no right to.
  bool isShort() const;

private:
  struct Sent {
    std::size_t All = 0;
    std::size_t Begins = 0;
  };

  Sent sentTo(const std::string &Target) const;
  TargetCapacity capacityOf(const std::string &Database) const;
  std::size_t underWay(const std::string &Target) const;
  /// Connections that transactions hold, or are about to.
  std::size_t pinned(const std::string &Target) const;
  std::size_t mostTransactions(const TargetCapacity &Of) const;

  const ClusterView &View;
  const TargetPools &Pools;
  const DatabaseQueues &Queues;
  std::map<std::string, Sent> UnderWay; ///< By target.
};

} // namespace corianderdyke

#endif
