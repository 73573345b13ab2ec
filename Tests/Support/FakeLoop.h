/// \file
/// Virtual time for tests: a scheduler that the test advances, and hosts that
/// can be frozen or killed and whose clocks can drift.

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

/// Runs actions in order of time, then of scheduling.
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

  /// Drops all pending actions. To be called while the objects that they refer
  /// to still exist.
  void clear() {
    const auto Dropped = std::exchange(Actions, {});
    (void)Dropped;
  }

  /// Runs all actions due at or before \p Until.
  void runUntil(Millis Until) {
    while (!Actions.empty() && Actions.begin()->first.first <= Until)
      runNext();
    Time = std::max(Time, Until);
  }

  void runFor(Millis Span) { runUntil(Time + Span); }

  /// Runs until \p Condition holds; false if it does not within \p Timeout.
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

/// Returns a generator of the time that a process loses at each clock reading,
/// deterministic for a seed: about one of \p Among readings takes 30 ms, and
/// one in twenty takes 1 ms. Copies share one sequence.
inline std::function<Millis()> randomPauses(std::uint64_t Seed,
                                            std::uint64_t Among) {
  return [Random = std::make_shared<std::mt19937_64>(Seed), Among] {
    const std::uint64_t Draw = (*Random)() % Among;
    return Millis(Draw == 0 ? 30 : Draw < Among / 20 ? 1 : 0);
  };
}

/// Clock and timers of one host. A frozen host runs nothing until it is thawed;
/// its clock advances meanwhile, as CLOCK_BOOTTIME does.
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

  /// Runs an action on this host: immediately, after the thaw if it is frozen,
  /// or not at all if it was killed.
  void run(const std::function<void()> &Action) {
    if (IsDead)
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
  /// Ends the process permanently; a restart is another FakeHost.
  void kill() {
    IsDead = true;
    for (const auto &[Id, Key] : Timers)
      Loop.cancel(Key);
    Timers.clear();
    Delayed.clear();
    for (const auto &Each : std::exchange(KillHandlers, {}))
      Each();
  }
  /// Registers an action for when the process is killed, such as closing its
  /// sockets.
  void onKill(std::function<void()> Action) {
    KillHandlers.push_back(std::move(Action));
  }
  bool isKilled() const { return IsDead; }
  bool isFrozen() const { return Frozen; }

  /// Returns the time that passes at a clock reading: a process may be
  /// preempted between any two. No time passes if it is empty.
  std::function<Millis()> OnClockRead;
  std::int64_t DriftPpm = 0;
  Millis WallOffset = Millis(1700000000000);

private:
  FakeLoop &Loop;
  std::string Name;
  bool Frozen = false;
  bool IsDead = false;
  mutable Millis Passed; ///< In clock readings, in total.
  TimerId NextId = 1;
  std::map<TimerId, FakeLoop::Id> Timers;
  std::vector<std::function<void()>> Delayed;
  std::vector<std::function<void()>> KillHandlers;
};

} // namespace corianderdyke

#endif
