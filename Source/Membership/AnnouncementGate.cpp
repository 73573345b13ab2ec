/// \file
/// Decides which announcements the leading control host believes.

#include "Membership/AnnouncementGate.h"

#include "Failover/FailoverCoordinator.h"

namespace corianderdyke {

void AnnouncementGate::begin(const ClusterView &View, Millis Now) {
  LastHeard.clear();
  ProposedRemoval.clear();
  Noted.clear();
  for (const auto &[Name, Target] : View.Targets)
    LastHeard[Name] = Now;
}

std::optional<CommandBody>
AnnouncementGate::judge(const ClusterView &View, const TargetAnnouncement &Said,
                        Millis Now) {
  const TargetAnnouncement *Known = View.target(Said.Name);
  const std::string Fault = View.refusalOf(Said);
  if (!Fault.empty()) {
    const bool First = Noted.size() < MostNotes &&
                       Noted.emplace(Said.Name, Said.Address).second;
    if (!First)
      return std::nullopt;
    return NoteTrouble{"target-refused", Said.Name,
                       "announced at " + Said.Address.text() + ": " + Fault};
  }
  if (Known != nullptr && Known->Sequence > Said.Sequence)
    return std::nullopt;
  LastHeard[Said.Name] = Now;
  if (Known != nullptr && Known->Sequence == Said.Sequence)
    return std::nullopt;
  return RecordTarget{Said};
}

std::vector<RemoveTarget> AnnouncementGate::expired(const ClusterView &View,
                                                    const LeaseRegistry &Leases,
                                                    Millis Now) {
  std::vector<RemoveTarget> Out;
  if (!View.Current)
    return Out;
  for (const auto &[Name, Target] : View.Targets) {
    const Millis Heard = LastHeard.try_emplace(Name, Now).first->second;
    const Millis Borne = Target.Leaving ? SilenceBorneLeaving : SilenceBorne;
    const GroupRecord *Group = View.group(Target.Database);
    const auto Proposed = ProposedRemoval.find(Name);
    // Announcements may be lost on their way while callers are served.
    if (Now - Heard < Borne || (Group != nullptr && Group->Primary == Name) ||
        !isSuspected(Name, Leases, View.Current->Failover, Now) ||
        (Proposed != ProposedRemoval.end() &&
         Now - Proposed->second < SilenceBorneLeaving))
      continue;
    ProposedRemoval[Name] = Now;
    Out.push_back({Name, Target.Sequence,
                   Target.Leaving ? "it has left"
                                  : "silent and out of reach for " +
                                        std::to_string(Borne.count()) + " ms"});
  }
  return Out;
}

} // namespace corianderdyke
