/// \file
/// The operators' port of a process: status, manifest, audit and metrics.

#ifndef CORIANDERDYKE_OPERATORS_OPERATORSERVICE_H
#define CORIANDERDYKE_OPERATORS_OPERATORSERVICE_H

#include "Control/ControlNode.h"
#include "Http/HttpServer.h"
#include "Proxy/ProxyNode.h"

namespace corianderdyke {

/// Answers about the roles that the process has; either may be null.
class OperatorService final : public HttpService {
public:
  OperatorService(ControlNode *Control, ProxyNode *Proxy)
      : Control(Control), Proxy(Proxy) {}

  void handle(const HttpRequest &Request,
              std::shared_ptr<HttpExchange> Exchange) override;

private:
  void applyManifest(const HttpRequest &Request,
                     const std::shared_ptr<HttpExchange> &Exchange);
  void health(HttpExchange &Exchange) const;
  void readiness(HttpExchange &Exchange) const;
  std::string metrics() const;

  ControlNode *Control;
  ProxyNode *Proxy;
};

} // namespace corianderdyke

#endif
