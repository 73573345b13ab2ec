/// \file
/// Compression of short messages with a preset dictionary.

#ifndef CORIANDERDYKE_COMMON_FRAMECOMPRESSOR_H
#define CORIANDERDYKE_COMMON_FRAMECOMPRESSOR_H

#include "Common/Error.h"

#include <cstddef>
#include <memory>
#include <string>

namespace corianderdyke {

/// Compresses each message separately with a dictionary that both ends share.
/// Short messages consist mostly of lengths, empty fields and words that all of
/// them have, and hardly shrink without a dictionary. Each message can be
/// decompressed without those before it, so a broken connection loses only the
/// messages in flight.
class FrameCompressor {
public:
  /// \p Dictionary has the typical content of messages, the most frequent last.
  /// Both ends must use the same one: a message that was compressed with
  /// another dictionary cannot be distinguished from a corrupt one.
  explicit FrameCompressor(std::string Dictionary);
  ~FrameCompressor();
  FrameCompressor(const FrameCompressor &) = delete;
  FrameCompressor &operator=(const FrameCompressor &) = delete;

  std::string compress(const std::string &Bytes);
  /// The inverse of compress(); Corrupt if \p Compressed is invalid or its
  /// uncompressed length exceeds \p MaxBytes.
  Expected<std::string> decompress(const std::string &Compressed,
                                   std::size_t MaxBytes);

private:
  struct Streams;

  std::string Dictionary;
  std::unique_ptr<Streams> State;
};

} // namespace corianderdyke

#endif
