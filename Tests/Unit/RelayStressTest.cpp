/// \file
/// Proxies that relay statements, under more load than the targets can take,
/// while targets, gateways and callers fail and recover.

#include "FakeRelay.h"

#include <catch2/catch.hpp>
#include <random>

using namespace corianderdyke;

namespace {

using Kind = StatementKind;

/// Additional conditions of a random run.
struct RunOptions {
  bool IsDescheduled = false; ///< Time passes between clock reads.
  bool SendsAhead = false;    ///< Callers do not wait for answers.
};

/// Random statements of callers and random faults, reproducible from a seed.
class RandomRun {
public:
  explicit RandomRun(std::uint64_t Seed, RunOptions Kind = {})
      : Options(Kind), Random(Seed), System(Loop, Group, ProxyCount, 12) {
    if (Options.IsDescheduled) {
      const auto OnRead = randomPauses(1, 200);
      for (std::size_t Each = 0; Each < ProxyCount; ++Each)
        System.proxy(Each).Host.OnClockRead = OnRead;
    }
    Loop.runFor(Millis(100));
    for (std::size_t Each = 0; Each < SessionCount; ++Each)
      Callers.push_back({connect(), 0, 0});
  }

  void run(int Steps) {
    for (int Step = 0; Step < Steps; ++Step) {
      for (int Each = 0; Each < 8; ++Each)
        act(Callers[below(Callers.size())]);
      if (below(12) == 0)
        injectFault();
      if (below(6) == 0)
        clearFaults();
      Loop.runFor(Millis(static_cast<std::int64_t>(below(6))));
    }
    clearFaults();
    Loop.runFor(Millis(6000));
  }

  /// Checks that every statement has one answer unless its caller has left.
  void checkAnswers() const {
    for (const Caller &Each : Callers)
      if (!Each.Session.Caller->IsClosed)
        CHECK(Each.Session.Caller->Answers.size() == Each.Sent);
  }

private:
  struct Caller {
    FakeRelaySystem::Session Session;
    std::size_t Sent = 0;
    int Depth = 0; ///< Statements in the open transaction, or 0.
  };

  std::size_t below(std::size_t Bound) { return Random() % Bound; }

  FakeRelaySystem::Session connect() {
    static const char *const Routes[] = {"primary", "bounded", "own"};
    return System.connect(below(ProxyCount), Routes[below(3)]);
  }

  void act(Caller &Client) {
    // Without SendsAhead, a session has one statement in flight, as callers of
    // the platform do.
    const std::size_t Pending =
        Client.Sent - Client.Session.Caller->Answers.size();
    if (Pending > 0 && (!Options.SendsAhead || Pending > 8)) {
      if (below(40) == 0)
        leave(Client);
      return;
    }
    const std::string Id = "s" + std::to_string(NextId++);
    ++Client.Sent;
    if (Client.Depth == 0 && below(3) == 0) {
      Client.Depth = 1;
      return System.send(Client.Session, Kind::Begin);
    }
    if (Client.Depth > 2 && below(2) == 0) {
      Client.Depth = 0;
      return System.send(Client.Session,
                         below(4) == 0 ? Kind::Rollback : Kind::Commit, Id);
    }
    Client.Depth += Client.Depth > 0 ? 1 : 0;
    if (below(3) == 0)
      return System.send(Client.Session, Kind::Write, Id, "STORE x 1");
    System.send(Client.Session, Kind::Read, Id, "FETCH x");
  }

  void leave(Caller &Client) {
    Client.Session.At->Pipeline.handleDisconnect(Client.Session.Id);
    Client = {connect(), 0, 0};
  }

  void injectFault() {
    FakeGroup::Server &Target =
        Group.Servers[std::string(1, static_cast<char>('a' + below(3)))];
    switch (below(5)) {
    case 0:
      Target.IsUp = false;
      break;
    case 1:
      Target.IsUnresponsive = true;
      break;
    case 2:
      Target.IsBusy = true;
      break;
    case 3:
      System.proxy(below(ProxyCount)).Access.Cut = {"a", "b"};
      break;
    default:
      System.proxy(below(ProxyCount))
          .Relay.announceStop(Loop.now() + Millis(200));
    }
    System.updateDirectories();
  }

  void clearFaults() {
    for (auto &[Name, Each] : Group.Servers) {
      Each.IsUp = true;
      Each.IsUnresponsive = false;
      Each.IsBusy = false;
    }
    for (std::size_t Each = 0; Each < ProxyCount; ++Each)
      System.proxy(Each).Access.Cut.clear();
    System.updateDirectories();
  }

  static constexpr std::size_t ProxyCount = 10;
  static constexpr std::size_t SessionCount = 60;

  RunOptions Options;
  std::mt19937_64 Random;
  FakeLoop Loop;
  FakeGroup Group{Loop, {"a", "b", "c"}};
  FakeRelaySystem System;
  std::vector<Caller> Callers;
  std::uint64_t NextId = 1;
};

} // namespace

TEST_CASE("Statements get one answer each under overload and faults",
          "[relay][stress]") {
  // Sixty sessions load three targets of twelve connections through ten
  // proxies. Targets stop, hang and refuse, gateways lose their connection to
  // targets or stop, and callers leave. A statement can be refused inside the
  // call that ends a statement of another session. Guards against destroying a
  // link there while it is in use, which ends the process.
  const auto Seed = GENERATE(range(1, 25));
  RandomRun Run(static_cast<std::uint64_t>(Seed));
  Run.run(700);
  Run.checkAnswers();
}

TEST_CASE("Statements get one answer each when proxies are descheduled",
          "[relay][stress][time]") {
  // Guards against decisions that read the clock more than once. With even
  // seeds callers also send statements before earlier ones are answered.
  const auto Seed = GENERATE(range(101, 117));
  RandomRun Run(static_cast<std::uint64_t>(Seed),
                {.IsDescheduled = true, .SendsAhead = Seed % 2 == 0});
  Run.run(500);
  Run.checkAnswers();
}
