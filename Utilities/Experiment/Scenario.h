/// \file
/// Definition of an experiment: its targets, its loads and its faults.

#ifndef CORIANDERDYKE_UTILITIES_EXPERIMENT_SCENARIO_H
#define CORIANDERDYKE_UTILITIES_EXPERIMENT_SCENARIO_H

#include "Common/Finding.h"
#include "Manifest/Manifest.h"

#include <tl/expected.hpp>

namespace corianderdyke {

/// The experiment measures time in microseconds because a network hop takes
/// half a millisecond. The modules under test work in whole milliseconds.
using Micros = std::int64_t;

/// The sizes of a deployment.
struct Deployment {
  std::string Name;
  std::uint32_t Proxies = 8;
  std::uint32_t Databases = 3;
  std::uint32_t Targets = 3;
  std::uint32_t Slots = 2;
  std::uint32_t Connections = 16;
  Micros ConnectCost = 12000;
  Micros TargetHop = 500;
  Micros CallerHop = 1000;
  Millis Lag = Millis(20);

  auto operator<=>(const Deployment &) const = default;
};

/// Statements of one kind by one organisation.
struct Load {
  std::string Organisation;
  std::string Kind;
  double PerSecond = 0; ///< Over all databases and proxies.
  Micros Service = 0;   ///< Mean time in a slot.
  bool Exponential = false;
  Micros From = 0;
  Micros Until = 0;
  /// Number of proxies that receive the load; 0 means all.
  std::uint32_t Proxies = 0;

  auto operator<=>(const Load &) const = default;
};

enum class FaultKind : std::uint8_t { ProxyDies, RollingRestart, SlowTarget };

struct Fault {
  FaultKind Kind = FaultKind::ProxyDies;
  Micros At = 0;
  Micros Until = 0;
  std::uint32_t Index = 0;
  std::uint32_t Factor = 1; ///< How many times slower a target becomes.

  auto operator<=>(const Fault &) const = default;
};

struct Scenario {
  std::string Name;
  std::uint64_t Seed = 1;
  Micros Length = 0;
  /// Requests that are offered earlier are not counted.
  Micros CountFrom = 0;
  /// Number of times that a refused request is retried, each time after the
  /// delay given in the refusal.
  std::uint32_t MaxRetries = 0;
  std::uint32_t QueueLimit = 200;
  std::vector<Deployment> Deployments;
  std::vector<std::string> Orders;
  std::vector<std::string> Rights;
  std::vector<OrganisationPolicy> Organisations;
  std::vector<RequestKindPolicy> Kinds;
  std::vector<Load> Loads;
  std::vector<Fault> Faults;

  auto operator<=>(const Scenario &) const = default;
};

/// Returns the scenario defined by \p Text, or all errors in it.
tl::expected<Scenario, Findings> parseScenario(const std::string &File,
                                               const std::string &Text);

} // namespace corianderdyke

#endif
