/// \file
/// The progress of all replicas, as this process knows it. The pipeline, the
/// relay server and the relay clients of a process share one table.

#ifndef CORIANDERDYKE_REPLICAS_REPLICATABLE_H
#define CORIANDERDYKE_REPLICAS_REPLICATABLE_H

#include "Directory/TargetDirectory.h"
#include "Replicas/ReplicaProgress.h"

#include <map>
#include <string>

namespace corianderdyke {

/// A position of a target's log, as it is sent to another process. Messages
/// carry ages, not times, because the clocks of two hosts are unrelated.
struct ReplicaReport {
  std::string Target;
  LogPosition Position;
  Millis Age; ///< Since the position was observed.

  auto operator<=>(const ReplicaReport &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Target, Position, Age);
  }
};

/// Holds targets of the directory only: an observation of any other target is
/// ignored.
class ReplicaTable {
public:
  /// Applies a target's record. A later incarnation discards what was observed
  /// of the earlier one, and a target that is gone is removed.
  void update(const TargetRecord &New, Millis Now);

  /// Returns null for a target that is not known in this group.
  ReplicaProgress *find(const std::string &Group, const std::string &Target);

  void recordAnswer(const std::string &Group, const std::string &Target,
                    LogPosition Position, Millis SentAt, Millis Now);
  /// Records what another process reported about a target of \p Group. A report
  /// that is too old is ignored.
  void recordReport(const std::string &Group, const ReplicaReport &Report,
                    Millis Now);

  /// What one other process was sent last, by target.
  struct Sent {
    Millis At;         ///< When it was sent.
    Millis ObservedAt; ///< Of the position.
  };
  using SentReports = std::map<std::string, Sent>;

  /// Returns the next report about a replica of \p Group for a process that was
  /// sent \p Before, and records it there: one that has been observed since the
  /// last one and, of several, the one about the target whose last report was
  /// sent longest ago. \p Except is not reported.
  std::optional<ReplicaReport> nextReport(const std::string &Group,
                                          const std::string &Except,
                                          SentReports &Before,
                                          Millis Now) const;

private:
  struct Replica {
    std::uint64_t Incarnation = 0;
    bool IsPrimary = false; ///< According to the target itself.
    ReplicaProgress Progress;
  };

  /// At most one report per target and process is sent in this time, which
  /// bounds the bytes: a report has about 20.
  static constexpr Millis ReportInterval = Millis(50);
  /// Older observations are not reported. It is the time in which the gateways
  /// of a leader together probe a lagging replica a few times.
  static constexpr Millis ReportMaxAge = Millis(1000);

  /// By group and target.
  std::map<std::string, std::map<std::string, Replica>> Groups;
};

} // namespace corianderdyke

#endif
