/// \file
/// Reads a manifest from TOML.

#ifndef CORIANDERDYKE_MANIFEST_MANIFESTFILE_H
#define CORIANDERDYKE_MANIFEST_MANIFESTFILE_H

#include "Common/Finding.h"
#include "Manifest/Manifest.h"
#include "Settings/KeySchema.h"

#include <tl/expected.hpp>

namespace corianderdyke {

/// The keys of a manifest; Help/manifest.md lists the same.
const KeySchema &manifestKeys();

/// What two good manifests don't share, defaults included.
std::vector<ItemDifference> diffManifests(const std::string &Before,
                                          const std::string &After);

/// The manifest in \p Text, or all its faults. \p File names it in findings.
tl::expected<Manifest, Findings> parseManifest(const std::string &File,
                                               const std::string &Text);

} // namespace corianderdyke

#endif
