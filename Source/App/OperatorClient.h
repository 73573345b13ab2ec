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
  OperatorClient(std::vector<Endpoint> Hosts, Millis Patience)
      : Hosts(std::move(Hosts)), Patience(Patience) {}

  /// Asks one process after another until one answers that can: a control
  /// host that doesn't lead passes the question on. Unavailable where none
  /// does in time.
  Expected<HttpResponse> ask(const HttpRequest &Request);

  void pause(Millis Span);

private:
  Expected<HttpResponse> askOne(const Endpoint &Host,
                                const HttpRequest &Request);

  std::vector<Endpoint> Hosts;
  Millis Patience;
  EventLoop Loop;
};

} // namespace corianderdyke

#endif
