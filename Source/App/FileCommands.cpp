/// \file
/// The commands that need no running system.

#include "App/FileCommands.h"

#include "App/ExitCode.h"
#include "App/Process.h"
#include "App/ReadFile.h"
#include "App/SteeringProcess.h"
#include "Common/JsonText.h"
#include "Logs/LogEvents.h"
#include "Loop/BlockedSignals.h"
#include "Manifest/ManifestFile.h"
#include "Operators/StatusReport.h"

#include <csignal>
#include <iostream>

namespace corianderdyke {

namespace {

int report(const Findings &Found, bool Json) {
  if (Json)
    std::cout << jsonText({{"findings", findingsReport(Found)}}, 2) << "\n";
  else
    std::cerr << findingsText(Found);
  return InvalidFile;
}

int report(const Error &Problem) {
  std::cerr << Problem.Message << "\n";
  return InvalidFile;
}

template <class T> int runOrReportError(Expected<std::unique_ptr<T>> Created) {
  if (!Created) {
    logEvent(EventId::StartRefused, {{"error", Created.error().Message}});
    return Failure;
  }
  return (*Created)->run();
}

} // namespace

int runProcess(const std::string &SettingsFile,
               const ProtocolAdapterFactory &MakeAdapter) {
  blockSignals({SIGTERM, SIGINT, SIGHUP});
  const auto Text = readFile(SettingsFile);
  if (!Text)
    return report(Text.error());
  const auto Options = parseSettings(SettingsFile, *Text);
  if (!Options)
    return report(Options.error(), false);
  configureLogging(Options->JsonLogs, static_cast<Severity>(Options->Level));
  if (Options->Fencing == FencingMode::Targets)
    return runOrReportError(
        SteeringProcess::make(*Options, SettingsFile, MakeAdapter()));
  return runOrReportError(Process::make(*Options, SettingsFile, *Text));
}

int checkSettings(const std::string &File, bool Json) {
  const auto Text = readFile(File);
  if (!Text)
    return report(Text.error());
  const auto Parsed = parseSettings(File, *Text);
  if (!Parsed)
    return report(Parsed.error(), Json);
  if (Json)
    std::cout << jsonText({{"findings", nlohmann::json::array()},
                           {"name", Parsed->Name}},
                          2)
              << "\n";
  else
    std::cout << File << ": good settings of " << Parsed->Name << "\n";
  return Success;
}

int checkManifest(const std::string &File, bool Json) {
  const auto Text = readFile(File);
  if (!Text)
    return report(Text.error());
  const auto Parsed = parseManifest(File, *Text);
  if (!Parsed)
    return report(Parsed.error(), Json);
  if (Json)
    std::cout << jsonText({{"findings", nlohmann::json::array()},
                           {"version", Parsed->Version},
                           {"digest", Parsed->digest()}},
                          2)
              << "\n";
  else
    std::cout << File << ": good manifest, version " << Parsed->Version
              << ", digest " << Parsed->digest() << "\n";
  return Success;
}

int printCatalogue(const std::string &Name) {
  if (Name == "settings")
    std::cout << settingKeys().markdown();
  else if (Name == "manifest")
    std::cout << manifestKeys().markdown();
  else if (Name == "events")
    std::cout << eventMarkdown();
  else
    std::cout << metricMarkdown();
  return Success;
}

} // namespace corianderdyke
