/// \file
/// Reports a fatal signal as one log line before the process ends by it.

#ifndef CORIANDERDYKE_APP_CRASHREPORT_H
#define CORIANDERDYKE_APP_CRASHREPORT_H

namespace corianderdyke {

/// Makes a fatal signal (bad memory access, abort) write the log event
/// "crashed" to standard output before its default action ends the process. The
/// line holds the signal, the address accessed, the program counter and the
/// calls that led there, innermost first. Code addresses are offsets into the
/// program that addr2line accepts; those in libraries are preceded by the
/// library's name. The line has no time: formatting one is not safe inside a
/// signal handler.
void installCrashHandler();

} // namespace corianderdyke

#endif
