/// \file
/// The version of the program.

#ifndef CORIANDERDYKE_COMMON_VERSION_H
#define CORIANDERDYKE_COMMON_VERSION_H

namespace corianderdyke {

constexpr const char *ProgramVersion = "0.1.0";

/// Digest of the sources that the program was built from: 12 hexadecimal
/// digits. The build generates its definition.
extern const char *const SourceRevision;

} // namespace corianderdyke

#endif
