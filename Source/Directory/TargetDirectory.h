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

/// Why a heartbeat may not change the directory.
enum class HeartbeatConflict : std::uint8_t {
  None,
  Id,      ///< A target of a declared group has the id.
  Address, ///< A target of a declared group has the address.
  Limit,   ///< Too many targets of groups that are not declared.
};

/// The name of the conflict in metrics.
const char *conflictName(HeartbeatConflict What);

/// Groups that the plan names are declared. Any program may report targets of
/// other groups, so these replace no target of a declared group, and are
/// replaced by those.
class TargetDirectory {
public:
  /// Sets the declared groups. All are before the first call.
  void declareGroups(std::set<std::string> Names) {
    Declared = std::move(Names);
  }
  /// True if a target is known whose group is not declared.
  bool hasUndeclared() const;

  /// Checks whether a heartbeat may be applied.
  HeartbeatConflict conflictOf(const TargetRecord &Reported) const;

  /// Starts primary epochs above all epochs of earlier terms: a leader without
  /// the records of those terms would otherwise give a new primary the epoch of
  /// a former one.
  void beginTerm(std::uint64_t Term);

  /// Applies a target's heartbeat; returns true if it changed anything that
  /// must be published. A record with an older sequence or incarnation is
  /// ignored: a heartbeat delayed by a partition would otherwise revive an
  /// ended incarnation. The first heartbeat of a later incarnation replaces the
  /// whole record, including the flags for leaving and gone, and the first
  /// heartbeat of a declared group replaces a record of another one. The caller
  /// has checked conflictOf().
  bool applyHeartbeat(TargetRecord Reported, Millis Now);

  /// Deregisters one incarnation of a target. A late request of an earlier
  /// incarnation is ignored.
  bool deregister(const std::string &Id, std::uint64_t Incarnation, Millis Now);

  /// Merges records of another process; returns true if any record changed.
  bool merge(const std::vector<TargetRecord> &Others, Millis Now);

  /// Removes targets that have been gone for longer than GoneRetention. Targets
  /// of groups that are not declared are gone after the same time in silence.
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
  /// Targets of groups that are not declared, all of which may register before
  /// the first plan.
  static constexpr std::size_t MaxUndeclared = 4096;

private:
  struct TrackedTarget {
    TargetRecord Record;
    Millis LastUpdate;
    Millis GoneAt;
    std::uint64_t ChangedRevision = 0; ///< Revision of the last change.
    /// Its group was declared at the last heartbeat or when it was merged, so
    /// it has replaced other targets at its address.
    bool HasAddress = false;
  };

  bool isDeclared(const std::string &Group) const {
    return !Declared || Declared->count(Group) != 0;
  }
  /// True if a record of \p Group must not replace one of \p Known.
  bool yields(const std::string &Group, const std::string &Known) const {
    return !isDeclared(Group) && isDeclared(Known);
  }
  void insert(const std::string &Id, TrackedTarget New);
  /// Marks other targets at the address as gone, if the group is declared.
  /// False if a later incarnation under another id has the address.
  bool takeAddress(const TargetRecord &Reported, Millis Now);
  /// True if a later incarnation under another id is known at the same
  /// address.
  bool isSuperseded(const TargetRecord &Reported) const;
  std::uint64_t nextPrimaryEpoch(const std::string &Group) const;

  /// Upper bound of the changes of primary in one group within one term.
  static constexpr std::uint64_t EpochsPerTerm = 1U << 20U;

  std::map<std::string, TrackedTarget> Targets;
  /// Target ids by group; ids of removed targets are skipped on access.
  std::map<std::string, std::set<std::string>> ByGroup;
  std::optional<std::set<std::string>> Declared; ///< Unset: every group is.
  std::uint64_t FirstPrimaryEpoch = 1;
  std::uint64_t Revision = 0;
};

} // namespace corianderdyke

#endif
