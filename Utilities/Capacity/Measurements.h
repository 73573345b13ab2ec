/// \file
/// The slopes that docs/CAPACITY.md rests on, measured on the product's code.

#ifndef CORIANDERDYKE_UTILITIES_CAPACITY_MEASUREMENTS_H
#define CORIANDERDYKE_UTILITIES_CAPACITY_MEASUREMENTS_H

#include "Slope.h"

#include <map>

namespace corianderdyke {

/// All slopes by name.
using Slopes = std::map<std::string, Slope>;

/// Bytes on the wire a message, by what it holds.
void measureMessages(Slopes &Into);
/// Processor time of the control host's and the proxy's regular duties.
void measureDuties(Slopes &Into);
/// Memory of the state, and bytes of journal and manifest.
void measureState(Slopes &Into);
/// Watches, renewals and callers' connections over real loopback sockets.
void measureLoopback(Slopes &Into);
/// A read through a proxy, without the caller's and the target's part.
void measureStatements(Slopes &Into);

/// Processor time of this process in microseconds.
double cpuMicros();
/// Bytes that this process has taken from its heap.
double heapBytes();

} // namespace corianderdyke

#endif
