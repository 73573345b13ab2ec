/// \file
/// Blocks signals until the process can handle them.

#include "Loop/BlockedSignals.h"

#include <csignal>

namespace corianderdyke {

namespace {

void changeSignalMask(int Operation, std::initializer_list<int> Signals) {
  sigset_t Set;
  sigemptyset(&Set);
  for (const int Each : Signals)
    sigaddset(&Set, Each);
  // Fails only for an invalid operation.
  sigprocmask(Operation, &Set, nullptr);
}

} // namespace

void blockSignals(std::initializer_list<int> Signals) {
  changeSignalMask(SIG_BLOCK, Signals);
}

void unblockSignal(int Signal) { changeSignalMask(SIG_UNBLOCK, {Signal}); }

} // namespace corianderdyke
