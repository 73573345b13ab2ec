/// \file
/// Names and addresses of processes and targets.

#ifndef CORIANDERDYKE_COMMON_IDENTITY_H
#define CORIANDERDYKE_COMMON_IDENTITY_H

#include "Common/Error.h"

#include <compare>
#include <cstdint>
#include <string>

namespace corianderdyke {

/// An IP address and a port. Host names are not resolved.
struct Endpoint {
  std::string Address;
  std::uint16_t Port = 0;

  auto operator<=>(const Endpoint &) const = default;

  /// "address:port".
  std::string text() const { return Address + ":" + std::to_string(Port); }

  /// Parses "address:port" with an IPv4 address; BadInput if \p Text is
  /// invalid.
  static Expected<Endpoint> parse(const std::string &Text);

  template <class Archive> void serialize(Archive &Ar) { Ar(Address, Port); }
};

/// Where a process or target runs. Every identity includes its region and
/// failure domain, so that placement by distance needs no new messages.
struct Locality {
  std::string Region;
  std::string FailureDomain;
  std::string Host;

  auto operator<=>(const Locality &) const = default;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Region, FailureDomain, Host);
  }
};

/// One incarnation of a process. A restarted process has the same name and
/// another incarnation, because leases of its former incarnation remain valid
/// until they expire.
struct ProcessId {
  std::string Name;
  std::uint64_t Incarnation = 0;

  auto operator<=>(const ProcessId &) const = default;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Name, Incarnation);
  }
};

} // namespace corianderdyke

#endif
