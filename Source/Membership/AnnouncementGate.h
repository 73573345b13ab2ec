/// \file
/// Decides which announcements the leading control host believes.

#ifndef CORIANDERDYKE_MEMBERSHIP_ANNOUNCEMENTGATE_H
#define CORIANDERDYKE_MEMBERSHIP_ANNOUNCEMENTGATE_H

#include "Lease/LeaseRegistry.h"
#include "State/Command.h"

#include <set>

namespace corianderdyke {

/// An announcement is believed where its sender has the target key, its
/// database is in the manifest, and the group has a place for its name. A
/// name belongs to the host and address that took it first, until that target
/// leaves or has been silent and out of the proxies' reach for long.
class AnnouncementGate {
public:
  /// Starts as a new leader, to whom nobody has been silent yet.
  void reset(const ClusterView &View, Millis Now);

  /// What to propose for an announcement: to record it, to note once why it
  /// isn't believed, or nothing.
  std::optional<CommandBody> evaluate(const ClusterView &View,
                                      const TargetAnnouncement &Announcement,
                                      Millis Now);

  /// Targets that are to be forgotten.
  std::vector<RemoveTarget> expired(const ClusterView &View,
                                    const LeaseRegistry &Leases, Millis Now);

  /// Longer than a host takes to restart: until then its place in the group
  /// is kept, because only its own log can stand for what it copied.
  static constexpr Millis SilentTargetTimeout = Millis(60000);
  /// One that announced that it leaves.
  static constexpr Millis LeavingTargetTimeout = Millis(5000);
  /// Refusals noted under one leadership; a flood of wrong announcements must
  /// not fill the audit trail.
  static constexpr std::size_t MaxRecordedRefusals = 200;

private:
  std::map<std::string, Millis> LastAnnounced;
  std::map<std::string, Millis> ProposedRemoval;
  std::set<std::pair<std::string, Endpoint>> RecordedRefusals;
};

} // namespace corianderdyke

#endif
