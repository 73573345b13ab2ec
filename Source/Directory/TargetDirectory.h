/// \file
/// The targets that are known, from their own heartbeats.

#ifndef CORIANDERDYKE_DIRECTORY_TARGETDIRECTORY_H
#define CORIANDERDYKE_DIRECTORY_TARGETDIRECTORY_H

#include "Common/Identity.h"
#include "Common/Millis.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace corianderdyke {

/// What a target last said of itself. Of one id the record of the latest life
/// holds, and within a life the one with the highest sequence.
struct TargetRecord {
  std::string Id;
  std::string Group;
  Endpoint Address;
  std::string FailureDomain;
  /// Start of this life of the target, in Unix milliseconds of its own clock;
  /// 0 where it didn't say. A target that starts again under its id knows
  /// nothing of its former life, and its sequence begins anew.
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;
  bool IsPrimary = false; ///< As the target sees itself.
  bool IsLeaving = false;
  bool IsGone = false; ///< It said goodbye, or another took its address.
  /// Counts the times that any target of the group became primary, as the
  /// leading control host saw them; the highest is believed.
  std::uint64_t PrimaryEpoch = 0;
  /// Statements that it works on at a time; 0 where it didn't say.
  std::uint32_t Slots = 0;

  /// True where only the sequence differs.
  bool equalsIgnoringSequence(TargetRecord Other) const {
    Other.Sequence = Sequence;
    return Other == *this;
  }

  auto operator<=>(const TargetRecord &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Id, Group, Address, FailureDomain, Incarnation, Sequence, IsPrimary,
       IsLeaving, IsGone, PrimaryEpoch, Slots);
  }
};

class TargetDirectory {
public:
  /// Begins to count primaries anew, above all that a control host of an
  /// earlier term counted: one that starts without their records would else
  /// give a new primary the number of one that is gone.
  void beginTerm(std::uint64_t Term);

  /// Takes a target's own word in; true where something changed that others
  /// must know. A record of an older sequence or an earlier life is ignored:
  /// a heartbeat that a partition held up would bring a dead life back. The
  /// first word of a later life replaces all that was known of the earlier
  /// one, also that it was leaving or gone.
  bool applyHeartbeat(TargetRecord Said, Millis Now);

  /// The life of a target that began at \p BornAt said goodbye. A late one of
  /// an earlier life is ignored.
  bool deregister(const std::string &Id, std::uint64_t BornAt, Millis Now);

  /// Takes over what another process knows; true where something was news.
  bool merge(const std::vector<TargetRecord> &Others, Millis Now);

  /// Forgets targets that have gone for long.
  void purgeGone(Millis Now);

  std::vector<TargetRecord> all() const;
  /// Those that changed after a revision.
  std::vector<TargetRecord> changedSince(std::uint64_t Since) const;
  const TargetRecord *find(const std::string &Id) const;
  /// Targets of a group that haven't gone.
  std::vector<TargetRecord> ofGroup(const std::string &Group) const;
  /// The one that leads as far as is known; nothing where none says so.
  std::optional<TargetRecord> primaryOf(const std::string &Group) const;
  /// Since when nothing was heard of it here.
  Millis lastUpdate(const std::string &Id) const;
  /// Raised with each change that others must know.
  std::uint64_t revision() const { return Revision; }

  /// A goodbye is remembered for this long, so that a late heartbeat of the
  /// same life doesn't bring it back.
  static constexpr Millis GoneRetention = Millis(60000);

private:
  struct TrackedTarget {
    TargetRecord Record;
    Millis LastUpdate;
    Millis GoneAt;
    std::uint64_t ChangedRevision = 0; ///< The revision of its last change.
  };

  void insert(const std::string &Id, TrackedTarget New);
  /// True where a later life is known at the same address.
  bool isSuperseded(const TargetRecord &Said) const;
  void supersede(const TargetRecord &Newer, Millis Now);
  std::uint64_t nextPrimaryEpoch(const std::string &Group) const;

  /// Changes of primary in one group under one leader of control.
  static constexpr std::uint64_t EpochsPerTerm = 1U << 20U;

  std::map<std::string, TrackedTarget> Targets;
  /// Identities by group; those of targets that were forgotten are left out
  /// when they're met.
  std::map<std::string, std::set<std::string>> ByGroup;
  std::uint64_t FirstPrimaryEpoch = 1;
  std::uint64_t Revision = 0;
};

} // namespace corianderdyke

#endif
