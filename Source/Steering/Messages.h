/// \file
/// What proxies and control hosts tell each other where targets enforce their
/// leadership themselves.

#ifndef CORIANDERDYKE_STEERING_MESSAGES_H
#define CORIANDERDYKE_STEERING_MESSAGES_H

#include "Directory/TargetDirectory.h"
#include "Plan/RoutePlan.h"
#include "Quota/Messages.h"
#include "Relay/GatewayTable.h"

namespace corianderdyke {

/// A state of the directory, or of the list of proxies, at one leading control
/// host.
struct DirectoryVersion {
  std::uint64_t Term = 0; ///< The control leader's.
  std::uint64_t Revision = 0;

  auto operator<=>(const DirectoryVersion &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Term, Revision); }
};

/// A target as one proxy sees it.
struct ReachabilityReport {
  std::string Id;
  std::uint64_t Incarnation =
      0;                    ///< The life that was met, as the directory has it.
  bool IsReachable = false; ///< It answered lately; else it couldn't be used.

  auto operator<=>(const ReachabilityReport &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Id, Incarnation, IsReachable);
  }
};

/// A proxy's regular word to control: what it knows and what it sees.
struct SubscribeRequest {
  ProcessId Proxy;
  std::uint64_t Sequence = 0;
  std::uint64_t PlanVersion = 0; ///< In force there; 0 where none is.
  DirectoryVersion DirectoryHeld;
  /// Asks for an answer that the quorum has confirmed: a proxy that just
  /// started must not begin with a plan that another has replaced.
  bool NeedsConfirmation = false;
  std::vector<ReachabilityReport> Reports;
  /// Itself, for the list of proxies; without an address where it takes no
  /// statements of others.
  ProxyRecord Self;
  bool IsLeaving = false;
  DirectoryVersion ProxiesHeld; ///< Of the list that it has.
  SeatRequest Seats;

  bool operator==(const SubscribeRequest &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Proxy, Sequence, PlanVersion, DirectoryHeld, NeedsConfirmation, Reports,
       Self, IsLeaving, ProxiesHeld, Seats);
  }
};

/// The leader's answer. What the proxy lacks follows in messages of its own.
struct SubscribeReply {
  std::uint64_t Sequence = 0;
  bool IsConfirmed = false;
  std::uint64_t PlanVersion = 0;
  std::vector<std::string> ControlHosts; ///< Addresses of the group's members.
  /// That follow at the moment; 0 while a new leader gets to know them.
  std::uint32_t ProxyCount = 0;

  bool operator==(const SubscribeReply &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Sequence, IsConfirmed, PlanVersion, ControlHosts, ProxyCount);
  }
};

/// Control looks into a target: each proxy tells at once what it has seen.
struct ReachabilityQuery {
  bool operator==(const ReachabilityQuery &) const = default;
  template <class Archive> void serialize(Archive &) {}
};

/// The asked control host doesn't lead.
struct SubscribeRedirect {
  std::string Leader; ///< Address; empty where none is known.

  bool operator==(const SubscribeRedirect &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Leader); }
};

struct PlanUpdate {
  RoutePlan Plan;

  bool operator==(const PlanUpdate &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Plan); }
};

/// The targets that changed from one version to another; all of them where the
/// former is no version.
struct DirectoryUpdate {
  DirectoryVersion From;
  DirectoryVersion Version;
  std::vector<TargetRecord> Targets;

  bool operator==(const DirectoryUpdate &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(From, Version, Targets);
  }
};

/// The proxies that may carry each other's statements, as DirectoryUpdate.
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
