/// \file
/// A simulated database target with a log, a term, execution slots, a
/// connection limit and asynchronous replication with a configurable lag.

#ifndef CORIANDERDYKE_TESTS_STANDIN_STANDINTARGET_H
#define CORIANDERDYKE_TESTS_STANDIN_STANDINTARGET_H

#include "Common/Clock.h"
#include "Http/HttpClient.h"
#include "Http/HttpServer.h"
#include "Loop/Scheduler.h"
#include "State/ClusterView.h"

#include <deque>
#include <functional>
#include <set>

namespace corianderdyke {

struct StandInOptions {
  std::string Name;
  std::string Database;
  Locality Where;
  Endpoint Address;
  std::vector<Endpoint> Proxies; ///< Announced to in turn.
  std::string TargetKey;
  std::size_t Slots = 2;
  std::size_t Connections = 16;
  Millis ConnectCost = Millis(12);
  Millis ServiceTime = Millis(1);
  Millis Lag = Millis(5);
  /// Retention of idempotency keys: the longest retention that a manifest can
  /// set plus twice the clock tolerance.
  Millis KeyRetention = Millis(86400000 + 120000);
};

/// One committed write.
struct LogEntry {
  std::uint64_t Term = 0;
  std::string Key;  ///< Idempotency key; may be empty.
  std::string Body; ///< Lines of "put NAME VALUE" or "add NAME NUMBER".
};

class StandInTarget final : public HttpService {
public:
  StandInTarget(StandInOptions Options, Clock &Time, Scheduler &Timers,
                HttpConnector &Connector);

  void start();
  /// Announces that the target is leaving from now on.
  void leave();

  void handle(const HttpRequest &Request,
              std::shared_ptr<HttpExchange> Exchange) override;
  void handleDisconnect(const std::string &Peer) override;

  void setLag(Millis Lag) { Options.Lag = Lag; }
  std::uint64_t term() const { return Term; }
  std::uint64_t position() const { return Log.size(); }
  bool isPrimary() const { return Primary; }
  std::size_t openTransactions() const { return Transactions.size(); }
  std::size_t connections() const { return Connected.size(); }
  const std::vector<LogEntry> &log() const { return Log; }

private:
  struct Watcher {
    std::uint64_t After = 0;
    std::uint64_t Term = 0;
    std::shared_ptr<HttpExchange> Exchange;
    Millis Since; ///< Arrival of the request.
    bool Done = false;
  };

  void openConnection(const HttpRequest &Request,
                      std::shared_ptr<HttpExchange> Exchange);
  void statement(const HttpRequest &Request,
                 std::shared_ptr<HttpExchange> Exchange);
  void startWaiting();
  void execute(const HttpRequest &Request, HttpExchange &Exchange);
  void executeRead(const HttpRequest &Request, HttpExchange &Exchange);
  void executeWrite(const HttpRequest &Request, HttpExchange &Exchange);
  void begin(const HttpRequest &Request, HttpExchange &Exchange);
  void commit(const HttpRequest &Request, HttpExchange &Exchange);
  void rollback(const HttpRequest &Request, HttpExchange &Exchange);
  /// Answers a request whose key was used before; returns false if the key is
  /// new.
  bool replay(const std::string &Key, const std::string &Body,
              HttpExchange &Exchange);
  void expireKeys();
  void append(const std::string &Key, const std::string &Body);
  HttpResponse written(std::uint64_t Position) const;
  void watch(const HttpRequest &Request,
             std::shared_ptr<HttpExchange> Exchange);
  void serveLog(const HttpRequest &Request,
                std::shared_ptr<HttpExchange> Exchange);
  void applyOrder(const HttpRequest &Request, HttpExchange &Exchange);
  bool isFollowing(const HttpRequest &Order) const;
  void truncateToForks(const std::vector<Fork> &Forks);
  void rebuild();
  void applyToData(const LogEntry &Entry, std::uint64_t Position);
  void notifyWatchers();
  void answerWatch(Watcher &Each);
  void pull(std::uint64_t Generation);
  void appendReplicated(const std::string &Body, std::uint64_t Generation);
  void announce();
  HttpResponse answer(int Status, std::string Body) const;
  HttpResponse refusal(const std::string &Reason) const;

  StandInOptions Options;
  Clock &Time;
  Scheduler &Timers;
  HttpConnector &Connector;
  std::uint64_t Sequence = 0;
  /// Identifies the log. The log is in memory, so each start creates a new id.
  std::string LogId;
  bool Leaving = false;
  std::uint64_t Term = 0;
  bool Primary = false;
  /// True while the target has accepted Term but was neither promoted nor
  /// ordered to follow a primary in it.
  bool Fenced = true;
  std::vector<LogEntry> Log;
  std::map<std::string, std::string> Data;
  /// Positions of writes by idempotency key.
  std::map<std::string, std::uint64_t> Keys;
  /// Keys issued before this time are expired and never accepted again.
  std::uint64_t KeyHorizon = 0;
  std::set<std::string> Connected;
  /// Pending writes of open transactions by connection.
  std::map<std::string, std::string> Transactions;
  std::size_t Running = 0;
  std::deque<std::function<void()>> Waiting;
  std::vector<std::shared_ptr<Watcher>> Watchers;
  Endpoint Followed;
  std::unique_ptr<HttpConnection> FollowLink;
  /// Incremented with each order, so that answers to requests from before it
  /// are detected and discarded.
  std::uint64_t Generation = 0;
  std::unique_ptr<HttpConnection> AnnounceLink;
  std::size_t NextProxy = 0;
};

} // namespace corianderdyke

#endif
