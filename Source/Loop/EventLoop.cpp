/// \file
/// The one loop of a process, on libevent.

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
  // libevent's default clock is coarse, to about 4 ms; a lease check needs
  // the millisecond.
  event_config *Config = event_config_new();
  event_config_set_flag(Config, EVENT_BASE_FLAG_PRECISE_TIMER);
  Base = event_base_new_with_config(Config);
  event_config_free(Config);
}

// What is put off may put off more: letting go of a question to a target ends
// its link, which frees its socket later. That must be over before the base is
// freed, which sockets still refer to.
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
  auto Made = std::make_unique<Timer>();
  Made->Owner = this;
  Made->Id = NextId++;
  Made->DueAt = Time.now() + std::max(Delay, Millis(0));
  Made->Action = std::move(Action);
  Made->Event = evtimer_new(
      Base,
      [](evutil_socket_t, short, void *Argument) {
        auto *Fired = static_cast<Timer *>(Argument);
        // The action may cancel or add timers: take it out first.
        const auto Held = Fired->Owner->Timers.extract(Fired->Id);
        Fired->Owner->TimerDelays.observe(
            std::max(Fired->Owner->Time.now() - Fired->DueAt, Millis(0)));
        Fired->Action();
      },
      Made.get());
  constexpr std::int64_t MillisPerSecond = 1000;
  constexpr std::int64_t MicrosPerMilli = 1000;
  const std::int64_t Count = std::max<std::int64_t>(Delay.count(), 0);
  const timeval Time{Count / MillisPerSecond,
                     (Count % MillisPerSecond) * MicrosPerMilli};
  evtimer_add(Made->Event, &Time);
  const TimerId Id = Made->Id;
  Timers[Id] = std::move(Made);
  return Id;
}

// What the timer holds may begin or cancel others as it's destroyed: that must
// happen outside the list.
void EventLoop::cancel(TimerId Id) { const auto Ended = Timers.extract(Id); }

void EventLoop::onSignal(int Signal, std::function<void()> Action) {
  auto Made = std::make_unique<SignalHandler>();
  Made->Signal = Signal;
  Made->Action = std::move(Action);
  Made->Event = evsignal_new(
      Base, Signal,
      [](evutil_socket_t, short, void *Argument) {
        static_cast<SignalHandler *>(Argument)->Action();
      },
      Made.get());
  event_add(Made->Event, nullptr);
  unblockSignal(Signal);
  Signals.push_back(std::move(Made));
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
