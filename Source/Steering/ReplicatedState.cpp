/// \file
/// What the control group agrees on where targets enforce their leadership
/// themselves.

#include "Steering/ReplicatedState.h"

namespace corianderdyke {

bool ReplicatedState::apply(std::uint64_t Index,
                            const ReplicatedCommand &Command) {
  AuditRecord Line{.Revision = Index, .WallTime = Command.WallTime};
  const bool Changed = std::visit(
      [&](const auto &Body) { return on(Body, Line); }, Command.Body);
  if (!Changed)
    return false;
  Audit.push_back(std::move(Line));
  if (Audit.size() > MaxAuditRecords)
    Audit.erase(Audit.begin(), Audit.begin() + static_cast<std::ptrdiff_t>(
                                                   MaxAuditRecords / 10));
  return true;
}

bool ReplicatedState::on(const AcceptPlan &Body, AuditRecord &Line) {
  if (Body.Plan.Version <= Plan.Version)
    return false;
  Line.Actor = "operator";
  Line.Action = "plan-accepted";
  Line.Subject = "plan";
  Line.From = "version " + std::to_string(Plan.Version);
  Line.To = "version " + std::to_string(Body.Plan.Version);
  Plan = Body.Plan;
  return true;
}

bool ReplicatedState::on(const RecordTargets &Body, AuditRecord &Line) {
  Line.Actor = "control";
  Line.Action = "targets-noted";
  for (const TargetRecord &Each : Body.Targets) {
    if (Each.IsGone)
      Targets.erase(Each.Id);
    else
      Targets[Each.Id] = Each;
    Line.Subject += (Line.Subject.empty() ? "" : ", ") + Each.Id;
    Line.To += std::string(Line.To.empty() ? "" : ", ") +
               (Each.IsGone      ? "gone"
                : Each.IsLeaving ? "leaving"
                : Each.IsPrimary ? "primary"
                                 : "replica");
  }
  return !Body.Targets.empty();
}

bool ReplicatedState::on(const RecordProxies &Body, AuditRecord &Line) {
  Line.Actor = "control";
  Line.Action = "proxies-noted";
  for (const ProxyRecord &Each : Body.Present)
    Proxies[Each.Name] = Each;
  for (const std::string &Each : Body.Removed)
    Proxies.erase(Each);
  Line.Subject = std::to_string(Body.Present.size()) + " present, " +
                 std::to_string(Body.Removed.size()) + " gone";
  Line.To = std::to_string(Proxies.size()) + " in all";
  return !Body.Present.empty() || !Body.Removed.empty();
}

bool ReplicatedState::on(const RecordQuotaSeats &Body, AuditRecord &Line) {
  Line.Actor = "control";
  Line.Action = "quota-seats-noted";
  for (const auto &[Which, Name] : Body.Holders)
    Seats[Which] = Name;
  Line.Subject = std::to_string(Body.Holders.size()) + " changed";
  Line.To = std::to_string(Seats.size()) + " in all";
  return !Body.Holders.empty();
}

bool ReplicatedState::on(const OrderPromotion &Body, AuditRecord &Line) {
  Line.Actor = Body.Holder;
  Line.Action = "promotion-ordered";
  Line.Subject = Body.Group;
  Line.To = Body.Target;
  Line.Reason = Body.Reason;
  return true;
}

} // namespace corianderdyke
