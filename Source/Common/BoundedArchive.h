/// \file
/// cereal's portable binary input with a bound on lengths.

#ifndef CORIANDERDYKE_COMMON_BOUNDEDARCHIVE_H
#define CORIANDERDYKE_COMMON_BOUNDEDARCHIVE_H

#include <cereal/archives/portable_binary.hpp>
#include <istream>
#include <type_traits>

namespace corianderdyke {

/// Reads what cereal's portable binary output wrote. cereal takes the length
/// of a string or list at its word and asks for that much memory: a few
/// damaged bytes would end the process for lack of it. Here a length above
/// the bytes that are left is an error, which is enough because every element
/// takes a byte at least.
class BoundedArchive
    : public cereal::InputArchive<BoundedArchive,
                                  cereal::AllowEmptyClassElision> {
public:
  BoundedArchive(std::istream &In, std::size_t Size)
      : InputArchive(this), Inner(In), Left(Size) {}

  template <std::size_t ItemBytes> void read(void *To, std::size_t Size) {
    consume(Size);
    Inner.template loadBinary<ItemBytes>(To,
                                         static_cast<std::streamsize>(Size));
  }

  void requireLength(std::uint64_t Length) const {
    if (Length > Left)
      throw cereal::Exception("a length goes beyond the end");
  }

private:
  void consume(std::size_t Size) {
    requireLength(Size);
    Left -= Size;
  }

  cereal::PortableBinaryInputArchive Inner;
  std::size_t Left;
};

// The names that cereal looks for.
// NOLINTBEGIN(readability-identifier-naming)
template <class T>
std::enable_if_t<std::is_arithmetic_v<T> && !std::is_same_v<T, bool>>
CEREAL_LOAD_FUNCTION_NAME(BoundedArchive &Ar, T &Value) {
  Ar.read<sizeof(T)>(std::addressof(Value), sizeof(T));
}

// Any other byte would be a value that the language doesn't know.
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

/// Enumerations are read by the pair of archives that wrote them.
template <>
struct cereal::traits::detail::get_output_from_input<
    corianderdyke::BoundedArchive> {
  // NOLINTNEXTLINE(readability-identifier-naming)
  using type = cereal::PortableBinaryOutputArchive;
};

#endif
