/// \file
/// The connections that this proxy may have open.

#ifndef CORIANDERDYKE_RIGHTS_CONNECTIONRIGHTS_H
#define CORIANDERDYKE_RIGHTS_CONNECTIONRIGHTS_H

#include "Rights/Messages.h"

#include <map>

namespace corianderdyke {

/// What a proxy does with one target at the moment.
struct ConnectionUse {
  std::uint32_t Open = 0;   ///< Connections, also those being opened.
  std::uint32_t Wanted = 0; ///< Statements sent and waiting.

  auto operator<=>(const ConnectionUse &) const = default;
};

/// A right is a lease: it counts from the moment when its request was sent.
class ConnectionRights {
public:
  explicit ConnectionRights(ProcessId Self) : Self(std::move(Self)) {}

  /// The next request, for the targets that are in use or wanted. What was
  /// wanted since the last request but one counts, so that the pause between
  /// two statements gives nothing back.
  RightsRequest request(const std::map<std::string, ConnectionUse> &Use,
                        Millis Now);

  /// Takes a grant in; one for another life of this proxy, of an earlier
  /// leader or out of order is ignored. True where the next request should
  /// be sent at once: a new leader waits for a report in its term.
  bool apply(const RightsGrant &Grant);

  /// The proxy stops: it opens nothing any more, and its requests give back
  /// what isn't open.
  void relinquish();

  /// Connections that may be open to a target now.
  std::uint32_t limit(const std::string &Target, Millis Now) const;

  const ProcessId &id() const { return Self; }
  Millis end() const { return End; }
  const std::map<std::string, std::uint32_t> &allocations() const {
    return Shares;
  }

private:
  ProcessId Self;
  std::uint64_t Sequence = 0;
  std::uint64_t LeaderTerm = 0;
  std::uint64_t AppliedGrant = 0;
  bool Leaving = false;
  Millis End = Millis(-1);
  std::map<std::string, std::uint32_t> Shares;
  std::map<std::string, std::uint32_t> PreviouslyWanted;
};

} // namespace corianderdyke

#endif
