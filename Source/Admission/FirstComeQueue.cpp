/// \file
/// The plain queue: first come, first served. A baseline for measurements.

#include "Admission/FirstComeQueue.h"

#include <algorithm>

namespace corianderdyke {

void FirstComeQueue::push(QueuedRequest Request) {
  Requests.push_back(std::move(Request));
}

std::optional<QueuedRequest> FirstComeQueue::pop(const Fits &CanRun) {
  const auto Found = std::find_if(Requests.begin(), Requests.end(), CanRun);
  if (Found == Requests.end())
    return std::nullopt;
  QueuedRequest Out = std::move(*Found);
  Requests.erase(Found);
  return Out;
}

void FirstComeQueue::finished(const QueuedRequest &, double) {}

std::optional<QueuedRequest> FirstComeQueue::remove(std::uint64_t Id) {
  return pop([Id](const QueuedRequest &Each) { return Each.Id == Id; });
}

std::optional<std::uint64_t>
FirstComeQueue::displacedBy(const std::string &) const {
  return std::nullopt;
}

double FirstComeQueue::costAhead(const std::string &,
                                 const std::string &) const {
  double Sum = 0;
  for (const QueuedRequest &Each : Requests)
    Sum += Each.Cost;
  return Sum;
}

double FirstComeQueue::portion(const std::string &) const { return 1; }

std::vector<QueueDiscipline::Ahead> FirstComeQueue::waiting() const {
  std::vector<Ahead> Out;
  double Sum = 0;
  for (const QueuedRequest &Each : Requests) {
    Out.push_back({Each, Sum});
    Sum += Each.Cost;
  }
  return Out;
}

} // namespace corianderdyke
