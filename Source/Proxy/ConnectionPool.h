/// \file
/// The open connections of one proxy to one target.

#ifndef CORIANDERDYKE_PROXY_CONNECTIONPOOL_H
#define CORIANDERDYKE_PROXY_CONNECTIONPOOL_H

#include "Http/HttpClient.h"

#include <deque>
#include <map>
#include <vector>

namespace corianderdyke {

class PooledConnection;

/// Hands out connections, to one user at a time. Opening one costs the target
/// milliseconds, so they are kept; the number is bounded by what this proxy
/// may use of the server's limit.
///
/// Invariant: Busy + Idle + Opening is at most the limit, but for connections
/// that were in use when the limit was lowered.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool> {
public:
  using Handler = std::function<void(Expected<PooledConnection>)>;
  using Ticket = std::uint64_t;

  ConnectionPool(HttpConnector &Connector, Endpoint To, std::size_t Limit)
      : Connector(Connector), To(std::move(To)), Limit(Limit) {}

  /// Asks for a connection. An error means that none could be opened:
  /// nothing of a statement has gone out. It's Unavailable where the server
  /// is full and System where it didn't answer. The handler may run at once.
  Ticket acquire(Handler OnReady);

  /// Takes a request for a connection back; one that was served is ignored.
  void cancel(Ticket Id);

  void setLimit(std::size_t NewLimit);

  std::size_t inUse() const { return Busy; }
  /// Connections at the target, also those being opened.
  std::size_t total() const { return open() + Opening.size(); }
  std::size_t limit() const { return Limit; }
  std::size_t open() const { return Busy + Idle.size(); }
  std::size_t waiting() const { return Waiting.size(); }

private:
  friend class PooledConnection;

  struct Waiter {
    Ticket Id = 0;
    Handler OnReady;
  };

  void release(std::unique_ptr<HttpConnection> Used, bool Reusable);
  void serveWaiters();
  void openConnection();
  void handleOpened(std::uint64_t Id, const Expected<HttpResponse> &Answer);

  HttpConnector &Connector;
  Endpoint To;
  std::size_t Limit;
  std::size_t Busy = 0;
  std::vector<std::unique_ptr<HttpConnection>> Idle;
  std::map<std::uint64_t, std::unique_ptr<HttpConnection>> Opening;
  std::deque<Waiter> Waiting;
  std::uint64_t NextId = 1;
  /// The target refused the last opening: the server is full whatever our
  /// limit says. Waiters then wait for a connection that comes back.
  bool OpeningFailed = false;
};

/// A connection in use. It's closed when this ends, unless its user marked it
/// reusable: one whose last answer didn't come whole could deliver that
/// answer, late, to the next statement's caller, and one with a transaction
/// open would mix two callers' statements.
class PooledConnection {
public:
  PooledConnection(std::shared_ptr<ConnectionPool> Pool,
                   std::unique_ptr<HttpConnection> Connection)
      : Pool(std::move(Pool)), Connection(std::move(Connection)) {}
  PooledConnection(PooledConnection &&) = default;
  PooledConnection &operator=(PooledConnection &&) = delete;
  ~PooledConnection() { close(); }

  HttpConnection *operator->() const { return Connection.get(); }

  /// Says whether the connection is clean at the moment.
  void setReusable(bool IsReusable) { Reusable = IsReusable; }

  /// Gives the connection back, or closes it. Once is enough.
  void close();

private:
  std::shared_ptr<ConnectionPool> Pool;
  std::unique_ptr<HttpConnection> Connection;
  bool Reusable = false;
};

} // namespace corianderdyke

#endif
