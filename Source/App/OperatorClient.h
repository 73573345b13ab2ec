/// \file
/// Sends the command line's requests to operators' ports.

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

  /// Sends the request to one process after another until one can answer it;
  /// a control host that does not lead cannot. Unavailable if none answers
  /// in time.
  Expected<HttpResponse> send(const HttpRequest &Request);

  void runLoopFor(Millis Duration);

private:
  Expected<HttpResponse> sendTo(const Endpoint &Host,
                                const HttpRequest &Request);

  std::vector<Endpoint> Hosts;
  Millis Timeout;
  EventLoop Loop;
};

} // namespace corianderdyke

#endif
