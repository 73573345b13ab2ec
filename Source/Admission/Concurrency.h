/// \file
/// Limits the number of statements that a proxy has in flight at a target.
///
/// A server may accept 16 or 30 connections and run 2 statements at a time.
/// Without a limit, an overloaded database has all its connections busy, and 14
/// or 28 statements wait inside the server, which serves them first come, first
/// served, so that neither shares nor deadlines apply to them.
///
/// To keep S slots busy over a round-trip time R with statements of duration T,
/// S * (T + R) / T statements must be in flight. Four per slot are enough down
/// to a T of a third of R: 0.3 ms in Riga and 1 ms in Taichung. Each proxy has
/// the same fraction of them as of the connections, and at least one. The other
/// connections are for transactions that hold one between statements.

#ifndef CORIANDERDYKE_ADMISSION_CONCURRENCY_H
#define CORIANDERDYKE_ADMISSION_CONCURRENCY_H

#include <algorithm>
#include <cstdint>

namespace corianderdyke {

constexpr std::uint32_t StatementsPerSlot = 4;

/// A server's slots and connections, which limit its statements in flight.
struct TargetCapacity {
  std::uint32_t Slots = 1;
  std::uint32_t Connections = 1;

  auto operator<=>(const TargetCapacity &) const = default;

  std::uint32_t maxStatements() const {
    return std::min(Slots * StatementsPerSlot, Connections);
  }
};

/// Statements that may be in flight with \p Rights connections.
inline std::uint32_t maxConcurrentStatements(std::uint32_t Rights,
                                             const TargetCapacity &Capacity) {
  const std::uint32_t Part =
      Rights * Capacity.maxStatements() / std::max(Capacity.Connections, 1U);
  return std::min(Rights, std::max(Part, 1U));
}

/// Connections that a proxy wants for \p Statements that are sent or waiting.
inline std::uint32_t connectionsFor(std::uint32_t Statements,
                                    const TargetCapacity &Capacity) {
  const std::uint32_t MaxInFlight = std::max(Capacity.maxStatements(), 1U);
  return (std::min(Statements, MaxInFlight) * Capacity.Connections +
          MaxInFlight - 1) /
         MaxInFlight;
}

} // namespace corianderdyke

#endif
