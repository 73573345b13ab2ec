/// \file
/// Carries callers' statements to targets and the answers back.

#ifndef CORIANDERDYKE_PROXY_STATEMENTSERVICE_H
#define CORIANDERDYKE_PROXY_STATEMENTSERVICE_H

#include "Admission/RetryBudget.h"
#include "Lease/LeaseHolder.h"
#include "Proxy/AnswerJudge.h"
#include "Proxy/ConnectionPlan.h"
#include "Proxy/GracefulStop.h"
#include "Proxy/PrimaryPatience.h"
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
  std::uint64_t HungUp = 0; ///< Callers that left before their answer.

  auto operator<=>(const StatementCounts &) const = default;
};

/// Takes each statement through its stages: choose a target, wait for its
/// turn, get a connection, send, judge the answer, hold a write for its copies,
/// answer. The stages' decisions live in classes of their own.
class StatementService : public sigc::trackable {
public:
  struct Ports {
    Clock &Time;
    Scheduler &Timers;
    HttpConnector &Connector;
  };

  StatementService(Ports Outside, const ProcessId &Self,
                   const ClusterView &View, const LeaseHolder &Lease,
                   TargetTable &Table, TargetWatcher &Watcher,
                   const ConnectionRights &Rights, std::string SessionKey);
  ~StatementService();

  void handle(Verb What, const HttpRequest &Request,
              std::shared_ptr<HttpExchange> Exchange);

  /// A caller's connection is gone.
  void disconnected(const std::string &Peer);

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
    return Plan.use();
  }

  /// True where callers wait for connections that it has no right to.
  bool isShort() const { return Plan.isShort(); }

  std::vector<QueueStatus> queues() const { return Queues.status(); }
  const RetryBudget &retries() const { return Budget; }
  void setIntake(Intake Now) { Accepts = Now; }
  /// Rolls back the transactions that wait for their callers.
  void endIdleTransactions() { Transactions.abandonIdle(); }

  const StatementCounts &counts() const { return Counts; }
  std::size_t inFlight() const { return Jobs.size(); }
  /// Databases at whose primary something still runs.
  std::set<std::string> running() const;
  /// True while a transaction lives on a caller's connection.
  bool isBound(const std::string &Peer) const {
    return Transactions.holds(Peer);
  }
  std::size_t openTransactions() const { return Transactions.size(); }

private:
  using Job = StatementJob;
  using JobPtr = std::shared_ptr<Job>;
  /// A statement under way on a connection of the pool. Its connection must
  /// outlast a caller who leaves: it's clean again only with the answer.
  struct Call {
    JobPtr Of;
    PooledConnection Connection;
  };

  bool isTakenIn(const StatementRequest &Statement) const;
  void start(const JobPtr &Each);
  void startInTransaction(const JobPtr &Each);
  void dispatch(const JobPtr &Each);
  Expected<Route> choose(const Job &Each) const;
  void enqueue(const JobPtr &Each);
  bool canRun(std::uint64_t Id) const;
  /// Sends what may be sent now.
  void pump(const std::string &Database);
  void refuse(const std::vector<Refusal> &All);
  TargetPools::LimitOf limits() const;
  void acquire(const JobPtr &Each);
  void noConnection(const JobPtr &Each, const Error &Why);
  void waitForChange(const JobPtr &Each, const std::string &Why);
  void wake(const std::string &Target);
  void send(const JobPtr &Each, PooledConnection Connection);
  void sendInTransaction(const JobPtr &Each);
  Millis timeLeft(const JobPtr &Each) const;
  void answered(std::uint64_t CallId, const Expected<HttpResponse> &Answer);
  void settle(const JobPtr &Each, PooledConnection Connection,
              const Expected<HttpResponse> &Answer, Verdict What);
  void answeredInTransaction(const JobPtr &Each,
                             const Expected<HttpResponse> &Answer);
  void observe(const JobPtr &Each, const HttpResponse &Answer);
  void afterRun(const JobPtr &Each, const HttpResponse &Answer);
  void afterRefusal(const JobPtr &Each, Verdict What,
                    const HttpResponse &Answer);
  void afterLoss(const JobPtr &Each);
  void tryElsewhere(const JobPtr &Each, const std::string &Why);
  void openTransaction(const JobPtr &Each, PooledConnection Connection);
  void holdWrite(const JobPtr &Each, const HttpResponse &Answer);
  void settleWrite(const JobPtr &Each, const PendingWrite &Write,
                   Durability Now, const std::string &Body);
  void expired(const JobPtr &Each);
  void hungUp(const JobPtr &Each);
  void done(const JobPtr &Each, HttpResponse Response);
  void giveUp(const JobPtr &Each, const std::string &Why);
  void giveUp(const JobPtr &Each, const std::string &Why, Millis ComeBackAfter);
  void reject(const JobPtr &Each, int Status, const std::string &Why);
  void finish(const JobPtr &Each, Outcome What, HttpResponse Response);
  /// Takes the job out of wherever it waits.
  void leaveQueues(const JobPtr &Each);
  /// Ends its stages; nothing calls back for it any more.
  void close(const JobPtr &Each);
  bool hasLease() const { return Lease.isHeld(Outside.Time.now()); }

  Ports Outside;
  const ClusterView &View;
  const LeaseHolder &Lease;
  TargetTable &Table;
  std::string SessionKey;
  const ConnectionRights &Rights;
  TargetPools Pools;
  DatabaseQueues Queues;
  ConnectionPlan Plan;
  RetryBudget Budget;
  DurabilityGate Gate;
  TransactionTable Transactions;
  PrimaryPatience Patience;
  RetryAdvice Retry;
  std::map<std::uint64_t, JobPtr> Jobs;    ///< By arrival.
  std::map<std::uint64_t, JobPtr> Waiting; ///< Of Jobs, for a change.
  std::map<std::uint64_t, Call> Calls;
  bool IsPumping = false;
  std::uint64_t NextId = 1;
  Intake Accepts = Intake::Open;
  StatementCounts Counts;
};

} // namespace corianderdyke

#endif
