/// \file
/// The proxies that follow a leading control host, for each other.

#ifndef CORIANDERDYKE_STEERING_PROXYLIST_H
#define CORIANDERDYKE_STEERING_PROXYLIST_H

#include "Common/Millis.h"
#include "Steering/ReplicatedState.h"

namespace corianderdyke {

/// Proxies choose gateways from this list, and each change of it moves some
/// of their connections. A new leader that told what it has heard so far would
/// move nearly all of them, twice within a second; so it begins with those
/// that the group has noted, and says nothing before it knows any.
class ProxyList {
public:
  /// A term as leader begins with those that were noted.
  void startTerm(const std::map<std::string, ProxyRecord> &Noted, Millis Now);

  /// A proxy's own word. One that leaves is off the list at once.
  void update(const ProxyRecord &Said, bool IsLeaving, Millis Now);
  /// A restarted proxy is back within less, under the same name.
  void removeExpired(Millis Now, Millis Kept);

  /// False while a new leader gets to know the proxies.
  bool isReady(Millis Now) const;

  std::vector<ProxyRecord> all() const;
  /// What changed after a revision: those that came or changed, and the names
  /// of those that went.
  RecordProxies changedSince(std::uint64_t Since) const;
  std::size_t size() const { return ByName.size(); }
  /// What the group should note, given what it has; empty where nothing.
  RecordProxies
  unrecordedChanges(const std::map<std::string, ProxyRecord> &Noted) const;
  /// Raised with each change.
  std::uint64_t revision() const { return Revision; }

private:
  struct TrackedProxy {
    ProxyRecord Record;
    Millis LastContact;
    bool IsLeaving = false;
    std::uint64_t ChangedRevision = 0; ///< The revision of its last change.
  };

  std::map<std::string, TrackedProxy> ByName;
  std::map<std::string, std::uint64_t> RemovedRevisions; ///< Revision by name.
  std::uint64_t Revision = 0;
  Millis BeganAt;
  Millis LastChangeAt;
  bool StartedWithRecorded = false; ///< The term began with proxies.
};

} // namespace corianderdyke

#endif
