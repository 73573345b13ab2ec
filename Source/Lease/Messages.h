/// \file
/// Messages between proxies and control hosts about leases and decisions.

#ifndef CORIANDERDYKE_LEASE_MESSAGES_H
#define CORIANDERDYKE_LEASE_MESSAGES_H

#include "State/ClusterView.h"

#include <set>

namespace corianderdyke {

/// Health of a target as seen by a proxy. Only unhealthy targets are reported:
/// with thousands of targets, a report on each would cost a node far more than
/// all other work of a control host.
struct TargetReport {
  std::string Target;
  bool Reachable = true;
  Millis SilentFor; ///< Time since the last answer.
  /// Set for a primary that accepts writes and copies them to too few replicas.
  bool Stalled = false;

  bool isUnhealthy() const { return !Reachable || Stalled; }

  auto operator<=>(const TargetReport &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Target, Reachable, SilentFor, Stalled);
  }
};

/// Requests a lease or its renewal.
struct LeaseRequest {
  ProcessId Proxy;
  Locality ProxyLocality;
  std::uint64_t Sequence = 0;
  Millis SentAt; ///< By the proxy's clock; echoed and not interpreted.
  std::uint64_t AppliedRevision = 0;
  std::vector<TargetReport> Reports; ///< Unhealthy targets only.
  /// Databases at whose primary work of this proxy still runs.
  std::set<std::string> BusyDatabases = {};

  auto operator<=>(const LeaseRequest &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Proxy, ProxyLocality, Sequence, SentAt, AppliedRevision, Reports,
       BusyDatabases);
  }
};

/// A lease that starts at SentAt by the clock of the proxy and is valid only
/// while the proxy has applied RequiredRevision or later.
struct LeaseGrant {
  ProcessId Proxy;
  std::uint64_t Sequence = 0;
  Millis SentAt;
  Millis Duration;
  std::uint64_t RequiredRevision = 0;

  auto operator<=>(const LeaseGrant &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Proxy, Sequence, SentAt, Duration, RequiredRevision);
  }
};

/// Answer of a control host that does not lead.
struct NotLeader {
  std::string Leader; ///< Leader that it follows; may be empty.

  auto operator<=>(const NotLeader &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Leader); }
};

/// The cluster view as of a revision.
struct ViewUpdate {
  ClusterView View;

  bool operator==(const ViewUpdate &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(View); }
};

/// Reports that the proxy has applied this revision and no longer acts on an
/// earlier one.
struct ViewApplied {
  ProcessId Proxy;
  std::uint64_t Revision = 0;

  auto operator<=>(const ViewApplied &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Proxy, Revision); }
};

/// An announcement of a target, forwarded by a proxy to the control hosts.
struct ForwardedAnnouncement {
  TargetAnnouncement Target;

  auto operator<=>(const ForwardedAnnouncement &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Target); }
};

} // namespace corianderdyke

#endif
