/// \file
/// Proven floors: log positions that hold every commit acknowledged before a
/// known moment.
///
/// A read may miss commits that are younger than its accepted age. A replica
/// cannot determine alone how old its log is, and the time of its last message
/// from its primary proves nothing once another target leads. A position that a
/// leader returns in an answer to a command sent at time T holds every commit
/// acknowledged before T, whichever proxy carried it. A target whose log holds
/// that position is fresh enough for any read that arrives within the accepted
/// age after T, without clocks of other hosts and without control.

#ifndef CORIANDERDYKE_PIPELINE_FLOORTABLE_H
#define CORIANDERDYKE_PIPELINE_FLOORTABLE_H

#include "Common/Millis.h"
#include "Statements/Statement.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace corianderdyke {

class FloorTable {
public:
  /// A log position that a leader returned, and when the command for it was
  /// sent.
  struct ObservedPosition {
    LogPosition Position;
    Millis SentAt;
    Millis ReceivedAt; ///< When the answer had arrived.

    auto operator<=>(const ObservedPosition &) const = default;
  };

  /// Records \p Position, which a target that proved that it leads returned in
  /// an answer to a command sent at \p SentAt; the answer arrived by \p Now.
  void record(const std::string &Group, LogPosition Position, Millis SentAt,
              Millis Now);

  /// True if a target that claims to lead lacks a position of its own term that
  /// was known by \p SentAt. A primary that restarts under its id without its
  /// log still accepts transactions, and their callers would miss acknowledged
  /// commits. Within a term, a log that is kept never shrinks.
  bool isRegression(const std::string &Group, LogPosition Position,
                    Millis SentAt) const;

  /// Returns the lowest position that is a floor for a read which arrived at
  /// \p ArrivedAt and accepts \p MaxStaleness; the lowest allows the most
  /// replicas to serve it. Returns nothing if no position is recent enough.
  std::optional<LogPosition> floor(const std::string &Group, Millis ArrivedAt,
                                   Millis MaxStaleness) const;

  /// Returns the newest position, for other proxies.
  std::optional<ObservedPosition> latest(const std::string &Group) const;

private:
  /// Longest accepted age that is supported; older positions are dropped.
  static constexpr Millis Retention = Millis(60000);
  /// Positions closer together than this are merged, which bounds the table.
  static constexpr Millis Spacing = Millis(20);
  static constexpr std::size_t MaxPositions = 512;

  std::map<std::string, std::deque<ObservedPosition>> Groups;
};

} // namespace corianderdyke

#endif
