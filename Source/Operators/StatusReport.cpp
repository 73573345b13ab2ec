/// \file
/// Reports of the control state for operators, as JSON.

#include "Operators/StatusReport.h"

#include "Manifest/ManifestFile.h"

#include <algorithm>

namespace corianderdyke {

namespace {

const char *phaseName(GroupPhase Phase) {
  switch (Phase) {
  case GroupPhase::Forming:
    return "forming";
  case GroupPhase::Fencing:
    return "fencing";
  case GroupPhase::Draining:
    return "draining";
  case GroupPhase::Promoted:
    break;
  }
  return "promoted";
}

/// Reachability of a target as the proxies report it.
struct Reachability {
  std::size_t WatchedBy = 0;
  std::size_t ReachableFrom = 0;
  /// The shortest time without an answer that a watching proxy reports; empty
  /// if any of them reaches the target.
  std::optional<Millis> SilentFor;
};

Reachability reachabilityOf(const LeaseRegistry &Leases,
                            const std::string &Target) {
  Reachability Out;
  for (const auto &[Id, Holder] : Leases.holders()) {
    if (!Holder.hasView())
      continue;
    ++Out.WatchedBy;
    const TargetReport *Report = Holder.unhealthyReport(Target);
    if (Report == nullptr || Report->Reachable)
      ++Out.ReachableFrom;
    else
      Out.SilentFor = std::min(Out.SilentFor.value_or(Report->SilentFor),
                               Report->SilentFor);
  }
  if (Out.ReachableFrom > 0)
    Out.SilentFor.reset();
  return Out;
}

nlohmann::json targetReport(const ControlNode &Control,
                            const GroupRecord &Group,
                            const TargetAnnouncement &Each) {
  const Reachability Reported = reachabilityOf(Control.leases(), Each.Name);
  nlohmann::json Out = {
      {"name", Each.Name},
      {"address", Each.Address.text()},
      {"failure_domain", Each.TargetLocality.FailureDomain},
      {"role", Each.Leaving                 ? "leaving"
               : Each.Name == Group.Primary ? "primary"
                                            : "replica"},
      {"settled", Group.isLogComplete(Each)},
      {"connections_lent", Control.connections().outstanding(Each.Name)},
      {"watched_by", Reported.WatchedBy},
      {"reachable_from", Reported.ReachableFrom}};
  if (Reported.SilentFor)
    Out["silent_for_ms"] = Reported.SilentFor->count();
  return Out;
}

nlohmann::json groupReport(const ControlNode &Control, const ClusterView &View,
                           const GroupRecord &Group) {
  nlohmann::json Targets = nlohmann::json::array();
  for (const auto &[Name, Each] : View.Targets)
    if (Each.Database == Group.Database)
      Targets.push_back(targetReport(Control, Group, Each));
  return {{"database", Group.Database},
          {"phase", phaseName(Group.Phase)},
          {"term", Group.Term},
          {"primary", Group.Primary},
          {"targets", std::move(Targets)}};
}

/// The version of the manifest that was the latest at \p Revision.
std::uint64_t versionAt(const ControlState &State, std::uint64_t Revision) {
  std::uint64_t Out = 0;
  for (const ManifestRecord &Each : State.manifests())
    if (Each.Revision <= Revision)
      Out = Each.Version;
  return Out;
}

nlohmann::json proxyReport(const LeaseRegistry &Leases,
                           const ControlState &State, const ProcessId &Id,
                           const Locality &ProxyLocality, Millis Now) {
  nlohmann::json Out = {{"name", Id.Name},
                        {"incarnation", Id.Incarnation},
                        {"failure_domain", ProxyLocality.FailureDomain}};
  const auto Holder = Leases.holders().find(Id);
  if (Holder == Leases.holders().end())
    return Out;
  const std::uint64_t Applied = Holder->second.AppliedRevision;
  Out["applied_revision"] = Applied;
  Out["manifest_version"] = versionAt(State, Applied);
  Out["heard_ms_ago"] = (Now - Holder->second.LastRequestAt).count();
  const auto Expiry = Leases.expiry(Id);
  if (Expiry && *Expiry > Now)
    Out["lease_left_ms"] = (*Expiry - Now).count();
  return Out;
}

} // namespace

nlohmann::json statusReport(const ControlNode &Control,
                            const ControlState &State, Millis Now) {
  const ClusterView &View = State.view();
  nlohmann::json Groups = nlohmann::json::array();
  for (const auto &[Name, Group] : View.Groups)
    Groups.push_back(groupReport(Control, View, Group));
  nlohmann::json Proxies = nlohmann::json::array();
  for (const auto &[Id, ProxyLocality] : View.Proxies)
    Proxies.push_back(
        proxyReport(Control.leases(), State, Id, ProxyLocality, Now));
  nlohmann::json Hosts = nlohmann::json::array();
  for (const Member &Each : Control.consensus().voters())
    Hosts.push_back({{"name", Each.Name},
                     {"disk", Each.DiskId},
                     {"seat", Each.isVacant() ? "vacant" : "voter"}});
  for (const Member &Each : Control.consensus().learners())
    Hosts.push_back(
        {{"name", Each.Name}, {"disk", Each.DiskId}, {"seat", "learner"}});
  return {{"control_hosts", std::move(Hosts)},
          {"leader", Control.consensus().leader()},
          {"control_term", Control.consensus().term()},
          {"revision", View.Revision},
          {"manifest_version",
           View.CurrentManifest ? View.CurrentManifest->Version : 0},
          {"manifest_in_force",
           State.manifests().empty() ||
               Control.isInForce(State.manifests().back().Revision)},
          {"groups", std::move(Groups)},
          {"proxies", std::move(Proxies)}};
}

nlohmann::json auditReport(const ControlState &State, std::uint64_t Since,
                           const std::string &Subject) {
  nlohmann::json Out = nlohmann::json::array();
  for (const AuditRecord &Each : State.audit()) {
    if (Each.Revision <= Since || (!Subject.empty() && Each.Subject != Subject))
      continue;
    Out.push_back({{"revision", Each.Revision},
                   {"wall_time_ms", Each.WallTime.count()},
                   {"actor", Each.Actor},
                   {"action", Each.Action},
                   {"subject", Each.Subject},
                   {"from", Each.From},
                   {"to", Each.To},
                   {"reason", Each.Reason}});
  }
  return Out;
}

nlohmann::json manifestReport(const ControlNode &Control,
                              const ControlState &State) {
  if (State.manifests().empty())
    return {{"version", 0}, {"digest", ""}, {"text", ""}, {"in_force", true}};
  const ManifestRecord &Last = State.manifests().back();
  return {{"version", Last.Version},
          {"digest", Last.Digest},
          {"actor", Last.Actor},
          {"revision", Last.Revision},
          {"text", Last.Text},
          {"in_force", Control.isInForce(Last.Revision)}};
}

nlohmann::json manifestHistoryReport(const ControlState &State) {
  nlohmann::json Out = nlohmann::json::array();
  for (const ManifestRecord &Each : State.manifests())
    Out.push_back({{"version", Each.Version},
                   {"digest", Each.Digest},
                   {"actor", Each.Actor},
                   {"wall_time_ms", Each.WallTime.count()},
                   {"revision", Each.Revision}});
  return Out;
}

nlohmann::json manifestDifferenceReport(const ControlState &State,
                                        const Manifest &New,
                                        const std::string &Text) {
  nlohmann::json Differences = nlohmann::json::array();
  const std::string Before =
      State.manifests().empty() ? "" : State.manifests().back().Text;
  for (const ItemDifference &Each : diffManifests(Before, Text))
    Differences.push_back(
        {{"item", Each.Item}, {"from", Each.From}, {"to", Each.To}});
  const auto Checked = State.check(New);
  const bool IsUnchanged = State.view().CurrentManifest == New;
  return {{"version", New.Version},
          {"digest", New.digest()},
          {"would_be", !Checked      ? "refused"
                       : IsUnchanged ? "accepted without a change"
                                     : "accepted"},
          {"refusal", Checked ? "" : Checked.error().Message},
          {"differences", std::move(Differences)}};
}

nlohmann::json findingsReport(const Findings &All) {
  nlohmann::json Out = nlohmann::json::array();
  for (const Finding &Each : All)
    Out.push_back({{"file", Each.File},
                   {"line", Each.Line},
                   {"column", Each.Column},
                   {"message", Each.Message},
                   {"suggestion", Each.Suggestion},
                   {"text", Each.text()}});
  return Out;
}

} // namespace corianderdyke
