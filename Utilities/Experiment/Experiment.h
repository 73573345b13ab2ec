/// \file
/// Runs a scenario: an open-loop load, the modules under test, and a model of
/// the targets' capacity.

#ifndef CORIANDERDYKE_UTILITIES_EXPERIMENT_EXPERIMENT_H
#define CORIANDERDYKE_UTILITIES_EXPERIMENT_EXPERIMENT_H

#include "Scenario.h"

#include <map>

namespace corianderdyke {

/// One of the configurations that an experiment compares.
struct Variant {
  Deployment Sizes;
  std::string Order;  ///< "fair", "first-come" or "static-split".
  std::string Rights; ///< "even", "demand", or "homes-N": N proxies hold the
                      ///< connections of a database, the others forward.

  auto operator<=>(const Variant &) const = default;
};

/// Results of one organisation's requests. Times are measured from the
/// intended start of a request.
struct Received {
  std::uint64_t Offered = 0;
  std::uint64_t Served = 0; ///< Answered within the deadline.
  /// Requests of \c Served that were answered while the load lasted.
  std::uint64_t ServedMeanwhile = 0;
  std::uint64_t Late = 0; ///< No final answer before the deadline.
  std::uint64_t Refused = 0;
  std::uint64_t Retries = 0; ///< Retries of refused requests.
  std::vector<Micros> ServedAfter;
  std::vector<Micros> RefusedAfter;
  std::vector<Micros> RetryDelays;
  /// Served requests in each tenth of a second.
  std::map<std::int64_t, std::uint64_t> Timeline;

  auto operator<=>(const Received &) const = default;
};

struct Measured {
  std::map<std::string, Received> Organisations;
  std::uint32_t MostConnections = 0; ///< Open at one target at the same time.

  auto operator<=>(const Measured &) const = default;
};

Measured runExperiment(const Scenario &Spec, const Variant &Config);

/// Returns the given percentile of \p Values, or 0 if there are none.
Micros percentile(std::vector<Micros> Values, double Percent);

} // namespace corianderdyke

#endif
