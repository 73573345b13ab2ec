/// \file
/// The replicated state of the control group, for systems in which targets
/// enforce their leadership themselves: the plan in force, the order of
/// promotions and the recorded targets, proxies and quota seats.

#ifndef CORIANDERDYKE_STEERING_REPLICATEDSTATE_H
#define CORIANDERDYKE_STEERING_REPLICATEDSTATE_H

#include "Directory/TargetDirectory.h"
#include "Plan/RoutePlan.h"
#include "Quota/SeatLedger.h"
#include "Relay/GatewayTable.h"
#include "State/ControlState.h"
#include "Steering/OpenOrders.h"

#include <map>
#include <variant>

namespace corianderdyke {

/// Puts a plan in force if its version is higher than the current one.
struct AcceptPlan {
  RoutePlan Plan;

  bool operator==(const AcceptPlan &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Plan); }
};

/// Orders the promotion of a target. The entry's index is the fencing token of
/// the order: later orders of any holder have higher tokens. The order is open
/// until an EndPromotion.
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

/// Records that the order with the token Token cannot be executed any more.
struct EndPromotion {
  std::string Group;
  std::uint64_t Token = 0;
  /// Ends the earlier orders of the group too, because they are fenced off.
  bool IsAccepted = false;

  bool operator==(const EndPromotion &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Group, Token, IsAccepted);
  }
};

/// Records changes in targets' heartbeats, beyond their sequence numbers. A
/// leader that starts after all processes were down reads the targets from this
/// record. A target that left but may hold commits that too few others hold is
/// recorded by departedRecord(), and as gone later.
struct RecordTargets {
  std::vector<TargetRecord> Targets;

  bool operator==(const RecordTargets &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Targets); }
};

/// A target's record without its address, which another target may use.
TargetRecord departedRecord(TargetRecord Last);
bool isDeparted(const TargetRecord &Recorded);

/// Records proxies that were added or changed, and names of removed ones.
/// Without it a leader that starts after all processes were down would divide
/// the targets' connections among the few proxies that have contacted it yet.
struct RecordProxies {
  std::vector<ProxyRecord> Present;
  std::vector<std::string> Removed;

  bool operator==(const RecordProxies &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Present, Removed); }
};

/// Assigns parts of organisations' quotas to holders.
struct RecordQuotaSeats {
  SeatAssignments Holders;

  bool operator==(const RecordQuotaSeats &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Holders); }
};

struct ReplicatedCommand {
  Millis WallTime; ///< For display only.
  std::variant<AcceptPlan, OrderPromotion, RecordTargets, RecordProxies,
               RecordQuotaSeats, EndPromotion>
      Body;

  bool operator==(const ReplicatedCommand &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(WallTime, Body); }
};

class ReplicatedState {
public:
  /// Applies the entry at \p Index; returns true if it changed the state.
  bool apply(std::uint64_t Index, const ReplicatedCommand &Command);

  /// The state in a snapshot. Snapshots of hosts that did not record open
  /// orders are read too.
  static Expected<ReplicatedState> restore(const std::string &Snapshot);

  const RoutePlan &plan() const { return Plan; }
  /// Targets that are not gone or count as departed, as last recorded.
  const std::map<std::string, TargetRecord> &targets() const { return Targets; }
  /// Proxies by name, as last recorded.
  const std::map<std::string, ProxyRecord> &proxies() const { return Proxies; }
  /// Holders of parts of quotas, as last recorded.
  const SeatAssignments &seats() const { return Seats; }
  /// Changes in order; the oldest are dropped beyond MaxAuditRecords.
  const std::vector<AuditRecord> &audit() const { return Audit; }
  /// Promotions that were ordered and may still be executed.
  const OpenOrders &openOrders() const { return Orders; }

  bool operator==(const ReplicatedState &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Plan, Targets, Proxies, Seats, Audit, Orders);
  }

private:
  /// The layout without open orders.
  struct EarlierLayout;

  bool on(const AcceptPlan &Body, AuditRecord &Record);
  bool on(const OrderPromotion &Body, AuditRecord &Record);
  bool on(const EndPromotion &Body, AuditRecord &Record);
  bool on(const RecordTargets &Body, AuditRecord &Record);
  bool on(const RecordProxies &Body, AuditRecord &Record);
  bool on(const RecordQuotaSeats &Body, AuditRecord &Record);

  /// Suffices for a month of primary changes and a day of plans at the designed
  /// system size.
  static constexpr std::size_t MaxAuditRecords = 1600;

  RoutePlan Plan;
  std::map<std::string, TargetRecord> Targets;
  std::map<std::string, ProxyRecord> Proxies;
  SeatAssignments Seats;
  std::vector<AuditRecord> Audit;
  OpenOrders Orders;
};

} // namespace corianderdyke

#endif
