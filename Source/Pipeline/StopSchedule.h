/// \file
/// The times of a proxy's planned stop.

#ifndef CORIANDERDYKE_PIPELINE_STOPSCHEDULE_H
#define CORIANDERDYKE_PIPELINE_STOPSCHEDULE_H

#include "Common/Millis.h"

#include <algorithm>
#include <compare>
#include <cstdint>

namespace corianderdyke {

/// Whoever started the process kills it when the stop timeout ends. A statement
/// that is at a target when the process ends is cut off: the target runs it,
/// and its caller never learns the outcome. So a statement starts only while
/// the usual time for an answer is left, its timeout ends when answers are due,
/// and later ones are refused as not run.
class StopSchedule {
public:
  /// \p DrainDelay is how long the load balancer may take to notice that this
  /// process is not ready.
  StopSchedule(Millis Now, Millis Timeout, Millis DrainDelay)
      : BeganAt(Now), Timeout(Timeout),
        UnnoticedUntil(Now + std::min(DrainDelay, Timeout)) {}

  /// Until then the load balancer may send new callers.
  Millis unnoticedUntil() const { return UnnoticedUntil; }

  /// Transactions that would begin later are refused: the rest of the timeout
  /// may be too short for their statements.
  Millis lastTransactionBegin() const { return atPart(TransactionsBeginBy); }

  /// Returns the last time at which a statement with this objective may start.
  /// It is never in the first half of the stop, whatever the objective.
  Millis lastStart(Millis Objective) const {
    return std::max(atPart(Parts / 2),
                    answersBy() - std::max(MinAnswerTime, Objective));
  }

  /// Every statement has been answered by then, or has timed out.
  Millis answersBy() const { return atPart(AnsweredBy); }

  /// The process ends by then in any case. The time since answersBy() is for
  /// sending the last answers, and for the delays of a loaded host.
  Millis bound() const { return atPart(EndsBy); }

  auto operator<=>(const StopSchedule &) const = default;

private:
  /// Most statements are answered much faster, but one whose answer does not
  /// arrive leaves its caller with an unknown outcome.
  static constexpr Millis MinAnswerTime = Millis(500);

  static constexpr std::int64_t Parts = 24;
  static constexpr std::int64_t TransactionsBeginBy = 18;
  static constexpr std::int64_t AnsweredBy = 21;
  static constexpr std::int64_t EndsBy = 22;

  Millis atPart(std::int64_t Part) const {
    return BeganAt + Timeout * Part / Parts;
  }

  Millis BeganAt;
  Millis Timeout;
  Millis UnnoticedUntil;
};

} // namespace corianderdyke

#endif
