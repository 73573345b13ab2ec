/// \file
/// Random numbers that differ between the incarnations of a process.

#ifndef CORIANDERDYKE_COMMON_RANDOMNUMBER_H
#define CORIANDERDYKE_COMMON_RANDOMNUMBER_H

#include <cstdint>
#include <random>

namespace corianderdyke {

/// A number from the random device of the host, for incarnations, disk
/// identifiers and seeds.
inline std::uint64_t randomNumber() {
  std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32U) | Device();
}

} // namespace corianderdyke

#endif
