/// \file
/// One connection pool for each target in the view.

#ifndef CORIANDERDYKE_PROXY_TARGETPOOLS_H
#define CORIANDERDYKE_PROXY_TARGETPOOLS_H

#include "Proxy/ConnectionPool.h"
#include "State/ClusterView.h"

namespace corianderdyke {

class TargetPools {
public:
  explicit TargetPools(HttpConnector &Connector) : Connector(Connector) {}

  /// Connections that may be open to a target.
  using LimitFunction = std::function<std::size_t(const std::string &Target)>;

  /// Applies a view. A target with a new announcement is another process,
  /// perhaps at another address, so its old connections are unusable.
  void update(const ClusterView &View, const LimitFunction &Limit);

  void setLimits(const LimitFunction &Limit);

  /// The pool of a target; null if the view has no such target, which may have
  /// been removed since it was chosen.
  std::shared_ptr<ConnectionPool> find(const std::string &Target) const;

  std::vector<std::string> targets() const;

  /// Statements that run at a target or wait for one of its connections.
  std::size_t load(const std::string &Target) const;

private:
  struct Entry {
    Endpoint Address;
    std::uint64_t Sequence = 0;
    /// Shared, since statements in flight may outlive a target's entry.
    std::shared_ptr<ConnectionPool> Pool;
  };

  HttpConnector &Connector;
  std::map<std::string, Entry> Pools;
};

} // namespace corianderdyke

#endif
