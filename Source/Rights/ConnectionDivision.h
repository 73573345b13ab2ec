/// \file
/// Divides one target's connections among the proxies that request them.

#ifndef CORIANDERDYKE_RIGHTS_CONNECTIONDIVISION_H
#define CORIANDERDYKE_RIGHTS_CONNECTIONDIVISION_H

#include <compare>
#include <cstdint>
#include <vector>

namespace corianderdyke {

/// One proxy's demand for a target's connections.
struct ConnectionClaim {
  std::uint32_t Wanted = 0;
  std::uint32_t Outstanding =
      0; ///< Connections that it may have open at the moment.

  auto operator<=>(const ConnectionClaim &) const = default;
};

/// Returns max-min fair shares in whole connections, in the order of
/// \p Claims: no proxy gets more than it wants while another has less and wants
/// more. If there are at least as many connections as proxies, each gets one,
/// so that its first statement does not wait for the control leader. A
/// remainder stays with the proxies that hold it, since moving it back and
/// forth would open a new connection each time.
std::vector<std::uint32_t>
divideConnections(std::uint32_t Limit,
                  const std::vector<ConnectionClaim> &Claims);

} // namespace corianderdyke

#endif
