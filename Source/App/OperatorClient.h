/// \file
/// The command line's way to the operators' ports.

#ifndef CORIANDERDYKE_APP_OPERATORCLIENT_H
#define CORIANDERDYKE_APP_OPERATORCLIENT_H

#include "Http/HttpClient.h"
#include "Loop/EventLoop.h"

#include <vector>

namespace corianderdyke {

class OperatorClient {
public:
  OperatorClient(std::vector<Endpoint> Hosts, Millis Timeout)
      : Hosts(std::move(Hosts)), Timeout(Timeout) {}

  /// Asks one process after another until one answers that can: a control
  /// host that doesn't lead passes the question on. Unavailable where none
  /// does in time.
  Expected<HttpResponse> send(const HttpRequest &Request);

  void runLoopFor(Millis Span);

private:
  Expected<HttpResponse> sendTo(const Endpoint &Host,
                                const HttpRequest &Request);

  std::vector<Endpoint> Hosts;
  Millis Timeout;
  EventLoop Loop;
};

} // namespace corianderdyke

#endif
