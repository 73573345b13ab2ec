/// \file
/// Virtual time of an experiment.

#ifndef CORIANDERDYKE_UTILITIES_EXPERIMENT_EVENTQUEUE_H
#define CORIANDERDYKE_UTILITIES_EXPERIMENT_EVENTQUEUE_H

#include "Scenario.h"

#include <functional>
#include <queue>

namespace corianderdyke {

/// Runs actions by time; actions with equal times run in the order in which
/// they were scheduled.
class EventQueue {
public:
  Micros now() const { return Time; }
  /// The time in the unit of the modules under test.
  Millis millis() const { return Millis(Time / 1000); }

  void after(Micros Delay, std::function<void()> Action) {
    Events.push({Time + Delay, NextId++, std::move(Action)});
  }

  void runUntil(Micros Until) {
    while (!Events.empty() && Events.top().At <= Until) {
      const Event Next = Events.top();
      Events.pop();
      Time = Next.At;
      Next.Action();
    }
    Time = Until;
  }

private:
  struct Event {
    Micros At = 0;
    std::uint64_t Id = 0;
    std::function<void()> Action;

    bool operator<(const Event &Other) const {
      return At != Other.At ? At > Other.At : Id > Other.Id;
    }
  };

  Micros Time = 0;
  std::uint64_t NextId = 0;
  std::priority_queue<Event> Events;
};

} // namespace corianderdyke

#endif
