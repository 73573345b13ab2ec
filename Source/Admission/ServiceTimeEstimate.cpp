/// \file
/// What statements cost a target, told apart from how long they wait in it.

#include "Admission/ServiceTimeEstimate.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// As in HoldTimeEstimate.
constexpr double Gain = 0.125;

} // namespace

void ServiceTimeEstimate::observe(const FlowKey &Of, double Spent) {
  FlowSamples &To = Flows[Of];
  To.Mean = To.Count == 0 ? Spent : To.Mean + (Spent - To.Mean) * Gain;
  To.Latest[To.Count % WindowSize] = Spent;
  ++To.Count;
}

double ServiceTimeEstimate::FlowSamples::least() const {
  const auto End =
      Latest.begin() + static_cast<std::ptrdiff_t>(std::min(Count, WindowSize));
  return *std::min_element(Latest.begin(), End);
}

std::optional<double>
ServiceTimeEstimate::serviceTime(const FlowKey &Which) const {
  const auto Found = Flows.find(Which);
  if (Found == Flows.end())
    return std::nullopt;
  const auto Shortest = std::min_element(Flows.begin(), Flows.end(),
                                         [](const auto &A, const auto &B) {
                                           return A.second.Mean < B.second.Mean;
                                         });
  return Found->second.Mean - Shortest->second.Mean + Shortest->second.least();
}

} // namespace corianderdyke
