/// \file
/// Decides how long a statement may wait for a change of primary.

#ifndef CORIANDERDYKE_PROXY_PRIMARYWAITLIMIT_H
#define CORIANDERDYKE_PROXY_PRIMARYWAITLIMIT_H

#include "State/ClusterView.h"

namespace corianderdyke {

/// Waiting is useful while a primary is being replaced: that ends within the
/// time of detection, of the leases and of a few round trips, and a caller
/// that waits sees a slow answer in place of a refusal. Once the change takes
/// much longer than that, something is missing that waiting doesn't bring,
/// and every caller would wait its whole patience for a refusal.
class PrimaryWaitLimit {
public:
  /// Notes which databases have no primary.
  void update(const ClusterView &View, Millis Now);

  /// Until when a statement that can't reach the primary at \p Now may wait;
  /// not after \p Now where it's better refused at once.
  Millis waitDeadline(const ClusterView &View, const std::string &Database,
                      Millis Now) const;

private:
  std::map<std::string, Millis> WithoutPrimarySince;
};

} // namespace corianderdyke

#endif
