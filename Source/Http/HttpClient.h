/// \file
/// Interface of outgoing HTTP connections.

#ifndef CORIANDERDYKE_HTTP_HTTPCLIENT_H
#define CORIANDERDYKE_HTTP_HTTPCLIENT_H

#include "Common/Error.h"
#include "Common/Identity.h"
#include "Common/Millis.h"
#include "Http/HttpMessage.h"

#include <functional>
#include <memory>

namespace corianderdyke {

/// A keep-alive connection that carries one request at a time. It never retries
/// a request.
class HttpConnection {
public:
  using Handler = std::function<void(Expected<HttpResponse>)>;

  virtual ~HttpConnection() = default;

  /// Sends a request. The handler runs once, after this function has returned,
  /// unless the connection is destroyed before. An error means only that no
  /// complete response was received: the request may have been executed.
  virtual void request(HttpRequest Request, Millis Timeout,
                       Handler OnAnswer) = 0;
};

class HttpConnector {
public:
  virtual ~HttpConnector() = default;

  /// Makes a connection, which is opened by its first request.
  virtual std::unique_ptr<HttpConnection> connect(const Endpoint &To) = 0;
};

} // namespace corianderdyke

#endif
