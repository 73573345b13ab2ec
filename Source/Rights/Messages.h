/// \file
/// Messages between proxies and control hosts about connection rights.

#ifndef CORIANDERDYKE_RIGHTS_MESSAGES_H
#define CORIANDERDYKE_RIGHTS_MESSAGES_H

#include "Common/Identity.h"
#include "Common/Millis.h"

#include <vector>

namespace corianderdyke {

/// How long a right to connections lasts without renewal. The connections of a
/// crashed proxy stay unused for this long; a shorter outage of the control
/// group costs no connection. An election takes well under a second, a restart
/// of a control process a few seconds.
constexpr Millis RightsDuration(10000);

/// One proxy's use of and demand for a target's connections.
struct RightsDemand {
  std::string Target;
  /// Connections that the proxy may open or still has open.
  std::uint32_t Held = 0;
  /// Connections that it could use for statements that are sent or waiting and
  /// for open transactions.
  std::uint32_t Wanted = 0;

  auto operator<=>(const RightsDemand &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Target, Held, Wanted);
  }
};

/// Renews rights and requests more. Targets that are not listed are neither
/// held nor wanted.
struct RightsRequest {
  ProcessId Proxy;
  std::uint64_t Sequence = 0;
  Millis SentAt; ///< By the proxy's clock; echoed, not interpreted.
  /// Term of the leader whose grants the proxy follows.
  std::uint64_t LeaderTerm = 0;
  /// The last grant that is contained in Held.
  std::uint64_t AppliedGrant = 0;
  /// The proxy is stopping and applies no further grants.
  bool Leaving = false;
  std::vector<RightsDemand> Demands;

  auto operator<=>(const RightsRequest &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Proxy, Sequence, SentAt, LeaderTerm, AppliedGrant, Leaving, Demands);
  }
};

struct RightsAllocation {
  std::string Target;
  std::uint32_t Connections = 0;

  auto operator<=>(const RightsAllocation &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Target, Connections);
  }
};

/// Connections that the proxy may have open for Duration from SentAt, by its
/// own clock. A zero duration only announces the new leader's term.
struct RightsGrant {
  ProcessId Proxy;
  std::uint64_t Sequence = 0; ///< Of the request that this answers.
  Millis SentAt;
  Millis Duration;
  std::uint64_t LeaderTerm = 0;
  std::vector<RightsAllocation> Allocations;

  auto operator<=>(const RightsGrant &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Proxy, Sequence, SentAt, Duration, LeaderTerm, Allocations);
  }
};

} // namespace corianderdyke

#endif
