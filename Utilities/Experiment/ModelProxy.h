/// \file
/// Model of a proxy: connects the modules under test to modelled callers and
/// targets.

#ifndef CORIANDERDYKE_UTILITIES_EXPERIMENT_MODELPROXY_H
#define CORIANDERDYKE_UTILITIES_EXPERIMENT_MODELPROXY_H

#include "Admission/AdmissionController.h"
#include "Admission/Concurrency.h"
#include "Experiment.h"
#include "ModelTarget.h"
#include "Rights/ConnectionRights.h"

#include <memory>

namespace corianderdyke {

/// A request that has not been answered yet.
struct Statement {
  const Load *Source = nullptr;
  const RequestKindPolicy *Kind = nullptr;
  std::uint32_t Database = 0;
  Micros Intended = 0;
  Micros Service = 0;
  std::uint32_t Retries = 0;
  bool Answered = false;
  /// Delivers the answer to the caller, once. \p RetryAfter is the delay that
  /// a refusal asks for.
  std::function<void(bool IsServed, Millis RetryAfter)> Answer;
};
using StatementPtr = std::shared_ptr<Statement>;

class ModelProxy {
public:
  ModelProxy(EventQueue &Time, const Scenario &Spec, const Variant &Config,
             std::vector<ModelTarget> &Targets, ProcessId Id);

  void admitRequest(const StatementPtr &Request);

  /// Sets a limit that does not expire, for policies without timed rights.
  void setLimit(std::uint32_t Target, std::uint32_t Connections);

  RightsRequest makeRightsRequest();
  void applyGrant(const RightsGrant &Grant);
  /// True if requests wait for connections that the proxy may not open.
  bool hasQueuedRequests() const;
  /// The load balancer sends requests only to proxies that may open a
  /// connection to each target.
  bool hasConnections() const;
  const ProcessId &id() const { return Rights.id(); }

  /// Crashes: the connections close and the callers get no answer.
  void crash();
  bool hasCrashed() const { return Crashed; }
  /// The load balancer sends no new requests; queued requests are served.
  void drain() { Draining = true; }
  bool isDraining() const { return Draining; }
  /// Closes all connections and gives the connection rights back.
  void shutDown();

private:
  struct Pool {
    std::uint32_t Limit = 0;
    std::uint32_t Open = 0; ///< Includes connections that are being opened.
    std::uint32_t Idle = 0;
    std::uint32_t Busy = 0;
  };

  std::unique_ptr<QueueDiscipline> makeQueue(Access Mode) const;
  AdmissionController &admission(std::uint32_t Database, Access Mode) {
    return *Admissions[Database * 2 + (Mode == Access::Write ? 1 : 0)];
  }
  TargetCapacity capacity() const;
  /// True if a statement of \p Kind may run on \p Target.
  bool isEligible(std::uint32_t Target, const RequestKindPolicy &Kind) const;
  std::optional<std::uint32_t> freeTarget(const Statement &For) const;
  void dispatch(std::uint32_t Database);
  void send(const StatementPtr &Each, const QueuedRequest &Queued);
  void execute(std::uint32_t Target, const StatementPtr &Each,
               const QueuedRequest &Queued, Micros SentAt);
  void refuse(const std::vector<Refusal> &Refusals);
  void closeExcess(std::uint32_t Target);
  std::map<std::string, ConnectionUse> connectionUse() const;
  void shedPeriodically();

  EventQueue &Time;
  const Scenario &Spec;
  const Variant &Config;
  std::vector<ModelTarget> &Targets;
  ConnectionRights Rights;
  std::vector<std::unique_ptr<AdmissionController>> Admissions;
  std::vector<Pool> Pools;
  std::map<std::uint64_t, StatementPtr> Waiting;
  std::uint64_t NextId = 1;
  bool Crashed = false;
  bool Draining = false;
};

} // namespace corianderdyke

#endif
