/// \file
/// A database group on real sockets: servers that enforce their leadership,
/// replicate, crash, lose answers and are promoted, and the promotion service
/// of the platform.

#ifndef CORIANDERDYKE_TESTS_SOAK_SERVERS_H
#define CORIANDERDYKE_TESTS_SOAK_SERVERS_H

#include "FaultyLink.h"
#include "Http/EventHttpConnector.h"
#include "Http/HttpServer.h"
#include "Ledger.h"

#include <memory>

struct evconnlistener;

namespace corianderdyke::soak {

/// One server. Proxies connect to it through a link that can inject faults.
class Server {
public:
  Server(EventLoop &Loop, Ledger &Checks, std::string Group, std::string Name,
         const Endpoint &Own, const Endpoint &Shown);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  /// Simulates a crash: resets connections and refuses new ones; the log stays.
  void crash();
  /// Starts the server with a new id.
  void start(bool Leads);

  bool IsUp = false;
  bool IsPrimary = false;
  bool LosesAnswers = false;
  std::size_t MaxConnections = 16;
  std::uint64_t Term = 1;
  std::vector<std::vector<std::string>> Log;    ///< Writes of each commit.
  std::unordered_set<std::string> LoggedWrites; ///< All writes in Log.
  std::string Id;                               ///< New at each start.
  std::uint64_t Sequence = 0;
  FaultyLink Link;

  /// Replaces the log by that of another server.
  void copy(const Server &From);
  void append(const std::vector<std::string> &Writes);
  /// Called with each commit of a primary.
  std::function<void(const std::vector<std::string> &)> OnCommit;

private:
  struct Connection;
  friend struct Connection;

  void accepted(int Socket);

  EventLoop &Loop;
  Ledger &Checks;
  std::string Group;
  std::string Name;
  Endpoint Own;
  unsigned Starts = 0;
  evconnlistener *Listener = nullptr;
  std::set<std::shared_ptr<Connection>> Connections;
};

/// Three servers, their replication, their heartbeats and their promotions.
class Group final : public HttpService {
public:
  Group(EventLoop &Loop, Ledger &Checks, std::string Name,
        const std::string &Network, std::vector<Endpoint> Controls,
        std::size_t MaxConnections);

  const std::string &name() const { return Name; }
  std::vector<std::unique_ptr<Server>> &servers() { return Servers; }
  Server *primary();
  /// Restarts a crashed server, as the primary if no other was promoted.
  void restart(Server &Which);
  void startHeartbeats();

  /// Handles a promotion order, which takes effect some hundred milliseconds
  /// later.
  void handle(const HttpRequest &Request,
              std::shared_ptr<HttpExchange> Exchange) override;
  std::size_t promotions() const { return Promoted; }

  /// Replication lag.
  Millis Lag = Millis(10);
  /// Promotion orders are executed late and not answered.
  bool LosesPromotions = false;

private:
  void replicate(const Server &From, const std::vector<std::string> &Writes);
  void promote(const std::string &Id, std::uint64_t Token);
  void sendHeartbeat(Server &Of);
  void catchUp();

  EventLoop &Loop;
  Ledger &Checks;
  std::string Name;
  std::vector<Endpoint> Controls;
  EventHttpConnector Connector;
  std::vector<std::unique_ptr<Server>> Servers;
  std::uint64_t HighestTerm = 1; ///< Term of the last promotion.
  std::uint64_t LastToken = 0;
  std::size_t Promoted = 0;
  std::size_t NextControl = 0;
};

} // namespace corianderdyke::soak

#endif
