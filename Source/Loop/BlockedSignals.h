/// \file
/// Blocks signals until the process can handle them.

#ifndef CORIANDERDYKE_LOOP_BLOCKEDSIGNALS_H
#define CORIANDERDYKE_LOOP_BLOCKEDSIGNALS_H

#include <initializer_list>

namespace corianderdyke {

/// Blocks \p Signals: the kernel keeps each one pending, at most once, until
/// unblockSignal() is called for it.
void blockSignals(std::initializer_list<int> Signals);

/// Delivers \p Signal if it is pending, and later ones immediately.
void unblockSignal(int Signal);

} // namespace corianderdyke

#endif
