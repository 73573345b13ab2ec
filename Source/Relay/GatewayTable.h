/// \file
/// Which proxies hold the connections to which target.
///
/// Load pattern: more proxies than a target takes connections. If every proxy
/// opened its own, most would be refused for good, and the few connections
/// that stand would be idle at one proxy while statements wait at another.
/// Instead a few proxies, the target's gateways, hold all of its connections,
/// and the others send their statements through them.

#ifndef CORIANDERDYKE_RELAY_GATEWAYTABLE_H
#define CORIANDERDYKE_RELAY_GATEWAYTABLE_H

#include "Directory/TargetDirectory.h"

#include <map>
#include <string>
#include <vector>

namespace corianderdyke {

/// A proxy that other proxies may send statements through.
struct ProxyRecord {
  std::string Name;
  Endpoint RelayEndpoint; ///< Where it takes other proxies' statements.
  std::string FailureDomain;

  auto operator<=>(const ProxyRecord &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Name, RelayEndpoint, FailureDomain);
  }
};

/// Connections that a gateway should hold to one target: enough that a
/// transaction which idles between its statements rarely makes another wait.
constexpr std::size_t ConnectionsPerGateway = 8;

/// Gateways of a target that takes \p Connections from all proxies together.
/// Never one alone, so that one proxy's end or cut leaves a way.
std::size_t gatewayCount(std::size_t Connections);

/// Computed by each proxy from what control told everybody. Where two proxies
/// know different lists, a target gets some connections too many, and refuses
/// them; nothing worse.
class GatewayTable {
public:
  GatewayTable() = default;
  /// \p Gateways: how many a target of a group has, by group. Targets of
  /// other groups have none.
  GatewayTable(const std::vector<ProxyRecord> &Proxies,
               const std::vector<TargetRecord> &Targets,
               const std::map<std::string, std::size_t> &Gateways);

  /// Those that hold the target's connections, then those that take over
  /// where none of the former reaches it. Empty where the target is unknown.
  const std::vector<ProxyRecord> &gatewaysOf(const std::string &Target) const;

private:
  std::map<std::string, std::vector<ProxyRecord>> ByTarget;
};

} // namespace corianderdyke

#endif
