/// \file
/// Latencies that a process measures for its metrics.

#ifndef CORIANDERDYKE_OPERATORS_PROCESSLATENCIES_H
#define CORIANDERDYKE_OPERATORS_PROCESSLATENCIES_H

#include "Common/DurationHistogram.h"

namespace corianderdyke {

/// Null if the process does not measure the latency. An election that finds
/// no leader in time is due to one of these latencies or to colliding
/// candidates.
struct ProcessLatencies {
  const DurationHistogram *TimerLatency = nullptr; ///< From due time to run.
  const DurationHistogram *SyncLatency = nullptr;  ///< Of data folder syncs.
};

} // namespace corianderdyke

#endif
