/// \file
/// Numbers that no two lives of a process share.

#ifndef CORIANDERDYKE_COMMON_RANDOMNUMBER_H
#define CORIANDERDYKE_COMMON_RANDOMNUMBER_H

#include <cstdint>
#include <random>

namespace corianderdyke {

/// A number from the machine's own source, for incarnations, names of disks
/// and seeds.
inline std::uint64_t randomNumber() {
  std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32U) | Device();
}

} // namespace corianderdyke

#endif
