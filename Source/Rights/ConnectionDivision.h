/// \file
/// How one target's connections are divided among the proxies that want them.

#ifndef CORIANDERDYKE_RIGHTS_CONNECTIONDIVISION_H
#define CORIANDERDYKE_RIGHTS_CONNECTIONDIVISION_H

#include <compare>
#include <cstdint>
#include <vector>

namespace corianderdyke {

/// One proxy's part in a division.
struct ConnectionClaim {
  std::uint32_t Wanted = 0;
  std::uint32_t Outstanding = 0; ///< What it may have open at the moment.

  auto operator<=>(const ConnectionClaim &) const = default;
};

/// Max-min fair parts in whole connections, in the order of \p Claims: nobody
/// gets more than it wants while another has less and wants more. Where there
/// is one for each, everyone has one, so that a first statement needs no
/// exchange with control. What doesn't divide stays with who has it: moving
/// it back and forth would cost a new connection each time.
std::vector<std::uint32_t>
divideConnections(std::uint32_t Limit,
                  const std::vector<ConnectionClaim> &Claims);

} // namespace corianderdyke

#endif
