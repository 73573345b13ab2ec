/// \file
/// Portable binary input of cereal with checked lengths.

#ifndef CORIANDERDYKE_COMMON_BOUNDEDARCHIVE_H
#define CORIANDERDYKE_COMMON_BOUNDEDARCHIVE_H

#include <cereal/archives/portable_binary.hpp>
#include <istream>
#include <type_traits>

namespace corianderdyke {

/// Reads the format of cereal's portable binary output. cereal allocates as
/// much memory as the length of a string or list states, so that a few corrupt
/// bytes would end the process for lack of memory. This archive rejects a
/// length above the number of remaining bytes, which suffices because every
/// element takes at least one byte.
class BoundedArchive
    : public cereal::InputArchive<BoundedArchive,
                                  cereal::AllowEmptyClassElision> {
public:
  BoundedArchive(std::istream &In, std::size_t Size)
      : InputArchive(this), Archive(In), RemainingBytes(Size) {}

  template <std::size_t ItemBytes> void read(void *To, std::size_t Size) {
    consume(Size);
    Archive.template loadBinary<ItemBytes>(To,
                                           static_cast<std::streamsize>(Size));
  }

  void requireLength(std::uint64_t Length) const {
    if (Length > RemainingBytes)
      throw cereal::Exception("a length goes beyond the end");
  }

private:
  void consume(std::size_t Size) {
    requireLength(Size);
    RemainingBytes -= Size;
  }

  cereal::PortableBinaryInputArchive Archive;
  std::size_t RemainingBytes;
};

// cereal requires these names.
// NOLINTBEGIN(readability-identifier-naming)
template <class T>
std::enable_if_t<std::is_arithmetic_v<T> && !std::is_same_v<T, bool>>
CEREAL_LOAD_FUNCTION_NAME(BoundedArchive &Ar, T &Value) {
  Ar.read<sizeof(T)>(std::addressof(Value), sizeof(T));
}

// A bool with any value other than 0 and 1 would be undefined behaviour.
inline void CEREAL_LOAD_FUNCTION_NAME(BoundedArchive &Ar, bool &Value) {
  std::uint8_t Byte = 0;
  Ar(Byte);
  if (Byte > 1)
    throw cereal::Exception("neither true nor false");
  Value = Byte == 1;
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedArchive &Ar,
                               cereal::NameValuePair<T> &Pair) {
  Ar(Pair.value);
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedArchive &Ar, cereal::SizeTag<T> &Tag) {
  Ar(Tag.size);
  Ar.requireLength(Tag.size);
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedArchive &Ar,
                               cereal::BinaryData<T> &Data) {
  using Item = std::remove_pointer_t<T>;
  Ar.read<sizeof(Item)>(Data.data, static_cast<std::size_t>(Data.size));
}
// NOLINTEND(readability-identifier-naming)

} // namespace corianderdyke

/// cereal needs the matching output archive to read enumerations.
template <>
struct cereal::traits::detail::get_output_from_input<
    corianderdyke::BoundedArchive> {
  // NOLINTNEXTLINE(readability-identifier-naming)
  using type = cereal::PortableBinaryOutputArchive;
};

#endif
