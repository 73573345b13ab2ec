/// \file
/// Queue that gives each organisation a fixed part of the connections.

#include "Admission/StaticSplitQueue.h"

#include <algorithm>

namespace corianderdyke {

std::optional<QueuedRequest>
StaticSplitQueue::pop(const RunnablePredicate &CanRun) {
  auto Out = Inner.pop([&](const QueuedRequest &Each) {
    const double Allotment =
        Portion(Each.Organisation) * static_cast<double>(Connections);
    const auto MaxRunning =
        std::max<std::size_t>(static_cast<std::size_t>(Allotment), 1);
    return Running[Each.Organisation] < MaxRunning && CanRun(Each);
  });
  if (Out)
    ++Running[Out->Organisation];
  return Out;
}

void StaticSplitQueue::complete(const QueuedRequest &Request, double Spent) {
  --Running[Request.Organisation];
  Inner.complete(Request, Spent);
}

} // namespace corianderdyke
