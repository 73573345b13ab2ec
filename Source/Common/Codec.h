/// \file
/// Encodes and decodes values with cereal, and converts its exceptions to
/// errors.

#ifndef CORIANDERDYKE_COMMON_CODEC_H
#define CORIANDERDYKE_COMMON_CODEC_H

#include "Common/BoundedArchive.h"
#include "Common/Error.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <exception>
#include <sstream>
#include <string>

namespace corianderdyke {

/// \p Value in cereal's portable binary format.
template <class T> std::string encode(const T &Value) {
  std::ostringstream Out(std::ios::binary);
  {
    cereal::PortableBinaryOutputArchive Archive(Out);
    Archive(Value);
  }
  return std::move(Out).str();
}

/// The value in \p Bytes; Corrupt if they are incomplete, invalid or followed
/// by further bytes. The caller must have limited the size of \p Bytes.
template <class T> Expected<T> decode(const std::string &Bytes) {
  try {
    std::istringstream In(Bytes, std::ios::binary);
    BoundedArchive Archive(In, Bytes.size());
    T Value;
    Archive(Value);
    if (In.peek() != std::istringstream::traits_type::eof())
      return fail(ErrorCode::Corrupt,
                  "extra bytes after the end of the message");
    return Value;
  } catch (const std::exception &Problem) {
    return fail(ErrorCode::Corrupt, Problem.what());
  }
}

} // namespace corianderdyke

#endif
