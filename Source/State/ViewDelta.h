/// \file
/// What changed from one cluster view to a later one.

#ifndef CORIANDERDYKE_STATE_VIEWDELTA_H
#define CORIANDERDYKE_STATE_VIEWDELTA_H

#include "Manifest/ManifestDelta.h"
#include "State/ClusterView.h"

#include <set>

namespace corianderdyke {

/// A change of one database costs a message of its size and not of the whole
/// view's, which at thousands of databases would use up a node's share of the
/// network on every restart of any other node.
struct ViewDelta {
  std::uint64_t Base = 0; ///< Revision of the view that it goes on from.
  std::uint64_t Revision = 0;
  /// The first manifest, or how the present one changes; both are empty
  /// where it stays.
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

/// The delta that turns \p From into \p To.
ViewDelta computeDelta(const ClusterView &From, const ClusterView &To);

/// The view after a delta; Conflict where the delta doesn't go on from it.
Expected<ClusterView> applyDelta(const ClusterView &View,
                                 const ViewDelta &Delta);

} // namespace corianderdyke

#endif
