/// \file
/// Compression of long messages between the processes of the system.

#ifndef CORIANDERDYKE_COMMON_COMPRESSION_H
#define CORIANDERDYKE_COMMON_COMPRESSION_H

#include "Common/Error.h"

#include <cstddef>
#include <string>

namespace corianderdyke {

/// Messages shorter than this are not worth the time to compress. Longer ones
/// are, such as a plan with hundreds of routes, which is sent to every proxy
/// and control host, because bandwidth between failure domains is scarce.
constexpr std::size_t MinBytesToCompress = 1024;

/// \p Bytes, compressed if that is worthwhile, after a byte that states the
/// format.
std::string compressMessage(const std::string &Bytes);

/// The inverse of compressMessage(); Corrupt if \p Compressed is invalid or its
/// uncompressed length exceeds \p MaxBytes.
Expected<std::string> decompressMessage(const std::string &Compressed,
                                        std::size_t MaxBytes);

} // namespace corianderdyke

#endif
