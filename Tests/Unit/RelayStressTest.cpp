/// \file
/// Proxies that carry each other's statements, under more load than targets
/// take, while everything around them comes and goes.

#include "FakeRelay.h"

#include <catch2/catch.hpp>
#include <random>

using namespace corianderdyke;

namespace {

using Kind = StatementKind;

/// What else happens on a random day.
struct DayKind {
  bool LosesProcessor = false; ///< Time passes between readings of the clock.
  bool SendsAhead = false;     ///< Callers don't wait for answers.
};

/// Callers that send at random, faults at random; the same for a seed.
class RandomDay {
public:
  explicit RandomDay(std::uint64_t Seed, DayKind Kind = {})
      : How(Kind), Random(Seed), System(Loop, Group, ProxyCount, 12) {
    if (How.LosesProcessor) {
      const auto AtReading = randomPauses(1, 200);
      for (std::size_t Each = 0; Each < ProxyCount; ++Each)
        System.proxy(Each).Host.OnClockRead = AtReading;
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
        breakSomething();
      if (below(6) == 0)
        mendAll();
      Loop.runFor(Millis(static_cast<std::int64_t>(below(6))));
    }
    mendAll();
    Loop.runFor(Millis(6000));
  }

  /// Every statement has one answer, or its caller has left.
  void checkAnswers() const {
    for (const Caller &Each : Callers)
      if (!Each.On.Caller->IsClosed)
        CHECK(Each.On.Caller->Answers.size() == Each.Sent);
  }

private:
  struct Caller {
    FakeRelaySystem::Session On;
    std::size_t Sent = 0;
    int Depth = 0; ///< Statements since its transaction began; 0 outside.
  };

  std::size_t below(std::size_t Bound) { return Random() % Bound; }

  FakeRelaySystem::Session connect() {
    static const char *const Routes[] = {"primary", "bounded", "own"};
    return System.connect(below(ProxyCount), Routes[below(3)]);
  }

  void act(Caller &Who) {
    // A session has one statement under way, as callers of the platform do.
    const std::size_t Due = Who.Sent - Who.On.Caller->Answers.size();
    if (Due > 0 && (!How.SendsAhead || Due > 8)) {
      if (below(40) == 0)
        leave(Who);
      return;
    }
    const std::string Id = "s" + std::to_string(NextId++);
    ++Who.Sent;
    if (Who.Depth == 0 && below(3) == 0) {
      Who.Depth = 1;
      return System.send(Who.On, Kind::Begin);
    }
    if (Who.Depth > 2 && below(2) == 0) {
      Who.Depth = 0;
      return System.send(Who.On, below(4) == 0 ? Kind::Rollback : Kind::Commit,
                         Id);
    }
    Who.Depth += Who.Depth > 0 ? 1 : 0;
    if (below(3) == 0)
      return System.send(Who.On, Kind::Write, Id, "STORE x 1");
    System.send(Who.On, Kind::Read, Id, "FETCH x");
  }

  void leave(Caller &Who) {
    Who.On.At->Pipeline.handleDisconnect(Who.On.Id);
    Who = {connect(), 0, 0};
  }

  void breakSomething() {
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
      System.proxy(below(ProxyCount)).Relay.announceStop();
    }
    System.updateDirectories();
  }

  void mendAll() {
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

  DayKind How;
  std::mt19937_64 Random;
  FakeLoop Loop;
  FakeGroup Group{Loop, {"a", "b", "c"}};
  FakeRelaySystem System;
  std::vector<Caller> Callers;
  std::uint64_t NextId = 1;
};

} // namespace

TEST_CASE("Statements of an overloaded, breaking system get one answer each",
          "[relay][stress]") {
  // Sixty sessions press on three targets of twelve connections through ten
  // proxies. Targets go away, fall silent and refuse, gateways lose their way
  // or stop, callers leave: whoever is refused at once may be refused inside
  // the call that ended somebody else's statement. A link destroyed there
  // while it's in use ends the process.
  const auto Seed = GENERATE(range(1, 25));
  RandomDay Day(static_cast<std::uint64_t>(Seed));
  Day.run(700);
  Day.checkAnswers();
}

TEST_CASE("Statements get one answer each though proxies lose the processor",
          "[relay][stress][time]") {
  // Guards against decisions that read the clock more than once, while callers
  // also send ahead of their answers.
  const auto Seed = GENERATE(range(101, 117));
  RandomDay Day(static_cast<std::uint64_t>(Seed),
                {.LosesProcessor = true, .SendsAhead = Seed % 2 == 0});
  Day.run(500);
  Day.checkAnswers();
}
