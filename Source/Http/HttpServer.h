/// \file
/// Interface of incoming HTTP requests.

#ifndef CORIANDERDYKE_HTTP_HTTPSERVER_H
#define CORIANDERDYKE_HTTP_HTTPSERVER_H

#include "Http/HttpMessage.h"

#include <functional>
#include <memory>

namespace corianderdyke {

/// Sends the response to one request. It may be kept and used later.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  /// Sends the response. A second call has no effect, nor has a call after the
  /// caller has disconnected.
  virtual void respond(HttpResponse Response) = 0;

  /// Runs \p Action if the caller disconnects before the response.
  virtual void onDisconnect(std::function<void()> Action) = 0;
};

class HttpService {
public:
  virtual ~HttpService() = default;

  virtual void handle(const HttpRequest &Request,
                      std::shared_ptr<HttpExchange> Exchange) = 0;

  /// True while the connection from a peer has state that ends with it, such as
  /// a transaction.
  virtual bool isBound(const std::string & /*Peer*/) const { return false; }

  /// Called when a connection that has received requests is closed.
  virtual void handleDisconnect(const std::string & /*Peer*/) {}
};

} // namespace corianderdyke

#endif
