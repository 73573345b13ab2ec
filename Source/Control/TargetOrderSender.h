/// \file
/// Sends orders to targets by their published protocol.

#ifndef CORIANDERDYKE_CONTROL_TARGETORDERSENDER_H
#define CORIANDERDYKE_CONTROL_TARGETORDERSENDER_H

#include "Failover/FailoverCoordinator.h"
#include "Http/HttpClient.h"

namespace corianderdyke {

/// One connection a target, opened when first needed.
class TargetOrderSender {
public:
  using Handler = std::function<void(const TargetPosition &)>;

  explicit TargetOrderSender(HttpConnector &Connector) : Connector(Connector) {}

  /// Sends an order. \p OnDone runs only where the target carried it out; an
  /// order that failed is sent again by the coordinator.
  void send(const TargetOrderRequest &Call, Handler OnDone);

private:
  struct Link {
    Endpoint Address;
    std::unique_ptr<HttpConnection> Connection;
    bool Busy = false;
  };

  HttpConnector &Connector;
  std::map<std::string, Link> Links;
};

} // namespace corianderdyke

#endif
