/// \file
/// Assigns to each target the proxies that hold its connections.
///
/// There may be more proxies than a target accepts connections. If every proxy
/// opened its own, most would be refused permanently, and the few open
/// connections would be idle at one proxy while statements wait at another.
/// Instead a few proxies, the target's gateways, hold all of its connections,
/// and the other proxies send their statements through them.

#ifndef CORIANDERDYKE_RELAY_GATEWAYTABLE_H
#define CORIANDERDYKE_RELAY_GATEWAYTABLE_H

#include "Directory/TargetDirectory.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace corianderdyke {

/// A proxy through which other proxies may send statements.
struct ProxyRecord {
  std::string Name;
  Endpoint RelayEndpoint; ///< Accepts other proxies' statements.
  std::string FailureDomain;

  auto operator<=>(const ProxyRecord &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Name, RelayEndpoint, FailureDomain);
  }
};

/// Connections that a gateway should hold to one target: enough that a
/// transaction that is idle between statements rarely makes another wait.
constexpr std::size_t ConnectionsPerGateway = 8;

/// Returns the number of gateways for a target that accepts \p Connections from
/// all proxies together. It is at least two, so that the target stays reachable
/// when one proxy ends or is partitioned.
std::size_t gatewayCount(std::size_t Connections);

/// Each proxy computes the table from the lists that control sends to all. If
/// two proxies have different lists, the only effect is that a target receives
/// some surplus connections and refuses them.
class GatewayTable {
public:
  GatewayTable() = default;
  /// \p Gateways is the number of gateways per target, by group. Targets of
  /// groups not listed have none.
  GatewayTable(const std::vector<ProxyRecord> &Proxies,
               const std::vector<TargetRecord> &Targets,
               const std::map<std::string, std::size_t> &Gateways);

  /// Returns the proxies that hold the target's connections, followed by the
  /// spares that take over if none of these reaches it. Empty if the target is
  /// unknown.
  const std::vector<ProxyRecord> &gatewaysOf(const std::string &Target) const;

  /// Returns the number of proxies in the whole ranking of a target: its
  /// gateways, their spares and all others. Zero if the target is unknown.
  std::size_t candidates(const std::string &Target) const;
  /// Returns the proxy with \p Rank, which is less than the number of
  /// candidates. Ranks beyond gatewaysOf are computed at the first use.
  const ProxyRecord &candidate(const std::string &Target,
                               std::size_t Rank) const;
  /// Returns a proxy's rank; nothing if it is not a candidate.
  std::optional<std::size_t> rankOf(const std::string &Target,
                                    const std::string &Proxy) const;

private:
  const std::vector<std::size_t> &
  furtherCandidates(const std::string &Target) const;

  std::vector<ProxyRecord> Proxies;
  std::vector<TargetRecord> Targets; ///< Those with gateways, by Id.
  std::map<std::string, std::vector<ProxyRecord>> ByTarget;
  /// Proxies that follow those in ByTarget, as indices into Proxies. A cache:
  /// there may be 1,400 proxies, and most targets never need them.
  mutable std::map<std::string, std::vector<std::size_t>> Further;
};

} // namespace corianderdyke

#endif
