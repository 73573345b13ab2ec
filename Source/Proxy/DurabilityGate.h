/// \file
/// Holds the answers to writes until enough targets have the writes.

#ifndef CORIANDERDYKE_PROXY_DURABILITYGATE_H
#define CORIANDERDYKE_PROXY_DURABILITYGATE_H

#include "Routing/TargetTable.h"

#include <functional>

namespace corianderdyke {

/// A write that ran on a primary, either now or, according to its idempotency
/// key, in an earlier term.
struct PendingWrite {
  std::string Database;
  std::uint64_t Term = 0; ///< The term in which the primary answered.
  std::uint64_t Position = 0;

  auto operator<=>(const PendingWrite &) const = default;
};

enum class Durability : std::uint8_t {
  Pending,   ///< Too few targets are known to have the write.
  Durable,   ///< The write survives any promotion.
  Superseded ///< The term ended first, so durability is unknown.
};

/// Replication is asynchronous: if a primary fails right after its answer, the
/// write may be lost although the caller received an acknowledgement. A write
/// is therefore acknowledged only when enough targets have it for any later
/// promotion to include it.
class DurabilityGate {
public:
  using Handler = std::function<void(Durability)>;
  using Ticket = std::uint64_t;

  DurabilityGate(const ClusterView &View, const TargetTable &Table)
      : View(View), Table(Table) {}

  /// Calls \p OnSettled once with Durable or Superseded, possibly before this
  /// returns.
  Ticket hold(PendingWrite Write, Handler OnSettled);

  /// Removes a write whose caller no longer waits.
  void cancel(Ticket Id) { Held.erase(Id); }

  /// Settles the writes whose durability is known after a new observation of a
  /// target or a new view.
  void resolveHeldWrites();

  std::size_t size() const { return Held.size(); }

private:
  struct Entry {
    PendingWrite Write;
    Handler OnSettled;
  };

  Durability durability(const PendingWrite &Write) const;

  const ClusterView &View;
  const TargetTable &Table;
  std::map<Ticket, Entry> Held;
  Ticket NextId = 1;
};

} // namespace corianderdyke

#endif
