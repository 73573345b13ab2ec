/// \file
/// Timers whose destruction starts other timers, and timers that run late.

#include "Loop/EventLoop.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace corianderdyke;

namespace {

/// Starts a timer in its destructor.
class StartsTimerOnDestroy {
public:
  StartsTimerOnDestroy(EventLoop &Loop, std::function<void()> Action)
      : Loop(Loop), Action(std::move(Action)) {}
  ~StartsTimerOnDestroy() { Loop.after(Millis(0), Action); }
  StartsTimerOnDestroy(const StartsTimerOnDestroy &) = delete;
  StartsTimerOnDestroy &operator=(const StartsTimerOnDestroy &) = delete;

private:
  EventLoop &Loop;
  std::function<void()> Action;
};

} // namespace

TEST_CASE("Destroying the only timer may start another one", "[loop]") {
  // Guards against a timer list that is modified while it is cleared: a timer
  // that is lost from the list crashes the process when it fires.
  EventLoop Loop;
  bool HasRun = false;
  auto Held = std::make_shared<StartsTimerOnDestroy>(Loop, [&] {
    HasRun = true;
    Loop.stop();
  });
  const auto Id = Loop.after(Millis(10000), [Held = std::move(Held)] {});
  Loop.cancel(Id);
  Loop.run();
  CHECK(HasRun);
}

TEST_CASE("Destroying the timers of a destroyed loop may start others",
          "[loop]") {
  // Guards against timers, and objects that they own, that outlive the loop.
  bool IsDropped = false;
  {
    EventLoop Loop;
    std::shared_ptr<void> Last(nullptr, [&](void *) { IsDropped = true; });
    auto Held = std::make_shared<StartsTimerOnDestroy>(Loop, [Last] {});
    Last.reset();
    Loop.after(Millis(10000), [Held = std::move(Held)] {});
  }
  CHECK(IsDropped);
}

TEST_CASE("A timer that another one delays is counted as late", "[loop]") {
  // Guards against a process that cannot detect that its timers run late.
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
