/// \file
/// Virtual time for tests: a scheduler that runs only when told to, and hosts
/// on it that can be frozen or killed and whose clocks can run wrong.

#ifndef CORIANDERDYKE_TESTS_SUPPORT_FAKELOOP_H
#define CORIANDERDYKE_TESTS_SUPPORT_FAKELOOP_H

#include "Common/Clock.h"
#include "Loop/Scheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace corianderdyke {

/// Runs actions in the order of their times, then of their making.
class FakeLoop {
public:
  using Id = std::pair<Millis, std::uint64_t>;

  Millis now() const { return Time; }

  Id at(Millis When, std::function<void()> Action) {
    const Id Key{std::max(When, Time), NextId++};
    Actions[Key] = std::move(Action);
    return Key;
  }

  void cancel(const Id &Key) { Actions.erase(Key); }

  /// Drops what is still to run, while what it refers to is there.
  void clear() {
    const auto Dropped = std::exchange(Actions, {});
    (void)Dropped;
  }

  /// Runs everything up to and at \p Until.
  void runUntil(Millis Until) {
    while (!Actions.empty() && Actions.begin()->first.first <= Until)
      runNext();
    Time = std::max(Time, Until);
  }

  void runFor(Millis Span) { runUntil(Time + Span); }

  /// Runs until the condition holds; false where it didn't within \p Timeout.
  bool runUntilTrue(const std::function<bool()> &Condition, Millis Timeout) {
    const Millis Last = Time + Timeout;
    while (!Condition()) {
      if (Actions.empty() || Actions.begin()->first.first > Last)
        return false;
      runNext();
    }
    return true;
  }

private:
  void runNext() {
    auto Next = Actions.extract(Actions.begin());
    Time = Next.key().first;
    Next.mapped()();
  }

  Millis Time = Millis(1000);
  std::uint64_t NextId = 1;
  std::map<Id, std::function<void()>> Actions;
};

/// Time that a process loses at readings of its clock, the same for a seed: of
/// \p Among readings about one takes 30 ms, and one in twenty a millisecond.
/// Copies draw from one sequence.
inline std::function<Millis()> randomPauses(std::uint64_t Seed,
                                            std::uint64_t Among) {
  return [Random = std::make_shared<std::mt19937_64>(Seed), Among] {
    const std::uint64_t Draw = (*Random)() % Among;
    return Millis(Draw == 0 ? 30 : Draw < Among / 20 ? 1 : 0);
  };
}

/// One host: its clock and its timers. A frozen host runs nothing until it's
/// thawed, and its clock goes on meanwhile, as CLOCK_BOOTTIME does.
class FakeHost final : public Clock, public Scheduler {
public:
  FakeHost(FakeLoop &Loop, std::string Name)
      : Loop(Loop), Name(std::move(Name)) {}

  const std::string &name() const { return Name; }
  FakeLoop &loop() { return Loop; }

  Millis now() const override {
    constexpr std::int64_t Million = 1000000;
    const std::int64_t True = Loop.now().count();
    if (OnClockRead)
      Passed += OnClockRead();
    return Millis(True + True * DriftPpm / Million) + Passed;
  }
  Millis wallTime() const override { return now() + WallOffset; }

  TimerId after(Millis Delay, std::function<void()> Action) override {
    const TimerId Id = NextId++;
    Timers[Id] = Loop.at(Loop.now() + Delay, [this, Id, Action] {
      Timers.erase(Id);
      run(Action);
    });
    return Id;
  }

  void cancel(TimerId Id) override {
    const auto Found = Timers.find(Id);
    if (Found == Timers.end())
      return;
    Loop.cancel(Found->second);
    Timers.erase(Found);
  }

  /// Runs an action as this host: now, after the thaw, or never.
  void run(const std::function<void()> &Action) {
    if (Dead)
      return;
    if (Frozen)
      Delayed.push_back(Action);
    else
      Action();
  }

  void freeze() { Frozen = true; }
  void thaw() {
    Frozen = false;
    for (const auto &Each : std::exchange(Delayed, {}))
      run(Each);
  }
  /// Ends the process for good; its successor is another FakeHost.
  void kill() {
    Dead = true;
    for (const auto &[Id, Key] : Timers)
      Loop.cancel(Key);
    Timers.clear();
    Delayed.clear();
    for (const auto &Each : std::exchange(AtDeath, {}))
      Each();
  }
  /// Runs an action when the process dies, such as closing its sockets.
  void onKill(std::function<void()> Action) {
    AtDeath.push_back(std::move(Action));
  }
  bool isKilled() const { return Dead; }
  bool isFrozen() const { return Frozen; }

  /// How much time passes at each reading of the clock: a process may lose the
  /// processor between any two. Empty: none.
  std::function<Millis()> OnClockRead;
  std::int64_t DriftPpm = 0;
  Millis WallOffset = Millis(1700000000000);

private:
  FakeLoop &Loop;
  std::string Name;
  bool Frozen = false;
  bool Dead = false;
  mutable Millis Passed; ///< At readings.
  TimerId NextId = 1;
  std::map<TimerId, FakeLoop::Id> Timers;
  std::vector<std::function<void()>> Delayed;
  std::vector<std::function<void()>> AtDeath;
};

} // namespace corianderdyke

#endif
