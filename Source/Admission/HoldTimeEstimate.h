/// \file
/// How long statements of each kind hold a connection.

#ifndef CORIANDERDYKE_ADMISSION_HOLDTIMEESTIMATE_H
#define CORIANDERDYKE_ADMISSION_HOLDTIMEESTIMATE_H

#include <map>
#include <string>

namespace corianderdyke {

/// A moving mean with a gain of 1/8, which round-trip estimates use since
/// TCP: it halves an old error in five statements and a single outlier moves
/// it by an eighth.
class HoldTimeEstimate {
public:
  /// What a kind costs before any of it was seen.
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
