/// \file
/// A database service of three servers that speaks the users' line protocol,
/// and the provider's promotion service.
///
/// A commit of the primary gets the next number of its log. Replicas receive
/// it after their lag, unless they are down, paused or deaf. With
/// synchronous replicas it is acknowledged once one replica has received it.
/// Only a promotion changes the primary; the other logs are then cut to what
/// the new primary holds.

#ifndef CORIANDERDYKE_REVIEW_DATABASE_H
#define CORIANDERDYKE_REVIEW_DATABASE_H

#include "Fleet.h"
#include "Net.h"
#include "Record.h"

#include <condition_variable>
#include <set>
#include <vector>

namespace review {

struct Write {
  std::string Id; ///< Of the client's statement.
  std::string Item;
  std::string Data;
};

struct Commit {
  std::vector<Write> Writes;
  std::int64_t At = 0;
};

struct DatabaseOptions {
  std::string Service;
  std::vector<Endpoint> Servers;
  std::vector<Endpoint> Controls; ///< Where servers check in.
  Endpoint Provider;
  unsigned SyncReplicas = 0;
  std::size_t Slots = 2;
  std::size_t Queue = 16;
  std::size_t MaxConnections = 16;
  std::int64_t WorkMs = 3;
  std::int64_t LagMs = 20;
  std::int64_t HandshakeMs = 12;
  std::int64_t PromoteMs = 600;
  std::int64_t HeartbeatMs = 1200;
};

/// A service of three servers at the addresses of \p System.
DatabaseOptions optionsFor(const Fleet &System);

class Database {
public:
  Database(DatabaseOptions Given, Record &Log);
  Database(const Database &) = delete;
  Database &operator=(const Database &) = delete;

  /// Starts the servers, the first of them as the primary, and the provider.
  void start();

  // Disruptions.
  /// Ends a server: its connections are reset and new ones refused. Its log
  /// stays.
  void crash(std::size_t Which);
  /// As crash(), but nothing answers: connections hang.
  void goDark(std::size_t Which);
  /// Starts a server that is down, with its log.
  void restart(std::size_t Which);
  /// A deaf replica receives nothing.
  void setDeaf(std::size_t Which, bool New);
  /// The next promotion is not answered and is carried out \p AfterMs later.
  void delayNextPromotion(std::int64_t AfterMs);
  /// Called when an order has passed the provider's checks, with the index of
  /// the server, without a lock.
  std::function<void(std::size_t)> OnOrder;
  /// Called after a promotion took effect, with the index of the server and
  /// the ids of the writes that were in other logs and not in its own.
  std::function<void(std::size_t, std::set<std::string>)> OnPromoted;

  std::size_t size() const { return Servers.size(); }
  std::string idOf(std::size_t Which);
  bool leads(std::size_t Which);
  std::size_t logSize(std::size_t Which);
  /// True if the log of the server holds the write.
  bool holds(std::size_t Which, const std::string &WriteId);
  /// True if a server has received the statement from a proxy.
  bool hasReceived(const std::string &StatementId);
  /// When the server sent the answer to a statement; -1 if it did not.
  std::int64_t answeredAt(const std::string &StatementId);

private:
  struct Server {
    std::string Id;
    bool IsUp = false;
    bool IsDark = false;
    bool Leads = false;
    bool IsPaused = false;
    bool IsDeaf = false;
    std::uint64_t Term = 1;
    std::uint64_t NewestTerm = 1;
    std::uint64_t Sequence = 0;
    std::uint64_t Boot = 0;
    std::vector<Commit> Log;
    std::size_t Open = 0;
    std::size_t Running = 0;
    std::size_t Queued = 0;
    std::set<std::shared_ptr<Stream>> Streams;
    std::unique_ptr<Listener> Accepting;
  };

  /// State of one connection.
  struct Session {
    std::size_t Server = 0;
    std::uint64_t Boot = 0;
    char State = 'I';
    bool IsPlain = false;
    std::vector<Write> Written;
    std::map<std::string, std::string> Prepared;
  };

  /// The result of a statement without its READY line; nothing if the
  /// connection has ended.
  using Result = std::optional<std::string>;

  void serve(std::size_t Which, const std::shared_ptr<Stream> &From);
  bool open(std::size_t Which, const std::shared_ptr<Stream> &From,
            Session &Out);
  Result run(Session &In, const std::string &Id, std::string Text);
  Result runStatement(Session &In, const std::string &Id,
                      const std::string &Text);
  Result commit(Session &In, std::unique_lock<std::mutex> &Guard);
  Result command(Session &In, const std::string &Text);
  bool isGone(const Session &In) const;
  /// Waits for a slot; returns false if the queue is full.
  bool takeSlot(Session &In, std::unique_lock<std::mutex> &Guard);
  void work(Session &In, std::unique_lock<std::mutex> &Guard,
            std::int64_t Duration);
  std::string ready(const Session &In) const;
  std::string status(const Server &Of) const;
  void replicate();
  void checkIn(std::size_t Which);
  void serveProvider(const std::shared_ptr<Stream> &From);
  void promote(std::size_t Which, std::uint64_t Token);
  void listen(std::size_t Which);
  void stop(std::size_t Which, bool IsDark);

  DatabaseOptions Options;
  Record &Log;
  std::mutex Lock;
  std::condition_variable Changed;
  std::vector<Server> Servers;
  std::unique_ptr<Listener> Promotions;
  std::uint64_t HighestTerm = 1;
  std::uint64_t HighestToken = 0;
  std::uint64_t NextDigest = 1;
  std::optional<std::int64_t> Delay;
  std::set<std::string> Received;
  std::map<std::string, std::int64_t> Answered;
};

} // namespace review

#endif
