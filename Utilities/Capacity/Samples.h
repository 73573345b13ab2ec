/// \file
/// Creates realistic views, manifests and requests of any size.

#ifndef CORIANDERDYKE_UTILITIES_CAPACITY_SAMPLES_H
#define CORIANDERDYKE_UTILITIES_CAPACITY_SAMPLES_H

#include "Lease/Messages.h"
#include "State/ControlState.h"

namespace corianderdyke {

/// Number of targets of each database in all samples.
constexpr std::size_t TargetsPerDatabase = 3;

Manifest sampleManifest(std::size_t Databases);

/// Returns a view in which each database has a primary among three targets.
ClusterView sampleView(std::size_t Databases, std::size_t Proxies);

LeaseRequest sampleRequest(std::size_t Reports);

ProcessId sampleProxy(std::size_t Number);

} // namespace corianderdyke

#endif
