/// \file
/// Computes costs at the size that the product is built for from the measured
/// slopes, for the current and for the planned mechanisms.

#ifndef CORIANDERDYKE_UTILITIES_CAPACITY_TARGETSIZE_H
#define CORIANDERDYKE_UTILITIES_CAPACITY_TARGETSIZE_H

#include "Measurements.h"

namespace corianderdyke {

/// The size and the budgets that the requirements state for about two years
/// ahead.
namespace target_size {
constexpr double Nodes = 1400;
constexpr double Databases = 2600;
constexpr double Connections = 3e6;
constexpr double StatementsPerSecond = 2.3e6;
constexpr double PrimaryChangesPerDay = 5;
constexpr double ManifestChangesPerDay = 1400;
constexpr double RestartsPerDay = 320;
constexpr double HostFailuresPerDay = 6;
constexpr double ControlHosts = 12;
constexpr double CorePercent = 1.1;
constexpr double MemoryMegabytes = 32;
constexpr double KilobytesPerSecond = 3;
} // namespace target_size

/// One line of the page: a cost of a role and its formula.
struct CapacityLine {
  std::string Role;
  std::string What;
  std::string Formula;
  std::string Unit;
  double Budget = 0; ///< 0 where the requirements set none.
  double Today = 0;
  double Planned = 0;
  std::string Mechanism; ///< Mechanism behind the planned figure.
};

std::vector<CapacityLine> capacityLines(const Slopes &Measured);

} // namespace corianderdyke

#endif
