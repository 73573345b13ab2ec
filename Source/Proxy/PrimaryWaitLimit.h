/// \file
/// Limits how long a statement may wait for a change of primary.

#ifndef CORIANDERDYKE_PROXY_PRIMARYWAITLIMIT_H
#define CORIANDERDYKE_PROXY_PRIMARYWAITLIMIT_H

#include "State/ClusterView.h"

namespace corianderdyke {

/// Waiting is useful while a primary is being replaced: the change takes the
/// time of the detection, of the leases and of a few round trips, and a waiting
/// caller gets a slow answer instead of a refusal. Once a change takes much
/// longer, it lacks something that waiting does not provide, and every caller
/// would wait for the whole limit and still be refused.
class PrimaryWaitLimit {
public:
  /// Records which databases have no primary.
  void update(const ClusterView &View, Millis Now);

  /// Returns until when a statement that cannot reach the primary at \p Now may
  /// wait; a time not after \p Now means that it should be refused at once.
  Millis waitDeadline(const ClusterView &View, const std::string &Database,
                      Millis Now) const;

private:
  std::map<std::string, Millis> WithoutPrimarySince;
};

} // namespace corianderdyke

#endif
