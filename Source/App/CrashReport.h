/// \file
/// Reports a fatal signal as one log line before the process ends by it.

#ifndef CORIANDERDYKE_APP_CRASHREPORT_H
#define CORIANDERDYKE_APP_CRASHREPORT_H

namespace corianderdyke {

/// From now on a fatal signal (bad memory access, abort) writes the log event
/// "crashed" to standard output and then ends the process as it would have
/// ended. The line holds the signal, the address accessed, the program counter
/// and the calls that led there, innermost first. Code addresses are offsets
/// into the program that addr2line understands; those in libraries have the
/// library's name before them. The line has no time: formatting one isn't safe
/// inside a signal handler.
void installCrashHandler();

} // namespace corianderdyke

#endif
