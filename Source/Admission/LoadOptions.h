/// \file
/// Which decisions under hard load a process makes, as its operators configure.

#ifndef CORIANDERDYKE_ADMISSION_LOADOPTIONS_H
#define CORIANDERDYKE_ADMISSION_LOADOPTIONS_H

#include <compare>

namespace corianderdyke {

/// All off by default: without them statements are served as before.
struct LoadOptions {
  /// Statements that miss their objective may wait for capacity that statements
  /// in time leave.
  bool LateService = false;
  /// Less urgent statements leave capacity while urgent ones arrive.
  bool UrgentRoom = false;
  /// Moves the lead of a group whose replicas all lag off its saturated
  /// primary.
  bool LeadRelief = false;
  /// Reads go only to replicas that are expected to hold their floor.
  bool ReplicaProgress = false;
  /// Proxies report which targets they reach and probe silent proxies before
  /// they send them statements.
  bool ReachReports = false;
  /// Operations over their organisation's quota are refused once the forecast
  /// gives them no permit in time.
  bool QuotaForecast = false;
  /// Permits are requested through control where no seat holder is reachable.
  bool PermitForwarding = false;
  /// Proxies share a target's connections below this many connections a proxy.
  /// Below one, some proxies would have none. From one on, the detour through a
  /// gateway can cost callers more than waiting for the proxy's own connection:
  /// with 1.4 of them, in five failure domains 1.4 ms apart, 0.03 to 0.08 of
  /// the service (docs/design/gateways.md).
  double ShareBelow = 1;

  auto operator<=>(const LoadOptions &) const = default;
};

} // namespace corianderdyke

#endif
