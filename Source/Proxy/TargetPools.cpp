/// \file
/// One connection pool for each target in the view.

#include "Proxy/TargetPools.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// This proxy's part of a server's connections.
std::size_t connectionShare(const ClusterView &View,
                            const std::string &Database) {
  const DatabasePolicy *Policy =
      View.Current ? View.Current->database(Database) : nullptr;
  if (Policy == nullptr)
    return 1;
  const std::size_t Proxies = std::max<std::size_t>(View.Proxies.size(), 1);
  return std::max<std::size_t>(Policy->ConnectionsPerTarget / Proxies, 1);
}

} // namespace

void TargetPools::update(const ClusterView &View) {
  for (auto Each = Pools.begin(); Each != Pools.end();)
    Each = View.target(Each->first) == nullptr ? Pools.erase(Each)
                                               : std::next(Each);
  for (const auto &[Name, Target] : View.Targets) {
    const std::size_t Limit = connectionShare(View, Target.Database);
    Entry &Known = Pools[Name];
    if (Known.Pool && Known.Address == Target.Address &&
        Known.Sequence == Target.Sequence) {
      Known.Pool->setLimit(Limit);
      continue;
    }
    Known = {
        Target.Address, Target.Sequence,
        std::make_shared<ConnectionPool>(Connector, Target.Address, Limit)};
  }
}

std::shared_ptr<ConnectionPool>
TargetPools::find(const std::string &Target) const {
  const auto Found = Pools.find(Target);
  return Found == Pools.end() ? nullptr : Found->second.Pool;
}

std::size_t TargetPools::load(const std::string &Target) const {
  const auto Found = find(Target);
  return Found ? Found->inUse() + Found->waiting() : 0;
}

} // namespace corianderdyke
