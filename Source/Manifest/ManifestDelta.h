/// \file
/// What changed from one manifest to a later one.

#ifndef CORIANDERDYKE_MANIFEST_MANIFESTDELTA_H
#define CORIANDERDYKE_MANIFEST_MANIFESTDELTA_H

#include "Common/Error.h"
#include "Manifest/Manifest.h"

namespace corianderdyke {

/// The changed items of one of a manifest's lists.
template <class T> struct ItemChanges {
  std::vector<T> Changed; ///< New or with other content.
  std::vector<std::string> Removed;

  bool operator==(const ItemChanges &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Changed, Removed); }
};

/// A change of one item costs a message of its size. At thousands of
/// databases whole manifests alone would use up most of what control may send
/// to a node.
struct ManifestDelta {
  std::uint64_t Version = 0;
  /// Digest of the manifest that comes out. A proxy must never run one that
  /// nobody accepted, put together from a delta and the wrong base.
  std::string Digest;
  ItemChanges<OrganisationPolicy> Organisations;
  ItemChanges<DatabasePolicy> Databases;
  ItemChanges<RequestKindPolicy> Kinds;
  LimitPolicy Limits;
  FailoverPolicy Failover;

  bool operator==(const ManifestDelta &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Version, Digest, Organisations, Databases, Kinds, Limits, Failover);
  }
};

/// The delta that turns \p From into \p To.
ManifestDelta computeDelta(const Manifest &From, const Manifest &To);

/// The manifest after a delta; Conflict where it isn't the one meant.
Expected<Manifest> applyDelta(const Manifest &Base, const ManifestDelta &Delta);

} // namespace corianderdyke

#endif
