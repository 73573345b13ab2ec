/// \file
/// What a process says when a fault of its own ends it.

#include "App/CrashReport.h"

#include <array>
#include <csignal>
#include <execinfo.h>
#include <string_view>
#include <unistd.h>

namespace corianderdyke {

namespace {

/// Deeper calls are left out; an endless recursion shows within these.
constexpr int MaxCalls = 48;
/// The handler's own stack: the fault may be that the usual one is full.
constexpr std::size_t StackBytes = 64UL << 10U;
constexpr std::array Fatal = {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};

// Only what may be called inside a signal handler is used here.
void report(int Signal) {
  constexpr std::string_view Said = "fatal signal; calls, latest first:\n";
  const auto Written = write(STDERR_FILENO, Said.data(), Said.size());
  static_cast<void>(Written); // There is nobody left to tell.
  std::array<void *, MaxCalls> Calls = {};
  const int Count = backtrace(Calls.data(), MaxCalls);
  backtrace_symbols_fd(Calls.data(), Count, STDERR_FILENO);
  std::signal(Signal, SIG_DFL);
  std::raise(Signal);
}

} // namespace

void reportCrashes() {
  // The first call loads a library, which a handler must not.
  std::array<void *, 1> Unused = {};
  backtrace(Unused.data(), 1);
  static std::array<char, StackBytes> Stack;
  stack_t Aside = {};
  Aside.ss_sp = Stack.data();
  Aside.ss_size = Stack.size();
  if (sigaltstack(&Aside, nullptr) != 0)
    return;
  struct sigaction Action = {};
  Action.sa_handler = report;
  Action.sa_flags = SA_ONSTACK;
  for (const int Each : Fatal)
    sigaction(Each, &Action, nullptr);
}

} // namespace corianderdyke
