/// \file
/// The commands of the program and their options.

#ifndef CORIANDERDYKE_APP_COMMANDLINE_H
#define CORIANDERDYKE_APP_COMMANDLINE_H

#include "App/FileCommands.h"

namespace corianderdyke {

/// Runs the command that the arguments name; returns the exit code.
int runCommandLine(int ArgumentCount, char **Arguments,
                   ProtocolAdapterFactory MakeAdapter);

} // namespace corianderdyke

#endif
