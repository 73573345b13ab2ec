/// \file
/// Metrics of a control host's elections.

#ifndef CORIANDERDYKE_OPERATORS_ELECTIONMETRICS_H
#define CORIANDERDYKE_OPERATORS_ELECTIONMETRICS_H

#include "Consensus/Consensus.h"
#include "Operators/MetricSet.h"

namespace corianderdyke {

inline void addElectionMetrics(MetricSet &To, const Consensus &Node) {
  const ElectionCounts &Counts = Node.elections();
  To.add("corianderdyke_elections_total",
         static_cast<double>(Counts.PreVoteRounds), {{"step", "asked"}});
  To.add("corianderdyke_elections_total", static_cast<double>(Counts.Started),
         {{"step", "begun"}});
}

} // namespace corianderdyke

#endif
