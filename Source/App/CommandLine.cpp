/// \file
/// The commands of the program and their options.

#include "App/CommandLine.h"

#include "App/ExitCode.h"
#include "App/FileCommands.h"
#include "App/OperatorCommands.h"
#include "Common/Version.h"

#include <CLI/CLI.hpp>
#include <iostream>

namespace corianderdyke {

namespace {

/// The values of all options, and the exit code of the command that ran.
struct CommandState {
  OperatorOptions Options;
  std::string File;
  std::string Name;
  std::string Subject;
  std::uint64_t Since = 0;
  std::int64_t WaitTimeoutMs = 0;
  bool IsManifest = false;
  bool Wait = false;
  int ExitStatus = Success;
  ProtocolAdapterFactory MakeAdapter;
};

constexpr std::int64_t ApplyTimeoutMs = 10000;
constexpr std::int64_t DrainTimeoutMs = 60000;

CLI::App *addCommand(CLI::App &To, const std::string &Name,
                     const std::string &Description,
                     const std::string &Example) {
  CLI::App *Out = To.add_subcommand(Name, Description);
  Out->footer("Example: corianderdyke " + Example);
  return Out;
}

void addJson(CLI::App &To, CommandState &State) {
  To.add_flag("--json", State.Options.Json, "Shows JSON");
}

void addTimeout(CLI::App &To, CommandState &State) {
  To.add_option("--patience-ms", State.Options.TimeoutMs,
                "How long to look for a process that answers, in ms")
      ->check(CLI::Range(0, 600000))
      ->capture_default_str();
}

void addControl(CLI::App &To, CommandState &State) {
  To.add_option("--control", State.Options.Hosts,
                "Operators' address of a control host; once for each host")
      ->required()
      ->allow_extra_args(false)
      ->delimiter(',')
      ->envname("CORIANDERDYKE_CONTROL");
  addTimeout(To, State);
  addJson(To, State);
}

/// Adds the options of commands that change something.
void addOperator(CLI::App &To, CommandState &State) {
  To.add_option("--operator", State.Options.Operator, "Name in the audit trail")
      ->envname("CORIANDERDYKE_OPERATOR")
      ->capture_default_str();
  To.add_option("--key-file", State.Options.KeyFile,
                "File with the operators' key; without it the environment's "
                "CORIANDERDYKE_OPERATOR_KEY is used");
}

void addWaitTimeout(CLI::App &To, CommandState &State, std::int64_t Default) {
  To.add_option("--bound-ms", State.WaitTimeoutMs,
                "Longest wait in ms, by default " + std::to_string(Default))
      ->check(CLI::Range(0, 3600000));
}

Millis waitTimeout(const CommandState &State, std::int64_t Default) {
  return Millis(State.WaitTimeoutMs == 0 ? Default : State.WaitTimeoutMs);
}

void addFileCommands(CLI::App &App, CommandState &State) {
  CLI::App *Run =
      addCommand(App, "run", "Runs a process until a signal ends it",
                 "run Examples/riga/entry-1.toml");
  Run->add_option("settings", State.File, "Settings file")->required();
  Run->callback([&State] {
    State.ExitStatus = runProcess(State.File, State.MakeAdapter);
  });

  CLI::App *Check =
      addCommand(App, "check", "Checks a settings file or a manifest",
                 "check --manifest Examples/riga/manifest.toml");
  Check->add_option("file", State.File, "The file")->required();
  Check->add_flag("--manifest", State.IsManifest, "The file is a manifest");
  addJson(*Check, State);
  Check->callback([&State] {
    State.ExitStatus = State.IsManifest
                           ? checkManifest(State.File, State.Options.Json)
                           : checkSettings(State.File, State.Options.Json);
  });

  CLI::App *Catalogue = addCommand(
      App, "catalogue", "Shows a table of the manual", "catalogue metrics");
  Catalogue
      ->add_option("name", State.Name, "settings, manifest, events or metrics")
      ->required()
      ->check(CLI::IsMember({"settings", "manifest", "events", "metrics"}));
  Catalogue->callback(
      [&State] { State.ExitStatus = printCatalogue(State.Name); });

  CLI::App *Version =
      addCommand(App, "version", "Shows the version", "version");
  addJson(*Version, State);
  Version->callback([&State] {
    if (State.Options.Json)
      std::cout << "{\"version\": \"" << ProgramVersion
                << "\", \"revision\": \"" << SourceRevision << "\"}\n";
    else
      std::cout << "corianderdyke " << ProgramVersion << " (revision "
                << SourceRevision << ")\n";
  });
}

void addManifestCommands(CLI::App &App, CommandState &State) {
  CLI::App *Manifest =
      App.add_subcommand("manifest", "Applies, shows and compares manifests");
  Manifest->require_subcommand(1);
  CLI::App *Apply = addCommand(
      *Manifest, "apply", "Makes a manifest the one in force",
      "manifest apply manifest.toml --wait --control 127.0.0.1:7201");
  Apply->add_option("file", State.File, "The manifest")->required();
  Apply->add_flag("--wait", State.Wait,
                  "Returns only once it's in force everywhere");
  addWaitTimeout(*Apply, State, ApplyTimeoutMs);
  addControl(*Apply, State);
  addOperator(*Apply, State);
  Apply->callback([&State] {
    State.ExitStatus = OperatorCommands(State.Options)
                           .applyManifest(State.File, State.Wait,
                                          waitTimeout(State, ApplyTimeoutMs));
  });
  CLI::App *Show = addCommand(*Manifest, "show", "Shows the latest manifest",
                              "manifest show --control 127.0.0.1:7201");
  addControl(*Show, State);
  Show->callback([&State] {
    State.ExitStatus = OperatorCommands(State.Options).showManifest();
  });
  CLI::App *Difference = addCommand(
      *Manifest, "diff", "Tells what applying a manifest would change",
      "manifest diff manifest.toml --control 127.0.0.1:7201");
  Difference->add_option("file", State.File, "The manifest")->required();
  addControl(*Difference, State);
  Difference->callback([&State] {
    State.ExitStatus =
        OperatorCommands(State.Options).compareManifest(State.File);
  });
  CLI::App *History =
      addCommand(*Manifest, "history", "Lists the manifests of the past",
                 "manifest history --control 127.0.0.1:7201");
  addControl(*History, State);
  History->callback([&State] {
    State.ExitStatus = OperatorCommands(State.Options).manifestHistory();
  });
}

void addStateCommands(CLI::App &App, CommandState &State) {
  CLI::App *Status =
      addCommand(App, "status", "Shows groups, targets, proxies and leases",
                 "status --control 127.0.0.1:7201");
  addControl(*Status, State);
  Status->callback([&State] {
    State.ExitStatus = OperatorCommands(State.Options).status();
  });
  CLI::App *Audit =
      addCommand(App, "audit", "Shows the audit trail",
                 "audit --subject bale-ledger-1 --control 127.0.0.1:7201");
  Audit->add_option("--subject", State.Subject,
                    "Only lines about this database, target or proxy, or "
                    "about \"manifest\"");
  Audit->add_option("--since", State.Since, "Only lines after this revision");
  addControl(*Audit, State);
  Audit->callback([&State] {
    State.ExitStatus =
        OperatorCommands(State.Options).audit(State.Subject, State.Since);
  });
}

void addControlCommands(CLI::App &App, CommandState &State) {
  CLI::App *Control =
      App.add_subcommand("control", "Changes who is in the control group");
  Control->require_subcommand(1);
  CLI::App *Add = addCommand(*Control, "add",
                             "Makes a control host that has caught up a voter",
                             "control add control-4 --control 127.0.0.1:7201");
  Add->add_option("name", State.Name, "Name of the control host")->required();
  addControl(*Add, State);
  addOperator(*Add, State);
  Add->callback([&State] {
    State.ExitStatus =
        OperatorCommands(State.Options).addControlHost(State.Name);
  });
  CLI::App *Remove =
      addCommand(*Control, "remove", "Takes a control host out of the group",
                 "control remove control-1 --control 127.0.0.1:7202");
  Remove->add_option("name", State.Name, "Name of the control host")
      ->required();
  addControl(*Remove, State);
  addOperator(*Remove, State);
  Remove->callback([&State] {
    State.ExitStatus =
        OperatorCommands(State.Options).removeControlHost(State.Name);
  });
}

void addDrainCommands(CLI::App &App, CommandState &State) {
  CLI::App *Drain = App.add_subcommand("drain", "Takes work off a process");
  Drain->require_subcommand(1);
  CLI::App *Target = addCommand(
      *Drain, "target", "Gives a target no new work until its next start",
      "drain target ledger-1-2 --control 127.0.0.1:7201");
  Target->add_option("name", State.Name, "Name of the target")->required();
  addControl(*Target, State);
  addOperator(*Target, State);
  Target->callback([&State] {
    State.ExitStatus = OperatorCommands(State.Options).drainTarget(State.Name);
  });
  CLI::App *Proxy = addCommand(
      *Drain, "proxy", "Stops a proxy gracefully and waits until it's gone",
      "drain proxy --proxy 127.0.0.1:7211");
  Proxy
      ->add_option("--proxy", State.Options.Hosts,
                   "Operators' address of the proxy")
      ->required()
      ->expected(1);
  addWaitTimeout(*Proxy, State, DrainTimeoutMs);
  addTimeout(*Proxy, State);
  addJson(*Proxy, State);
  addOperator(*Proxy, State);
  Proxy->callback([&State] {
    State.ExitStatus = OperatorCommands(State.Options)
                           .drainProxy(waitTimeout(State, DrainTimeoutMs));
  });
}

} // namespace

int runCommandLine(int ArgumentCount, char **Arguments,
                   ProtocolAdapterFactory MakeAdapter) {
  CLI::App App("A database proxy with session consistency", "corianderdyke");
  App.require_subcommand(1);
  App.footer("Example: corianderdyke run Examples/riga/entry-1.toml\n"
             "The manual tells the exit codes: Help/command/exit-codes.md.");
  CommandState State;
  State.MakeAdapter = std::move(MakeAdapter);
  if (const char *Key = std::getenv("CORIANDERDYKE_OPERATOR_KEY"))
    State.Options.Key = Key;
  addFileCommands(App, State);
  addManifestCommands(App, State);
  addStateCommands(App, State);
  addControlCommands(App, State);
  addDrainCommands(App, State);
  try {
    App.parse(ArgumentCount, Arguments);
  } catch (const CLI::ParseError &Problem) {
    return App.exit(Problem) == 0 ? Success : UsageError;
  }
  return State.ExitStatus;
}

} // namespace corianderdyke
