/// \file
/// The replicated state of the control group, for systems in which targets
/// enforce their leadership themselves.

#include "Steering/ReplicatedState.h"

#include "Common/Codec.h"

namespace corianderdyke {

TargetRecord departedRecord(TargetRecord Last) {
  Last.Address = {};
  Last.IsLeaving = true;
  Last.IsGone = false;
  return Last;
}

bool isDeparted(const TargetRecord &Recorded) {
  return Recorded.Address == Endpoint{};
}

bool ReplicatedState::apply(std::uint64_t Index,
                            const ReplicatedCommand &Command) {
  AuditRecord Record{.Revision = Index, .WallTime = Command.WallTime};
  const bool Changed = std::visit(
      [&](const auto &Body) { return on(Body, Record); }, Command.Body);
  if (!Changed)
    return false;
  Audit.push_back(std::move(Record));
  if (Audit.size() > MaxAuditRecords)
    Audit.erase(Audit.begin(), Audit.begin() + static_cast<std::ptrdiff_t>(
                                                   MaxAuditRecords / 10));
  return true;
}

bool ReplicatedState::on(const AcceptPlan &Body, AuditRecord &Record) {
  if (Body.Plan.Version <= Plan.Version)
    return false;
  Record.Actor = "operator";
  Record.Action = "plan-accepted";
  Record.Subject = "plan";
  Record.From = "version " + std::to_string(Plan.Version);
  Record.To = "version " + std::to_string(Body.Plan.Version);
  Plan = Body.Plan;
  return true;
}

bool ReplicatedState::on(const RecordTargets &Body, AuditRecord &Record) {
  Record.Actor = "control";
  Record.Action = "targets-noted";
  for (const TargetRecord &Each : Body.Targets) {
    if (Each.IsGone)
      Targets.erase(Each.Id);
    else
      Targets[Each.Id] = Each;
    Record.Subject += (Record.Subject.empty() ? "" : ", ") + Each.Id;
    Record.To += std::string(Record.To.empty() ? "" : ", ") +
                 (Each.IsGone      ? "gone"
                  : Each.IsLeaving ? "leaving"
                  : Each.IsPrimary ? "primary"
                                   : "replica");
  }
  return !Body.Targets.empty();
}

bool ReplicatedState::on(const RecordProxies &Body, AuditRecord &Record) {
  Record.Actor = "control";
  Record.Action = "proxies-noted";
  for (const ProxyRecord &Each : Body.Present)
    Proxies[Each.Name] = Each;
  for (const std::string &Each : Body.Removed)
    Proxies.erase(Each);
  Record.Subject = std::to_string(Body.Present.size()) + " present, " +
                   std::to_string(Body.Removed.size()) + " gone";
  Record.To = std::to_string(Proxies.size()) + " in all";
  return !Body.Present.empty() || !Body.Removed.empty();
}

bool ReplicatedState::on(const RecordQuotaSeats &Body, AuditRecord &Record) {
  Record.Actor = "control";
  Record.Action = "quota-seats-noted";
  for (const auto &[Part, Holder] : Body.Holders)
    Seats[Part] = Holder;
  Record.Subject = std::to_string(Body.Holders.size()) + " changed";
  Record.To = std::to_string(Seats.size()) + " in all";
  return !Body.Holders.empty();
}

bool ReplicatedState::on(const OrderPromotion &Body, AuditRecord &Record) {
  Orders.add(Body.Group, Body.Target, Record.Revision);
  Record.Actor = Body.Holder;
  Record.Action = "promotion-ordered";
  Record.Subject = Body.Group;
  Record.To = Body.Target;
  Record.Reason = Body.Reason;
  return true;
}

bool ReplicatedState::on(const EndPromotion &Body, AuditRecord &Record) {
  Record.Actor = "control";
  Record.Action = "promotion-ended";
  Record.Subject = Body.Group;
  Record.From = "token " + std::to_string(Body.Token);
  Record.To = Body.IsAccepted ? "accepted" : "rejected";
  if (Body.IsAccepted)
    Orders.endUpTo(Body.Group, Body.Token);
  else
    Orders.endOne(Body.Group, Body.Token);
  return true;
}

struct ReplicatedState::EarlierLayout {
  ReplicatedState State;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(State.Plan, State.Targets, State.Proxies, State.Seats, State.Audit);
  }
};

Expected<ReplicatedState>
ReplicatedState::restore(const std::string &Snapshot) {
  auto Current = decode<ReplicatedState>(Snapshot);
  if (Current)
    return Current;
  auto Earlier = decode<EarlierLayout>(Snapshot);
  if (!Earlier)
    return tl::unexpected(Current.error());
  return std::move(Earlier->State);
}

} // namespace corianderdyke
