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

/// Lends each connection to one user at a time. Opening a connection costs the
/// target milliseconds, so idle connections are kept open. Their number is
/// bounded by this proxy's share of the server's limit.
///
/// Invariant: Busy + Idle + Opening is at most the limit, except for
/// connections that were in use or being opened when the limit was lowered.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool> {
public:
  using Handler = std::function<void(Expected<PooledConnection>)>;
  using Ticket = std::uint64_t;

  ConnectionPool(HttpConnector &Connector, Endpoint To, std::size_t Limit)
      : Connector(Connector), To(std::move(To)), Limit(Limit) {}

  /// Requests a connection. An error means that none could be opened, so no
  /// part of a statement was sent. It is Unavailable if the server is full and
  /// System if it did not answer. The handler may run before this returns.
  Ticket acquire(Handler OnReady);

  /// Cancels a request for a connection; does nothing if it was served.
  void cancel(Ticket Id);

  void setLimit(std::size_t NewLimit);

  std::size_t inUse() const { return Busy; }
  /// Connections to the target, including those being opened.
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
  /// The last attempt to open a connection failed: the server may be full even
  /// below Limit. Waiters then wait for a connection to be released.
  bool OpeningFailed = false;
};

/// A connection in use. The destructor closes it unless its user marked it
/// reusable: after an incomplete answer, the rest of that answer could be
/// delivered to the next statement's caller, and an open transaction would mix
/// two callers' statements.
class PooledConnection {
public:
  PooledConnection(std::shared_ptr<ConnectionPool> Pool,
                   std::unique_ptr<HttpConnection> Connection)
      : Pool(std::move(Pool)), Connection(std::move(Connection)) {}
  PooledConnection(PooledConnection &&) = default;
  PooledConnection &operator=(PooledConnection &&) = delete;
  ~PooledConnection() { close(); }

  HttpConnection *operator->() const { return Connection.get(); }

  /// Sets whether the connection may be returned to the pool in its current
  /// state.
  void setReusable(bool IsReusable) { Reusable = IsReusable; }

  /// Returns the connection to the pool, or closes it. Further calls do
  /// nothing.
  void close();

private:
  std::shared_ptr<ConnectionPool> Pool;
  std::unique_ptr<HttpConnection> Connection;
  bool Reusable = false;
};

} // namespace corianderdyke

#endif
