/// \file
/// Each organisation has a fixed part of the connections.

#include "Admission/StaticSplitQueue.h"

#include <algorithm>

namespace corianderdyke {

std::optional<QueuedRequest>
StaticSplitQueue::pop(const RunnablePredicate &CanRun) {
  auto Out = Inner.pop([&](const QueuedRequest &Each) {
    const double Part =
        Portion(Each.Organisation) * static_cast<double>(Connections);
    const auto Most = std::max<std::size_t>(static_cast<std::size_t>(Part), 1);
    return Running[Each.Organisation] < Most && CanRun(Each);
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
