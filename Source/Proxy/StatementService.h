/// \file
/// Carries callers' statements to targets and the answers back.

#ifndef CORIANDERDYKE_PROXY_STATEMENTSERVICE_H
#define CORIANDERDYKE_PROXY_STATEMENTSERVICE_H

#include "Http/HttpServer.h"
#include "Lease/LeaseHolder.h"
#include "Proxy/ConnectionPool.h"
#include "Proxy/StatementRequest.h"
#include "Proxy/TargetWatcher.h"
#include "Routing/Router.h"

namespace corianderdyke {

/// What became of a statement, as far as the caller may rely on it.
enum class Outcome : std::uint8_t {
  Done,    ///< It ran, and what it wrote survives a failover.
  NotRun,  ///< It certainly didn't run.
  Unknown, ///< It may have run; ask again with the same key.
};

/// Counters for metrics.
struct StatementCounts {
  std::uint64_t ReadsByReplica = 0;
  std::uint64_t ReadsByPrimary = 0;
  std::uint64_t Writes = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;

  auto operator<=>(const StatementCounts &) const = default;
};

class StatementService : public sigc::trackable {
public:
  struct Ports {
    Clock &Time;
    Scheduler &Timers;
    HttpConnector &Connector;
  };

  StatementService(Ports Outside, const ClusterView &View,
                   const LeaseHolder &Lease, TargetTable &Table,
                   TargetWatcher &Watcher, std::string SessionKey);

  void handle(const HttpRequest &Request,
              std::shared_ptr<HttpExchange> Exchange);

  /// Takes a new view in: limits of the pools, and writes of ended terms.
  void viewChanged();

  const StatementCounts &counts() const { return Counts; }
  std::size_t inFlight() const { return InFlight; }

private:
  struct Job {
    StatementRequest Statement;
    std::shared_ptr<HttpExchange> Exchange;
    Route Way;
    Millis DeadlineAt;
    Scheduler::TimerId Timer = 0;
    bool Sent = false;
    bool Finished = false;
    /// A write's answer that waits for its copies.
    std::optional<HttpResponse> Held;
    std::uint64_t HeldPosition = 0;
    std::uint64_t HeldTerm = 0;
  };
  using JobPtr = std::shared_ptr<Job>;

  void dispatch(const JobPtr &Each);
  void tryAgain(const JobPtr &Each, const std::string &Why);
  void send(const JobPtr &Each, ConnectionPool::Lent Connection);
  void answered(const JobPtr &Each, const Expected<HttpResponse> &Answer,
                Millis SentAt);
  void holdWrite(const JobPtr &Each, const HttpResponse &Answer);
  void checkHeld();
  /// True once the job needs no more waiting.
  bool settleHeld(const JobPtr &Each);
  void expired(const JobPtr &Each);
  void finish(const JobPtr &Each, Outcome What, HttpResponse Response);
  void refuse(const JobPtr &Each, Outcome What, const std::string &Why);
  ConnectionPool &pool(const std::string &Target);
  std::size_t connectionShare(const std::string &Database) const;

  Ports Outside;
  const ClusterView &View;
  const LeaseHolder &Lease;
  TargetTable &Table;
  std::string SessionKey;
  std::map<std::string, std::unique_ptr<ConnectionPool>> Pools;
  std::vector<JobPtr> Held;
  StatementCounts Counts;
  std::size_t InFlight = 0;
};

} // namespace corianderdyke

#endif
