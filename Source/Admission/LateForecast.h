/// \file
/// Estimates when a late statement will start, and admits those that will
/// start in time to be answered.
///
/// Late statements start only when none in time waits. During a sustained
/// overload none starts, and those that wait would be held until their callers
/// give up. The time since the last start shows that: each further round of
/// statements, of as many as can run together, is expected to take at least as
/// long, so that fewer and fewer are admitted. The first round is always
/// admitted: it starts as soon as capacity becomes free, which no past
/// departure predicts.

#ifndef CORIANDERDYKE_ADMISSION_LATEFORECAST_H
#define CORIANDERDYKE_ADMISSION_LATEFORECAST_H

#include "Common/Millis.h"

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace corianderdyke {

/// Counters for metrics.
struct LateCounts {
  std::uint64_t Started = 0;
  std::uint64_t Refused = 0; ///< On becoming late or while waiting.

  auto operator<=>(const LateCounts &) const = default;
};

class LateForecast {
public:
  /// Records that a late statement started while \p Behind others waited.
  void recordStart(std::size_t Behind, Millis Now) {
    if (IsBacklogged && LastFree)
      MeanInterval += Gain * (static_cast<double>((Now - *LastFree).count()) -
                              MeanInterval);
    LastFree = Now;
    IsBacklogged = Behind > 0;
  }
  /// Records that a late statement could have started, but none waited.
  void recordFree(Millis Now) {
    LastFree = Now;
    IsBacklogged = false;
    // The interval that ended a sustained overload is as long as the overload;
    // few starts follow it, and it would be expected in the next one.
    MeanInterval = InitialInterval;
  }

  /// Returns the expected wait behind \p Ahead other late statements, of which
  /// \p Width can run together.
  Millis expectedWait(std::size_t Ahead, std::size_t Width, Millis Now) const {
    const std::size_t Rounds = Ahead / std::max<std::size_t>(Width, 1);
    const double Since =
        LastFree ? static_cast<double>((Now - *LastFree).count()) : 0;
    return Millis(static_cast<std::int64_t>(
        std::max(MeanInterval * static_cast<double>(Ahead),
                 Since * static_cast<double>(Rounds))));
  }
  /// True if a waiting statement is not expected to start before \p Deadline
  /// any more, because no late statement has started for longer than that.
  bool isOverdue(Millis Deadline, Millis Now) const {
    return LastFree && Now + (Now - *LastFree) > Deadline;
  }
  /// Returns the delay after which a refused caller may retry.
  Millis retryAfter(std::size_t Ahead, std::size_t Width, Millis Now) const {
    /// Without any wait, or the caller would retry into the same queue.
    constexpr Millis Shortest(1);
    return std::max(expectedWait(Ahead, Width, Now), Shortest);
  }

private:
  /// Moving mean over about eight starts, as in WaitForecast.
  static constexpr double Gain = 0.125;
  /// In milliseconds; about a statement's share of a free target.
  static constexpr double InitialInterval = 2;

  /// Last time a late statement started or could have; nothing before the
  /// first.
  std::optional<Millis> LastFree;
  bool IsBacklogged = false; ///< Others waited behind the last start.
  /// In milliseconds, while others wait.
  double MeanInterval = InitialInterval;
};

} // namespace corianderdyke

#endif
