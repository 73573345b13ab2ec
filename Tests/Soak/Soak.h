/// \file
/// The soak: real processes of the product on loopback, callers, servers and
/// an operator around them, and faults from outside in series and overlapping.
/// It checks while it runs what callers and servers see.

#ifndef CORIANDERDYKE_TESTS_SOAK_SOAK_H
#define CORIANDERDYKE_TESTS_SOAK_SOAK_H

#include "Callers.h"
#include "Common/SystemClock.h"
#include "Http/EventHttpConnector.h"
#include "Http/EventHttpServer.h"
#include "LoopbackNetwork.h"
#include "Program.h"
#include "Servers.h"

#include <unistd.h>

namespace corianderdyke::soak {

constexpr std::uint16_t DirectoryPort = 5005;

struct Options {
  std::string Program;
  std::string Folder;
  std::uint64_t Seed = 1;
  int Seconds = 10;
  std::size_t Proxies = 6;
  std::size_t Callers = 24;
  bool IsSeries = false;  ///< Signals, restarts and changes overlap as well.
  bool IsLimited = false; ///< Proxies have few descriptors.
  bool IsVerbose = false;
};

/// One process, where it lives, and whether the soak wants it up.
struct Node {
  std::string Name;
  std::string Folder; ///< Its data; empty for a proxy.
  Program Process;
  bool MayRun = true; ///< False while a fault holds it down.
  bool IsStopping = false;
  bool IsPaused = false;
  std::string GoodSettings = {}; ///< While its file holds broken ones.
  Millis StartedAt = {};
};

class Soak {
public:
  explicit Soak(Options Given)
      : Given(std::move(Given)), Random(this->Given.Seed),
        Network(LoopbackNetwork::claim(static_cast<unsigned>(getpid()))),
        Truth(Time), MaxConnections(Random() % 2 == 0 ? 6 : 16),
        Targets(Loop, Truth, "ledger", Network.prefix(), controls(),
                MaxConnections),
        Operations(Loop, Truth, controls(), "ledger", MaxConnections,
                   Random()) {}

  int run();

private:
  std::vector<Endpoint> controls() const {
    std::vector<Endpoint> Out;
    for (int Each = 1; Each <= 3; ++Each)
      Out.push_back({address(1, Each), DirectoryPort});
    return Out;
  }
  std::string address(int Kind, std::size_t Number) const {
    return Network.prefix() + "." + std::to_string(Kind) + "." +
           std::to_string(Number);
  }

  void makeControl(int Number);
  void makeProxy(std::size_t Number);
  std::string writeSettings(const std::string &Name, const std::string &Text);
  std::string controlSettings(const Node &Of, int Number, bool MayFound) const;
  void watch();
  void note(const std::string &What) const;
  // Faults.
  void harmSomething();
  void harmProcess(Node &Which);
  // Faults that come in series or together.
  void harmSeries();
  void roll();
  void herd();
  void signalSeries(Node &Which, int Left);
  void reloadBroken(Node &Which);
  void mendSettings(Node &Which);
  void stop(Node &Which);
  void restartLater(Node &Which, Millis After);
  void startProcess(Node &Which);
  bool isProxy(const Node &Which) const;
  void harmLink(FaultyLink &Which, const std::string &Name);
  void harmServer();
  void wipe(Node &Which);
  Millis draw(int Least, int Most) {
    return Millis(Least + static_cast<std::int64_t>(Random() % (Most - Least)));
  }
  void healAll();
  /// Asks every process for what it waited for besides its work.
  void askDelays();
  void noteDelays(const std::string &Of, const std::string &Metrics);
  CallerCounts counts() const;
  int report();

  Options Given;
  std::mt19937_64 Random;
  LoopbackNetwork Network;
  SystemClock Time;
  EventLoop Loop;
  Ledger Truth;
  std::size_t MaxConnections;
  Group Targets;
  Operator Operations;
  std::unique_ptr<EventHttpServer> PromotionServer;
  EventHttpConnector Connector{Loop};
  std::vector<std::string> Delays; ///< A line a process.
  std::vector<std::unique_ptr<Node>> Controls;
  std::vector<std::unique_ptr<Node>> Proxies;
  std::vector<std::unique_ptr<FaultyLink>> CallerLinks;
  std::vector<std::unique_ptr<Caller>> Callers;
  bool IsHarming = false;
  bool IsWiping = false; ///< One disk at a time is lost.
  Millis HarmUntil;
  std::size_t Harms = 0;
};

} // namespace corianderdyke::soak

#endif
