/// \file
/// Lookups and consistency checks on the cluster view.

#include "State/ClusterView.h"

#include <algorithm>

namespace corianderdyke {

bool GroupRecord::containsPosition(std::uint64_t InTerm,
                                   std::uint64_t Position) const {
  if (InTerm > Term)
    return false;
  for (const Fork &Each : Forks)
    if (Each.Term > InTerm && Position > Each.Position)
      return false;
  return true;
}

bool GroupRecord::isLogComplete(const TargetAnnouncement &Target) const {
  // Nothing was acknowledged before the first primary was promoted.
  if (Forks.empty())
    return true;
  const auto Existing = CompleteLogs.find(Target.Name);
  return Existing != CompleteLogs.end() && Existing->second == Target.LogId;
}

std::size_t GroupRecord::failoverQuorum(const DatabasePolicy &Policy) const {
  // A write is acknowledged when AcknowledgedCopies targets hold it. A failover
  // that reads this many positions omits fewer targets than that, so at least
  // one of those it reads holds the write.
  return std::max(Policy.Targets - Policy.AcknowledgedCopies + 1,
                  MinFailoverQuorum);
}

const GroupRecord *ClusterView::group(const std::string &Database) const {
  const auto Found = Groups.find(Database);
  return Found == Groups.end() ? nullptr : &Found->second;
}

const TargetAnnouncement *ClusterView::target(const std::string &Name) const {
  const auto Found = Targets.find(Name);
  return Found == Targets.end() ? nullptr : &Found->second;
}

std::string
ClusterView::refusalReason(const TargetAnnouncement &Announcement) const {
  const DatabasePolicy *Policy =
      CurrentManifest ? CurrentManifest->database(Announcement.Database)
                      : nullptr;
  if (Policy == nullptr || group(Announcement.Database) == nullptr)
    return "no database '" + Announcement.Database + "' in the manifest";
  const TargetAnnouncement *Existing = target(Announcement.Name);
  // A copied configuration or a typing error can give two hosts the same name.
  // If the later announcement were accepted, callers of the live target would
  // be routed to the other host.
  if (Existing != nullptr && !Existing->Leaving &&
      (Existing->TargetLocality != Announcement.TargetLocality ||
       Existing->Address != Announcement.Address ||
       Existing->Database != Announcement.Database))
    return "the name belongs to " + Existing->Address.text() + " of " +
           Existing->Database + " until that leaves or is long silent";
  // If a group had more members than the manifest specifies, the targets that
  // hold a write and the targets that a failover reads might not overlap.
  if ((Existing == nullptr || Existing->Leaving) && !Announcement.Leaving &&
      targetsOf(Announcement.Database).size() >= Policy->Targets)
    return "the group has its " + std::to_string(Policy->Targets) + " targets";
  return "";
}

std::vector<TargetAnnouncement>
ClusterView::allTargetsOf(const std::string &Database) const {
  std::vector<TargetAnnouncement> Out;
  const GroupRecord *Group = group(Database);
  if (Group == nullptr)
    return Out;
  for (const std::string &Name : Group->Targets)
    if (const TargetAnnouncement *Each = target(Name); Each != nullptr)
      Out.push_back(*Each);
  return Out;
}

std::vector<TargetAnnouncement>
ClusterView::targetsOf(const std::string &Database) const {
  std::vector<TargetAnnouncement> Out;
  for (TargetAnnouncement &Each : allTargetsOf(Database))
    if (!Each.Leaving)
      Out.push_back(std::move(Each));
  return Out;
}

} // namespace corianderdyke
