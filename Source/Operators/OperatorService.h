/// \file
/// Serves operators over HTTP: status, manifest, audit and metrics.

#ifndef CORIANDERDYKE_OPERATORS_OPERATORSERVICE_H
#define CORIANDERDYKE_OPERATORS_OPERATORSERVICE_H

#include "Control/ControlNode.h"
#include "Http/HttpServer.h"
#include "Operators/MetricSet.h"
#include "Proxy/ProxyNode.h"

#include <nlohmann/json_fwd.hpp>

namespace corianderdyke {

namespace operator_header {
constexpr const char *Key = "Operator-Key";
constexpr const char *Name = "Operator";
constexpr const char *ManifestFile = "Manifest-File";
} // namespace operator_header

/// The parts of the process that requests concern; either role may be null.
struct OperatorSources {
  Clock &Time;
  const Transport &Peers;
  ControlNode *Control = nullptr;
  ProxyNode *Proxy = nullptr;
  ProcessLatencies Latencies = {};
};

/// Requests that only read need no key; all others need the operators' key.
class OperatorService final : public HttpService, public sigc::trackable {
public:
  OperatorService(OperatorSources From, std::string OperatorKey);

  void handle(const HttpRequest &Request,
              std::shared_ptr<HttpExchange> Exchange) override;

  /// Makes the readiness check fail, so that the balancer sends callers
  /// elsewhere.
  void beginStopping() { Stopping = true; }

  /// Emitted when an operator requests a graceful stop of the process.
  sigc::signal<void()> &signalDrainRequested() { return DrainRequested; }

private:
  using ExchangePtr = std::shared_ptr<HttpExchange>;
  using Report = std::function<nlohmann::json(const ControlState &)>;

  void handleRead(const HttpRequest &Request, const ExchangePtr &Exchange);
  void handleChange(const HttpRequest &Request, const ExchangePtr &Exchange);
  void respondWithLatestState(const ExchangePtr &Exchange, Report MakeReport);
  void applyManifest(const HttpRequest &Request, const ExchangePtr &Exchange);
  void compareManifest(const HttpRequest &Request, const ExchangePtr &Exchange);
  void drainTarget(const HttpRequest &Request, const ExchangePtr &Exchange);
  void addControlHost(const HttpRequest &Request, const ExchangePtr &Exchange);
  void removeControlHost(const HttpRequest &Request,
                         const ExchangePtr &Exchange);
  /// Adds an audit record with the operator's name after a change of the
  /// control group, whose own log entry carries no name.
  ControlNode::ChangeHandler withAuditRecord(std::string Actor,
                                             std::string Action,
                                             std::string Name,
                                             ControlNode::ChangeHandler OnDone);
  void drainProcess(const ExchangePtr &Exchange);
  bool isReady() const;
  std::string metrics() const;
  void addProxyMetrics(MetricSet &To) const;
  void addAdmissionMetrics(MetricSet &To) const;
  void addTargetMetrics(MetricSet &To) const;
  void addControlMetrics(MetricSet &To) const;
  void recordFailoverDuration(const AuditRecord &Record);

  OperatorSources From;
  std::string OperatorKey;
  bool Stopping = false;
  std::map<std::string, Millis> FencedAt; ///< Key: database.
  DurationHistogram Failovers;
  sigc::signal<void()> DrainRequested;
};

} // namespace corianderdyke

#endif
