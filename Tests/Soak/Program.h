/// \file
/// Starts, signals and ends one real process of the tested program.

#ifndef CORIANDERDYKE_TESTS_SOAK_PROGRAM_H
#define CORIANDERDYKE_TESTS_SOAK_PROGRAM_H

#include <string>
#include <sys/types.h>

namespace corianderdyke::soak {

/// Ends only the process that it started, by its process id.
class Program {
public:
  /// Appends the output of the process to \p Log.
  Program(std::string Binary, std::string Settings, std::string Log)
      : Binary(std::move(Binary)), Settings(std::move(Settings)),
        Log(std::move(Log)) {}
  ~Program();
  Program(Program &&Other) noexcept;
  Program(const Program &) = delete;
  Program &operator=(const Program &) = delete;

  /// Starts the process with at most \p MaxFiles descriptors, 0 for no limit.
  /// Stop and reload signals are blocked until the program unblocks them;
  /// before it installs its handlers they would have their default action.
  void start(unsigned MaxFiles = 0);
  void signal(int Which) const;
  /// Sends SIGKILL and waits for the end of the process.
  void kill();
  /// Returns true while the process exists, paused or not. Records its exit
  /// status.
  bool isRunning();
  /// Returns the last exit status: the exit code, or 128 plus the signal.
  int lastEnd() const { return Ended; }

private:
  std::string Binary;
  std::string Settings;
  std::string Log;
  pid_t Id = 0; ///< 0 while no process runs.
  int Ended = 0;
};

} // namespace corianderdyke::soak

#endif
