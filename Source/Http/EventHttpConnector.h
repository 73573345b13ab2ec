/// \file
/// HTTP client on libevent's evhttp.

#ifndef CORIANDERDYKE_HTTP_EVENTHTTPCONNECTOR_H
#define CORIANDERDYKE_HTTP_EVENTHTTPCONNECTOR_H

#include "Http/HttpClient.h"

namespace corianderdyke {

class EventLoop;

class EventHttpConnector final : public HttpConnector {
public:
  explicit EventHttpConnector(EventLoop &Loop) : Loop(Loop) {}

  std::unique_ptr<HttpConnection> connect(const Endpoint &To) override;

private:
  EventLoop &Loop;
};

} // namespace corianderdyke

#endif
