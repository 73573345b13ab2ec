/// \file
/// A proxy in an experiment: the modules under test between callers and
/// targets.

#ifndef CORIANDERDYKE_TESTS_EXPERIMENT_MODELPROXY_H
#define CORIANDERDYKE_TESTS_EXPERIMENT_MODELPROXY_H

#include "Admission/AdmissionController.h"
#include "Admission/Concurrency.h"
#include "Experiment.h"
#include "ModelTarget.h"
#include "Rights/ConnectionRights.h"

#include <memory>

namespace corianderdyke {

/// One request on its way.
struct Statement {
  const Load *Of = nullptr;
  const RequestKindPolicy *Kind = nullptr;
  std::uint32_t Database = 0;
  Micros Intended = 0;
  Micros Service = 0;
  std::uint32_t Returns = 0;
  bool Answered = false;
  /// Runs at the caller once; a refusal says when to come back.
  std::function<void(bool IsServed, Millis RetryAfter)> Answer;
};
using StatementPtr = std::shared_ptr<Statement>;

class ModelProxy {
public:
  ModelProxy(EventQueue &Time, const Scenario &What, const Variant &How,
             std::vector<ModelTarget> &Targets, ProcessId Id);

  void arrive(const StatementPtr &Request);

  /// Without an end, the limit of a policy that lends nothing by time.
  void setLimit(std::uint32_t Target, std::uint32_t Connections);

  RightsRequest askForRights();
  void take(const RightsGrant &Grant);
  /// True where callers wait for connections that it has no right to.
  bool isShort() const;
  /// The balancer sends nothing to a proxy without a connection to each
  /// target.
  bool hasConnections() const;
  const ProcessId &id() const { return Rights.id(); }

  /// Terminates at once: closes its connections and answers no callers.
  void terminate();
  bool isTerminated() const { return IsTerminated; }
  /// The balancer sends nothing new; what is here is still served.
  void drain() { Draining = true; }
  bool isDraining() const { return Draining; }
  /// Closes everything and gives its rights back.
  void leave();

private:
  struct Pool {
    std::uint32_t Limit = 0;
    std::uint32_t Open = 0; ///< Also those being opened.
    std::uint32_t Idle = 0;
    std::uint32_t Busy = 0;
  };

  std::unique_ptr<QueueDiscipline> order(Access Mode) const;
  AdmissionController &admission(std::uint32_t Database, Access Mode) {
    return *Admissions[Database * 2 + (Mode == Access::Write ? 1 : 0)];
  }
  TargetCapacity capacity() const;
  /// Targets that a statement may go to, in a database.
  bool isFit(std::uint32_t Target, const RequestKindPolicy &Kind) const;
  std::optional<std::uint32_t> freeTarget(const Statement &For) const;
  void dispatch(std::uint32_t Database);
  void send(const StatementPtr &Each, const QueuedRequest &Queued);
  void runOn(std::uint32_t Target, const StatementPtr &Each,
             const QueuedRequest &Queued, Micros SentAt);
  void refuse(const std::vector<Refusal> &All);
  void closeSpare(std::uint32_t Target);
  std::map<std::string, ConnectionUse> use() const;
  void look();

  EventQueue &Time;
  const Scenario &What;
  const Variant &How;
  std::vector<ModelTarget> &Targets;
  ConnectionRights Rights;
  std::vector<std::unique_ptr<AdmissionController>> Admissions;
  std::vector<Pool> Pools;
  std::map<std::uint64_t, StatementPtr> Waiting;
  std::uint64_t NextId = 1;
  bool IsTerminated = false;
  bool Draining = false;
};

} // namespace corianderdyke

#endif
