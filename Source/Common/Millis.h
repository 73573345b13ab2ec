/// \file
/// The project's one unit of time: whole milliseconds.
///
/// Points in time and spans share the type. A point is counted from an
/// arbitrary origin of the Clock that gave it, so points of two processes are
/// never compared with one another.

#ifndef CORIANDERDYKE_COMMON_MILLIS_H
#define CORIANDERDYKE_COMMON_MILLIS_H

#include <compare>
#include <cstdint>

namespace corianderdyke {

/// A span or a point of time in milliseconds.
class Millis {
public:
  constexpr Millis() = default;
  constexpr explicit Millis(std::int64_t Count) : Value(Count) {}

  /// The number of milliseconds.
  constexpr std::int64_t count() const { return Value; }

  constexpr auto operator<=>(const Millis &) const = default;

  constexpr Millis operator+(Millis Other) const {
    return Millis(Value + Other.Value);
  }
  constexpr Millis operator-(Millis Other) const {
    return Millis(Value - Other.Value);
  }
  constexpr Millis operator*(std::int64_t Factor) const {
    return Millis(Value * Factor);
  }
  constexpr Millis operator/(std::int64_t Divisor) const {
    return Millis(Value / Divisor);
  }
  constexpr Millis &operator+=(Millis Other) {
    Value += Other.Value;
    return *this;
  }

  template <class Archive> void serialize(Archive &Ar) { Ar(Value); }

private:
  std::int64_t Value = 0;
};

} // namespace corianderdyke

#endif
