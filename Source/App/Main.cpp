/// \file
/// The command line of corianderdyke.

#include "App/OperatorClient.h"
#include "App/Process.h"
#include "Logs/LogEvents.h"
#include "Manifest/ManifestFile.h"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

namespace corianderdyke {

namespace {

/// Exit codes, as Help/command/exit-codes.md lists them.
enum ExitCode : int {
  Success = 0,
  Failure = 1,     ///< It was tried and didn't work.
  BadFile = 2,     ///< A file has findings.
  Refused = 3,     ///< The control group refused the change.
  Unreachable = 4, ///< No control host that leads answered.
};

constexpr Millis OperatorPatience(10000);
constexpr int StatusOk = 200;

Expected<std::string> readFile(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  if (!In)
    return fail(ErrorCode::NotFound, Path + ": can't be read");
  std::ostringstream Out;
  Out << In.rdbuf();
  return std::move(Out).str();
}

int report(const Findings &Found) {
  std::cerr << text(Found);
  return BadFile;
}

int report(const Error &Problem, int Code) {
  std::cerr << Problem.Message << "\n";
  return Code;
}

int runProcess(const std::string &Path) {
  const auto Text = readFile(Path);
  if (!Text)
    return report(Text.error(), BadFile);
  const auto Options = parseSettings(Path, *Text);
  if (!Options)
    return report(Options.error());
  setUpLogs(Options->JsonLogs);
  auto Made = Process::make(*Options);
  if (!Made) {
    logEvent(EventId::StartRefused, {{"error", Made.error().Message}});
    return Failure;
  }
  return (*Made)->run();
}

int checkFile(const std::string &Path, bool IsManifest) {
  const auto Text = readFile(Path);
  if (!Text)
    return report(Text.error(), BadFile);
  if (IsManifest) {
    const auto Parsed = parseManifest(Path, *Text);
    if (!Parsed)
      return report(Parsed.error());
    std::cout << Path << ": version " << Parsed->Version << ", digest "
              << Parsed->digest() << "\n";
    return Success;
  }
  const auto Parsed = parseSettings(Path, *Text);
  if (!Parsed)
    return report(Parsed.error());
  std::cout << Path << ": good\n";
  return Success;
}

struct OperatorOptions {
  std::vector<std::string> Hosts;
  std::string Operator = "operator";
};

int ask(const OperatorOptions &Options, HttpRequest Request) {
  std::vector<Endpoint> Hosts;
  for (const std::string &Each : Options.Hosts) {
    const auto Parsed = Endpoint::parse(Each);
    if (!Parsed)
      return report(Parsed.error(), BadFile);
    Hosts.push_back(*Parsed);
  }
  Request.Headers["Operator"] = Options.Operator;
  const auto Answer = askLeader(Hosts, Request, OperatorPatience);
  if (!Answer)
    return report(Answer.error(), Unreachable);
  std::cout << Answer->Body;
  return Answer->Status == StatusOk ? Success : Refused;
}

int applyManifest(const OperatorOptions &Options, const std::string &Path) {
  const auto Text = readFile(Path);
  if (!Text)
    return report(Text.error(), BadFile);
  const auto Parsed = parseManifest(Path, *Text);
  if (!Parsed)
    return report(Parsed.error());
  HttpRequest Request;
  Request.Method = HttpMethod::Post;
  Request.Path = "/v1/manifest";
  Request.Headers["Manifest-File"] = Path;
  Request.Body = *Text;
  return ask(Options, std::move(Request));
}

int show(const OperatorOptions &Options, const std::string &Path) {
  HttpRequest Request;
  Request.Path = Path;
  return ask(Options, std::move(Request));
}

void addOperatorOptions(CLI::App &To, OperatorOptions &Options) {
  To.add_option("--control", Options.Hosts,
                "Operators' address of a control host; once for each host")
      ->required();
  To.add_option("--operator", Options.Operator, "Name for the audit trail");
}

int commandLine(int Count, char **Words) {
  CLI::App App("A database proxy with session consistency", "corianderdyke");
  App.require_subcommand(1);
  int Result = Success;

  std::string File;
  CLI::App *Run = App.add_subcommand("run", "Runs a process");
  Run->add_option("settings", File, "Settings file")->required();
  Run->footer("Example: corianderdyke run entry-1.toml");
  Run->callback([&] { Result = runProcess(File); });

  bool IsManifest = false;
  CLI::App *Check =
      App.add_subcommand("check", "Checks a settings file or a manifest");
  Check->add_option("file", File, "The file")->required();
  Check->add_flag("--manifest", IsManifest, "The file is a manifest");
  Check->footer("Example: corianderdyke check --manifest manifest.toml");
  Check->callback([&] { Result = checkFile(File, IsManifest); });

  OperatorOptions Options;
  CLI::App *OfManifest =
      App.add_subcommand("manifest", "Applies and shows manifests");
  OfManifest->require_subcommand(1);
  CLI::App *Apply = OfManifest->add_subcommand("apply", "Puts one in force");
  Apply->add_option("file", File, "The manifest")->required();
  addOperatorOptions(*Apply, Options);
  Apply->footer("Example: corianderdyke manifest apply manifest.toml "
                "--control 127.0.0.1:7201");
  Apply->callback([&] { Result = applyManifest(Options, File); });
  CLI::App *Show = OfManifest->add_subcommand("show", "Shows the latest");
  addOperatorOptions(*Show, Options);
  Show->footer("Example: corianderdyke manifest show --control "
               "127.0.0.1:7201");
  Show->callback([&] { Result = show(Options, "/v1/manifest"); });

  CLI::App *Status = App.add_subcommand("status", "Shows groups and proxies");
  addOperatorOptions(*Status, Options);
  Status->footer("Example: corianderdyke status --control 127.0.0.1:7201");
  Status->callback([&] { Result = show(Options, "/v1/status"); });

  CLI::App *Audit = App.add_subcommand("audit", "Shows the audit trail");
  addOperatorOptions(*Audit, Options);
  Audit->footer("Example: corianderdyke audit --control 127.0.0.1:7201");
  Audit->callback([&] { Result = show(Options, "/v1/audit"); });

  CLI::App *Version = App.add_subcommand("version", "Shows the version");
  Version->callback([] { std::cout << "corianderdyke 0.1.0\n"; });

  CLI11_PARSE(App, Count, Words);
  return Result;
}

} // namespace

} // namespace corianderdyke

int main(int Count, char **Words) {
  return corianderdyke::commandLine(Count, Words);
}
