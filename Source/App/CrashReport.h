/// \file
/// What a process says when a fault of its own ends it.

#ifndef CORIANDERDYKE_APP_CRASHREPORT_H
#define CORIANDERDYKE_APP_CRASHREPORT_H

namespace corianderdyke {

/// From now on a fatal signal (bad memory access, abort) writes the calls that
/// led to it to standard error, as offsets into the program that addr2line
/// understands, and then ends the process as it would have ended. Without
/// them a crash that nobody can repeat leaves nothing to look for.
void reportCrashes();

} // namespace corianderdyke

#endif
