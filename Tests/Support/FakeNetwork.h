/// \file
/// A network in memory: messages between processes and HTTP, with latency,
/// loss and cuts, all drawn from one seed.

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

  /// A host's end for messages. It stays good after the host's death.
  std::unique_ptr<Transport> attach(FakeHost &Host, const Endpoint &At);
  /// A host's way to HTTP services.
  std::unique_ptr<HttpConnector> connector(FakeHost &Host);
  /// Puts a service on a host's port, in place of any before.
  void serve(FakeHost &Host, const Endpoint &At, HttpService &Service);
  /// Nothing listens there any more: connections are refused.
  void close(const Endpoint &At) { Services.erase(At); }

  /// Loses everything that goes from one host to the other.
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

  /// One way, in whole milliseconds, uniform between the two.
  Millis LeastLatency = Millis(1);
  Millis MostLatency = Millis(2);
  /// In place of these, to and from the HTTP requests of some hosts.
  std::map<std::string, Millis> ClientLatency;
  /// Datagrams lost, out of a thousand.
  int LossPerMille = 0;
  /// Messages and their sealed bytes by index of Message, for measurements.
  std::map<std::size_t, std::pair<std::uint64_t, std::uint64_t>> Traffic;
  /// Messages that a sender made, by index of Message; one that goes to many
  /// is made once.
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
  /// Streams stay in order: the earliest time for the next message.
  std::map<std::pair<std::string, Endpoint>, Millis> StreamTimes;
  std::uint16_t NextPeer = 1;
};

} // namespace corianderdyke

#endif
