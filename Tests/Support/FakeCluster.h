/// \file
/// Control hosts, proxies and stand-in targets on the fakes, wired as the
/// processes are. Only wiring: what happens is the product's own code.

#ifndef CORIANDERDYKE_TESTS_SUPPORT_FAKECLUSTER_H
#define CORIANDERDYKE_TESTS_SUPPORT_FAKECLUSTER_H

#include "Control/ControlNode.h"
#include "FakeDisk.h"
#include "FakeNetwork.h"
#include "Proxy/ProxyNode.h"
#include "StandInTarget.h"

namespace corianderdyke {

/// What a caller got.
struct CallerResponse {
  std::string Outcome;
  std::string Body;
  std::string Session;
  std::string Target;
  std::string ServedBy;
  std::string Transaction;
  int Status = 0;
  Millis RetryAfter;
  Millis At; ///< When it arrived.
  bool Arrived = false;

  bool operator==(const CallerResponse &) const = default;
};

/// What a caller asks.
struct CallerRequest {
  std::string Database = "bale-ledger-1";
  std::string Organisation = "port-clerks";
  std::string Kind = "handover";
  std::string Key = {}; ///< A name for one; see idempotencyKey().
  std::string Body = {};
  std::string Session = {};
  std::string Transaction = {};
  std::string Path = "/statement";
  std::int64_t DeadlineMs = 0; ///< 0 leaves it to the kind.
};

class FakeCluster {
public:
  explicit FakeCluster(std::uint64_t Seed, std::size_t Controls = 3,
                       std::size_t Proxies = 2);
  /// Destroys in the reverse order of making.
  ~FakeCluster();
  FakeCluster(const FakeCluster &) = delete;
  FakeCluster &operator=(const FakeCluster &) = delete;

  /// Starts (again) a process with the disk that its name had before.
  void startControl(const std::string &Name);
  void startProxy(const std::string &Name);
  void startTarget(const std::string &Name, const std::string &Database);
  /// Kills a process of any kind; unsynced bytes of its disk are gone.
  void kill(const std::string &Name);
  /// Loses a killed control host's disk.
  void loseDisk(const std::string &Name) { Disks.erase(Name); }

  /// Three targets for each database of the manifest.
  void startTargets(const Manifest &For);
  void applyManifest(const std::string &Text);
  /// Applies \p Text, starts the targets and waits until all can be written.
  void startAndAwaitWritable(const std::string &Text);

  /// The leading control host; null where none leads.
  ControlNode *leader();
  const GroupRecord *group(const std::string &Database);
  bool isWritable(const std::string &Database);

  /// Sends a statement to a proxy. The answer comes into the result later;
  /// its Arrived tells.
  std::shared_ptr<CallerResponse> send(const std::string &Proxy,
                                       const CallerRequest &Question);
  /// Sends it and runs until the answer is there.
  CallerResponse sendAndWait(const std::string &Proxy,
                             const CallerRequest &Question,
                             Millis Timeout = Millis(20000));

  /// A caller's kept connection to a proxy; letting go of it hangs up.
  std::shared_ptr<HttpConnection> connectTo(const std::string &Proxy);
  /// The key that a caller issues when it first uses a name for one; the same
  /// for the same name from then on.
  std::string idempotencyKey(const std::string &Name);
  /// The same over a kept connection.
  std::shared_ptr<CallerResponse> sendOver(HttpConnection &Connection,
                                           const CallerRequest &Question);
  CallerResponse sendOverAndWait(HttpConnection &Connection,
                                 const CallerRequest &Question,
                                 Millis Timeout = Millis(20000));

  FakeLoop Loop;
  FakeNetwork Net;
  /// The latest process of each name.
  std::map<std::string, FakeHost *> Hosts;
  std::map<std::string, ControlNode *> Controls;
  std::map<std::string, ProxyNode *> Proxies;
  std::map<std::string, StandInTarget *> Targets;
  /// What targets are started with; change it before they start.
  StandInOptions TargetOptions;

  /// Every key of the cluster.
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
  /// All processes that ever ran, so that late events find their objects.
  std::vector<std::shared_ptr<void>> Kept;
  /// Addresses that were given out, by name.
  mutable std::map<std::string, std::size_t> Addresses;
  std::map<std::string, std::string> IssuedKeys;
  std::uint64_t NextNumber = 1;
};

} // namespace corianderdyke

#endif
