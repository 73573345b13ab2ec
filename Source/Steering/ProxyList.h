/// \file
/// The list of proxies that a leading control host distributes to all proxies.

#ifndef CORIANDERDYKE_STEERING_PROXYLIST_H
#define CORIANDERDYKE_STEERING_PROXYLIST_H

#include "Common/Millis.h"
#include "Steering/ReplicatedState.h"

namespace corianderdyke {

/// Proxies select gateways from this list, and each change of it moves some of
/// their connections. A new leader that distributed a partial list would move
/// nearly all of them twice within a second. It therefore starts with the
/// proxies recorded by the control group; without any it sends no list until it
/// has collected the proxies.
class ProxyList {
public:
  /// Starts a term as leader with the recorded proxies.
  void startTerm(const std::map<std::string, ProxyRecord> &Recorded,
                 Millis Now);

  /// Applies a proxy's own record. A leaving proxy is removed from the list
  /// immediately.
  void update(const ProxyRecord &Record, bool IsLeaving, Millis Now);
  /// Removes proxies without contact for longer than \p MaxAge. It must be
  /// longer than a restart, after which a proxy returns under the same name.
  void removeExpired(Millis Now, Millis MaxAge);

  /// False while a new leader is still collecting the proxies.
  bool isReady(Millis Now) const;

  std::vector<ProxyRecord> all() const;
  /// Returns the proxies added or changed after a revision and the names of
  /// those removed.
  RecordProxies changedSince(std::uint64_t Since) const;
  std::size_t size() const { return ByName.size(); }
  /// Returns the changes that the control group has not recorded yet.
  RecordProxies
  unrecordedChanges(const std::map<std::string, ProxyRecord> &Recorded) const;
  /// Raised with each change.
  std::uint64_t revision() const { return Revision; }

private:
  struct TrackedProxy {
    ProxyRecord Record;
    Millis LastContact;
    bool IsLeaving = false;
    std::uint64_t ChangedRevision = 0; ///< Revision of the last change.
  };

  std::map<std::string, TrackedProxy> ByName;
  std::map<std::string, std::uint64_t> RemovedRevisions; ///< Revision by name.
  std::uint64_t Revision = 0;
  Millis StartedAt;
  Millis LastChangeAt;
  bool StartedWithRecorded = false; ///< The term began with proxies.
};

} // namespace corianderdyke

#endif
