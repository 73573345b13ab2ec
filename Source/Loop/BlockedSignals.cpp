/// \file
/// Signals that wait until the process can handle them.

#include "Loop/BlockedSignals.h"

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

void blockSignals(std::initializer_list<int> Signals) {
  mask(SIG_BLOCK, Signals);
}

void unblockSignal(int Signal) { mask(SIG_UNBLOCK, {Signal}); }

} // namespace corianderdyke
