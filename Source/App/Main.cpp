/// \file
/// The program's entry point, the only place that names the adapter that is
/// built in.

#include "App/CommandLine.h"
#include "App/CrashReport.h"
#include "PlatformAdapter.h"

int main(int ArgumentCount, char **Arguments) {
  corianderdyke::installCrashHandler();
  return corianderdyke::runCommandLine(
      ArgumentCount, Arguments, corianderdyke::platform::makeProtocolAdapter);
}
