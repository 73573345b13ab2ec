/// \file
/// Carries callers' statements to targets and the answers back.

#ifndef CORIANDERDYKE_PROXY_STATEMENTSERVICE_H
#define CORIANDERDYKE_PROXY_STATEMENTSERVICE_H

#include "Admission/RetryBudget.h"
#include "Lease/LeaseHolder.h"
#include "Proxy/AnswerClassifier.h"
#include "Proxy/ConcurrencyLimiter.h"
#include "Proxy/GracefulStop.h"
#include "Proxy/PrimaryWaitLimit.h"
#include "Proxy/StatementJob.h"
#include "Proxy/StatementReply.h"
#include "Proxy/TargetWatcher.h"

namespace corianderdyke {

/// Counters for metrics.
struct StatementCounts {
  std::uint64_t ReadsByReplica = 0;
  std::uint64_t ReadsByPrimary = 0;
  std::uint64_t Writes = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t CallerAborts = 0; ///< Callers that left before their answer.

  auto operator<=>(const StatementCounts &) const = default;
};

/// Takes each statement through its stages: choose a target, wait for its
/// turn, get a connection, send, judge the answer, hold a write for its copies,
/// answer. The stages' decisions live in classes of their own.
class StatementService : public sigc::trackable {
public:
  struct Dependencies {
    Clock &Time;
    Scheduler &Timers;
    HttpConnector &Connector;
  };

  StatementService(Dependencies Deps, const ProcessId &Self,
                   const ClusterView &View, const LeaseHolder &Lease,
                   TargetTable &Table, TargetWatcher &Watcher,
                   const ConnectionRights &Rights, std::string SessionKey);
  ~StatementService();

  void handle(StatementOperation What, const HttpRequest &Request,
              std::shared_ptr<HttpExchange> Exchange);

  /// A caller's connection is gone.
  void handleDisconnect(const std::string &Peer);

  /// Takes a new view in: pools, writes of ended terms, and statements that
  /// wait for a change or at a primary that is none any more.
  void viewChanged();

  /// Takes changed connection rights in. Where they have ended, everything
  /// that is open is closed.
  void rightsChanged();

  /// Gives up what can't be served in time any more; to be called often.
  void tick();

  /// What this proxy does with each target, for its request for rights.
  std::map<std::string, ConnectionUse> connectionUse() const {
    return Plan.connectionUse();
  }

  /// True where callers wait for connections that it has no right to.
  bool needsConnections() const { return Plan.needsConnections(); }

  std::vector<QueueStatus> queues() const { return Queues.status(); }
  const RetryBudget &retryBudget() const { return Budget; }
  void setIntake(Intake Now) { CurrentIntake = Now; }
  /// Rolls back the transactions that wait for their callers.
  void endIdleTransactions() { Transactions.abandonIdle(); }

  const StatementCounts &counts() const { return Counts; }
  std::size_t openStatements() const { return Jobs.size(); }
  /// Databases at whose primary something still runs.
  std::set<std::string> databasesInUse() const;
  /// True while a transaction lives on a caller's connection.
  bool isBound(const std::string &Peer) const {
    return Transactions.isBound(Peer);
  }
  std::size_t openTransactions() const { return Transactions.size(); }

private:
  using Job = StatementJob;
  using JobPtr = std::shared_ptr<Job>;
  /// A statement under way on a connection of the pool. Its connection must
  /// outlast a caller who leaves: it's clean again only with the answer.
  struct Call {
    JobPtr Owner;
    PooledConnection Connection;
  };

  bool isAccepted(const StatementRequest &Statement) const;
  void start(const JobPtr &Each);
  void startInTransaction(const JobPtr &Each);
  void dispatch(const JobPtr &Each);
  Expected<Route> choose(const Job &Each) const;
  void enqueue(const JobPtr &Each);
  bool canRun(std::uint64_t Id) const;
  /// Sends what may be sent now.
  void dispatchQueued(const std::string &Database);
  void rejectRefused(const std::vector<Refusal> &All);
  TargetPools::LimitFunction limits() const;
  void acquire(const JobPtr &Each);
  void handleAcquireFailure(const JobPtr &Each, const Error &Why);
  void waitForPrimary(const JobPtr &Each, const std::string &Why);
  void handleTargetChange(const std::string &Target);
  void send(const JobPtr &Each, PooledConnection Connection);
  void sendInTransaction(const JobPtr &Each);
  Millis timeLeft(const JobPtr &Each) const;
  void handleAnswer(std::uint64_t CallId, const Expected<HttpResponse> &Answer);
  void processAnswer(const JobPtr &Each, PooledConnection Connection,
                     const Expected<HttpResponse> &Answer, AnswerClass What);
  void handleTransactionAnswer(const JobPtr &Each,
                               const Expected<HttpResponse> &Answer);
  void recordObservation(const JobPtr &Each, const HttpResponse &Answer);
  void afterRun(const JobPtr &Each, const HttpResponse &Answer);
  void afterRefusal(const JobPtr &Each, AnswerClass What,
                    const HttpResponse &Answer);
  void afterLoss(const JobPtr &Each);
  void retryAtAnotherTarget(const JobPtr &Each, const std::string &Why);
  void openTransaction(const JobPtr &Each, PooledConnection Connection);
  void holdWrite(const JobPtr &Each, const HttpResponse &Answer);
  void finishWrite(const JobPtr &Each, const PendingWrite &Write,
                   Durability Result, const std::string &Body);
  void handleDeadline(const JobPtr &Each);
  void handleCallerAbort(const JobPtr &Each);
  void finishDone(const JobPtr &Each, HttpResponse Response);
  void rejectWithRetry(const JobPtr &Each, const std::string &Why);
  void rejectWithRetry(const JobPtr &Each, const std::string &Why,
                       Millis RetryAfter);
  void reject(const JobPtr &Each, int Status, const std::string &Why);
  void finish(const JobPtr &Each, Outcome What, HttpResponse Response);
  /// Takes the job out of wherever it waits.
  void removeFromQueues(const JobPtr &Each);
  /// Ends its stages; nothing calls back for it any more.
  void close(const JobPtr &Each);
  bool hasLease() const { return Lease.isHeld(Deps.Time.now()); }

  Dependencies Deps;
  const ClusterView &View;
  const LeaseHolder &Lease;
  TargetTable &Table;
  std::string SessionKey;
  const ConnectionRights &Rights;
  TargetPools Pools;
  DatabaseQueues Queues;
  ConcurrencyLimiter Plan;
  RetryBudget Budget;
  DurabilityGate Gate;
  TransactionTable Transactions;
  PrimaryWaitLimit PrimaryWait;
  RetryAfterJitter RetryDelays;
  std::map<std::uint64_t, JobPtr> Jobs;              ///< By arrival.
  std::map<std::uint64_t, JobPtr> WaitingForPrimary; ///< Of Jobs, for a change.
  std::map<std::uint64_t, Call> Calls;
  bool IsDispatching = false;
  std::uint64_t NextId = 1;
  Intake CurrentIntake = Intake::Open;
  StatementCounts Counts;
};

} // namespace corianderdyke

#endif
