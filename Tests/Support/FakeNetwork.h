/// \file
/// A simulated network for peer messages and HTTP, with latency, loss and
/// partitions. All randomness comes from one seed.

#ifndef CORIANDERDYKE_TESTS_SUPPORT_FAKENETWORK_H
#define CORIANDERDYKE_TESTS_SUPPORT_FAKENETWORK_H

#include "FakeLoop.h"
#include "Http/HttpClient.h"
#include "Http/HttpServer.h"
#include "Transport/Transport.h"

#include <random>
#include <set>

namespace corianderdyke {

class FakeNetwork {
public:
  FakeNetwork(FakeLoop &Loop, std::uint64_t Seed) : Loop(Loop), Random(Seed) {}

  /// Creates a peer message transport for a host. It remains valid after the
  /// host is killed.
  std::unique_ptr<Transport> attach(FakeHost &Host, const Endpoint &At);
  /// Creates an HTTP client for a host.
  std::unique_ptr<HttpConnector> connector(FakeHost &Host);
  /// Binds a service to an endpoint of a host and replaces any earlier one.
  void serve(FakeHost &Host, const Endpoint &At, HttpService &Service);
  /// Stops listening: connections to \p At are refused.
  void close(const Endpoint &At) { Services.erase(At); }

  /// Loses all traffic from one host to the other.
  void cut(const std::string &From, const std::string &To) {
    Cuts.insert({From, To});
  }
  void cutBoth(const std::string &One, const std::string &Other) {
    cut(One, Other);
    cut(Other, One);
  }
  void heal() { Cuts.clear(); }
  void heal(const std::string &One, const std::string &Other) {
    Cuts.erase({One, Other});
    Cuts.erase({Other, One});
  }

  /// Bounds of the one-way latency, which is uniform in whole milliseconds.
  Millis LeastLatency = Millis(1);
  Millis MostLatency = Millis(2);
  /// Fixed one-way latency of HTTP requests of some client hosts, by name.
  std::map<std::string, Millis> ClientLatency;
  /// Lost datagrams per thousand.
  int LossPerMille = 0;
  /// Number of messages and their signed bytes, by index of Message, for
  /// measurements.
  std::map<std::size_t, std::pair<std::uint64_t, std::uint64_t>> Traffic;
  /// Messages that senders built, by index of Message; a message to several
  /// receivers counts once.
  std::map<std::size_t, std::uint64_t> BuiltMessages;

private:
  class Port;
  class Connector;
  class Connection;
  struct Call;

  Millis latency(const std::string &Client) {
    const auto Known = ClientLatency.find(Client);
    return Known == ClientLatency.end() ? latency() : Known->second;
  }
  Millis latency() {
    return Millis(std::uniform_int_distribution<std::int64_t>(
        LeastLatency.count(), MostLatency.count())(Random));
  }
  bool isCut(const std::string &From, const std::string &To) const {
    return Cuts.count({From, To}) != 0;
  }
  void send(FakeHost &From, const Endpoint &To, Delivery How, Envelope What);

  struct Service {
    FakeHost *Host = nullptr;
    HttpService *Handler = nullptr;
  };
  struct Receiver {
    FakeHost *Host = nullptr;
    Port *At = nullptr;
  };

  FakeLoop &Loop;
  std::mt19937_64 Random;
  std::map<Endpoint, Receiver> Receivers;
  std::map<Endpoint, Service> Services;
  std::set<std::pair<std::string, std::string>> Cuts;
  /// Earliest delivery time of the next message of a stream, which keeps the
  /// order.
  std::map<std::pair<std::string, Endpoint>, Millis> StreamTimes;
  std::uint16_t NextPeer = 1;
};

} // namespace corianderdyke

#endif
