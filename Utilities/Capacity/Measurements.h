/// \file
/// Measures the slopes used by docs/CAPACITY.md on the code of the product.

#ifndef CORIANDERDYKE_UTILITIES_CAPACITY_MEASUREMENTS_H
#define CORIANDERDYKE_UTILITIES_CAPACITY_MEASUREMENTS_H

#include "Slope.h"

#include <map>

namespace corianderdyke {

/// All slopes by name.
using Slopes = std::map<std::string, Slope>;

/// Measures the encoded size of messages, by the number of their items.
void measureMessages(Slopes &Into);
/// Measures the processor time of the periodic work of control hosts and
/// proxies.
void measureDuties(Slopes &Into);
/// Measures the memory of the state and the size of journal entries.
void measureState(Slopes &Into);
/// Measures watches, lease renewals and callers' connections over real
/// loopback sockets.
void measureLoopback(Slopes &Into);
/// Measures a read through a proxy, without the cost of caller and target.
void measureStatements(Slopes &Into);

/// Returns the processor time of this process in microseconds.
double cpuMicros();
/// Returns the heap size in bytes that this process has allocated.
double heapBytes();

} // namespace corianderdyke

#endif
