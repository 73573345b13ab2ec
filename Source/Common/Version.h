/// \file
/// The version of the program.

#ifndef CORIANDERDYKE_COMMON_VERSION_H
#define CORIANDERDYKE_COMMON_VERSION_H

namespace corianderdyke {

constexpr const char *ProgramVersion = "0.1.0";

} // namespace corianderdyke

#endif
