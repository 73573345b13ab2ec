/// \file
/// Digests, message authentication codes and Base64, through OpenSSL.

#ifndef CORIANDERDYKE_COMMON_CRYPTOGRAPHY_H
#define CORIANDERDYKE_COMMON_CRYPTOGRAPHY_H

#include "Common/Error.h"

#include <string>

namespace corianderdyke {

/// Length of a truncated HMAC in bytes.
constexpr std::size_t TruncatedHmacBytes = 16;

/// HMAC-SHA-256 of \p Bytes, truncated to TruncatedHmacBytes.
std::string truncatedHmac(const std::string &Key, const std::string &Bytes);

/// Compares two digests in a time that does not depend on where they differ.
bool equalsInConstantTime(const std::string &Left, const std::string &Right);

/// SHA-256 of \p Bytes in hexadecimal.
std::string sha256Hex(const std::string &Bytes);

/// Base64 with the alphabet for URLs, without padding.
std::string encodeBase64Url(const std::string &Bytes);
/// The inverse of encodeBase64Url(); BadInput if \p Text is invalid.
Expected<std::string> decodeBase64Url(const std::string &Text);

} // namespace corianderdyke

#endif
