/// \file
/// What a process waits for besides its work, for metrics.

#ifndef CORIANDERDYKE_OPERATORS_PROCESSDELAYS_H
#define CORIANDERDYKE_OPERATORS_PROCESSDELAYS_H

#include "Common/DurationHistogram.h"

namespace corianderdyke {

/// Null where the process has none of the kind. An election that finds no
/// leader in time has one of these reasons, or collides with others.
struct ProcessDelays {
  const DurationHistogram *Timers = nullptr; ///< From due to run.
  const DurationHistogram *Syncs = nullptr;  ///< Of the data folder.
};

} // namespace corianderdyke

#endif
