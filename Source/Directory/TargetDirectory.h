/// \file
/// The known targets, according to their own heartbeats.

#ifndef CORIANDERDYKE_DIRECTORY_TARGETDIRECTORY_H
#define CORIANDERDYKE_DIRECTORY_TARGETDIRECTORY_H

#include "Common/Identity.h"
#include "Common/Millis.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace corianderdyke {

/// A target's last report about itself. For one id the record of the latest
/// incarnation is valid, and within it the one with the highest sequence.
struct TargetRecord {
  std::string Id;
  std::string Group;
  Endpoint Address;
  std::string FailureDomain;
  /// Start of this incarnation of the target, in Unix milliseconds of its own
  /// clock; 0 if not reported. A target that restarts under its id knows
  /// nothing of its earlier incarnation, and its sequence restarts.
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;
  bool IsPrimary = false; ///< According to the target itself.
  bool IsLeaving = false;
  bool IsGone = false; ///< Deregistered, or another uses its address.
  /// Counts the changes of primary in the group, as observed by the leading
  /// control host. Of several primaries the one with the highest epoch is
  /// valid.
  std::uint64_t PrimaryEpoch = 0;
  /// Statements that the target executes concurrently; 0 if not reported.
  std::uint32_t Slots = 0;

  /// True if the records differ at most in the sequence.
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
  /// Starts primary epochs above all epochs of earlier terms: a leader without
  /// the records of those terms would otherwise give a new primary the epoch of
  /// a former one.
  void beginTerm(std::uint64_t Term);

  /// Applies a target's heartbeat; returns true if it changed anything that
  /// must be published. A record with an older sequence or incarnation is
  /// ignored: a heartbeat delayed by a partition would otherwise revive an
  /// ended incarnation. The first heartbeat of a later incarnation replaces the
  /// whole record, including the flags for leaving and gone.
  bool applyHeartbeat(TargetRecord Reported, Millis Now);

  /// Deregisters one incarnation of a target. A late request of an earlier
  /// incarnation is ignored.
  bool deregister(const std::string &Id, std::uint64_t Incarnation, Millis Now);

  /// Merges records of another process; returns true if any record changed.
  bool merge(const std::vector<TargetRecord> &Others, Millis Now);

  /// Removes targets that have been gone for longer than GoneRetention.
  void purgeGone(Millis Now);

  std::vector<TargetRecord> all() const;
  /// Returns the targets that changed after a revision.
  std::vector<TargetRecord> changedSince(std::uint64_t Since) const;
  const TargetRecord *find(const std::string &Id) const;
  /// Returns the targets of a group that are not gone.
  std::vector<TargetRecord> ofGroup(const std::string &Group) const;
  /// Returns the primary with the highest epoch; nothing if no target reports
  /// that it leads.
  std::optional<TargetRecord> primaryOf(const std::string &Group) const;
  /// Returns when this process last received a newer record of the target.
  Millis lastUpdate(const std::string &Id) const;
  /// Raised with each change that must be published.
  std::uint64_t revision() const { return Revision; }

  /// A target that is gone is kept for this long, so that a late heartbeat of
  /// the same incarnation does not revive it.
  static constexpr Millis GoneRetention = Millis(60000);

private:
  struct TrackedTarget {
    TargetRecord Record;
    Millis LastUpdate;
    Millis GoneAt;
    std::uint64_t ChangedRevision = 0; ///< Revision of the last change.
  };

  void insert(const std::string &Id, TrackedTarget New);
  /// True if a later incarnation under another id is known at the same
  /// address.
  bool isSuperseded(const TargetRecord &Reported) const;
  void supersede(const TargetRecord &Newer, Millis Now);
  std::uint64_t nextPrimaryEpoch(const std::string &Group) const;

  /// Upper bound of the changes of primary in one group within one term.
  static constexpr std::uint64_t EpochsPerTerm = 1U << 20U;

  std::map<std::string, TrackedTarget> Targets;
  /// Target ids by group; ids of removed targets are skipped on access.
  std::map<std::string, std::set<std::string>> ByGroup;
  std::uint64_t FirstPrimaryEpoch = 1;
  std::uint64_t Revision = 0;
};

} // namespace corianderdyke

#endif
