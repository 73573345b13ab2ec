/// \file
/// Everything through which the outside reaches a process where targets
/// enforce their leadership themselves. An adapter implements it for the
/// protocols of one site.

#ifndef CORIANDERDYKE_STEERING_PROTOCOLADAPTER_H
#define CORIANDERDYKE_STEERING_PROTOCOLADAPTER_H

#include "Http/HttpClient.h"
#include "Http/HttpServer.h"
#include "Loop/EventLoop.h"
#include "Pipeline/SessionPipeline.h"
#include "Steering/SteeringNode.h"

namespace corianderdyke {

/// A listener for callers' sessions; it listens until it's destroyed.
class CallerListener {
public:
  virtual ~CallerListener() = default;
};

/// Who orders a change of primary, and at whom.
struct PromotionAccess {
  Endpoint Address;
  std::string Holder;
};

class ProtocolAdapter {
public:
  virtual ~ProtocolAdapter() = default;

  virtual std::unique_ptr<TargetConnector>
  makeTargetConnector(EventLoop &Loop) = 0;
  virtual std::unique_ptr<TargetCommandPort>
  makeTargetCommandPort(EventLoop &Loop, TargetConnector &Targets) = 0;
  virtual std::unique_ptr<PromotionPort>
  makePromotionPort(EventLoop &Loop, HttpConnector &Connector,
                    const PromotionAccess &Access) = 0;
  virtual Expected<std::unique_ptr<CallerListener>>
  listenForCallers(EventLoop &Loop, const Endpoint &At,
                   SessionPipeline &Pipeline) = 0;
  /// Serves targets' heartbeats and operators; \p At is its own address.
  virtual std::unique_ptr<HttpService>
  makeDirectoryService(SteeringNode &Node, const Endpoint &At) = 0;
  /// Tells the balancer whether callers may be sent here.
  virtual std::unique_ptr<HttpService>
  makeReadinessService(std::function<bool()> IsReady) = 0;
};

} // namespace corianderdyke

#endif
