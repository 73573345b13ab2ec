/// \file
/// Reads a manifest from TOML.

#ifndef CORIANDERDYKE_MANIFEST_MANIFESTFILE_H
#define CORIANDERDYKE_MANIFEST_MANIFESTFILE_H

#include "Common/Finding.h"
#include "Manifest/Manifest.h"
#include "Settings/KeySchema.h"

#include <tl/expected.hpp>

namespace corianderdyke {

/// The keys of a manifest, which Help/manifest.md documents.
const KeySchema &manifestKeys();

/// The values in which two valid manifests differ, including defaults.
std::vector<ItemDifference> diffManifests(const std::string &Before,
                                          const std::string &After);

/// The manifest in \p Text, or all its errors. Findings name it \p File.
tl::expected<Manifest, Findings> parseManifest(const std::string &File,
                                               const std::string &Text);

} // namespace corianderdyke

#endif
