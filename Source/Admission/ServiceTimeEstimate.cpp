/// \file
/// Estimates the service time of statements without their wait at the target.

#include "Admission/ServiceTimeEstimate.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// The same gain as in HoldTimeEstimate.
constexpr double Gain = 0.125;

} // namespace

void ServiceTimeEstimate::observe(const FlowKey &Key, double Spent) {
  FlowSamples &Samples = Flows[Key];
  Samples.Mean =
      Samples.Count == 0 ? Spent : Samples.Mean + (Spent - Samples.Mean) * Gain;
  Samples.Latest[Samples.Count % WindowSize] = Spent;
  ++Samples.Count;
}

double ServiceTimeEstimate::FlowSamples::minimum() const {
  const auto End =
      Latest.begin() + static_cast<std::ptrdiff_t>(std::min(Count, WindowSize));
  return *std::min_element(Latest.begin(), End);
}

std::optional<double>
ServiceTimeEstimate::serviceTime(const FlowKey &Key) const {
  const auto Found = Flows.find(Key);
  if (Found == Flows.end())
    return std::nullopt;
  const auto Shortest = std::min_element(Flows.begin(), Flows.end(),
                                         [](const auto &A, const auto &B) {
                                           return A.second.Mean < B.second.Mean;
                                         });
  return Found->second.Mean - Shortest->second.Mean +
         Shortest->second.minimum();
}

} // namespace corianderdyke
