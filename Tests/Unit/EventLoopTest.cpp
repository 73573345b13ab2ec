/// \file
/// Timers whose end begins others, and those that run late.

#include "Loop/EventLoop.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace corianderdyke;

namespace {

/// Begins a timer as it's destroyed.
class BeginsTimer {
public:
  BeginsTimer(EventLoop &Loop, std::function<void()> Action)
      : Loop(Loop), Action(std::move(Action)) {}
  ~BeginsTimer() { Loop.after(Millis(0), Action); }
  BeginsTimer(const BeginsTimer &) = delete;
  BeginsTimer &operator=(const BeginsTimer &) = delete;

private:
  EventLoop &Loop;
  std::function<void()> Action;
};

} // namespace

TEST_CASE("The end of the only timer may begin another one", "[loop]") {
  // Guards against a list of timers that changes while it's emptied: a timer
  // that was lost from it ends the process when it fires.
  EventLoop Loop;
  bool HasRun = false;
  auto Held = std::make_shared<BeginsTimer>(Loop, [&] {
    HasRun = true;
    Loop.stop();
  });
  const auto Id = Loop.after(Millis(10000), [Held = std::move(Held)] {});
  Loop.cancel(Id);
  Loop.run();
  CHECK(HasRun);
}

TEST_CASE("Timers that are left with the loop may begin others", "[loop]") {
  // Guards against timers, and what they hold, that outlive the loop.
  bool IsDropped = false;
  {
    EventLoop Loop;
    std::shared_ptr<void> Last(nullptr, [&](void *) { IsDropped = true; });
    auto Held = std::make_shared<BeginsTimer>(Loop, [Last] {});
    Last.reset();
    Loop.after(Millis(10000), [Held = std::move(Held)] {});
  }
  CHECK(IsDropped);
}

TEST_CASE("A timer that another one holds up is counted as late", "[loop]") {
  // Guards against a process that can't tell that its timers run late.
  EventLoop Loop;
  Loop.after(Millis(1), [] {
    std::this_thread::sleep_for(std::chrono::milliseconds(120));
  });
  Loop.after(Millis(5), [&Loop] { Loop.stop(); });
  Loop.run();
  const DurationHistogram &Delays = Loop.timerLatency();
  CHECK(Delays.total() == 2);
  CHECK(Delays.sum() >= Millis(100));
}
