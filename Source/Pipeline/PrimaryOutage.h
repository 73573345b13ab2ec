/// \file
/// Decides whether statements wait for a group's next leader.
///
/// When the primary fails, statements that need a leader have no target until
/// another one is promoted. If all of them waited to their deadlines, callers
/// whose time ends before the promotion would wait in vain; if all were refused
/// at once, callers would use up their few retries within milliseconds, even in
/// an outage that is almost over.

#ifndef CORIANDERDYKE_PIPELINE_PRIMARYOUTAGE_H
#define CORIANDERDYKE_PIPELINE_PRIMARYOUTAGE_H

#include "Common/Millis.h"

#include <algorithm>
#include <optional>

namespace corianderdyke {

class PrimaryOutage {
public:
  /// Records that no target could run a statement for the leader.
  void recordNoPrimary(Millis Now) {
    if (!Since)
      Since = Now;
  }

  /// True while no target can run statements for the leader.
  bool isActive() const { return Since.has_value(); }

  /// Records that a leader answered.
  void recordPrimary(Millis Now) {
    if (!Since)
      return;
    const Millis Duration = Now - *Since;
    Since.reset();
    // Short interruptions do not show how long a change of leader takes.
    if (Duration > ShortOutage)
      TypicalDuration = std::clamp((TypicalDuration + Duration) / 2,
                                   MinDuration, MaxDuration);
  }

  /// True if a statement that may wait until \p Until is likely to be served by
  /// the next leader.
  bool isWorthWaiting(Millis Now, Millis Until) const {
    if (!Since || Now - *Since <= ShortOutage)
      return true;
    const Millis ExpectedEnd = *Since + TypicalDuration;
    return Now < ExpectedEnd && ExpectedEnd < Until;
  }

  /// Returns the time after which a refused caller should retry.
  Millis retryAfter(Millis Now) const {
    const Millis ExpectedEnd = Since ? *Since + TypicalDuration : Now;
    return std::max(ExpectedEnd - Now, ShortOutage);
  }

private:
  /// A lost connection or a late message about a promotion is over within this
  /// time.
  static constexpr Millis ShortOutage = Millis(120);
  static constexpr Millis MinDuration = Millis(200);
  static constexpr Millis MaxDuration = Millis(4000);

  std::optional<Millis> Since;
  /// Usual duration of recent changes of leader. The initial value allows half
  /// a second for detection and one second for a promotion.
  Millis TypicalDuration = Millis(1500);
};

} // namespace corianderdyke

#endif
