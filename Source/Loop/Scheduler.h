/// \file
/// Interface of the timers of the event loop.

#ifndef CORIANDERDYKE_LOOP_SCHEDULER_H
#define CORIANDERDYKE_LOOP_SCHEDULER_H

#include "Common/Millis.h"

#include <cstdint>
#include <functional>

namespace corianderdyke {

/// Runs functions after a delay, on the thread of the event loop.
class Scheduler {
public:
  using TimerId = std::uint64_t;

  virtual ~Scheduler() = default;

  /// Runs \p Action once, \p Delay from now. The id is never 0.
  virtual TimerId after(Millis Delay, std::function<void()> Action) = 0;

  /// Cancels a timer; has no effect if it has already run.
  virtual void cancel(TimerId Id) = 0;
};

} // namespace corianderdyke

#endif
