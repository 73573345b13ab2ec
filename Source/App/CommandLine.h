/// \file
/// The commands of the program and their options.

#ifndef CORIANDERDYKE_APP_COMMANDLINE_H
#define CORIANDERDYKE_APP_COMMANDLINE_H

#include "App/FileCommands.h"

namespace corianderdyke {

/// Runs the command that the words name; the exit code.
int runCommandLine(int Count, char **Words, ProtocolAdapterFactory MakeAdapter);

} // namespace corianderdyke

#endif
