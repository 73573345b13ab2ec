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
  bool Busy = false; ///< A statement of it is in flight.
  Scheduler::TimerId IdleTimer = 0;
};

using TransactionPtr = std::shared_ptr<Transaction>;

/// A transaction that ends without a commit is also ended at the target: either
/// by a rollback that the target confirms, or by closing the connection, upon
/// which the target rolls back by itself. Only after a confirmed end may
/// another caller use the connection.
class TransactionTable {
public:
  TransactionTable(Scheduler &Timers, ProcessId Self)
      : Timers(Timers), Self(std::move(Self)) {}
  ~TransactionTable();

  TransactionPtr open(const std::string &Database, const Route &ChosenRoute,
                      const std::string &Peer, PooledConnection Connection,
                      Millis IdleTimeout);

  /// Claims a transaction for one statement. NotFound if it is not open here,
  /// naming the proxy that opened it; Conflict if another statement of it is in
  /// flight or another connection began it.
  Expected<TransactionPtr> claim(const std::string &Id,
                                 const std::string &Peer);

  /// Ends the claim of a statement and restarts the idle timer. Must not be
  /// called after an incomplete answer.
  void release(const TransactionPtr &CurrentTransaction, Millis IdleTimeout);

  /// Removes a transaction that the target has ended; its connection may be
  /// reused.
  void complete(const TransactionPtr &CurrentTransaction);

  /// Rolls back a transaction. Does nothing if it has ended.
  void abandon(const TransactionPtr &CurrentTransaction);

  /// Rolls back the transactions of a caller's connection that was closed.
  void handleDisconnect(const std::string &Peer);

  /// Rolls back the transactions without a statement in flight. The others are
  /// rolled back by a later call, after their statement has ended.
  void abandonIdle();

  /// True while a transaction of the caller's connection \p Peer is open.
  bool isBound(const std::string &Peer) const;

  bool isOpen(const std::string &Id) const { return Open.count(Id) != 0; }
  /// Databases with an open transaction.
  std::set<std::string> databases() const;
  std::size_t size() const { return Open.size() + Ending.size(); }

private:
  void rollBack(const TransactionPtr &CurrentTransaction);
  void startIdleTimer(const TransactionPtr &CurrentTransaction,
                      Millis IdleTimeout);
  void forget(const TransactionPtr &CurrentTransaction);

  Scheduler &Timers;
  ProcessId Self;
  std::uint64_t NextNumber = 1;
  std::map<std::string, TransactionPtr> Open;
  /// Transactions whose rollback the target has not confirmed yet.
  std::map<std::string, TransactionPtr> Ending;
};

} // namespace corianderdyke

#endif
