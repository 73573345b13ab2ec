/// \file
/// Incoming HTTP requests, as the slices see them.

#ifndef CORIANDERDYKE_HTTP_HTTPSERVER_H
#define CORIANDERDYKE_HTTP_HTTPSERVER_H

#include "Http/HttpMessage.h"

#include <functional>
#include <memory>

namespace corianderdyke {

/// The way back for one request's answer. It may be kept and used later.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  /// Sends the answer; a second call does nothing, nor one after the caller
  /// hung up.
  virtual void respond(HttpResponse Response) = 0;

  /// Runs \p Action if the caller hangs up before the answer.
  virtual void onDisconnect(std::function<void()> Action) = 0;
};

class HttpService {
public:
  virtual ~HttpService() = default;

  virtual void handle(const HttpRequest &Request,
                      std::shared_ptr<HttpExchange> Exchange) = 0;

  /// True while something lives on a connection that would end with it.
  virtual bool isBound(const std::string & /*Peer*/) const { return false; }

  /// A connection over which requests came has closed.
  virtual void handleDisconnect(const std::string & /*Peer*/) {}
};

} // namespace corianderdyke

#endif
