/// \file
/// Lookups in the cluster view.

#include "State/ClusterView.h"

namespace corianderdyke {

bool GroupRecord::holds(std::uint64_t InTerm, std::uint64_t Position) const {
  if (InTerm > Term)
    return false;
  for (const Fork &Each : Forks)
    if (Each.Term > InTerm && Position > Each.Position)
      return false;
  return true;
}

bool GroupRecord::isSettled(const TargetAnnouncement &Target) const {
  // Before the first primary nothing was acknowledged.
  if (Forks.empty())
    return true;
  const auto Known = Settled.find(Target.Name);
  return Known != Settled.end() && Known->second == Target.LogId;
}

const GroupRecord *ClusterView::group(const std::string &Database) const {
  const auto Found = Groups.find(Database);
  return Found == Groups.end() ? nullptr : &Found->second;
}

const TargetAnnouncement *ClusterView::target(const std::string &Name) const {
  const auto Found = Targets.find(Name);
  return Found == Targets.end() ? nullptr : &Found->second;
}

std::vector<TargetAnnouncement>
ClusterView::targetsOf(const std::string &Database) const {
  std::vector<TargetAnnouncement> Out;
  const GroupRecord *Group = group(Database);
  if (Group == nullptr)
    return Out;
  for (const std::string &Name : Group->Targets)
    if (const TargetAnnouncement *Each = target(Name);
        Each != nullptr && !Each->Leaving)
      Out.push_back(*Each);
  return Out;
}

} // namespace corianderdyke
