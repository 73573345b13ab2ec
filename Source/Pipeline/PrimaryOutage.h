/// \file
/// Tells whether to wait for a group's next leader.
///
/// Load pattern: the primary fails, and every statement that needs a leader
/// has nowhere to go until another is promoted. If all of them waited to
/// their deadlines, callers whose time ends first would lose it to a wait
/// that couldn't help; if all were refused at once, callers would use up
/// their few tries within milliseconds of a gap that is nearly over.

#ifndef CORIANDERDYKE_PIPELINE_PRIMARYOUTAGE_H
#define CORIANDERDYKE_PIPELINE_PRIMARYOUTAGE_H

#include "Common/Millis.h"

#include <algorithm>
#include <optional>

namespace corianderdyke {

class PrimaryOutage {
public:
  /// Nobody could take a statement for the leader.
  void recordNoPrimary(Millis Now) {
    if (!Since)
      Since = Now;
  }

  /// True while nobody can take statements for the leader.
  bool isActive() const { return Since.has_value(); }

  /// A leader answered.
  void recordPrimary(Millis Now) {
    if (!Since)
      return;
    const Millis Lasted = Now - *Since;
    Since.reset();
    // Blips say nothing about how long a change of leader takes.
    if (Lasted > ShortOutage)
      TypicalDuration =
          std::clamp((TypicalDuration + Lasted) / 2, Shortest, Longest);
  }

  /// True where a statement that may wait until \p Until has a good chance to
  /// see the next leader.
  bool isWorthWaiting(Millis Now, Millis Until) const {
    if (!Since || Now - *Since <= ShortOutage)
      return true;
    const Millis Back = *Since + TypicalDuration;
    return Now < Back && Back < Until;
  }

  /// When a refused caller should come back.
  Millis retryAfter(Millis Now) const {
    const Millis Back = Since ? *Since + TypicalDuration : Now;
    return std::max(Back - Now, ShortOutage);
  }

private:
  /// A connection that broke, or word of a promotion that is on its way, is
  /// over within this time.
  static constexpr Millis ShortOutage = Millis(120);
  static constexpr Millis Shortest = Millis(200);
  static constexpr Millis Longest = Millis(4000);

  std::optional<Millis> Since;
  /// How long changes of leader took lately. It starts with detection in half
  /// a second and a promotion of a second.
  Millis TypicalDuration = Millis(1500);
};

} // namespace corianderdyke

#endif
