/// \file
/// Divides one target's connections among the proxies that request them.

#include "Rights/ConnectionDivision.h"

#include <algorithm>
#include <numeric>

namespace corianderdyke {

std::vector<std::uint32_t>
divideConnections(std::uint32_t Limit,
                  const std::vector<ConnectionClaim> &Claims) {
  const std::uint32_t Least = Claims.size() <= Limit ? 1 : 0;
  std::vector<std::uint32_t> Out(Claims.size(), 0);
  std::uint32_t Left = Limit;
  while (Left > 0) {
    std::vector<std::size_t> Takers;
    for (std::size_t Index = 0; Index < Claims.size(); ++Index)
      if (Out[Index] < std::max(Claims[Index].Wanted, Least))
        Takers.push_back(Index);
    if (Takers.empty())
      break;
    std::stable_sort(Takers.begin(), Takers.end(),
                     [&](std::size_t A, std::size_t B) {
                       return (Claims[A].Outstanding > Out[A]) >
                              (Claims[B].Outstanding > Out[B]);
                     });
    for (const std::size_t Index : Takers) {
      if (Left == 0)
        break;
      ++Out[Index];
      --Left;
    }
  }
  return Out;
}

} // namespace corianderdyke
