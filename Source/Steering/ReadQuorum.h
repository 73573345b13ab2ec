/// \file
/// Decides whether the targets of a group that answered hold every acknowledged
/// commit.
///
/// With synchronous replicas, a commit is acknowledged once its primary and
/// that many further targets hold it. A promotion loses none if at most as many
/// of the targets that may hold one as there are synchronous replicas did not
/// answer. Whether a target may be promoted does not matter here.

#ifndef CORIANDERDYKE_STEERING_READQUORUM_H
#define CORIANDERDYKE_STEERING_READQUORUM_H

#include "Directory/TargetDirectory.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace corianderdyke {

class ReadQuorum {
public:
  /// Adds a target that left under an earlier leader; to be called before the
  /// first update.
  void addDeparted(const TargetRecord &Last);
  /// Adds a target known from an earlier leader; to be called before the first
  /// update, which may find that it has left.
  void addMember(const TargetRecord &Last) { Members[Last.Id] = Last; }
  /// Updates the targets of the group and the number of synchronous replicas
  /// according to the plan. Until settle() is called, a target that left counts
  /// as one that may hold commits and does not answer.
  void update(const std::vector<TargetRecord> &Present,
              std::uint32_t SyncReplicas);
  /// Returns the targets whose answers are missing, if an acknowledged commit
  /// may be on them alone; otherwise nothing.
  std::set<std::string> missing(const std::set<std::string> &Answered) const;
  /// True if the target is in the group or counts as one that left.
  bool counts(const std::string &Id) const;
  /// True if all acknowledged commits are on enough of the present targets.
  bool isSettled() const;
  /// Records that the primary and enough other targets hold all commits that
  /// were acknowledged when changes() returned \p AsOf.
  void settle(std::uint64_t AsOf);
  /// Raised with each change that requires settling.
  std::uint64_t changes() const { return Changes; }

  bool operator==(const ReadQuorum &) const = default;

private:
  struct DepartedTarget {
    TargetRecord Last;
    std::uint64_t Change = 0;

    bool operator==(const DepartedTarget &) const = default;
  };

  void recordDepartures(const std::vector<TargetRecord> &Present);

  /// According to the plan; if 0, nothing else is recorded.
  std::uint32_t RequiredReplicas = 0;
  /// The smallest number with which a commit that is not yet settled may have
  /// been acknowledged; at most RequiredReplicas.
  std::uint32_t GuaranteedReplicas = 0;
  std::uint64_t RaisedBy = 0; ///< The last change that raised RequiredReplicas.
  /// Last update of each present target.
  std::map<std::string, TargetRecord> Members;
  /// Targets that left since the group was settled.
  std::map<std::string, DepartedTarget> Departed;
  std::uint64_t Changes = 0;
};

} // namespace corianderdyke

#endif
