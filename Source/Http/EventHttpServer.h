/// \file
/// A listener for HTTP through libevent's evhttp.

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
  /// A caller that sends or takes nothing for this long is cut. It must be
  /// longer than the longest deadline: a caller that waits is silent too.
  Millis IdleTimeout = Millis(120000);
};

class EventHttpServer {
public:
  /// Listens on \p At; System where the port can't be had. Port 0 takes a
  /// free one.
  static Expected<std::unique_ptr<EventHttpServer>>
  listen(EventLoop &Loop, const Endpoint &At, HttpService &Service,
         HttpLimits Limits = HttpLimits());

  ~EventHttpServer();
  EventHttpServer(const EventHttpServer &) = delete;
  EventHttpServer &operator=(const EventHttpServer &) = delete;

  /// The address that it listens on, with the real port.
  const Endpoint &endpoint() const { return At; }

  /// Takes no new connections; those that stand go on.
  void stopListening();

  /// From now on each answer asks its caller to close the connection, unless
  /// something still lives on it.
  void closeConnectionsAfterResponse() { Closing = true; }

  /// Requests whose answer hasn't wholly left this process yet.
  std::size_t pendingRequests() const;

private:
  struct Session;

  explicit EventHttpServer(HttpService &Service);
  void onRequest(evhttp_request *Raw);
  bool closesAfterAnswer(const std::string &Peer) const {
    return Closing && !Service.isBound(Peer);
  }

  HttpService &Service;
  Endpoint At;
  evhttp *Http = nullptr;
  evhttp_bound_socket *Socket = nullptr;
  bool Closing = false;
  /// Connections over which at least one request came.
  std::map<evhttp_connection *, std::unique_ptr<Session>> Sessions;
};

} // namespace corianderdyke

#endif
