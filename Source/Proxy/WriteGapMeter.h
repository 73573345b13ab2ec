/// \file
/// Measures how long databases weren't writable, as one proxy sees it.

#ifndef CORIANDERDYKE_PROXY_WRITEGAPMETER_H
#define CORIANDERDYKE_PROXY_WRITEGAPMETER_H

#include "Common/DurationHistogram.h"
#include "Routing/TargetTable.h"

namespace corianderdyke {

/// A gap begins with the last moment at which the primary was known to
/// answer, so that the time to notice a failure is part of it, and ends when
/// a primary answers again and the proxy may serve.
class WriteGapMeter {
public:
  void update(const ClusterView &View, const TargetTable &Table, bool MayServe,
              Millis Now);

  /// Gaps that have ended.
  const DurationHistogram &gaps() const { return Gaps; }

private:
  struct Database {
    bool WasWritable = false; ///< Once; before that there's no gap to end.
    Millis LastWritable;
    bool IsInGap = false;
    std::uint64_t Term = 0; ///< At that moment.
  };

  std::map<std::string, Database> Databases;
  DurationHistogram Gaps;
};

} // namespace corianderdyke

#endif
