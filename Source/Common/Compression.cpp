/// \file
/// Shrinks long messages between the system's own processes.

#include "Common/Compression.h"

#include <cstdint>
#include <zlib.h>

namespace corianderdyke {

namespace {

constexpr char PlainMark = 'p';
constexpr char CompressedMark = 'z';
constexpr std::size_t LengthBytes = 4;
constexpr std::size_t HeaderBytes = 1 + LengthBytes;

std::string header(std::size_t Length) {
  std::string Out(1, CompressedMark);
  for (std::size_t Byte = 0; Byte < LengthBytes; ++Byte)
    Out.push_back(static_cast<char>((Length >> (8 * Byte)) & 0xffU));
  return Out;
}

std::size_t statedLength(const std::string &Packed) {
  std::size_t Out = 0;
  for (std::size_t Byte = LengthBytes; Byte > 0; --Byte)
    Out = (Out << 8U) | static_cast<unsigned char>(Packed[Byte]);
  return Out;
}

} // namespace

std::string compressMessage(const std::string &Bytes) {
  if (Bytes.size() < MinBytesToCompress)
    return PlainMark + Bytes;
  uLongf Size = compressBound(Bytes.size());
  std::string Out = header(Bytes.size());
  Out.resize(HeaderBytes + Size);
  const int Result =
      compress2(reinterpret_cast<Bytef *>(Out.data()) + HeaderBytes, &Size,
                reinterpret_cast<const Bytef *>(Bytes.data()), Bytes.size(),
                Z_BEST_SPEED);
  if (Result != Z_OK)
    return PlainMark + Bytes;
  Out.resize(HeaderBytes + Size);
  return Out;
}

Expected<std::string> decompressMessage(const std::string &Packed,
                                        std::size_t MaxBytes) {
  if (Packed.empty())
    return fail(ErrorCode::Corrupt, "an empty packing");
  if (Packed.front() == PlainMark)
    return Packed.substr(1);
  if (Packed.front() != CompressedMark || Packed.size() < HeaderBytes)
    return fail(ErrorCode::Corrupt, "no packing of this protocol");
  const std::size_t Length = statedLength(Packed);
  if (Length > MaxBytes)
    return fail(ErrorCode::Corrupt, "a packing of " + std::to_string(Length) +
                                        " bytes is too long");
  std::string Out(Length, '\0');
  uLongf Size = Length;
  const int Result =
      uncompress(reinterpret_cast<Bytef *>(Out.data()), &Size,
                 reinterpret_cast<const Bytef *>(Packed.data()) + HeaderBytes,
                 Packed.size() - HeaderBytes);
  if (Result != Z_OK || Size != Length)
    return fail(ErrorCode::Corrupt, "a packing can't be read");
  return Out;
}

} // namespace corianderdyke
