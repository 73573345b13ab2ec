/// \file
/// Forwards callers' statements to targets and returns their answers.

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
  /// Callers that disconnected before their answer.
  std::uint64_t CallerAborts = 0;

  auto operator<=>(const StatementCounts &) const = default;
};

/// Processes each statement in stages: choose a target, wait for admission,
/// acquire a connection, send, classify the answer, hold a write for its
/// copies, reply. The decisions of the stages are made by separate classes.
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

  void handle(StatementOperation Operation, const HttpRequest &Request,
              std::shared_ptr<HttpExchange> Exchange);

  /// Handles the end of a caller's connection.
  void handleDisconnect(const std::string &Peer);

  /// Applies a new view to the pools, to writes of ended terms, and to
  /// statements that wait for a change or for a connection to a former primary.
  void viewChanged();

  /// Applies changed connection rights. If they have expired, idle connections
  /// and those of statements outside transactions are closed, and transactions
  /// without a statement in flight are rolled back.
  void rightsChanged();

  /// Refuses statements that can no longer be served in time; must be called at
  /// short intervals.
  void tick();

  /// This proxy's use of each target, for its requests for connection rights.
  std::map<std::string, ConnectionUse> connectionUse() const {
    return Limiter.connectionUse();
  }

  /// True if statements are queued or the proxy has no rights to connections to
  /// some target, so that it requests rights at the shorter interval.
  bool needsConnections() const { return Limiter.needsConnections(); }

  std::vector<QueueStatus> queues() const { return Queues.status(); }
  const RetryBudget &retryBudget() const { return Budget; }
  void setIntake(Intake Now) { CurrentIntake = Now; }
  /// Rolls back the transactions without a statement in flight.
  void endIdleTransactions() { Transactions.abandonIdle(); }

  const StatementCounts &counts() const { return Counts; }
  std::size_t openStatements() const { return Jobs.size(); }
  /// Databases with a statement in flight at the primary or an open
  /// transaction.
  std::set<std::string> databasesInUse() const;
  /// True while a transaction of the caller's connection \p Peer is open.
  bool isBound(const std::string &Peer) const {
    return Transactions.isBound(Peer);
  }
  std::size_t openTransactions() const { return Transactions.size(); }

private:
  using Job = StatementJob;
  using JobPtr = std::shared_ptr<Job>;
  /// A statement in flight on a pooled connection. The connection must outlive
  /// a caller that disconnects, since it is reusable only after the answer.
  struct Call {
    JobPtr Owner;
    PooledConnection Connection;
  };

  bool isAccepted(const StatementRequest &Statement) const;
  void start(const JobPtr &CurrentJob);
  void startInTransaction(const JobPtr &CurrentJob);
  void dispatch(const JobPtr &CurrentJob);
  Expected<Route> choose(const Job &CurrentJob) const;
  void enqueue(const JobPtr &CurrentJob);
  bool canRun(std::uint64_t Id) const;
  /// Sends the queued statements that may run now.
  void dispatchQueued(const std::string &Database);
  void rejectRefused(const std::vector<Refusal> &All);
  TargetPools::LimitFunction limits() const;
  void acquire(const JobPtr &CurrentJob);
  void handleAcquireFailure(const JobPtr &CurrentJob, const Error &Failure);
  void waitForPrimary(const JobPtr &CurrentJob, const std::string &Reason);
  void handleTargetChange(const std::string &Target);
  void send(const JobPtr &CurrentJob, PooledConnection Connection);
  void sendInTransaction(const JobPtr &CurrentJob);
  Millis timeLeft(const JobPtr &CurrentJob) const;
  void handleAnswer(std::uint64_t CallId, const Expected<HttpResponse> &Answer);
  void processAnswer(const JobPtr &CurrentJob, PooledConnection Connection,
                     const Expected<HttpResponse> &Answer, AnswerClass Class);
  void handleTransactionAnswer(const JobPtr &CurrentJob,
                               const Expected<HttpResponse> &Answer);
  void recordObservation(const JobPtr &CurrentJob, const HttpResponse &Answer);
  void afterRun(const JobPtr &CurrentJob, const HttpResponse &Answer);
  void afterRefusal(const JobPtr &CurrentJob, AnswerClass Class,
                    const HttpResponse &Answer);
  void afterLostAnswer(const JobPtr &CurrentJob);
  void retryAtAnotherTarget(const JobPtr &CurrentJob,
                            const std::string &Reason);
  void openTransaction(const JobPtr &CurrentJob, PooledConnection Connection);
  void holdWrite(const JobPtr &CurrentJob, const HttpResponse &Answer);
  void finishWrite(const JobPtr &CurrentJob, const PendingWrite &Write,
                   Durability Result, const std::string &Body);
  void handleDeadline(const JobPtr &CurrentJob);
  void handleCallerAbort(const JobPtr &CurrentJob);
  void finishDone(const JobPtr &CurrentJob, HttpResponse Response);
  void rejectWithRetry(const JobPtr &CurrentJob, const std::string &Reason);
  void rejectWithRetry(const JobPtr &CurrentJob, const std::string &Reason,
                       Millis RetryAfter);
  void reject(const JobPtr &CurrentJob, int Status, const std::string &Reason);
  void finish(const JobPtr &CurrentJob, Outcome Result, HttpResponse Response);
  /// Removes a job from the queues and pools in which it waits.
  void removeFromQueues(const JobPtr &CurrentJob);
  /// Ends a job and cancels its timers and waits. The answer of a statement
  /// that was sent outside a transaction is still processed, to release its
  /// connection.
  void close(const JobPtr &CurrentJob);
  bool hasLease() const { return Lease.isHeld(Deps.Time.now()); }

  Dependencies Deps;
  const ClusterView &View;
  const LeaseHolder &Lease;
  TargetTable &Table;
  std::string SessionKey;
  const ConnectionRights &Rights;
  TargetPools Pools;
  DatabaseQueues Queues;
  ConcurrencyLimiter Limiter;
  RetryBudget Budget;
  DurabilityGate Gate;
  TransactionTable Transactions;
  PrimaryWaitLimit PrimaryWait;
  RetryAfterJitter RetryDelays;
  std::map<std::uint64_t, JobPtr> Jobs; ///< By id, in order of arrival.
  std::map<std::uint64_t, JobPtr> WaitingForPrimary; ///< Subset of Jobs.
  std::map<std::uint64_t, Call> Calls;
  bool IsDispatching = false;
  std::uint64_t NextId = 1;
  Intake CurrentIntake = Intake::Open;
  StatementCounts Counts;
};

} // namespace corianderdyke

#endif
