/// \file
/// The open connections of one proxy to one target.

#ifndef CORIANDERDYKE_PROXY_CONNECTIONPOOL_H
#define CORIANDERDYKE_PROXY_CONNECTIONPOOL_H

#include "Common/Clock.h"
#include "Http/HttpClient.h"

#include <deque>
#include <vector>

namespace corianderdyke {

/// Hands out connections, one statement a connection at a time. Opening one
/// costs the target milliseconds, so they are kept; the number is bounded by
/// what this proxy may use of the server's limit.
class ConnectionPool {
public:
  /// A connection in use. It goes back when the lease of it is released; a
  /// connection whose last answer didn't come whole is closed instead, since
  /// a late answer on it could be taken for the next statement's.
  struct Lent {
    std::unique_ptr<HttpConnection> Connection;
  };
  using Handler = std::function<void(Expected<Lent>)>;

  ConnectionPool(HttpConnector &Connector, Endpoint To, std::size_t Limit)
      : Connector(Connector), To(std::move(To)), Limit(Limit) {}

  /// Asks for a connection. An error means that none could be opened:
  /// nothing of a statement has gone out.
  void acquire(Handler OnReady);

  /// Gives one back.
  void release(Lent Used, bool Reusable);

  void setLimit(std::size_t NewLimit);

  std::size_t inUse() const { return Busy; }
  std::size_t open() const { return Busy + Idle.size(); }
  std::size_t waiting() const { return Waiting.size(); }

private:
  void serve();
  void openOne(Handler OnReady);

  HttpConnector &Connector;
  Endpoint To;
  std::size_t Limit;
  std::size_t Busy = 0;
  std::vector<std::unique_ptr<HttpConnection>> Idle;
  std::deque<Handler> Waiting;
};

} // namespace corianderdyke

#endif
