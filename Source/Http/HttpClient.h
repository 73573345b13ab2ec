/// \file
/// Outgoing HTTP connections, as the slices see them.

#ifndef CORIANDERDYKE_HTTP_HTTPCLIENT_H
#define CORIANDERDYKE_HTTP_HTTPCLIENT_H

#include "Common/Error.h"
#include "Common/Identity.h"
#include "Common/Millis.h"
#include "Http/HttpMessage.h"

#include <functional>
#include <memory>

namespace corianderdyke {

/// One kept-alive connection, which carries one request at a time. A request
/// is never sent twice by the connection itself.
class HttpConnection {
public:
  using Handler = std::function<void(Expected<HttpResponse>)>;

  virtual ~HttpConnection() = default;

  /// Sends a request. The handler runs once, later, unless the connection is
  /// destroyed before. An error says only that no whole answer came: the
  /// request may have been carried out.
  virtual void request(HttpRequest Request, Millis Timeout,
                       Handler OnAnswer) = 0;
};

class HttpConnector {
public:
  virtual ~HttpConnector() = default;

  /// Makes a connection; it's opened by its first request.
  virtual std::unique_ptr<HttpConnection> connect(const Endpoint &To) = 0;
};

} // namespace corianderdyke

#endif
