/// \file
/// The announcement by which a target registers itself.

#ifndef CORIANDERDYKE_MEMBERSHIP_TARGETANNOUNCEMENT_H
#define CORIANDERDYKE_MEMBERSHIP_TARGETANNOUNCEMENT_H

#include "Common/Identity.h"

namespace corianderdyke {

/// Describes a target. For each name, the announcement with the highest
/// sequence is in force. A target increments the sequence when it starts and
/// when it leaves. The platform load balancer routes the announcement to any
/// proxy, which forwards it to the control hosts.
struct TargetAnnouncement {
  std::string Name;
  std::string Database;
  Locality TargetLocality;
  Endpoint Address;
  std::uint64_t Sequence = 0;
  bool Leaving = false;
  /// Identifies the log that the target holds. A target that comes back without
  /// its log has a new one. Empty if the database does not report it.
  std::string LogId = {};

  auto operator<=>(const TargetAnnouncement &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Name, Database, TargetLocality, Address, Sequence, Leaving, LogId);
  }
};

} // namespace corianderdyke

#endif
