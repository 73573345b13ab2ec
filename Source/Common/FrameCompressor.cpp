/// \file
/// Shrinks short messages of one kind, each on its own.

#include "Common/FrameCompressor.h"

#include <algorithm>
#include <stdexcept>
#include <zlib.h>

namespace corianderdyke {

namespace {

/// Raw, without a checksum: what carries the messages has its own. A window of
/// 4 KiB holds the sample and most messages. By zlib's formulas both ways take
/// some 43 KiB a process.
constexpr int WindowBits = -12;
constexpr int MemoryLevel = 5;
/// Bytes that are made room for at a time while unpacking.
constexpr std::size_t UnpackStep = 4096;

Bytef *bytesOf(const std::string &Of) {
  // zlib takes its input without const and doesn't change it.
  return reinterpret_cast<Bytef *>(const_cast<char *>(Of.data()));
}

} // namespace

/// zlib's state for both ways, made once: making it costs more than packing
/// one message does.
struct FrameCompressor::Streams {
  Streams() {
    if (deflateInit2(&Out, Z_BEST_SPEED, Z_DEFLATED, WindowBits, MemoryLevel,
                     Z_DEFAULT_STRATEGY) != Z_OK ||
        inflateInit2(&In, WindowBits) != Z_OK)
      throw std::runtime_error("no memory to pack messages");
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
    : Dictionary(std::move(Dictionary)), Ends(std::make_unique<Streams>()) {}

FrameCompressor::~FrameCompressor() = default;

std::string FrameCompressor::compress(const std::string &Bytes) {
  z_stream &To = Ends->Out;
  deflateReset(&To);
  deflateSetDictionary(&To, bytesOf(Dictionary),
                       static_cast<uInt>(Dictionary.size()));
  std::string Packed(deflateBound(&To, Bytes.size()), '\0');
  To.next_in = bytesOf(Bytes);
  To.avail_in = static_cast<uInt>(Bytes.size());
  To.next_out = bytesOf(Packed);
  To.avail_out = static_cast<uInt>(Packed.size());
  // All of it fits by the bound.
  deflate(&To, Z_FINISH);
  Packed.resize(Packed.size() - To.avail_out);
  return Packed;
}

Expected<std::string> FrameCompressor::decompress(const std::string &Packed,
                                                  std::size_t MaxBytes) {
  z_stream &From = Ends->In;
  inflateReset(&From);
  inflateSetDictionary(&From, bytesOf(Dictionary),
                       static_cast<uInt>(Dictionary.size()));
  From.next_in = bytesOf(Packed);
  From.avail_in = static_cast<uInt>(Packed.size());
  std::string Bytes;
  int Result = Z_OK;
  while (Result == Z_OK) {
    const std::size_t Done = Bytes.size();
    if (Done >= MaxBytes)
      return fail(ErrorCode::Corrupt, "a packing is too long");
    Bytes.resize(std::min(MaxBytes, Done + UnpackStep));
    From.next_out = bytesOf(Bytes) + Done;
    From.avail_out = static_cast<uInt>(Bytes.size() - Done);
    Result = inflate(&From, Z_NO_FLUSH);
    Bytes.resize(Bytes.size() - From.avail_out);
  }
  if (Result != Z_STREAM_END || From.avail_in > 0)
    return fail(ErrorCode::Corrupt, "a packing can't be read");
  return Bytes;
}

} // namespace corianderdyke
