/// \file
/// The connections that this proxy may have open.

#ifndef CORIANDERDYKE_RIGHTS_CONNECTIONRIGHTS_H
#define CORIANDERDYKE_RIGHTS_CONNECTIONRIGHTS_H

#include "Rights/Messages.h"

#include <map>

namespace corianderdyke {

/// A proxy's current use of one target's connections.
struct ConnectionUse {
  std::uint32_t Open = 0; ///< Connections, including those being opened.
  /// Connections for the statements that are sent or waiting and for open
  /// transactions.
  std::uint32_t Wanted = 0;

  auto operator<=>(const ConnectionUse &) const = default;
};

/// Holds the proxy's rights to connections. A right is a lease that starts when
/// its request is sent.
class ConnectionRights {
public:
  explicit ConnectionRights(ProcessId Self) : Self(std::move(Self)) {}

  /// Returns the next request, for the targets that are in use or wanted. The
  /// demand is the larger of the current use and the use at the previous
  /// request, so that a pause between two statements returns no connection.
  RightsRequest request(const std::map<std::string, ConnectionUse> &Use,
                        Millis Now);

  /// Applies a grant; ignores it if it is for another incarnation of this
  /// proxy, from an earlier leader or out of order. Returns true if the next
  /// request should be sent at once, because a new leader waits for a report in
  /// its term.
  bool apply(const RightsGrant &Grant);

  /// Prepares for a stop: the proxy opens no further connections, and its
  /// requests return the rights to connections that are not open.
  void relinquish();

  /// Connections that may be open to a target now.
  std::uint32_t limit(const std::string &Target, Millis Now) const;

  const ProcessId &id() const { return Self; }
  Millis end() const { return End; }
  const std::map<std::string, std::uint32_t> &allocations() const {
    return AllocationByTarget;
  }

private:
  ProcessId Self;
  std::uint64_t Sequence = 0;
  std::uint64_t LeaderTerm = 0;
  std::uint64_t AppliedGrant = 0;
  bool Leaving = false;
  Millis End = Millis(-1);
  std::map<std::string, std::uint32_t> AllocationByTarget;
  std::map<std::string, std::uint32_t> PreviouslyWanted;
};

} // namespace corianderdyke

#endif
