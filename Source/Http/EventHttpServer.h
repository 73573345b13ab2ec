/// \file
/// HTTP server on libevent's evhttp.

#ifndef CORIANDERDYKE_HTTP_EVENTHTTPSERVER_H
#define CORIANDERDYKE_HTTP_EVENTHTTPSERVER_H

#include "Common/Error.h"
#include "Common/Identity.h"
#include "Common/Millis.h"
#include "Http/HttpServer.h"

#include <map>
#include <memory>

struct evhttp;
struct evhttp_connection;
struct evhttp_request;
struct evhttp_bound_socket;

namespace corianderdyke {

class EventLoop;

/// Bounds of a listener besides those of EventHttpSupport.h.
struct HttpLimits {
  /// A connection without traffic for this long is closed. The timeout must be
  /// longer than the longest deadline, because a connection is also idle while
  /// its caller waits for a response.
  Millis IdleTimeout = Millis(120000);
};

class EventHttpServer {
public:
  /// Listens on \p At; returns System if the port cannot be bound. Port 0
  /// selects a free port.
  static Expected<std::unique_ptr<EventHttpServer>>
  listen(EventLoop &Loop, const Endpoint &At, HttpService &Service,
         HttpLimits Limits = HttpLimits());

  ~EventHttpServer();
  EventHttpServer(const EventHttpServer &) = delete;
  EventHttpServer &operator=(const EventHttpServer &) = delete;

  /// The address of the listener, with the port that is bound.
  const Endpoint &endpoint() const { return At; }

  /// Accepts no new connections; open connections stay open.
  void stopListening();

  /// Adds "Connection: close" to each later response, unless the service has
  /// state that is bound to the connection.
  void closeConnectionsAfterResponse() { Closing = true; }

  /// Requests whose response has not been sent completely.
  std::size_t pendingRequests() const;

private:
  struct ConnectionState;

  explicit EventHttpServer(HttpService &Service);
  void onRequest(evhttp_request *Raw);
  bool closesAfterResponse(const std::string &Peer) const {
    return Closing && !Service.isBound(Peer);
  }

  HttpService &Service;
  Endpoint At;
  evhttp *Http = nullptr;
  evhttp_bound_socket *Socket = nullptr;
  bool Closing = false;
  /// Connections that have received at least one request.
  std::map<evhttp_connection *, std::unique_ptr<ConnectionState>>
      ConnectionStates;
};

} // namespace corianderdyke

#endif
