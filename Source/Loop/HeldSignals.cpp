/// \file
/// Signals that wait until the process can handle them.

#include "Loop/HeldSignals.h"

#include <csignal>

namespace corianderdyke {

namespace {

void mask(int How, std::initializer_list<int> Which) {
  sigset_t Set;
  sigemptyset(&Set);
  for (const int Each : Which)
    sigaddset(&Set, Each);
  // Fails for an unknown way of masking alone.
  sigprocmask(How, &Set, nullptr);
}

} // namespace

void holdSignals(std::initializer_list<int> Which) { mask(SIG_BLOCK, Which); }

void releaseSignal(int Which) { mask(SIG_UNBLOCK, {Which}); }

} // namespace corianderdyke
