/// \file
/// Differences between two cluster views.

#ifndef CORIANDERDYKE_STATE_VIEWDELTA_H
#define CORIANDERDYKE_STATE_VIEWDELTA_H

#include "Manifest/ManifestDelta.h"
#include "State/ClusterView.h"

#include <set>

namespace corianderdyke {

/// Changes from one view to a later one. The message for a change of one
/// database then has the size of that change. With thousands of databases,
/// sending the whole view on every restart of any node would use up the network
/// share of each node.
struct ViewDelta {
  std::uint64_t Base = 0; ///< Revision of the view that it applies to.
  std::uint64_t Revision = 0;
  /// The first manifest, or the changes to the current one. Both are empty if
  /// the manifest does not change.
  std::optional<Manifest> NewManifest;
  std::optional<ManifestDelta> ChangedManifest;
  Millis MaxLeaseDuration;
  std::map<std::string, GroupRecord> Groups;         ///< New or changed.
  std::map<std::string, TargetAnnouncement> Targets; ///< New or changed.
  std::map<ProcessId, Locality> Proxies;             ///< New or changed.
  std::set<std::string> RemovedGroups;
  std::set<std::string> RemovedTargets;
  std::set<ProcessId> RemovedProxies;

  bool operator==(const ViewDelta &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Base, Revision, NewManifest, ChangedManifest, MaxLeaseDuration, Groups,
       Targets, Proxies, RemovedGroups, RemovedTargets, RemovedProxies);
  }
};

/// Returns the delta that turns \p From into \p To.
ViewDelta computeDelta(const ClusterView &From, const ClusterView &To);

/// Returns the view after a delta, or Conflict if the delta does not apply to
/// the revision of \p View.
Expected<ClusterView> applyDelta(const ClusterView &View,
                                 const ViewDelta &Delta);

} // namespace corianderdyke

#endif
