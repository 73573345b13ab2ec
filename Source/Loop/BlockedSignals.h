/// \file
/// Signals that wait until the process can handle them.

#ifndef CORIANDERDYKE_LOOP_BLOCKEDSIGNALS_H
#define CORIANDERDYKE_LOOP_BLOCKEDSIGNALS_H

#include <initializer_list>

namespace corianderdyke {

/// Signals that come from now on are kept by the kernel, once each, until
/// unblockSignal() is called for them.
void blockSignals(std::initializer_list<int> Signals);

/// Delivers a signal that was kept, and later ones at once.
void unblockSignal(int Signal);

} // namespace corianderdyke

#endif
