/// \file
/// Timers whose end begins others.

#include "Loop/EventLoop.h"

#include <catch2/catch.hpp>

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
