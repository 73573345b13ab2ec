/// \file
/// The replicated decisions of the control group that proxies need.

#ifndef CORIANDERDYKE_STATE_CLUSTERVIEW_H
#define CORIANDERDYKE_STATE_CLUSTERVIEW_H

#include "Common/Identity.h"
#include "Manifest/Manifest.h"
#include "Membership/TargetAnnouncement.h"

#include <map>
#include <optional>
#include <set>

namespace corianderdyke {

/// The position at which the log of a term began: entries up to and including
/// Position belong to earlier terms, later ones to this term.
struct Fork {
  std::uint64_t Term = 0;
  std::uint64_t Position = 0;

  auto operator<=>(const Fork &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Term, Position); }
};

enum class GroupPhase : std::uint8_t {
  Forming,  ///< Too few targets have announced themselves yet.
  Fencing,  ///< Term of the former primary ended; writes are refused.
  Promoted, ///< Primary holds the term.
  Draining, ///< Primary is leaving: it finishes work and begins no more.
};

/// Replicated state of one database group.
struct GroupRecord {
  std::string Database;
  GroupPhase Phase = GroupPhase::Forming;
  /// Never decreases. While fencing, it is the term of the next primary.
  std::uint64_t Term = 0;
  std::string Primary; ///< Target name; empty unless hasPrimary().
  std::vector<Fork> Forks;
  /// Names of all targets that have announced themselves for this database.
  std::set<std::string> Targets;
  /// Announcement sequence of the primary when it was promoted. A later one
  /// belongs to another incarnation, which must not resume the term.
  std::uint64_t PrimarySequence = 0;
  /// Identifiers of the logs, by target name, that are known to hold everything
  /// that was acknowledged with a copy at that target. Only the positions of
  /// these logs count in a failover.
  std::map<std::string, std::string> CompleteLogs = {};
  /// Number of times that a name that was not in the group has joined it.
  std::uint32_t JoinCount = 0;
  /// Value of JoinCount once no target can count as one of the initial targets
  /// of the group any more.
  static constexpr std::uint32_t InitialJoinsClosed = UINT32_MAX;
  /// Minimum number of targets that a failover reads, if writes acknowledged
  /// under an earlier manifest require more than the current manifest does;
  /// otherwise 0.
  std::uint32_t MinFailoverQuorum = 0;
  /// Targets that have not yet proved, after such a change of the manifest,
  /// that they hold everything that was acknowledged before it.
  std::set<std::string> UnverifiedTargets = {};

  auto operator<=>(const GroupRecord &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Database, Phase, Term, Primary, Forks, Targets, PrimarySequence,
       CompleteLogs, JoinCount);
  }

  bool isLogComplete(const TargetAnnouncement &Target) const;

  /// Number of targets that must report their position before one is promoted.
  std::size_t failoverQuorum(const DatabasePolicy &Policy) const;

  /// True if new work may begin at the primary.
  bool isWritable() const { return Phase == GroupPhase::Promoted; }
  /// True if work that runs at the primary may still be acknowledged.
  bool hasPrimary() const {
    return Phase == GroupPhase::Promoted || Phase == GroupPhase::Draining;
  }

  /// True if a position that was acknowledged in \p InTerm is still part of the
  /// log of the group, that is, if every later term began at or after it.
  bool containsPosition(std::uint64_t InTerm, std::uint64_t Position) const;
};

/// The replicated decisions after one entry of the control log.
struct ClusterView {
  std::uint64_t Revision = 0;
  std::optional<Manifest> CurrentManifest;
  std::map<std::string, GroupRecord> Groups;
  std::map<std::string, TargetAnnouncement> Targets;
  /// The longest lease duration that any manifest so far has allowed. A new
  /// leader does not know under which of them its predecessor granted leases.
  Millis MaxLeaseDuration;
  /// Proxies that may hold a lease, by incarnation.
  std::map<ProcessId, Locality> Proxies;

  bool operator==(const ClusterView &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Revision, CurrentManifest, Groups, Targets, MaxLeaseDuration, Proxies);
  }

  const GroupRecord *group(const std::string &Database) const;
  const TargetAnnouncement *target(const std::string &Name) const;
  /// Returns why an announcement is refused, or an empty string if it is
  /// accepted.
  std::string refusalReason(const TargetAnnouncement &Announcement) const;
  std::vector<TargetAnnouncement>
  allTargetsOf(const std::string &Database) const;
  /// Returns the targets of a database that are not leaving.
  std::vector<TargetAnnouncement> targetsOf(const std::string &Database) const;
};

} // namespace corianderdyke

#endif
