/// \file
/// Messages between proxies and control hosts, for systems in which targets
/// enforce their leadership themselves.

#ifndef CORIANDERDYKE_STEERING_MESSAGES_H
#define CORIANDERDYKE_STEERING_MESSAGES_H

#include "Directory/TargetDirectory.h"
#include "Plan/RoutePlan.h"
#include "Quota/Messages.h"
#include "Relay/GatewayTable.h"

namespace corianderdyke {

/// A version of the directory, or of the list of proxies, at one leading
/// control host.
struct DirectoryVersion {
  std::uint64_t Term = 0; ///< The control leader's.
  std::uint64_t Revision = 0;

  auto operator<=>(const DirectoryVersion &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Term, Revision); }
};

/// One proxy's observation of a target.
struct ReachabilityReport {
  std::string Id;
  std::uint64_t Incarnation = 0; ///< Of the target, according to the directory.
  bool IsReachable = false;      ///< Answered recently; else not usable.

  auto operator<=>(const ReachabilityReport &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Id, Incarnation, IsReachable);
  }
};

/// Reads refused or served late at a group's leader while every replica lagged,
/// at one proxy since its last request.
struct GroupPressure {
  std::string Group;
  std::uint64_t RefusedReads = 0; ///< Refused as busy.
  std::uint64_t LaggingReads = 0; ///< Served by the leader, but too late.

  auto operator<=>(const GroupPressure &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Group, RefusedReads, LaggingReads);
  }
};

/// A proxy's periodic request to control: the versions it holds and its reports
/// on targets.
struct SubscribeRequest {
  ProcessId Proxy;
  std::uint64_t Sequence = 0;
  std::uint64_t PlanVersion = 0; ///< In force at the proxy; 0 for none.
  DirectoryVersion DirectoryHeld;
  /// Requests an answer that the quorum has confirmed: a proxy that has just
  /// started must not use a plan that has already been replaced.
  bool NeedsConfirmation = false;
  std::vector<ReachabilityReport> Reports;
  /// The proxy's record for the list of proxies; without an address if it
  /// accepts no statements of others.
  ProxyRecord Self;
  bool IsLeaving = false;
  DirectoryVersion ProxiesHeld; ///< Version of its list of proxies.
  SeatRequest Seats;
  std::vector<GroupPressure> Pressure;

  bool operator==(const SubscribeRequest &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Proxy, Sequence, PlanVersion, DirectoryHeld, NeedsConfirmation, Reports,
       Self, IsLeaving, ProxiesHeld, Seats, Pressure);
  }
};

/// The leader's answer. Updates that the proxy lacks follow in separate
/// messages.
struct SubscribeReply {
  std::uint64_t Sequence = 0;
  bool IsConfirmed = false;
  std::uint64_t PlanVersion = 0;
  std::vector<std::string> ControlHosts; ///< Addresses of the group's members.
  /// Proxies that are subscribed or listed; 0 while a new leader is still
  /// collecting them.
  std::uint32_t ProxyCount = 0;

  bool operator==(const SubscribeReply &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Sequence, IsConfirmed, PlanVersion, ControlHosts, ProxyCount);
  }
};

/// Sent when control probes a target; each proxy sends its reports immediately.
struct ReachabilityQuery {
  bool operator==(const ReachabilityQuery &) const = default;
  template <class Archive> void serialize(Archive &) {}
};

/// The control host that received the request does not lead.
struct SubscribeRedirect {
  std::string Leader; ///< Address; empty if none is known.

  bool operator==(const SubscribeRedirect &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Leader); }
};

struct PlanUpdate {
  RoutePlan Plan;

  bool operator==(const PlanUpdate &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Plan); }
};

/// The targets that changed between two versions; all targets if \p From is
/// empty.
struct DirectoryUpdate {
  DirectoryVersion From;
  DirectoryVersion Version;
  std::vector<TargetRecord> Targets;

  bool operator==(const DirectoryUpdate &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(From, Version, Targets);
  }
};

/// The changes between two versions of the list of proxies that relay each
/// other's statements; the whole list if \p From is empty.
struct ProxyListUpdate {
  DirectoryVersion From;
  DirectoryVersion Version;
  std::vector<ProxyRecord> Present;
  std::vector<std::string> Removed; ///< Names.

  bool operator==(const ProxyListUpdate &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(From, Version, Present, Removed);
  }
};

} // namespace corianderdyke

#endif
