/// \file
/// What a process waits for besides its work, for metrics.

#ifndef CORIANDERDYKE_OPERATORS_PROCESSLATENCIES_H
#define CORIANDERDYKE_OPERATORS_PROCESSLATENCIES_H

#include "Common/DurationHistogram.h"

namespace corianderdyke {

/// Null where the process has none of the kind. An election that finds no
/// leader in time has one of these reasons, or collides with others.
struct ProcessLatencies {
  const DurationHistogram *TimerLatency = nullptr; ///< From due to run.
  const DurationHistogram *SyncLatency = nullptr;  ///< Of the data folder.
};

} // namespace corianderdyke

#endif
