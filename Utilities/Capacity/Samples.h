/// \file
/// Views, manifests and requests of any size, shaped as in real use.

#ifndef CORIANDERDYKE_UTILITIES_CAPACITY_SAMPLES_H
#define CORIANDERDYKE_UTILITIES_CAPACITY_SAMPLES_H

#include "Lease/Messages.h"
#include "State/ControlState.h"

namespace corianderdyke {

/// Targets that a database has in all samples.
constexpr std::size_t TargetsPerDatabase = 3;

Manifest sampleManifest(std::size_t Databases);

/// A view in which each database has a primary and its three targets.
ClusterView sampleView(std::size_t Databases, std::size_t Proxies);

LeaseRequest sampleRequest(std::size_t Reports);

ProcessId sampleProxy(std::size_t Number);

} // namespace corianderdyke

#endif
