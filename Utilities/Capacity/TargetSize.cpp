/// \file
/// Computes costs at the target size from the measured slopes.

#include "TargetSize.h"

#include "Samples.h"

namespace corianderdyke {

namespace {

using namespace target_size;

constexpr double SecondsPerDay = 86400;
constexpr double MicrosPerSecond = 1e6;
constexpr double Percent = 100;
constexpr double Kilo = 1e3;
constexpr double Mega = 1e6;

// Current mechanisms: every proxy knows and watches every database.
constexpr double RenewalSeconds = 0.12;
constexpr double WatchesPerSecond = 20;
constexpr double RightsSeconds = 0.5;
constexpr double TicksPerSecond = 100;

// Planned mechanisms. A database is served by a subset of the proxies. A shard
// of the control hosts leads a quarter of the databases. A lease of 3 s leaves
// 2 s of the 5 s that a change of primary may take.
constexpr double ProxiesPerDatabase = 8;
constexpr double Shards = 4;
constexpr double PlannedRenewalSeconds = 0.6;
constexpr double PlannedWatchesPerSecond = 4;
constexpr double PlannedRightsSeconds = 3;
constexpr double DatabasesPerNode = Databases * ProxiesPerDatabase / Nodes;

class Lines {
public:
  explicit Lines(const Slopes &Measured) : Measured(Measured) {}

  std::vector<CapacityLine> all() {
    nodeLines();
    controlLines();
    return Out;
  }

private:
  double at(const std::string &Name, double Size) const {
    return Measured.at(Name).at(Size);
  }

  /// Returns the changes per second, other than manifests, that are sent to
  /// every proxy.
  static double smallChangesPerSecond() {
    return (2 * PrimaryChangesPerDay + 2 * RestartsPerDay +
            2 * HostFailuresPerDay) /
           SecondsPerDay;
  }

  static double manifestChangesPerSecond() {
    return ManifestChangesPerDay / SecondsPerDay;
  }

  /// Returns the bytes per second of changes that are sent to one node. A
  /// change of the manifest is assumed to affect ten databases.
  double changeBytesPerSecond() const {
    constexpr double AffectedDatabases = 10;
    return manifestChangesPerSecond() *
               at("delta-bytes-by-manifest", AffectedDatabases) +
           smallChangesPerSecond() * at("delta-bytes-by-database", 1);
  }

  void nodeLines() {
    const double Targets = Databases * TargetsPerDatabase;
    const double PlannedTargets = DatabasesPerNode * TargetsPerDatabase;
    Out.push_back({"node", "memory of the view and the target table",
                   "view-heap by database and proxy + table-heap", "MB",
                   MemoryMegabytes,
                   (at("view-heap-bytes-by-database", Databases) +
                    Measured.at("view-heap-bytes-by-proxy").each() * Nodes +
                    at("table-heap-bytes", Databases)) /
                       Mega,
                   (at("view-heap-bytes-by-database", DatabasesPerNode) +
                    at("table-heap-bytes", DatabasesPerNode)) /
                       Mega,
                   "subset: a node knows the databases that it serves"});
    Out.push_back({"node", "memory of callers' connections",
                   "connections / nodes x connection-heap", "MB", 0,
                   at("connection-heap-bytes", Connections / Nodes) / Mega,
                   at("connection-heap-bytes", Connections / Nodes) / Mega,
                   "as today; not a cost of control"});
    const double Statements = StatementsPerSecond / Nodes;
    Out.push_back(
        {"node", "processor time of statements",
         "statements a second / nodes x statement", "% core", 0,
         Statements * at("statement-micros", 1) / MicrosPerSecond * Percent,
         Statements * at("statement-micros", 1) / MicrosPerSecond * Percent,
         "as today; forwarding adds a hop for a part of them"});
    Out.push_back(
        {"node", "lease traffic", "(lease-request + lease-grant) / interval",
         "KB/s", KilobytesPerSecond,
         (at("lease-request-bytes", 0) + at("lease-grant-bytes", 1)) /
             RenewalSeconds / Kilo,
         Shards * (at("lease-request-bytes", 0) + at("lease-grant-bytes", 1)) /
             PlannedRenewalSeconds / Kilo,
         "3 s leases; one lease a shard"});
    Out.push_back({"node", "traffic of connection rights",
                   "rights-exchange by target in use / interval", "KB/s",
                   KilobytesPerSecond,
                   at("rights-exchange-bytes", Targets) / RightsSeconds / Kilo,
                   at("rights-exchange-bytes", PlannedTargets) /
                       PlannedRightsSeconds / Kilo,
                   "subset; renewed every 3 s of their 10"});
    Out.push_back({"node", "traffic of changes",
                   "manifest changes x delta by manifest + others x delta by "
                   "database",
                   "KB/s", KilobytesPerSecond, changeBytesPerSecond() / Kilo,
                   changeBytesPerSecond() / Kilo, "as today"});
    Out.push_back({"node", "processor time of leases", "renewal-wire a renewal",
                   "% core", CorePercent,
                   at("renewal-wire-micros", 0) / RenewalSeconds /
                       MicrosPerSecond * Percent,
                   Shards * at("renewal-wire-micros", 0) /
                       PlannedRenewalSeconds / MicrosPerSecond * Percent,
                   "as above"});
    Out.push_back(
        {"node", "processor time of changes",
         "changes a second x adopt by database", "% core", CorePercent,
         (manifestChangesPerSecond() + smallChangesPerSecond()) *
             at("adopt-micros", Databases) / MicrosPerSecond * Percent,
         (manifestChangesPerSecond() + smallChangesPerSecond()) *
             at("adopt-micros", DatabasesPerNode) / MicrosPerSecond * Percent,
         "subset"});
    Out.push_back({"node", "processor time of target watches",
                   "watch-micros x targets x watches a second", "% core",
                   CorePercent,
                   at("watch-micros", 45) * Targets * WatchesPerSecond /
                       MicrosPerSecond * Percent,
                   at("watch-micros", 45) * PlannedTargets *
                       PlannedWatchesPerSecond / MicrosPerSecond * Percent,
                   "subset; 250 ms holds on databases without writes under "
                   "way"});
  }

  void controlLines() {
    const double RenewalMicros =
        at("renewal-wire-micros", 0) + at("renewal-micros", Nodes);
    Out.push_back(
        {"control leader", "processor time of renewals",
         "nodes / interval x (renewal-wire + renewal)", "% core", 0,
         Nodes / RenewalSeconds *
             (at("renewal-wire-micros", 0) + at("renewal-micros", Nodes)) /
             MicrosPerSecond * Percent,
         Nodes / PlannedRenewalSeconds * RenewalMicros / MicrosPerSecond *
             Percent,
         "each shard's leader serves all nodes"});
    Out.push_back(
        {"control leader", "processor time of the coordinator",
         "ticks x coordinator by database", "% core", 0,
         TicksPerSecond * at("coordinator-micros", Databases) /
             MicrosPerSecond * Percent,
         TicksPerSecond * at("coordinator-micros", Databases / Shards) /
             MicrosPerSecond * Percent,
         "a shard's databases only"});
    Out.push_back({"control leader", "sending of changes",
                   "traffic of changes x nodes", "KB/s", 0,
                   changeBytesPerSecond() * Nodes / Kilo,
                   changeBytesPerSecond() * Nodes / Kilo, "as today"});
    Out.push_back(
        {"control leader", "a restart storm: whole views to all",
         "nodes x view-bytes, once", "MB", 0,
         Nodes *
             (at("view-bytes-by-database", Databases) +
              at("view-bytes-by-proxy", Nodes)) /
             Mega,
         Nodes * at("view-bytes-by-database", DatabasesPerNode) / Mega,
         "subset: a node gets the databases that it serves"});
    Out.push_back({"control leader", "memory of state and registry",
                   "view-heap + registry-heap", "MB", 0,
                   (at("view-heap-bytes-by-database", Databases) +
                    at("view-heap-bytes-by-proxy", Nodes) +
                    at("registry-heap-bytes", Nodes)) /
                       Mega,
                   (at("view-heap-bytes-by-database", Databases / Shards) +
                    at("view-heap-bytes-by-proxy", Nodes) +
                    at("registry-heap-bytes", Nodes)) /
                       Mega,
                   "a shard's databases only"});
    Out.push_back({"control host", "journal growth",
                   "manifest-entry x changes + small entries", "MB/day", 0,
                   journalBytesPerDay(Databases) / Mega,
                   journalBytesPerDay(1) / Mega,
                   "manifest changes as differences by item"});
  }

  double journalBytesPerDay(double DatabasesAChange) const {
    return ManifestChangesPerDay *
               at("manifest-entry-bytes", DatabasesAChange) +
           2 * PrimaryChangesPerDay * at("fence-entry-bytes", 1) +
           2 * RestartsPerDay * at("register-entry-bytes", 1);
  }

  const Slopes &Measured;
  std::vector<CapacityLine> Out;
};

} // namespace

std::vector<CapacityLine> capacityLines(const Slopes &Measured) {
  return Lines(Measured).all();
}

} // namespace corianderdyke
