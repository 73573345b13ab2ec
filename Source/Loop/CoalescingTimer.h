/// \file
/// A timer that combines requests with different delays.

#ifndef CORIANDERDYKE_LOOP_COALESCINGTIMER_H
#define CORIANDERDYKE_LOOP_COALESCINGTIMER_H

#include "Common/Clock.h"
#include "Loop/Scheduler.h"

#include <utility>

namespace corianderdyke {

/// Fires once, at the earliest time requested since it last fired. Each firing
/// wakes the process, which costs a small host about as much as a statement
/// does, so callers request the longest delay that they can accept.
class CoalescingTimer {
public:
  CoalescingTimer(Clock &Time, Scheduler &Timers, std::function<void()> Action)
      : Time(Time), Timers(Timers), Action(std::move(Action)) {}
  ~CoalescingTimer() {
    if (PendingId != 0)
      Timers.cancel(PendingId);
  }
  CoalescingTimer(const CoalescingTimer &) = delete;
  CoalescingTimer &operator=(const CoalescingTimer &) = delete;

  void requestWithin(Millis Delay) {
    const Millis RequestedAt = Time.now() + Delay;
    if (PendingId != 0 && DueAt <= RequestedAt)
      return;
    if (PendingId != 0)
      Timers.cancel(PendingId);
    DueAt = RequestedAt;
    PendingId = Timers.after(Delay, [this] {
      PendingId = 0;
      Action();
    });
  }

private:
  Clock &Time;
  Scheduler &Timers;
  std::function<void()> Action;
  Scheduler::TimerId PendingId = 0; ///< 0 while no timer is set.
  Millis DueAt;                     ///< When the timer fires.
};

} // namespace corianderdyke

#endif
