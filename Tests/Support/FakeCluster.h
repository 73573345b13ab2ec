/// \file
/// A cluster of control hosts, proxies and stand-in targets on the simulated
/// network, connected as the real processes are. It only connects them: all
/// behaviour is that of the production code.

#ifndef CORIANDERDYKE_TESTS_SUPPORT_FAKECLUSTER_H
#define CORIANDERDYKE_TESTS_SUPPORT_FAKECLUSTER_H

#include "Control/ControlNode.h"
#include "FakeDisk.h"
#include "FakeNetwork.h"
#include "Proxy/ProxyNode.h"
#include "StandInTarget.h"

namespace corianderdyke {

/// Response to a caller.
struct CallerResponse {
  std::string Outcome;
  std::string Body;
  std::string Session;
  std::string Target;
  std::string ServedBy;
  std::string Transaction;
  int Status = 0;
  Millis RetryAfter;
  Millis At; ///< Time of arrival.
  bool Arrived = false;

  bool operator==(const CallerResponse &) const = default;
};

/// Request of a caller.
struct CallerRequest {
  std::string Database = "bale-ledger-1";
  std::string Organisation = "port-clerks";
  std::string Kind = "handover";
  std::string Key = {}; ///< Passed to idempotencyKey().
  std::string Body = {};
  std::string Session = {};
  std::string Transaction = {};
  std::string Path = "/statement";
  std::int64_t DeadlineMs = 0; ///< 0 uses the deadline of the kind.
};

class FakeCluster {
public:
  explicit FakeCluster(std::uint64_t Seed, std::size_t Controls = 3,
                       std::size_t Proxies = 2);
  /// Destroys the objects in reverse order of their creation.
  ~FakeCluster();
  FakeCluster(const FakeCluster &) = delete;
  FakeCluster &operator=(const FakeCluster &) = delete;

  /// Starts or restarts a control host with the disk it had before, if any.
  void startControl(const std::string &Name);
  void startProxy(const std::string &Name);
  void startTarget(const std::string &Name, const std::string &Database);
  /// Kills a process of any kind; its disk loses all unsynced bytes.
  void kill(const std::string &Name);
  /// Discards the disk of a killed control host.
  void loseDisk(const std::string &Name) { Disks.erase(Name); }

  /// Starts the number of targets that the manifest sets for each database.
  void startTargets(const Manifest &For);
  void applyManifest(const std::string &Text);
  /// Applies \p Text, starts the targets and waits until all databases are
  /// writable and all proxies are ready.
  void startAndAwaitWritable(const std::string &Text);

  /// Returns the leader of the control group; null if there is none.
  ControlNode *leader();
  const GroupRecord *group(const std::string &Database);
  bool isWritable(const std::string &Database);

  /// Sends a statement to a proxy. The result is filled in later; its Arrived
  /// is true from then on.
  std::shared_ptr<CallerResponse> send(const std::string &Proxy,
                                       const CallerRequest &Question);
  /// Sends a statement and runs until the answer arrives or \p Timeout has
  /// passed.
  CallerResponse sendAndWait(const std::string &Proxy,
                             const CallerRequest &Question,
                             Millis Timeout = Millis(20000));

  /// Opens a persistent connection from a caller to a proxy. Destroying it
  /// closes the connection.
  std::shared_ptr<HttpConnection> connectTo(const std::string &Proxy);
  /// Returns the idempotency key for a name: issued at its first use and the
  /// same afterwards. A name that is empty or a valid key is returned as it is.
  std::string idempotencyKey(const std::string &Name);
  /// Sends a statement over a persistent connection.
  std::shared_ptr<CallerResponse> sendOver(HttpConnection &Connection,
                                           const CallerRequest &Question);
  CallerResponse sendOverAndWait(HttpConnection &Connection,
                                 const CallerRequest &Question,
                                 Millis Timeout = Millis(20000));

  FakeLoop Loop;
  FakeNetwork Net;
  /// The most recently started process of each name.
  std::map<std::string, FakeHost *> Hosts;
  std::map<std::string, ControlNode *> Controls;
  std::map<std::string, ProxyNode *> Proxies;
  std::map<std::string, StandInTarget *> Targets;
  /// Options of targets that are started from now on.
  StandInOptions TargetOptions;

  /// Used for the peer, session and target keys of the cluster.
  static constexpr const char *SharedKey = "a key for the cluster in memory";

  static constexpr const char *BaseManifest = R"(
version = 1
[[organisation]]
name = "port-clerks"
[[database]]
name = "bale-ledger-1"
[[kind]]
name = "lookup"
access = "read"
accepted_age_ms = 2000
[[kind]]
name = "handover"
access = "write"
repeatable = false
)";

private:
  FakeHost &caller();
  FakeHost &newHost(const std::string &Name);
  Settings settings(const std::string &Name) const;
  Endpoint endpoint(const std::string &Name, std::uint16_t Port) const;

  std::vector<std::string> ControlNames;
  std::vector<std::string> ProxyNames;
  std::map<std::string, std::shared_ptr<FakeDisk>> Disks;
  /// All processes and connections ever created: pending events may still refer
  /// to them.
  std::vector<std::shared_ptr<void>> RetainedObjects;
  /// Assigned address numbers, by host name.
  mutable std::map<std::string, std::size_t> Addresses;
  std::map<std::string, std::string> IssuedKeys;
  std::uint64_t NextNumber = 1;
};

} // namespace corianderdyke

#endif
