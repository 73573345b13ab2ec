/// \file
/// Timers of the one loop.

#ifndef CORIANDERDYKE_LOOP_SCHEDULER_H
#define CORIANDERDYKE_LOOP_SCHEDULER_H

#include "Common/Millis.h"

#include <cstdint>
#include <functional>

namespace corianderdyke {

/// Runs functions later, on the thread of the loop.
class Scheduler {
public:
  using TimerId = std::uint64_t;

  virtual ~Scheduler() = default;

  /// Runs \p Action once, \p Delay from now. The id is never 0.
  virtual TimerId after(Millis Delay, std::function<void()> Action) = 0;

  /// Takes a timer back; one that ran already is ignored.
  virtual void cancel(TimerId Id) = 0;
};

} // namespace corianderdyke

#endif
