/// \file
/// Runs a scenario: an open-loop load, the modules under test, and a model of
/// the targets' capacity.

#ifndef CORIANDERDYKE_TESTS_EXPERIMENT_EXPERIMENT_H
#define CORIANDERDYKE_TESTS_EXPERIMENT_EXPERIMENT_H

#include "Scenario.h"

#include <map>

namespace corianderdyke {

/// Which of the ways to compare is run.
struct Variant {
  Deployment Sizes;
  std::string Order;  ///< "fair", "first-come" or "static-split".
  std::string Rights; ///< "even", "demand", or "homes-N": N proxies hold the
                      ///< connections of a database, the others forward.

  auto operator<=>(const Variant &) const = default;
};

/// What the callers of one organisation received. Times count from the
/// moment when a request was meant to start.
struct Received {
  std::uint64_t Offered = 0;
  std::uint64_t Served = 0; ///< Within the deadline.
  /// Those of them that were answered while the load lasted.
  std::uint64_t ServedMeanwhile = 0;
  std::uint64_t Late = 0; ///< No final answer before the deadline.
  std::uint64_t Refused = 0;
  std::uint64_t Returned = 0; ///< Times that refused callers came back.
  std::vector<Micros> ServedAfter;
  std::vector<Micros> RefusedAfter;
  std::vector<Micros> RetryDelays;
  /// Served by tenths of a second.
  std::map<std::int64_t, std::uint64_t> Timeline;

  auto operator<=>(const Received &) const = default;
};

struct Measured {
  std::map<std::string, Received> Organisations;
  std::uint32_t MostConnections = 0; ///< Open at one target at a time.

  auto operator<=>(const Measured &) const = default;
};

Measured runExperiment(const Scenario &What, const Variant &How);

/// The value that \p Percent of the values don't pass; 0 where there's none.
Micros percentile(std::vector<Micros> Values, double Percent);

} // namespace corianderdyke

#endif
