/// \file
/// Selects the gateway of a statement from the ranking of a target's proxies.

#ifndef CORIANDERDYKE_REACH_GATEWAYCHOICE_H
#define CORIANDERDYKE_REACH_GATEWAYCHOICE_H

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace corianderdyke {

/// What is known about a proxy as the gateway to one target.
enum class GatewayStanding {
  AnsweredLately, ///< Something was received from it in the last moment.
  Answered,       ///< Something was received from it, and it is not silent.
  Untried,        ///< Nothing was received from it or expected of it yet.
  Silent,         ///< It cannot be reached, or it is stopping.
  MissesTarget,   ///< It is reached, but does not reach the target.
};

struct GatewayQuestion {
  /// Proxies in the target's ranking; the first \p Gateways of them hold its
  /// connections.
  std::size_t Candidates = 0;
  std::size_t Gateways = 0;
  std::size_t Start = 0; ///< Where the search among the gateways begins.
  /// Gateways that were silent when the statement was sent through them.
  std::size_t DeadPaths = 0;
  std::optional<std::size_t> OwnRank; ///< Of the asking proxy.
  /// The standing of the proxy with a rank. It is not called for ranks that do
  /// not matter.
  std::function<GatewayStanding(std::size_t)> Standing;
};

struct GatewayDecision {
  /// Nothing if no proxy is considered able to reach the target.
  std::optional<std::size_t> Rank;
  /// Untried proxies that should be sent a ping.
  std::vector<std::size_t> Probes;
  /// If all gateways are out of use: the spares that replace them, at most as
  /// many. Rank is one of these.
  std::vector<std::size_t> Spares = {};

  bool operator==(const GatewayDecision &) const = default;
};

/// Goes down the ranking to the first proxies that can be reached and reach the
/// target: one of the gateways, or else one of as many spares, since a single
/// one may use only its part of the target's slots. Once it has passed a silent
/// proxy, as during a partition, untried ones are probed first and used only if
/// no other proxy answers; so are the next spares while a gateway is still
/// used.
GatewayDecision chooseGateway(const GatewayQuestion &Question);

} // namespace corianderdyke

#endif
