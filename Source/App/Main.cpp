/// \file
/// The program's entry point, the only place that names the adapter that is
/// built in.

#include "App/CommandLine.h"
#include "App/CrashReport.h"
#include "PlatformAdapter.h"

int main(int Count, char **Arguments) {
  corianderdyke::installCrashHandler();
  return corianderdyke::runCommandLine(
      Count, Arguments, corianderdyke::platform::makeProtocolAdapter);
}
