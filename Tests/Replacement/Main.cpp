/// \file
/// Command line of the plays of replaced control hosts.

#include "Play.h"

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <filesystem>
#include <iostream>

int main(int Count, char **Words) {
  using namespace corianderdyke::replacement;
  std::string Program;
  std::string Folder;
  std::string SlowProgram;
  std::uint64_t Seed = 1;
  bool IsLossAfterStops = false;
  bool AwaitsVotes = false;
  bool IsVerbose = false;
  CLI::App App{"Replaces two control hosts, then loses two disks, with real "
               "processes. Exits with 1 if the acknowledged desired state is "
               "lost or late although no more was lost than allowed."};
  App.add_option("--program", Program, "The program to test")->required();
  App.add_option("--folder", Folder, "Folder for logs and data")->required();
  App.add_option("--slow-program", SlowProgram,
                 "The program to test with slow disks; none if missing");
  App.add_option("--seed", Seed, "Seed of times and orders");
  App.add_flag("--loss-after-stops", IsLossAfterStops,
               "The disks are lost right after the planned stops");
  App.add_flag("--await-votes", AwaitsVotes,
               "The replaced hosts stop once their replacements vote");
  App.add_flag("--verbose", IsVerbose, "Prints each step");
  CLI11_PARSE(App, Count, Words);

  Steps Drawn =
      IsLossAfterStops ? Steps::lossRightAfterStops(Seed) : Steps::draw(Seed);
  Drawn.AwaitsVotes |= AwaitsVotes;
  if (SlowProgram.empty())
    Drawn.SyncDelay = corianderdyke::Millis(0);
  if (Drawn.SyncDelay.count() != 0) {
    Program = SlowProgram;
    ::setenv("SLOW_SYNC_MS", std::to_string(Drawn.SyncDelay.count()).c_str(),
             1);
  }
  std::filesystem::remove_all(Folder);
  std::filesystem::create_directories(Folder);
  Play Played(Program, Folder, Drawn);
  const Verdict Result = Played.run();
  const bool HasFailed = Result != Verdict::Held && !Played.isExcused();
  if (IsVerbose || HasFailed)
    std::cout << Played.record();
  std::cout << "seed " << Seed << ": " << verdictName(Result)
            << (Result != Verdict::Held && Played.isExcused()
                    ? " (more was lost than allowed)"
                    : "")
            << "; " << Drawn.text() << "\n";
  return HasFailed ? 1 : 0;
}
