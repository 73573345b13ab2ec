/// \file
/// Chooses the target of a statement.

#ifndef CORIANDERDYKE_ROUTING_ROUTER_H
#define CORIANDERDYKE_ROUTING_ROUTER_H

#include "Routing/TargetTable.h"
#include "Session/SessionToken.h"

#include <functional>
#include <set>

namespace corianderdyke {

/// What the choice depends on besides the view and the table.
struct RouteQuery {
  std::string Database;
  Access Mode = Access::Read;
  Millis AcceptedAge;
  std::optional<SessionFloor> Floor;
  /// The session token dropped a floor, so only the primary is known to have
  /// the session's writes.
  bool PrimaryOnly = false;
  /// Replicas that failed this statement before.
  std::set<std::string> ExcludedTargets = {};
};

struct Route {
  std::string Target;
  bool IsPrimary = false;
  std::uint64_t Term = 0;
  /// The target must be at or past this position to answer.
  std::uint64_t MinPosition = 0;

  auto operator<=>(const Route &) const = default;
};

/// Returns the number of this proxy's statements that run at a target or wait
/// for one of its connections.
using LoadFunction = std::function<std::size_t(const std::string &Target)>;

/// Chooses a target. A read goes to the least loaded replica that is fresh
/// enough for its kind and for the session, otherwise to the primary. Without
/// this preference, reads that accept older data would overload the primary,
/// on which all writes and all reads of a session's latest writes depend.
///
/// NotFound for an unknown database; Conflict if the session's last write was
/// lost in a failover that the manifest allowed; Unavailable if no target is
/// suitable at the moment.
Expected<Route> route(const ClusterView &View, const TargetTable &Table,
                      const RouteQuery &Query, const LoadFunction &Load,
                      Millis Now);

} // namespace corianderdyke

#endif
