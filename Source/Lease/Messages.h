/// \file
/// What proxies and control tell each other about leases and decisions.

#ifndef CORIANDERDYKE_LEASE_MESSAGES_H
#define CORIANDERDYKE_LEASE_MESSAGES_H

#include "State/ClusterView.h"

#include <set>

namespace corianderdyke {

/// What a proxy sees of a target that it watches. Only targets in trouble are
/// sent: a report on each would, with thousands of targets, cost a node far
/// more than all else that control does.
struct TargetReport {
  std::string Target;
  bool Reachable = true;
  Millis SilentFor; ///< Since the last answer.
  /// A primary that takes writes and copies them to too few replicas.
  bool Stalled = false;

  bool isUnhealthy() const { return !Reachable || Stalled; }

  auto operator<=>(const TargetReport &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Target, Reachable, SilentFor, Stalled);
  }
};

/// Asks for a lease, or for a longer one.
struct LeaseRequest {
  ProcessId Proxy;
  Locality ProxyLocality;
  std::uint64_t Sequence = 0;
  Millis SentAt; ///< By the proxy's clock; echoed and not interpreted.
  std::uint64_t AppliedRevision = 0;
  std::vector<TargetReport> Reports; ///< Of targets in trouble.
  /// Databases at whose primary something of this proxy still runs.
  std::set<std::string> BusyDatabases = {};

  auto operator<=>(const LeaseRequest &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Proxy, ProxyLocality, Sequence, SentAt, AppliedRevision, Reports,
       BusyDatabases);
  }
};

/// A lease that counts from SentAt by the proxy's clock, and only while the
/// proxy has applied RequiredRevision or later.
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

/// The answer of a control host that doesn't lead.
struct NotLeader {
  std::string Leader; ///< The host that it follows; may be empty.

  auto operator<=>(const NotLeader &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Leader); }
};

/// The decisions as of a revision.
struct ViewUpdate {
  ClusterView View;

  bool operator==(const ViewUpdate &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(View); }
};

/// The proxy acts by this revision from now on, and by none before it.
struct ViewApplied {
  ProcessId Proxy;
  std::uint64_t Revision = 0;

  auto operator<=>(const ViewApplied &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Proxy, Revision); }
};

/// A target's announcement on its way from a proxy to control.
struct ForwardedAnnouncement {
  TargetAnnouncement Target;

  auto operator<=>(const ForwardedAnnouncement &) const = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Target); }
};

} // namespace corianderdyke

#endif
