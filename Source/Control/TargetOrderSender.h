/// \file
/// Sends orders to targets by their published HTTP protocol.

#ifndef CORIANDERDYKE_CONTROL_TARGETORDERSENDER_H
#define CORIANDERDYKE_CONTROL_TARGETORDERSENDER_H

#include "Failover/FailoverCoordinator.h"
#include "Http/HttpClient.h"

namespace corianderdyke {

/// Keeps one connection for each target, opened on first use.
class TargetOrderSender {
public:
  using Handler = std::function<void(const TargetPosition &)>;

  explicit TargetOrderSender(HttpConnector &Connector) : Connector(Connector) {}

  /// Sends an order. \p OnDone runs only if the target carried the order out.
  /// The coordinator sends a failed order again.
  void send(const TargetOrderRequest &Order, Handler OnDone);

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
