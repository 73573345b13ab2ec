/// \file
/// The operators' port of a process: status, manifest, audit and metrics.

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

/// What an operators' port answers about; either role may be null.
struct OperatorSources {
  Clock &Time;
  const Transport &Peers;
  ControlNode *Control = nullptr;
  ProxyNode *Proxy = nullptr;
  ProcessLatencies Delays = {};
};

/// Reading needs no key; whatever changes something needs the operators' key.
class OperatorService final : public HttpService, public sigc::trackable {
public:
  OperatorService(OperatorSources From, std::string OperatorKey);

  void handle(const HttpRequest &Request,
              std::shared_ptr<HttpExchange> Exchange) override;

  /// From now on the process isn't ready: the balancer turns away from it.
  void beginStopping() { Stopping = true; }

  /// Emitted when an operator asks the process to stop gracefully.
  sigc::signal<void()> &signalDrainRequested() { return DrainRequested; }

private:
  using ExchangePtr = std::shared_ptr<HttpExchange>;
  using Report = std::function<nlohmann::json(const ControlState &)>;

  void handleRead(const HttpRequest &Request, const ExchangePtr &Exchange);
  void handleChange(const HttpRequest &Request, const ExchangePtr &Exchange);
  void respondWithLatestState(const ExchangePtr &Exchange, Report Of);
  void applyManifest(const HttpRequest &Request, const ExchangePtr &Exchange);
  void compareManifest(const HttpRequest &Request, const ExchangePtr &Exchange);
  void drainTarget(const HttpRequest &Request, const ExchangePtr &Exchange);
  void addControlHost(const HttpRequest &Request, const ExchangePtr &Exchange);
  void removeControlHost(const HttpRequest &Request,
                         const ExchangePtr &Exchange);
  /// The entry that changes the control group carries no operator's name; a
  /// note beside it does.
  ControlNode::ChangeHandler withAuditNote(std::string Actor,
                                           std::string Action, std::string Name,
                                           ControlNode::ChangeHandler OnDone);
  void drainProcess(const ExchangePtr &Exchange);
  bool isReady() const;
  std::string metrics() const;
  void addProxyMetrics(MetricSet &To) const;
  void addAdmissionMetrics(MetricSet &To) const;
  void addTargetMetrics(MetricSet &To) const;
  void addControlMetrics(MetricSet &To) const;
  void recordFailoverDuration(const AuditRecord &Line);

  OperatorSources From;
  std::string OperatorKey;
  bool Stopping = false;
  std::map<std::string, Millis> FencedAt; ///< By database.
  DurationHistogram Failovers;
  sigc::signal<void()> DrainRequested;
};

} // namespace corianderdyke

#endif
