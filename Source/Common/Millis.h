/// \file
/// The unit of time of the project: whole milliseconds.
///
/// Points in time and durations have the same type. A point in time counts from
/// the arbitrary origin of its Clock, so points in time of two processes must
/// not be compared.

#ifndef CORIANDERDYKE_COMMON_MILLIS_H
#define CORIANDERDYKE_COMMON_MILLIS_H

#include <compare>
#include <cstdint>

namespace corianderdyke {

/// A duration or a point in time in milliseconds.
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
