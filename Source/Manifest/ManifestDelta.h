/// \file
/// The difference between a manifest and a later one.

#ifndef CORIANDERDYKE_MANIFEST_MANIFESTDELTA_H
#define CORIANDERDYKE_MANIFEST_MANIFESTDELTA_H

#include "Common/Error.h"
#include "Manifest/Manifest.h"

namespace corianderdyke {

/// The changes of one list of a manifest.
template <class T> struct ItemChanges {
  std::vector<T> Changed; ///< Items that are new or have changed content.
  std::vector<std::string> Removed;

  bool operator==(const ItemChanges &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Changed, Removed); }
};

/// The changes between two manifests. The size of the message is that of the
/// changed items: with thousands of databases, complete manifests would use
/// most of the bandwidth that control may use to each node.
struct ManifestDelta {
  std::uint64_t Version = 0;
  /// Digest of the resulting manifest. It ensures that a proxy never uses a
  /// manifest that was not accepted, the result of a delta on a wrong base.
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

/// The manifest after a delta; Conflict if its digest is not that of the delta.
Expected<Manifest> applyDelta(const Manifest &Base, const ManifestDelta &Delta);

} // namespace corianderdyke

#endif
