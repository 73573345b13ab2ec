/// \file
/// The transactions that are open at this proxy.

#ifndef CORIANDERDYKE_PROXY_TRANSACTIONTABLE_H
#define CORIANDERDYKE_PROXY_TRANSACTIONTABLE_H

#include "Loop/Scheduler.h"
#include "Proxy/ConnectionPool.h"
#include "Routing/Router.h"

#include <set>

namespace corianderdyke {

/// An open transaction. It owns its connection until it ends, so that no
/// statement of another caller can run inside it.
struct Transaction {
  std::string Id;
  std::string Database;
  Route ChosenRoute;
  std::string CallerConnection; ///< The caller's connection that began it.
  PooledConnection Connection;
  bool Busy = false; ///< A statement of it is under way.
  Scheduler::TimerId IdleTimer = 0;
};

using TransactionPtr = std::shared_ptr<Transaction>;

/// Every way in which a transaction ends without its commit ends it at the
/// target too: by a rollback that the target confirmed, or by closing the
/// connection, upon which the target rolls back by itself. Only a confirmed
/// end lets the connection go to another caller.
class TransactionTable {
public:
  TransactionTable(Scheduler &Timers, ProcessId Self)
      : Timers(Timers), Self(std::move(Self)) {}
  ~TransactionTable();

  TransactionPtr open(const std::string &Database, const Route &Way,
                      const std::string &Peer, PooledConnection Connection,
                      Millis IdleTimeout);

  /// Claims a transaction for one statement. NotFound where it isn't open
  /// here, with the proxy where it lives; Conflict where another statement
  /// of it is under way or another connection began it.
  Expected<TransactionPtr> claim(const std::string &Id,
                                 const std::string &Peer);

  /// The claimed statement has its whole answer; the idle bound runs anew.
  void release(const TransactionPtr &Each, Millis IdleBound);

  /// The target has ended it: the connection is clean.
  void complete(const TransactionPtr &Each);

  /// Rolls it back. Harmless where it ended before.
  void abandon(const TransactionPtr &Each);

  /// The caller's connection is gone, and its transactions with it.
  void handleDisconnect(const std::string &Peer);

  /// Rolls back those that wait for their caller; a statement under way is
  /// left to end, and its transaction is rolled back with the next call.
  void abandonIdle();

  /// True while a transaction waits for a caller's connection.
  bool isBound(const std::string &Peer) const;

  bool isOpen(const std::string &Id) const { return Open.count(Id) != 0; }
  /// Databases on which some transaction is open.
  std::set<std::string> databases() const;
  std::size_t size() const { return Open.size() + Ending.size(); }

private:
  void rollBack(const TransactionPtr &Each);
  void startIdleTimer(const TransactionPtr &Each, Millis Bound);
  void forget(const TransactionPtr &Each);

  Scheduler &Timers;
  ProcessId Self;
  std::uint64_t NextNumber = 1;
  std::map<std::string, TransactionPtr> Open;
  /// Rolled back, and not yet confirmed by the target.
  std::map<std::string, TransactionPtr> Ending;
};

} // namespace corianderdyke

#endif
