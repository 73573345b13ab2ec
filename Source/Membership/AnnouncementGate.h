/// \file
/// Decides which target announcements the leading control host accepts.

#ifndef CORIANDERDYKE_MEMBERSHIP_ANNOUNCEMENTGATE_H
#define CORIANDERDYKE_MEMBERSHIP_ANNOUNCEMENTGATE_H

#include "Lease/LeaseRegistry.h"
#include "State/Command.h"

#include <set>

namespace corianderdyke {

/// An announcement is accepted if its sender has the target key, its database
/// is in the manifest, and the group has a place for its name. A name belongs
/// to the host and address that first announced it, until that target leaves or
/// has been silent and unreachable by the proxies for a long time.
class AnnouncementGate {
public:
  /// Initializes the gate on a new leader, which counts the silence of all
  /// targets from \p Now.
  void reset(const ClusterView &View, Millis Now);

  /// Returns the command to propose for an announcement: one that records it,
  /// one that records once why it is refused, or none.
  std::optional<CommandBody> evaluate(const ClusterView &View,
                                      const TargetAnnouncement &Announcement,
                                      Millis Now);

  /// Returns commands that remove expired targets.
  std::vector<RemoveTarget> expired(const ClusterView &View,
                                    const LeaseRegistry &Leases, Millis Now);

  /// Time after which a silent target is removed. It is longer than a host
  /// takes to restart. Until then the place of the target in the group is kept,
  /// because only its own log proves that it holds the writes that it copied.
  static constexpr Millis SilentTargetTimeout = Millis(60000);
  /// Time after which a target that announced that it is leaving is removed.
  static constexpr Millis LeavingTargetTimeout = Millis(5000);
  /// Maximum number of refusals recorded during one leadership. A flood of
  /// wrong announcements must not fill the audit trail.
  static constexpr std::size_t MaxRecordedRefusals = 200;

private:
  std::map<std::string, Millis> LastAnnounced;
  std::map<std::string, Millis> ProposedRemoval;
  std::set<std::pair<std::string, Endpoint>> RecordedRefusals;
};

} // namespace corianderdyke

#endif
