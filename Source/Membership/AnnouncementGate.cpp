/// \file
/// Decides which target announcements the leading control host accepts.

#include "Membership/AnnouncementGate.h"

#include "Failover/FailoverCoordinator.h"

namespace corianderdyke {

void AnnouncementGate::reset(const ClusterView &View, Millis Now) {
  LastAnnounced.clear();
  ProposedRemoval.clear();
  RecordedRefusals.clear();
  for (const auto &[Name, Target] : View.Targets)
    LastAnnounced[Name] = Now;
}

std::optional<CommandBody>
AnnouncementGate::evaluate(const ClusterView &View,
                           const TargetAnnouncement &Announcement, Millis Now) {
  const TargetAnnouncement *Existing = View.target(Announcement.Name);
  const std::string Refusal = View.refusalReason(Announcement);
  if (!Refusal.empty()) {
    const bool First =
        RecordedRefusals.size() < MaxRecordedRefusals &&
        RecordedRefusals.emplace(Announcement.Name, Announcement.Address)
            .second;
    if (!First)
      return std::nullopt;
    return RecordAuditEvent{"target-refused", Announcement.Name,
                            "announced at " + Announcement.Address.text() +
                                ": " + Refusal};
  }
  if (Existing != nullptr && Existing->Sequence > Announcement.Sequence)
    return std::nullopt;
  LastAnnounced[Announcement.Name] = Now;
  if (Existing != nullptr && Existing->Sequence == Announcement.Sequence)
    return std::nullopt;
  return RecordTarget{Announcement};
}

std::vector<RemoveTarget> AnnouncementGate::expired(const ClusterView &View,
                                                    const LeaseRegistry &Leases,
                                                    Millis Now) {
  std::vector<RemoveTarget> Out;
  if (!View.CurrentManifest)
    return Out;
  for (const auto &[Name, Target] : View.Targets) {
    const Millis AnnouncedAt =
        LastAnnounced.try_emplace(Name, Now).first->second;
    const Millis Timeout =
        Target.Leaving ? LeavingTargetTimeout : SilentTargetTimeout;
    const GroupRecord *Group = View.group(Target.Database);
    const auto Proposed = ProposedRemoval.find(Name);
    // Announcements may be lost in transit while the target serves callers.
    if (Now - AnnouncedAt < Timeout ||
        (Group != nullptr && Group->Primary == Name) ||
        !isSuspected(Name, Leases, View.CurrentManifest->Failover, Now) ||
        (Proposed != ProposedRemoval.end() &&
         Now - Proposed->second < LeavingTargetTimeout))
      continue;
    ProposedRemoval[Name] = Now;
    Out.push_back({Name, Target.Sequence,
                   Target.Leaving
                       ? "it has left"
                       : "silent and out of reach for " +
                             std::to_string(Timeout.count()) + " ms"});
  }
  return Out;
}

} // namespace corianderdyke
