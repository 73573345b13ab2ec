/// \file
/// First-come, first-served queue, used as a baseline for measurements.

#include "Admission/FifoQueue.h"

#include <algorithm>

namespace corianderdyke {

void FifoQueue::push(QueuedRequest Request) {
  Requests.push_back(std::move(Request));
}

std::optional<QueuedRequest> FifoQueue::pop(const RunnablePredicate &CanRun) {
  const auto Found = std::find_if(Requests.begin(), Requests.end(), CanRun);
  if (Found == Requests.end())
    return std::nullopt;
  QueuedRequest Out = std::move(*Found);
  Requests.erase(Found);
  return Out;
}

void FifoQueue::complete(const QueuedRequest &, double) {}

std::optional<QueuedRequest> FifoQueue::remove(std::uint64_t Id) {
  return pop([Id](const QueuedRequest &Each) { return Each.Id == Id; });
}

std::optional<std::uint64_t>
FifoQueue::displacementVictim(const std::string &) const {
  return std::nullopt;
}

double FifoQueue::costAhead(const std::string &, const std::string &) const {
  double Sum = 0;
  for (const QueuedRequest &Each : Requests)
    Sum += Each.Cost;
  return Sum;
}

double FifoQueue::expectedShare(const std::string &) const { return 1; }

std::vector<QueueDiscipline::WaitingRequest> FifoQueue::waiting() const {
  std::vector<WaitingRequest> Out;
  double Sum = 0;
  for (const QueuedRequest &Each : Requests) {
    Out.push_back({Each, Sum});
    Sum += Each.Cost;
  }
  return Out;
}

} // namespace corianderdyke
