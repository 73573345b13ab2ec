/// \file
/// What the measured slopes come to at the size that the product is built
/// for, with the mechanisms of today and with those to come.

#ifndef CORIANDERDYKE_UTILITIES_CAPACITY_TARGETSIZE_H
#define CORIANDERDYKE_UTILITIES_CAPACITY_TARGETSIZE_H

#include "Measurements.h"

namespace corianderdyke {

/// The size about two years off, as the users' first letter states it.
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

/// One line of the page: a cost of a role and how it was worked out.
struct CapacityLine {
  std::string Role;
  std::string What;
  std::string Formula;
  std::string Unit;
  double Budget = 0; ///< 0 where the letter sets none.
  double Today = 0;
  double Planned = 0;
  std::string Mechanism; ///< What the planned figure rests on.
};

std::vector<CapacityLine> capacityLines(const Slopes &Measured);

} // namespace corianderdyke

#endif
