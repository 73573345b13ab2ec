/// \file
/// Estimates how long statements of each kind hold a connection.

#ifndef CORIANDERDYKE_ADMISSION_HOLDTIMEESTIMATE_H
#define CORIANDERDYKE_ADMISSION_HOLDTIMEESTIMATE_H

#include <map>
#include <string>

namespace corianderdyke {

/// An exponential moving average with a gain of 1/8, as in TCP's round-trip
/// time estimate: an error halves within about five statements, and a single
/// outlier moves the average by an eighth of its deviation.
class HoldTimeEstimate {
public:
  /// Milliseconds assumed for a kind before its first statement has ended.
  static constexpr double InitialHoldTime = 5;

  double holdTime(const std::string &Kind) const {
    const auto Found = Means.find(Kind);
    return Found == Means.end() ? InitialHoldTime : Found->second;
  }

  void observe(const std::string &Kind, double Spent) {
    const auto [At, IsFirst] = Means.try_emplace(Kind, Spent);
    if (!IsFirst)
      At->second += (Spent - At->second) * Gain;
  }

private:
  static constexpr double Gain = 0.125;

  std::map<std::string, double> Means;
};

} // namespace corianderdyke

#endif
