/// \file
/// What the control group agrees on where targets enforce their leadership
/// themselves: the plan in force and the order of promotions.

#ifndef CORIANDERDYKE_STEERING_REPLICATEDSTATE_H
#define CORIANDERDYKE_STEERING_REPLICATEDSTATE_H

#include "Directory/TargetDirectory.h"
#include "Plan/RoutePlan.h"
#include "Quota/SeatLedger.h"
#include "Relay/GatewayTable.h"
#include "State/ControlState.h"

#include <map>
#include <variant>

namespace corianderdyke {

/// Makes a plan the one in force where its version is higher.
struct AcceptPlan {
  RoutePlan Plan;

  bool operator==(const AcceptPlan &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Plan); }
};

/// Decides that a target is to lead its group. The entry's index is the
/// order's fencing token: later orders of any holder have higher ones.
struct OrderPromotion {
  std::string Group;
  std::string Target;
  std::string Holder;
  std::string Reason;

  bool operator==(const OrderPromotion &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Group, Target, Holder, Reason);
  }
};

/// What targets said of themselves, where it's more than a sign of life. A
/// leader that starts after all processes were down knows them at once.
struct RecordTargets {
  std::vector<TargetRecord> Targets;

  bool operator==(const RecordTargets &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Targets); }
};

/// Proxies that came or changed, and names of those that went. Without it a
/// leader that starts after all processes were down would divide targets'
/// connections among the few proxies that it has heard yet.
struct RecordProxies {
  std::vector<ProxyRecord> Present;
  std::vector<std::string> Removed;

  bool operator==(const RecordProxies &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Present, Removed); }
};

/// Who may hold which part of organisations' quotas from now on.
struct RecordQuotaSeats {
  SeatAssignments Holders;

  bool operator==(const RecordQuotaSeats &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Holders); }
};

struct ReplicatedCommand {
  Millis WallTime; ///< For people only.
  std::variant<AcceptPlan, OrderPromotion, RecordTargets, RecordProxies,
               RecordQuotaSeats>
      Body;

  bool operator==(const ReplicatedCommand &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(WallTime, Body); }
};

class ReplicatedState {
public:
  /// Applies the entry at \p Index; true where it changed what is in force.
  bool apply(std::uint64_t Index, const ReplicatedCommand &Command);

  const RoutePlan &plan() const { return Plan; }
  /// Targets that haven't gone, as last noted.
  const std::map<std::string, TargetRecord> &targets() const { return Targets; }
  /// Proxies by name, as last noted.
  const std::map<std::string, ProxyRecord> &proxies() const { return Proxies; }
  /// Holders of parts of quotas, as last noted.
  const SeatAssignments &seats() const { return Seats; }
  /// Decisions, the oldest first; the oldest are dropped.
  const std::vector<AuditRecord> &audit() const { return Audit; }

  bool operator==(const ReplicatedState &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Plan, Targets, Proxies, Seats, Audit);
  }

private:
  bool on(const AcceptPlan &Body, AuditRecord &Line);
  bool on(const OrderPromotion &Body, AuditRecord &Line);
  bool on(const RecordTargets &Body, AuditRecord &Line);
  bool on(const RecordProxies &Body, AuditRecord &Line);
  bool on(const RecordQuotaSeats &Body, AuditRecord &Line);

  /// A month of primary changes and a day of plans at the target size.
  static constexpr std::size_t MaxAuditRecords = 1600;

  RoutePlan Plan;
  std::map<std::string, TargetRecord> Targets;
  std::map<std::string, ProxyRecord> Proxies;
  SeatAssignments Seats;
  std::vector<AuditRecord> Audit;
};

} // namespace corianderdyke

#endif
