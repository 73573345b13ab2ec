/// \file
/// What operators see of the control state, as JSON.

#include "Operators/StatusReport.h"

namespace corianderdyke {

namespace {

const char *word(GroupPhase Phase) {
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

nlohmann::json groupReport(const ClusterView &View, const GroupRecord &Group) {
  nlohmann::json Targets = nlohmann::json::array();
  for (const TargetAnnouncement &Each : View.targetsOf(Group.Database))
    Targets.push_back({{"name", Each.Name},
                       {"address", Each.Address.text()},
                       {"failure_domain", Each.Where.FailureDomain}});
  return {{"database", Group.Database},
          {"phase", word(Group.Phase)},
          {"term", Group.Term},
          {"primary", Group.Primary},
          {"targets", std::move(Targets)}};
}

} // namespace

nlohmann::json statusReport(const ControlNode &Control,
                            const ControlState &State) {
  const ClusterView &View = State.view();
  nlohmann::json Groups = nlohmann::json::array();
  for (const auto &[Name, Group] : View.Groups)
    Groups.push_back(groupReport(View, Group));
  nlohmann::json Proxies = nlohmann::json::array();
  for (const auto &[Id, Where] : View.Proxies) {
    const auto Known = Control.leases().holders().find(Id);
    Proxies.push_back(
        {{"name", Id.Name},
         {"incarnation", Id.Incarnation},
         {"failure_domain", Where.FailureDomain},
         {"applied_revision", Known == Control.leases().holders().end()
                                  ? 0
                                  : Known->second.Applied}});
  }
  return {{"leader", Control.consensus().leader()},
          {"control_term", Control.consensus().term()},
          {"revision", View.Revision},
          {"manifest_version", View.Current ? View.Current->Version : 0},
          {"groups", std::move(Groups)},
          {"proxies", std::move(Proxies)}};
}

nlohmann::json auditReport(const ControlState &State) {
  nlohmann::json Out = nlohmann::json::array();
  for (const AuditRecord &Each : State.audit())
    Out.push_back({{"revision", Each.Revision},
                   {"wall_time_ms", Each.WallTime.count()},
                   {"actor", Each.Actor},
                   {"action", Each.Action},
                   {"subject", Each.Subject},
                   {"from", Each.From},
                   {"to", Each.To},
                   {"reason", Each.Reason}});
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

} // namespace corianderdyke
