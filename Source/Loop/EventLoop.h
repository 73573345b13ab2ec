/// \file
/// The event loop of the process, on libevent.

#ifndef CORIANDERDYKE_LOOP_EVENTLOOP_H
#define CORIANDERDYKE_LOOP_EVENTLOOP_H

#include "Common/DurationHistogram.h"
#include "Common/SystemClock.h"
#include "Loop/Scheduler.h"

#include <map>
#include <memory>
#include <vector>

struct event;
struct event_base;

namespace corianderdyke {

/// Owns the event base, the timers and the signal handlers.
class EventLoop final : public Scheduler {
public:
  EventLoop();
  ~EventLoop() override;
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  TimerId after(Millis Delay, std::function<void()> Action) override;
  void cancel(TimerId Id) override;

  /// Runs \p Action each time the process receives \p Signal, also if the
  /// signal was pending before. The signal is blocked again when the loop is
  /// destroyed: the process then ends in any case, and must not end by the
  /// signal.
  void onSignal(int Signal, std::function<void()> Action);

  /// Runs \p Action once the current callback has returned, or at the latest
  /// when the loop is destroyed. Used to free objects that are still in use on
  /// the call stack.
  void defer(std::function<void()> Action);

  /// Runs until stop().
  void run();
  void stop();

  event_base *base() const { return Base; }
  /// How late timers ran, because of other callbacks, the load of the host or
  /// its suspension.
  const DurationHistogram &timerLatency() const { return TimerLatency; }

private:
  struct Timer;
  struct SignalHandler;

  void runDeferred();

  SystemClock Time;
  event_base *Base;
  TimerId NextId = 1;
  std::map<TimerId, std::unique_ptr<Timer>> Timers;
  DurationHistogram TimerLatency;
  std::vector<std::unique_ptr<SignalHandler>> Signals;
  std::vector<std::function<void()>> Deferred;
};

} // namespace corianderdyke

#endif
