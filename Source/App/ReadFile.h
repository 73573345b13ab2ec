/// \file
/// Reads settings files, manifests and key files.

#ifndef CORIANDERDYKE_APP_READFILE_H
#define CORIANDERDYKE_APP_READFILE_H

#include "Common/Error.h"

namespace corianderdyke {

/// Returns the whole content; NotFound if the file cannot be read.
Expected<std::string> readFile(const std::string &Path);

} // namespace corianderdyke

#endif
