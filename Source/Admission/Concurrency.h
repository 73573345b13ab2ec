/// \file
/// How many statements a proxy has under way at a target at a time.
///
/// Load pattern: a server takes 16 or 30 connections and runs 2 statements at
/// a time. Without this module a full database has all its connections busy,
/// and 14 or 28 statements wait inside the server, where they are served
/// first come, first served: no share and no deadline reaches them.
///
/// To keep S slots busy over a hop of R there and back, with statements of T,
/// S * (T + R) / T must be under way. Four for each slot is enough down to a
/// T of a third of R: 0.3 ms in Riga and 1 ms in Taichung. Each proxy has the
/// part of them that it has of the connections, and at least one. The other
/// connections are for transactions that hold one between statements.

#ifndef CORIANDERDYKE_ADMISSION_CONCURRENCY_H
#define CORIANDERDYKE_ADMISSION_CONCURRENCY_H

#include <algorithm>
#include <cstdint>

namespace corianderdyke {

constexpr std::uint32_t StatementsPerSlot = 4;

/// What a server with so many slots and connections has under way at most.
struct TargetCapacity {
  std::uint32_t Slots = 1;
  std::uint32_t Connections = 1;

  auto operator<=>(const TargetCapacity &) const = default;

  std::uint32_t maxStatements() const {
    return std::min(Slots * StatementsPerSlot, Connections);
  }
};

/// Statements that may be under way with \p Rights connections.
inline std::uint32_t maxConcurrentStatements(std::uint32_t Rights,
                                             const TargetCapacity &Capacity) {
  const std::uint32_t Part =
      Rights * Capacity.maxStatements() / std::max(Capacity.Connections, 1U);
  return std::min(Rights, std::max(Part, 1U));
}

/// Connections that a proxy wants for \p Statements, sent and waiting.
inline std::uint32_t connectionsFor(std::uint32_t Statements,
                                    const TargetCapacity &Of) {
  const std::uint32_t AtOnce = std::max(Of.maxStatements(), 1U);
  return (std::min(Statements, AtOnce) * Of.Connections + AtOnce - 1) / AtOnce;
}

} // namespace corianderdyke

#endif
