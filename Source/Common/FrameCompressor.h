/// \file
/// Shrinks short messages of one kind, each on its own.

#ifndef CORIANDERDYKE_COMMON_FRAMECOMPRESSOR_H
#define CORIANDERDYKE_COMMON_FRAMECOMPRESSOR_H

#include "Common/Error.h"

#include <cstddef>
#include <memory>
#include <string>

namespace corianderdyke {

/// Short messages are mostly lengths, empty fields and words that every one of
/// them has. Alone they hardly shrink; against a sample that both ends know
/// they do. Each message can be read without those before it, so a lost stream
/// loses nothing but what was on its way.
class FrameCompressor {
public:
  /// \p Dictionary is what messages look like, the most usual part last. Both
  /// ends must have the same one: what was packed against another can't be told
  /// from damage.
  explicit FrameCompressor(std::string Dictionary);
  ~FrameCompressor();
  FrameCompressor(const FrameCompressor &) = delete;
  FrameCompressor &operator=(const FrameCompressor &) = delete;

  std::string compress(const std::string &Bytes);
  /// What compress() was given; Corrupt where \p Packed isn't a whole packing
  /// of at most \p MaxBytes.
  Expected<std::string> decompress(const std::string &Packed,
                                   std::size_t MaxBytes);

private:
  struct Streams;

  std::string Dictionary;
  std::unique_ptr<Streams> Ends;
};

} // namespace corianderdyke

#endif
