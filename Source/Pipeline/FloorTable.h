/// \file
/// Proven floors: log positions that hold everything acknowledged before a
/// known moment.
///
/// A read may miss commits that are younger than its accepted age. A replica
/// alone can't tell how old it is, and the time that it last heard of its
/// primary proves nothing once another leads. A position that a leader showed
/// in an answer to something sent at time T holds every commit acknowledged
/// before T, whichever proxy carried it. A target whose log holds that
/// position is fresh enough for any read that arrives within the accepted age
/// after T, without clocks of other hosts and without control.

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
  /// A position that a leader showed, and when it was asked for it.
  struct ObservedPosition {
    LogPosition Position;
    Millis SentAt;
    Millis ReceivedAt; ///< When the answer had arrived.

    auto operator<=>(const ObservedPosition &) const = default;
  };

  /// A target that proved its lead showed \p Position in an answer to something
  /// that was sent at \p SentAt and arrived by \p Now.
  void record(const std::string &Group, LogPosition Position, Millis SentAt,
              Millis Now);

  /// True where a target that says that it leads lacks what its own term had
  /// shown by \p SentAt. A primary that starts again under its id without its
  /// log still takes transactions, and their callers would miss commits that
  /// were acknowledged. Within a term a log that's kept never shrinks.
  bool isRegression(const std::string &Group, LogPosition Position,
                    Millis SentAt) const;

  /// The lowest position that is a floor for a read which arrived at
  /// \p ArrivedAt and accepts \p AcceptedAge; the lowest lets the most
  /// replicas serve it. Nothing where no proof is young enough.
  std::optional<LogPosition> floor(const std::string &Group, Millis ArrivedAt,
                                   Millis AcceptedAge) const;

  /// The youngest proof, to be told to other proxies.
  std::optional<ObservedPosition> latest(const std::string &Group) const;

private:
  /// Longest accepted age that is supported; older proofs are dropped.
  static constexpr Millis Retention = Millis(60000);
  /// Proofs this close together are worth one; bounds the table.
  static constexpr Millis Spacing = Millis(20);
  static constexpr std::size_t MaxPositions = 512;

  std::map<std::string, std::deque<ObservedPosition>> Groups;
};

} // namespace corianderdyke

#endif
