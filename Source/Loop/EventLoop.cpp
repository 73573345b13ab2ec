/// \file
/// The event loop of the process, on libevent.

#include "Loop/EventLoop.h"

#include "Loop/BlockedSignals.h"

#include <algorithm>
#include <event2/event.h>
#include <utility>

namespace corianderdyke {

struct EventLoop::Timer {
  EventLoop *Owner = nullptr;
  TimerId Id = 0;
  event *Event = nullptr;
  Millis DueAt;
  std::function<void()> Action;

  ~Timer() {
    if (Event != nullptr)
      event_free(Event);
  }
};

struct EventLoop::SignalHandler {
  int Signal = 0;
  event *Event = nullptr;
  std::function<void()> Action;

  ~SignalHandler() {
    blockSignals({Signal});
    if (Event != nullptr)
      event_free(Event);
  }
};

EventLoop::EventLoop() {
  // libevent's default clock has a resolution of about 4 ms; lease checks need
  // 1 ms.
  event_config *Config = event_config_new();
  event_config_set_flag(Config, EVENT_BASE_FLAG_PRECISE_TIMER);
  Base = event_base_new_with_config(Config);
  event_config_free(Config);
}

// Deferred actions and timers may defer further actions when they run or are
// destroyed: dropping a request to a target closes its connection, which defers
// the release of the socket. All of them must be finished before the base is
// freed, because sockets refer to it.
EventLoop::~EventLoop() {
  while (!Deferred.empty() || !Timers.empty()) {
    runDeferred();
    const auto Dropped = std::exchange(Timers, {});
  }
  Signals.clear();
  event_base_free(Base);
}

Scheduler::TimerId EventLoop::after(Millis Delay,
                                    std::function<void()> Action) {
  auto NewTimer = std::make_unique<Timer>();
  NewTimer->Owner = this;
  NewTimer->Id = NextId++;
  NewTimer->DueAt = Time.now() + std::max(Delay, Millis(0));
  NewTimer->Action = std::move(Action);
  NewTimer->Event = evtimer_new(
      Base,
      [](evutil_socket_t, short, void *Argument) {
        auto *Fired = static_cast<Timer *>(Argument);
        // Removed first, because the action may cancel or add timers.
        const auto Held = Fired->Owner->Timers.extract(Fired->Id);
        Fired->Owner->TimerLatency.observe(
            std::max(Fired->Owner->Time.now() - Fired->DueAt, Millis(0)));
        Fired->Action();
      },
      NewTimer.get());
  constexpr std::int64_t MillisPerSecond = 1000;
  constexpr std::int64_t MicrosPerMilli = 1000;
  const std::int64_t DelayMillis = std::max<std::int64_t>(Delay.count(), 0);
  const timeval Interval{DelayMillis / MillisPerSecond,
                         (DelayMillis % MillisPerSecond) * MicrosPerMilli};
  evtimer_add(NewTimer->Event, &Interval);
  const TimerId Id = NewTimer->Id;
  Timers[Id] = std::move(NewTimer);
  return Id;
}

// Destroying the action may add or cancel other timers, so the timer is removed
// from the map before it is destroyed.
void EventLoop::cancel(TimerId Id) {
  const auto Cancelled = Timers.extract(Id);
}

void EventLoop::onSignal(int Signal, std::function<void()> Action) {
  auto Handler = std::make_unique<SignalHandler>();
  Handler->Signal = Signal;
  Handler->Action = std::move(Action);
  Handler->Event = evsignal_new(
      Base, Signal,
      [](evutil_socket_t, short, void *Argument) {
        static_cast<SignalHandler *>(Argument)->Action();
      },
      Handler.get());
  event_add(Handler->Event, nullptr);
  unblockSignal(Signal);
  Signals.push_back(std::move(Handler));
}

void EventLoop::defer(std::function<void()> Action) {
  Deferred.push_back(std::move(Action));
  if (Deferred.size() == 1)
    after(Millis(0), [this] { runDeferred(); });
}

void EventLoop::runDeferred() {
  for (const auto &Action : std::exchange(Deferred, {}))
    Action();
}

void EventLoop::run() { event_base_loop(Base, EVLOOP_NO_EXIT_ON_EMPTY); }

void EventLoop::stop() { event_base_loopbreak(Base); }

} // namespace corianderdyke
