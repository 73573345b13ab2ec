/// \file
/// Digests, keyed ones and the text form of bytes, through OpenSSL.

#ifndef CORIANDERDYKE_COMMON_KEYEDDIGEST_H
#define CORIANDERDYKE_COMMON_KEYEDDIGEST_H

#include "Common/Error.h"

#include <string>

namespace corianderdyke {

/// Length in bytes of a keyed digest.
constexpr std::size_t KeyedDigestBytes = 16;

/// HMAC-SHA-256 of \p Bytes, cut to KeyedDigestBytes.
std::string keyedDigest(const std::string &Key, const std::string &Bytes);

/// Compares two digests in a time that doesn't depend on where they differ.
bool sameDigest(const std::string &Left, const std::string &Right);

/// SHA-256 of \p Bytes in hexadecimal.
std::string contentDigest(const std::string &Bytes);

/// Base64 with the alphabet for URLs, without padding.
std::string toText(const std::string &Bytes);
/// The inverse of toText; BadInput where \p Text isn't of that form.
Expected<std::string> fromText(const std::string &Text);

} // namespace corianderdyke

#endif
