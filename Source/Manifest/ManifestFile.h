/// \file
/// Reads a manifest from TOML.

#ifndef CORIANDERDYKE_MANIFEST_MANIFESTFILE_H
#define CORIANDERDYKE_MANIFEST_MANIFESTFILE_H

#include "Common/Finding.h"
#include "Manifest/Manifest.h"

#include <tl/expected.hpp>

namespace corianderdyke {

/// The manifest in \p Text, or all its faults. \p File names it in findings.
tl::expected<Manifest, Findings> parseManifest(const std::string &File,
                                               const std::string &Text);

} // namespace corianderdyke

#endif
