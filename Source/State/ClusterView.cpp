/// \file
/// Lookups in the cluster view.

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
  // Before the first primary nothing was acknowledged.
  if (Forks.empty())
    return true;
  const auto Known = CompleteLogs.find(Target.Name);
  return Known != CompleteLogs.end() && Known->second == Target.LogId;
}

std::size_t GroupRecord::failoverQuorum(const DatabasePolicy &Policy) const {
  // A write is acknowledged with Copies targets; that many readings leave out
  // fewer than Copies, so that one of them has it.
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
  const TargetAnnouncement *Known = target(Announcement.Name);
  // A copied configuration or a typing error gives two hosts one name. Were
  // the later one believed, callers of the live target would be sent to it.
  if (Known != nullptr && !Known->Leaving &&
      (Known->TargetLocality != Announcement.TargetLocality ||
       Known->Address != Announcement.Address ||
       Known->Database != Announcement.Database))
    return "the name belongs to " + Known->Address.text() + " of " +
           Known->Database + " until that leaves or is long silent";
  // With more members than the manifest says, the copies of a write and the
  // positions that a failover reads need no longer have a target in common.
  if ((Known == nullptr || Known->Leaving) && !Announcement.Leaving &&
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
