/// \file
/// What a target says of itself when it announces itself.

#ifndef CORIANDERDYKE_MEMBERSHIP_TARGETANNOUNCEMENT_H
#define CORIANDERDYKE_MEMBERSHIP_TARGETANNOUNCEMENT_H

#include "Common/Identity.h"

namespace corianderdyke {

/// A fact with a sequence: the announcement of a name with the highest
/// sequence holds. A target raises it when it starts and when it leaves. It
/// reaches any proxy through the platform's balancer, and that proxy passes it
/// on to control.
struct TargetAnnouncement {
  std::string Name;
  std::string Database;
  Locality TargetLocality;
  Endpoint Address;
  std::uint64_t Sequence = 0;
  bool Leaving = false;
  /// Names the log that the target holds; one that comes back without its log
  /// has another. Empty where the database doesn't tell.
  std::string LogId = {};

  auto operator<=>(const TargetAnnouncement &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Name, Database, TargetLocality, Address, Sequence, Leaving, LogId);
  }
};

} // namespace corianderdyke

#endif
