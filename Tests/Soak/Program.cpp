/// \file
/// Implements the control of one real process.

#include "Program.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace corianderdyke::soak {

namespace {

constexpr int SignalOffset = 128;
constexpr int LogMode = 0644;

} // namespace

Program::~Program() { kill(); }

Program::Program(Program &&Other) noexcept
    : Binary(std::move(Other.Binary)), Settings(std::move(Other.Settings)),
      Log(std::move(Other.Log)), Id(std::exchange(Other.Id, 0)),
      Ended(Other.Ended) {}

void Program::start(unsigned MaxFiles) {
  posix_spawn_file_actions_t Files;
  posix_spawn_file_actions_init(&Files);
  posix_spawn_file_actions_addopen(&Files, STDOUT_FILENO, Log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, LogMode);
  posix_spawn_file_actions_adddup2(&Files, STDOUT_FILENO, STDERR_FILENO);
  posix_spawnattr_t Attributes;
  posix_spawnattr_init(&Attributes);
  sigset_t Held;
  sigemptyset(&Held);
  for (const int Each : {SIGTERM, SIGINT, SIGHUP})
    sigaddset(&Held, Each);
  posix_spawnattr_setsigmask(&Attributes, &Held);
  posix_spawnattr_setflags(&Attributes, POSIX_SPAWN_SETSIGMASK);
  std::string Verb = "run";
  char *Arguments[] = {Binary.data(), Verb.data(), Settings.data(), nullptr};
  const int Failure =
      posix_spawn(&Id, Binary.c_str(), &Files, &Attributes, Arguments, environ);
  posix_spawnattr_destroy(&Attributes);
  posix_spawn_file_actions_destroy(&Files);
  if (Failure != 0)
    throw std::runtime_error("cannot start " + Binary);
  const rlimit Limit{MaxFiles, MaxFiles};
  if (MaxFiles != 0 && prlimit(Id, RLIMIT_NOFILE, &Limit, nullptr) != 0)
    throw std::runtime_error("cannot limit the descriptors of " + Binary);
}

void Program::signal(int Which) const {
  if (Id > 0)
    ::kill(Id, Which);
}

void Program::kill() {
  if (Id <= 0)
    return;
  signal(SIGKILL);
  int Status = 0;
  waitpid(std::exchange(Id, 0), &Status, 0);
  Ended = SignalOffset + SIGKILL;
}

bool Program::isRunning() {
  int Status = 0;
  if (Id <= 0 || waitpid(Id, &Status, WNOHANG) != Id)
    return Id > 0;
  Id = 0;
  Ended = WIFSIGNALED(Status) ? SignalOffset + WTERMSIG(Status)
                              : WEXITSTATUS(Status);
  return false;
}

} // namespace corianderdyke::soak
