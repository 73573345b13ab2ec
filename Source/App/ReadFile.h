/// \file
/// Reads files that people wrote.

#ifndef CORIANDERDYKE_APP_READFILE_H
#define CORIANDERDYKE_APP_READFILE_H

#include "Common/Error.h"

namespace corianderdyke {

/// The whole content; NotFound where the file can't be read.
Expected<std::string> readFile(const std::string &Path);

} // namespace corianderdyke

#endif
