/// \file
/// Which targets a gateway cannot reach, as seen by itself and by its peers.

#ifndef CORIANDERDYKE_REACH_TARGETREPORTS_H
#define CORIANDERDYKE_REACH_TARGETREPORTS_H

#include "Common/Millis.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace corianderdyke {

/// The targets that a gateway cannot reach. A target leaves the set after a
/// second without a failure, so that an unsteady one does not move statements
/// back and forth.
class UnreachableTargets {
public:
  /// Takes in the targets that fail now. Returns true if the set has changed.
  bool update(const std::set<std::string> &Failing, Millis Now);

  std::vector<std::string> names() const;
  bool contains(const std::string &Target) const {
    return FailedAt.count(Target) != 0;
  }
  bool isEmpty() const { return FailedAt.empty(); }

  /// Time without a failure after which a target counts as reachable.
  static constexpr Millis RecoveryTime = Millis(1000);

private:
  std::map<std::string, Millis> FailedAt; ///< Last failure, by target.
};

/// The last report of one gateway. It expires, so that a lost report has an
/// effect for a limited time only.
class ReportedTargets {
public:
  /// Replaces the report. Names of unknown targets have no effect.
  void record(const std::vector<std::string> &Unreachable, Millis Now);
  void clear() { Names.clear(); }

  bool isUnreachable(const std::string &Target, Millis Now) const {
    return Now - ReceivedAt < Lifetime && Names.count(Target) != 0;
  }

  /// Time without a report after which the gateway is tried again.
  static constexpr Millis Lifetime = Millis(1000);
  /// Interval in which a gateway repeats a report that names targets: two fit
  /// in the lifetime of the previous one.
  static constexpr Millis RepeatInterval = Millis(400);

private:
  std::set<std::string> Names;
  Millis ReceivedAt;
};

} // namespace corianderdyke

#endif
