/// \file
/// Metrics of a process where targets enforce leadership themselves.

#ifndef CORIANDERDYKE_APP_STEERINGMETRICS_H
#define CORIANDERDYKE_APP_STEERINGMETRICS_H

#include "Common/DurationHistogram.h"
#include "Http/HttpServer.h"
#include "Operators/MetricSet.h"
#include "Quota/OperationPermits.h"
#include "Relay/SharedConnector.h"
#include "Relay/TargetBroker.h"
#include "Steering/ControlClient.h"
#include "Steering/ProtocolAdapter.h"
#include "Steering/SteeringNode.h"

namespace corianderdyke {

/// The parts of the process; null if it does not have the role.
struct SteeringSources {
  const Clock &Time;
  const Transport &Peers;
  SessionPipeline *Pipeline = nullptr;
  TargetBroker *Broker = nullptr;
  const SharedConnector *Sharing = nullptr;
  const QuotaSeats *Quotas = nullptr;
  const OperationPermits *Permits = nullptr;
  const ControlClient *Client = nullptr;
  SteeringNode *Control = nullptr;
  CallerListener *Callers = nullptr;
  std::function<bool()> IsReady;
  ProcessLatencies Latencies = {};
};

/// Serves "/metrics" in the Prometheus text format.
class SteeringMetrics final : public HttpService, public sigc::trackable {
public:
  explicit SteeringMetrics(SteeringSources Sources);

  void handle(const HttpRequest &Request,
              std::shared_ptr<HttpExchange> Exchange) override;

  /// The metrics as they are now.
  std::string text() const;

private:
  void countUnexpectedAnswer(const UnexpectedAnswer &What);
  void addProxy(MetricSet &To) const;
  void addControl(MetricSet &To) const;

  SteeringSources From;
  /// Time from queueing to the result, by outcome: "read", "write" or "commit".
  std::map<std::string, DurationHistogram> Durations;
  std::map<std::string, std::uint64_t> Refusals; ///< Key: refusal code.
  /// Key: step of a change of primary.
  std::map<std::string, std::uint64_t> Steps;
  std::map<std::string, std::uint64_t> UnexpectedAnswers; ///< By outcome.
  std::uint64_t MalformedLines = 0;
};

} // namespace corianderdyke

#endif
