/// \file
/// Compression of short messages with a preset dictionary.

#include "Common/FrameCompressor.h"

#include <algorithm>
#include <stdexcept>
#include <zlib.h>

namespace corianderdyke {

namespace {

/// Negative for raw deflate without a checksum: the carrying connection has its
/// own. A window of 4 KiB holds the dictionary and most messages. By zlib's
/// formulas the streams of both directions take some 43 KiB a process.
constexpr int WindowBits = -12;
constexpr int MemoryLevel = 5;
/// The output buffer grows by this many bytes at a time.
constexpr std::size_t DecompressStepBytes = 4096;

Bytef *zlibBytes(const std::string &Bytes) {
  // zlib takes its input without const and does not change it.
  return reinterpret_cast<Bytef *>(const_cast<char *>(Bytes.data()));
}

} // namespace

/// zlib's streams for both directions, which are reused: initialising them
/// costs more than compressing one message.
struct FrameCompressor::Streams {
  Streams() {
    if (deflateInit2(&Out, Z_BEST_SPEED, Z_DEFLATED, WindowBits, MemoryLevel,
                     Z_DEFAULT_STRATEGY) != Z_OK ||
        inflateInit2(&In, WindowBits) != Z_OK)
      throw std::runtime_error("not enough memory for the zlib streams");
  }
  ~Streams() {
    deflateEnd(&Out);
    inflateEnd(&In);
  }
  Streams(const Streams &) = delete;
  Streams &operator=(const Streams &) = delete;

  z_stream Out = {};
  z_stream In = {};
};

FrameCompressor::FrameCompressor(std::string Dictionary)
    : Dictionary(std::move(Dictionary)), State(std::make_unique<Streams>()) {}

FrameCompressor::~FrameCompressor() = default;

std::string FrameCompressor::compress(const std::string &Bytes) {
  z_stream &To = State->Out;
  deflateReset(&To);
  deflateSetDictionary(&To, zlibBytes(Dictionary),
                       static_cast<uInt>(Dictionary.size()));
  std::string Compressed(deflateBound(&To, Bytes.size()), '\0');
  To.next_in = zlibBytes(Bytes);
  To.avail_in = static_cast<uInt>(Bytes.size());
  To.next_out = zlibBytes(Compressed);
  To.avail_out = static_cast<uInt>(Compressed.size());
  // deflateBound() guarantees that the output fits.
  deflate(&To, Z_FINISH);
  Compressed.resize(Compressed.size() - To.avail_out);
  return Compressed;
}

Expected<std::string> FrameCompressor::decompress(const std::string &Compressed,
                                                  std::size_t MaxBytes) {
  z_stream &From = State->In;
  inflateReset(&From);
  inflateSetDictionary(&From, zlibBytes(Dictionary),
                       static_cast<uInt>(Dictionary.size()));
  From.next_in = zlibBytes(Compressed);
  From.avail_in = static_cast<uInt>(Compressed.size());
  std::string Bytes;
  int Result = Z_OK;
  while (Result == Z_OK) {
    const std::size_t Done = Bytes.size();
    if (Done >= MaxBytes)
      return fail(ErrorCode::Corrupt, "the uncompressed message is too long");
    Bytes.resize(std::min(MaxBytes, Done + DecompressStepBytes));
    From.next_out = zlibBytes(Bytes) + Done;
    From.avail_out = static_cast<uInt>(Bytes.size() - Done);
    Result = inflate(&From, Z_NO_FLUSH);
    Bytes.resize(Bytes.size() - From.avail_out);
  }
  if (Result != Z_STREAM_END || From.avail_in > 0)
    return fail(ErrorCode::Corrupt,
                "the compressed message cannot be decompressed");
  return Bytes;
}

} // namespace corianderdyke
