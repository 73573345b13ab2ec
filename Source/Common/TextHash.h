/// \file
/// A hash of a text that is the same in all processes.

#ifndef CORIANDERDYKE_COMMON_TEXTHASH_H
#define CORIANDERDYKE_COMMON_TEXTHASH_H

#include <cstdint>
#include <string>
#include <xxhash.h>

namespace corianderdyke {

inline std::uint64_t hashText(const std::string &Text, std::uint64_t Seed = 0) {
  return XXH64(Text.data(), Text.size(), Seed);
}

} // namespace corianderdyke

#endif
