/// \file
/// Metrics of a control host's elections.

#ifndef CORIANDERDYKE_OPERATORS_ELECTIONMETRICS_H
#define CORIANDERDYKE_OPERATORS_ELECTIONMETRICS_H

#include "Consensus/Consensus.h"
#include "Operators/MetricSet.h"

namespace corianderdyke {

inline void addElections(MetricSet &To, const Consensus &Of) {
  const ElectionCounts &Counts = Of.elections();
  To.add("corianderdyke_elections_total", static_cast<double>(Counts.Asked),
         {{"step", "asked"}});
  To.add("corianderdyke_elections_total", static_cast<double>(Counts.Begun),
         {{"step", "begun"}});
}

} // namespace corianderdyke

#endif
