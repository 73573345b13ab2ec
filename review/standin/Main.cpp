/// \file
/// Entry point of a case: PROGRAM FOLDER RECORD. TROUBLE=0 in the environment
/// leaves the disruption out.

#include "Main.h"

#include <cstdlib>
#include <exception>
#include <iostream>

namespace {

/// Stops a run that hangs, well below the limit for a script.
constexpr std::int64_t LimitMs = 110000;

[[noreturn]] void runCase(char **Words) {
  auto &Log = review::keep(std::make_unique<review::Record>(Words[3]));
  const char *Trouble = std::getenv("TROUBLE");
  const review::Arguments Given{
      Words[1], Words[2], Trouble == nullptr || std::string(Trouble) != "0"};
  std::thread([] {
    review::sleepMs(LimitMs);
    std::cerr << "the run took too long\n";
    std::_Exit(review::CannotRun);
  }).detach();
  const int Code = review::run(Given, Log);
  Log.write("check", Code == review::Held     ? "the rule HELD"
                     : Code == review::Broken ? "the rule was BROKEN"
                                              : "the case could not run");
  // Threads of the stand-ins may still run.
  std::_Exit(Code);
}

} // namespace

int main(int Count, char **Words) {
  if (Count != 4) {
    std::cerr << "usage: PROGRAM FOLDER RECORD\n";
    return review::CannotRun;
  }
  try {
    runCase(Words);
  } catch (const std::exception &Problem) {
    std::cerr << Problem.what() << "\n";
    std::_Exit(review::CannotRun);
  }
}
