/// \file
/// A database group on real sockets: servers that enforce their leadership,
/// replicate, crash, fall silent and are promoted, and the platform's call for
/// that.

#ifndef CORIANDERDYKE_TESTS_SOAK_SERVERS_H
#define CORIANDERDYKE_TESTS_SOAK_SERVERS_H

#include "FaultyLink.h"
#include "Http/EventHttpConnector.h"
#include "Http/HttpServer.h"
#include "Ledger.h"

#include <memory>

struct evconnlistener;

namespace corianderdyke::soak {

/// One server. Proxies reach it through a link that can be harmed.
class Server {
public:
  Server(EventLoop &Loop, Ledger &Truth, std::string Group, std::string Name,
         const Endpoint &Own, const Endpoint &Shown);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  /// A crash: connections reset, later ones refused, the log stays.
  void crash();
  /// Another life, under another id.
  void start(bool Leads);

  bool IsUp = false;
  bool IsPrimary = false;
  bool LosesAnswers = false;
  std::size_t MaxConnections = 16;
  std::uint64_t Term = 1;
  std::vector<std::vector<std::string>> Log; ///< Writes of each commit.
  std::unordered_set<std::string> Has;       ///< All of them.
  std::string Id;                            ///< Of this life.
  std::uint64_t Sequence = 0;
  FaultyLink Link;

  /// Takes over another server's log.
  void copy(const Server &From);
  void append(const std::vector<std::string> &Writes);
  /// Called with each commit of a primary.
  std::function<void(const std::vector<std::string> &)> OnCommit;

private:
  struct Connection;
  friend struct Connection;

  void accepted(int Socket);

  EventLoop &Loop;
  Ledger &Truth;
  std::string Group;
  std::string Name;
  Endpoint Own;
  unsigned Lives = 0;
  evconnlistener *Listener = nullptr;
  std::set<std::shared_ptr<Connection>> Connections;
};

/// Three servers, their replication, their heartbeats and their promotions.
class Group final : public HttpService {
public:
  Group(EventLoop &Loop, Ledger &Truth, std::string Name,
        const std::string &Network, std::vector<Endpoint> Controls,
        std::size_t MaxConnections);

  const std::string &name() const { return Name; }
  std::vector<std::unique_ptr<Server>> &servers() { return Servers; }
  Server *primary();
  /// A crashed server comes back: as the primary where no other was promoted.
  void bringBack(Server &Which);
  void startHeartbeats();

  /// The platform's call; it's carried out some hundred milliseconds later.
  void handle(const HttpRequest &Request,
              std::shared_ptr<HttpExchange> Exchange) override;
  std::size_t promotions() const { return Promoted; }

  /// Replicas receive commits this much later.
  Millis Lag = Millis(10);
  /// Answers to promotions are lost, and they're carried out late.
  bool LosesPromotions = false;

private:
  void replicate(const Server &From, const std::vector<std::string> &Writes);
  void promote(const std::string &Id, std::uint64_t Token);
  void beat(Server &Of);
  void catchUp();

  EventLoop &Loop;
  Ledger &Truth;
  std::string Name;
  std::vector<Endpoint> Controls;
  EventHttpConnector Connector;
  std::vector<std::unique_ptr<Server>> Servers;
  std::uint64_t Newest = 1; ///< Term.
  std::uint64_t LastToken = 0;
  std::size_t Promoted = 0;
  std::size_t NextControl = 0;
};

} // namespace corianderdyke::soak

#endif
