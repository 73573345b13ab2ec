/// \file
/// Signals that wait until the process can handle them.

#ifndef CORIANDERDYKE_LOOP_HELDSIGNALS_H
#define CORIANDERDYKE_LOOP_HELDSIGNALS_H

#include <initializer_list>

namespace corianderdyke {

/// Signals that come from now on are kept by the kernel, once each, until
/// releaseSignal() is called for them.
void holdSignals(std::initializer_list<int> Which);

/// Delivers a signal that was kept, and later ones at once.
void releaseSignal(int Which);

} // namespace corianderdyke

#endif
