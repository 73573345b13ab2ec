/// \file
/// Compression of long messages between the processes of the system.

#include "Common/Compression.h"

#include <cstdint>
#include <zlib.h>

namespace corianderdyke {

namespace {

constexpr char UncompressedFormat = 'p';
constexpr char CompressedFormat = 'z';
constexpr std::size_t LengthBytes = 4;
constexpr std::size_t HeaderBytes = 1 + LengthBytes;

std::string header(std::size_t Length) {
  std::string Out(1, CompressedFormat);
  for (std::size_t Byte = 0; Byte < LengthBytes; ++Byte)
    Out.push_back(static_cast<char>((Length >> (8 * Byte)) & 0xffU));
  return Out;
}

std::size_t declaredLength(const std::string &Compressed) {
  std::size_t Out = 0;
  for (std::size_t Byte = LengthBytes; Byte > 0; --Byte)
    Out = (Out << 8U) | static_cast<unsigned char>(Compressed[Byte]);
  return Out;
}

} // namespace

std::string compressMessage(const std::string &Bytes) {
  if (Bytes.size() < MinBytesToCompress)
    return UncompressedFormat + Bytes;
  uLongf Size = compressBound(Bytes.size());
  std::string Out = header(Bytes.size());
  Out.resize(HeaderBytes + Size);
  const int Result =
      compress2(reinterpret_cast<Bytef *>(Out.data()) + HeaderBytes, &Size,
                reinterpret_cast<const Bytef *>(Bytes.data()), Bytes.size(),
                Z_BEST_SPEED);
  if (Result != Z_OK)
    return UncompressedFormat + Bytes;
  Out.resize(HeaderBytes + Size);
  return Out;
}

Expected<std::string> decompressMessage(const std::string &Compressed,
                                        std::size_t MaxBytes) {
  if (Compressed.empty())
    return fail(ErrorCode::Corrupt, "the compressed message is empty");
  if (Compressed.front() == UncompressedFormat)
    return Compressed.substr(1);
  if (Compressed.front() != CompressedFormat || Compressed.size() < HeaderBytes)
    return fail(ErrorCode::Corrupt,
                "the compressed message has an unknown format or is too short");
  const std::size_t Length = declaredLength(Compressed);
  if (Length > MaxBytes)
    return fail(ErrorCode::Corrupt, "an uncompressed length of " +
                                        std::to_string(Length) +
                                        " bytes is above the maximum");
  std::string Out(Length, '\0');
  uLongf Size = Length;
  const int Result = uncompress(
      reinterpret_cast<Bytef *>(Out.data()), &Size,
      reinterpret_cast<const Bytef *>(Compressed.data()) + HeaderBytes,
      Compressed.size() - HeaderBytes);
  if (Result != Z_OK || Size != Length)
    return fail(ErrorCode::Corrupt,
                "the compressed message cannot be decompressed");
  return Out;
}

} // namespace corianderdyke
