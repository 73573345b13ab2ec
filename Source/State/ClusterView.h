/// \file
/// What the control group has decided, as far as proxies need it.

#ifndef CORIANDERDYKE_STATE_CLUSTERVIEW_H
#define CORIANDERDYKE_STATE_CLUSTERVIEW_H

#include "Common/Identity.h"
#include "Manifest/Manifest.h"
#include "Membership/TargetAnnouncement.h"

#include <map>
#include <optional>
#include <set>

namespace corianderdyke {

/// Where a term's log began: entries at or before Position are those of the
/// terms before it, later ones are its own.
struct Fork {
  std::uint64_t Term = 0;
  std::uint64_t Position = 0;

  auto operator<=>(const Fork &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Term, Position); }
};

enum class GroupPhase : std::uint8_t {
  Forming,  ///< Too few targets have announced themselves yet.
  Fencing,  ///< The former primary's term has ended; no one may write.
  Promoted, ///< Primary holds the term.
  Draining, ///< Primary is leaving: it ends what runs and begins nothing.
};

/// One database group.
struct GroupRecord {
  std::string Database;
  GroupPhase Phase = GroupPhase::Forming;
  /// Never goes down. While fencing it's the term of the primary to come.
  std::uint64_t Term = 0;
  std::string Primary; ///< Target name; empty unless promoted.
  std::vector<Fork> Forks;
  /// Names of all targets that have announced themselves for it.
  std::set<std::string> Targets;
  /// The announcement by which the primary was known when it was promoted. A
  /// later one is another life, which must not take up the term again.
  std::uint64_t PrimarySequence = 0;
  /// The logs, by target, that are known to hold all that was acknowledged
  /// with a copy at that target. Only these prove anything in a failover.
  std::map<std::string, std::string> CompleteLogs = {};
  /// How many times a name that wasn't in the group has joined it.
  std::uint32_t JoinCount = 0;
  /// Value of Joins once no target can be one of the group's first any more.
  static constexpr std::uint32_t InitialJoinsClosed = UINT32_MAX;
  /// Targets that a failover reads at the least, where what was acknowledged
  /// by an earlier manifest asks for more than the present one does. 0 where
  /// the present one says enough.
  std::uint32_t MinFailoverQuorum = 0;
  /// Targets that have yet to show, after such a change of the manifest, that
  /// they hold all that was acknowledged before it.
  std::set<std::string> UnverifiedTargets = {};

  auto operator<=>(const GroupRecord &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Database, Phase, Term, Primary, Forks, Targets, PrimarySequence,
       CompleteLogs, JoinCount);
  }

  bool isLogComplete(const TargetAnnouncement &Target) const;

  /// Targets that must tell their position before one is promoted.
  std::size_t failoverQuorum(const DatabasePolicy &Policy) const;

  /// True where new work may begin at the primary.
  bool isWritable() const { return Phase == GroupPhase::Promoted; }
  /// True where what runs at the primary may still be acknowledged.
  bool hasPrimary() const {
    return Phase == GroupPhase::Promoted || Phase == GroupPhase::Draining;
  }

  /// True where a position that was acknowledged in \p InTerm is still part
  /// of the group's log: every later term began at or behind it.
  bool containsPosition(std::uint64_t InTerm, std::uint64_t Position) const;
};

/// The state of decisions after one entry of the control log.
struct ClusterView {
  std::uint64_t Revision = 0;
  std::optional<Manifest> CurrentManifest;
  std::map<std::string, GroupRecord> Groups;
  std::map<std::string, TargetAnnouncement> Targets;
  /// The longest lease that any manifest so far has allowed: a new leader
  /// doesn't know by which of them its predecessor granted.
  Millis MaxLeaseDuration;
  /// Proxies that may hold a lease, by their incarnation.
  std::map<ProcessId, Locality> Proxies;

  bool operator==(const ClusterView &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Revision, CurrentManifest, Groups, Targets, MaxLeaseDuration, Proxies);
  }

  const GroupRecord *group(const std::string &Database) const;
  const TargetAnnouncement *target(const std::string &Name) const;
  /// Why an announcement isn't believed; empty where it is.
  std::string refusalReason(const TargetAnnouncement &Announcement) const;
  std::vector<TargetAnnouncement>
  allTargetsOf(const std::string &Database) const;
  /// Targets of a database that aren't leaving.
  std::vector<TargetAnnouncement> targetsOf(const std::string &Database) const;
};

} // namespace corianderdyke

#endif
