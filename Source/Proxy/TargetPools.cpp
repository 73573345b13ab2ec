/// \file
/// One connection pool for each target in the view.

#include "Proxy/TargetPools.h"

namespace corianderdyke {

void TargetPools::update(const ClusterView &View, const LimitFunction &Limit) {
  for (auto Each = Pools.begin(); Each != Pools.end();)
    Each = View.target(Each->first) == nullptr ? Pools.erase(Each)
                                               : std::next(Each);
  for (const auto &[Name, Target] : View.Targets) {
    Entry &Known = Pools[Name];
    if (Known.Pool && Known.Address == Target.Address &&
        Known.Sequence == Target.Sequence)
      continue;
    Known = {Target.Address, Target.Sequence,
             std::make_shared<ConnectionPool>(Connector, Target.Address,
                                              Limit(Name))};
  }
  setLimits(Limit);
}

void TargetPools::setLimits(const LimitFunction &Limit) {
  for (const auto &[Name, Each] : Pools)
    Each.Pool->setLimit(Limit(Name));
}

std::vector<std::string> TargetPools::targets() const {
  std::vector<std::string> Out;
  for (const auto &[Name, Each] : Pools)
    Out.push_back(Name);
  return Out;
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
