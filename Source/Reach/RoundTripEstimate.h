/// \file
/// Usual round trip to another proxy, and how much silence indicates a loss.

#ifndef CORIANDERDYKE_REACH_ROUNDTRIPESTIMATE_H
#define CORIANDERDYKE_REACH_ROUNDTRIPESTIMATE_H

#include "Common/Millis.h"

#include <algorithm>
#include <optional>

namespace corianderdyke {

/// Smoothed time between pings and their answers. It includes the time that the
/// peer takes to answer, which on a slow host exceeds that of the network.
class RoundTripEstimate {
public:
  /// Limit of silence while the round trip is unknown, and the largest limit.
  static constexpr Millis MaxSilence = Millis(120);
  /// Smallest limit of silence: a host with a tenth of a processor may pause
  /// for some ten milliseconds.
  static constexpr Millis MinSilence = Millis(60);

  void record(Millis RoundTrip) {
    const Millis Scaled = RoundTrip * Scale;
    Smoothed = Smoothed ? *Smoothed + (Scaled - *Smoothed) / Weight : Scaled;
  }

  /// Silence after which a peer that was sent a ping counts as silent.
  Millis silenceLimit() const {
    if (!Smoothed)
      return MaxSilence;
    return std::clamp(*Smoothed * RoundTripsOfSilence / Scale, MinSilence,
                      MaxSilence);
  }

private:
  static constexpr std::int64_t RoundTripsOfSilence = 3;
  /// Part of a new sample in the smoothed value, as a divisor.
  static constexpr std::int64_t Weight = 8;
  /// Fractions of a millisecond that are kept, so that smoothing converges.
  static constexpr std::int64_t Scale = 64;

  std::optional<Millis> Smoothed; ///< Times Scale.
};

} // namespace corianderdyke

#endif
