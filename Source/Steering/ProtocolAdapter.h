/// \file
/// The external interfaces of a process, for systems in which targets enforce
/// their leadership themselves. An adapter implements them for the protocols of
/// one site.

#ifndef CORIANDERDYKE_STEERING_PROTOCOLADAPTER_H
#define CORIANDERDYKE_STEERING_PROTOCOLADAPTER_H

#include "Http/HttpClient.h"
#include "Http/HttpServer.h"
#include "Loop/EventLoop.h"
#include "Pipeline/SessionPipeline.h"
#include "Steering/SteeringNode.h"

namespace corianderdyke {

/// A line of a caller that is no message, is not allowed at this point, or is
/// a malformed statement.
struct MalformedLine {
  std::uint64_t Session = 0; ///< 0 if none is open.
  std::string StatementId;   ///< Of a statement; else empty.
  /// The line's first word if the protocol knows it; else empty, since any
  /// other part of a line may be a caller's key or data.
  std::string Keyword;
  std::size_t Bytes = 0;
  std::string Problem;

  bool operator==(const MalformedLine &) const = default;
};

/// A listener for callers' sessions; it listens until it is destroyed.
class CallerListener {
public:
  virtual ~CallerListener() = default;

  /// True while a caller has not been sent all its answers, or the end of its
  /// session.
  virtual bool hasUnsent() const = 0;

  /// Emitted with each malformed line.
  sigc::signal<void(const MalformedLine &)> &signalMalformedLine() {
    return LineMalformed;
  }

protected:
  sigc::signal<void(const MalformedLine &)> LineMalformed;
};

/// The address of the promotion service and the name of the process that sends
/// orders to it.
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
  /// Reports to the load balancer whether this process accepts callers.
  virtual std::unique_ptr<HttpService>
  makeReadinessService(std::function<bool()> IsReady) = 0;
};

} // namespace corianderdyke

#endif
