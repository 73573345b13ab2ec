/// \file
/// Shrinks long messages between the system's own processes.

#ifndef CORIANDERDYKE_COMMON_COMPRESSION_H
#define CORIANDERDYKE_COMMON_COMPRESSION_H

#include "Common/Error.h"

#include <cstddef>
#include <string>

namespace corianderdyke {

/// A plan with hundreds of routes goes to every proxy and control host; bytes
/// between failure domains are scarce. Shorter messages aren't worth the time.
constexpr std::size_t MinBytesToCompress = 1024;

/// \p Bytes in a form that says whether they were compressed.
std::string compressMessage(const std::string &Bytes);

/// What compressMessage() was given; Corrupt where \p Packed isn't a whole
/// packing of at most \p MaxBytes.
Expected<std::string> decompressMessage(const std::string &Packed,
                                        std::size_t MaxBytes);

} // namespace corianderdyke

#endif
