/// \file
/// One timer that many ask for, each with its own bound.

#ifndef CORIANDERDYKE_LOOP_COALESCINGTIMER_H
#define CORIANDERDYKE_LOOP_COALESCINGTIMER_H

#include "Common/Clock.h"
#include "Loop/Scheduler.h"

#include <utility>

namespace corianderdyke {

/// Fires once, at the earliest time that was asked for since it fired last.
/// Each firing wakes the process, which costs a small host about as much as a
/// statement does, so nobody asks for more than it needs.
class CoalescingTimer {
public:
  CoalescingTimer(Clock &Time, Scheduler &Timers, std::function<void()> Action)
      : Time(Time), Timers(Timers), Action(std::move(Action)) {}
  ~CoalescingTimer() {
    if (Pending != 0)
      Timers.cancel(Pending);
  }
  CoalescingTimer(const CoalescingTimer &) = delete;
  CoalescingTimer &operator=(const CoalescingTimer &) = delete;

  void requestWithin(Millis Delay) {
    const Millis Wanted = Time.now() + Delay;
    if (Pending != 0 && At <= Wanted)
      return;
    if (Pending != 0)
      Timers.cancel(Pending);
    At = Wanted;
    Pending = Timers.after(Delay, [this] {
      Pending = 0;
      Action();
    });
  }

private:
  Clock &Time;
  Scheduler &Timers;
  std::function<void()> Action;
  Scheduler::TimerId Pending = 0; ///< 0 while none is set.
  Millis At;                      ///< When it fires.
};

} // namespace corianderdyke

#endif
