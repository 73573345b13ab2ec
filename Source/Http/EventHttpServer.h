/// \file
/// A listener for HTTP through libevent's evhttp.

#ifndef CORIANDERDYKE_HTTP_EVENTHTTPSERVER_H
#define CORIANDERDYKE_HTTP_EVENTHTTPSERVER_H

#include "Common/Error.h"
#include "Common/Identity.h"
#include "Http/HttpServer.h"

#include <map>
#include <memory>

struct evhttp;
struct evhttp_connection;
struct evhttp_request;
struct evhttp_bound_socket;

namespace corianderdyke {

class EventLoop;

class EventHttpServer {
public:
  /// Listens on \p At; System where the port can't be had. Port 0 takes a
  /// free one.
  static Expected<std::unique_ptr<EventHttpServer>>
  listen(EventLoop &Loop, const Endpoint &At, HttpService &Service);

  ~EventHttpServer();
  EventHttpServer(const EventHttpServer &) = delete;
  EventHttpServer &operator=(const EventHttpServer &) = delete;

  /// The address that it listens on, with the real port.
  const Endpoint &endpoint() const { return At; }

  /// Takes no new connections; those that stand go on.
  void stopListening();

  /// From now on each answer asks its caller to close the connection.
  void closeAfterAnswers() { Closing = true; }

  /// Requests whose answer hasn't wholly left this process yet.
  std::size_t unanswered() const;

private:
  struct Session;

  explicit EventHttpServer(HttpService &Service);
  void arrived(evhttp_request *Raw);

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
