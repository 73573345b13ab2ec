/// \file
/// Model of a target: its slots, its connections and the cost of opening a
/// connection.

#ifndef CORIANDERDYKE_UTILITIES_EXPERIMENT_MODELTARGET_H
#define CORIANDERDYKE_UTILITIES_EXPERIMENT_MODELTARGET_H

#include "EventQueue.h"

#include <algorithm>
#include <deque>

namespace corianderdyke {

class ModelTarget {
public:
  ModelTarget(EventQueue &Time, const Deployment &Sizes)
      : Time(Time), Sizes(Sizes) {}

  /// Opens a connection; \p OnOpen runs when the proxy has received the
  /// confirmation.
  void connect(std::function<void()> OnOpen) {
    ++Open;
    MostOpen = std::max(MostOpen, Open);
    Time.after(Sizes.ConnectCost + 2 * Sizes.TargetHop, std::move(OnOpen));
  }
  void disconnect(std::uint32_t Number) { Open -= Number; }

  /// Runs a statement in the next free slot. Waiting statements run in order
  /// of arrival.
  void execute(Micros Service, std::function<void()> OnDone) {
    Time.after(Sizes.TargetHop,
               [this, Service, OnDone = std::move(OnDone)]() mutable {
                 Waiting.push_back({Service, std::move(OnDone)});
                 startNext();
               });
  }

  void slowDown(std::uint32_t NewFactor) { Factor = NewFactor; }
  std::uint32_t mostOpen() const { return MostOpen; }

private:
  struct Work {
    Micros Service = 0;
    std::function<void()> OnDone;
  };

  void startNext() {
    if (Running >= Sizes.Slots || Waiting.empty())
      return;
    ++Running;
    Work Next = std::move(Waiting.front());
    Waiting.pop_front();
    Time.after(Next.Service * Factor, [this, OnDone = std::move(Next.OnDone)] {
      --Running;
      Time.after(Sizes.TargetHop, OnDone);
      startNext();
    });
  }

  EventQueue &Time;
  const Deployment &Sizes;
  std::deque<Work> Waiting;
  std::uint32_t Running = 0;
  std::uint32_t Open = 0;
  std::uint32_t MostOpen = 0;
  std::uint32_t Factor = 1;
};

} // namespace corianderdyke

#endif
