/// \file
/// Callers and an operator that hold the system to what they were told.

#ifndef CORIANDERDYKE_TESTS_SOAK_CALLERS_H
#define CORIANDERDYKE_TESTS_SOAK_CALLERS_H

#include "Http/EventHttpConnector.h"
#include "Ledger.h"
#include "Loop/EventLoop.h"

#include <memory>
#include <random>

namespace corianderdyke::soak {

struct CallerCounts {
  std::size_t Served = 0;
  std::size_t Promised = 0;
  std::size_t Unknown = 0;
  std::size_t Closed = 0;
};

/// One caller: a session at some proxy, one operation after the other, and a
/// new session elsewhere after each failure.
class Caller {
public:
  Caller(EventLoop &Loop, Ledger &Truth, Clock &Time,
         std::vector<Endpoint> Proxies, std::string Name, std::uint64_t Seed);
  ~Caller();
  Caller(const Caller &) = delete;
  Caller &operator=(const Caller &) = delete;

  void start();
  /// From now on a refusal between transactions is no reason to leave: the
  /// connection is used until its process is gone.
  void stayConnected() { StaysConnected = true; }
  CallerCounts Counts;

private:
  struct Session;
  friend struct Session;

  /// One statement of an operation.
  struct Step {
    std::string Id;
    std::string Text; ///< As sent.
    bool IsWrite = false;
    bool IsRun = false; ///< Runs at a server.
  };

  void connect();
  void beginOperation();
  void addStatement(bool MayWrite);
  void sendStep();
  void answered(const std::vector<std::string> &Rows, const std::string &Proof,
                const std::string &Code, char State);
  void succeeded(const Step &Done, const std::vector<std::string> &Rows,
                 const std::string &Proof);
  void fail(bool IsPromise, char State);
  void lost();
  void again(Millis After);
  std::string newId();

  EventLoop &Loop;
  Ledger &Truth;
  Clock &Time;
  std::vector<Endpoint> Proxies;
  std::string Name;
  std::mt19937_64 Random;
  std::shared_ptr<Session> Open;
  std::string SessionName;
  std::string Tenant;
  Must See = Must::All;
  Millis Age;
  std::vector<Step> Steps;
  std::size_t At = 0; ///< In Steps.
  Millis BeganAt;
  std::vector<std::string> Written; ///< By the operation under way.
  bool InTransaction = false;
  bool StaysConnected = false;
  std::uint64_t Number = 0;
  std::uint64_t Timer = 0;
};

/// Sends plans and reads them back.
class Operator {
public:
  Operator(EventLoop &Loop, Ledger &Truth, std::vector<Endpoint> Controls,
           std::string Group, std::size_t MaxConnections, std::uint64_t Seed);

  void start();
  /// Sends so many plans more, one right after the other.
  void storm(int Count);
  /// Sends no further plans; what was accepted is read on.
  void rest() { IsResting = true; }
  std::uint64_t accepted() const { return Accepted; }
  /// The version that was read last.
  std::uint64_t seen() const { return Seen; }

private:
  using OnAnswer = std::function<void(const HttpResponse &)>;

  void replace();
  void sendPlan();
  void describe();
  /// Follows the way to the leading host; no answer raises nothing.
  void call(const HttpRequest &What, const Endpoint &To, int Left,
            OnAnswer Handler);
  std::string document(std::uint64_t Of) const;
  const Endpoint &anyControl();

  EventLoop &Loop;
  Ledger &Truth;
  std::vector<Endpoint> Controls;
  std::string Group;
  std::size_t MaxConnections;
  std::mt19937_64 Random;
  EventHttpConnector Connector;
  std::uint64_t Version = 0;
  std::uint64_t Accepted = 0;
  std::uint64_t Seen = 0;
  bool IsResting = false;
};

} // namespace corianderdyke::soak

#endif
