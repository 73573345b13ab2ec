/// \file
/// Measures how long databases were not writable through one proxy.

#ifndef CORIANDERDYKE_PROXY_WRITEGAPMETER_H
#define CORIANDERDYKE_PROXY_WRITEGAPMETER_H

#include "Common/DurationHistogram.h"
#include "Routing/TargetTable.h"

namespace corianderdyke {

/// A gap begins at the last time at which the primary was known to answer, so
/// that it includes the time to detect a failure, and ends when a primary
/// answers again and the proxy may serve.
class WriteGapMeter {
public:
  void update(const ClusterView &View, const TargetTable &Table, bool MayServe,
              Millis Now);

  /// Gaps that have ended.
  const DurationHistogram &gaps() const { return Gaps; }

private:
  struct DatabaseState {
    bool WasWritable = false; ///< At any time; no gap begins before.
    Millis LastWritable;
    bool IsInGap = false;
    std::uint64_t Term = 0; ///< At LastWritable.
  };

  std::map<std::string, DatabaseState> Databases;
  DurationHistogram Gaps;
};

} // namespace corianderdyke

#endif
