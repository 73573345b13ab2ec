/// \file
/// Holds the answers of writes until enough targets have them.

#ifndef CORIANDERDYKE_PROXY_DURABILITYGATE_H
#define CORIANDERDYKE_PROXY_DURABILITYGATE_H

#include "Routing/TargetTable.h"

#include <functional>

namespace corianderdyke {

/// A write that ran on a primary, now or, by its key, in an earlier term.
struct PendingWrite {
  std::string Database;
  std::uint64_t Term = 0; ///< In which the primary answered.
  std::uint64_t Position = 0;

  auto operator<=>(const PendingWrite &) const = default;
};

enum class Durability : std::uint8_t {
  Pending,   ///< Too few targets are known to have it.
  Durable,   ///< It survives any promotion.
  Superseded ///< The term ended first: no promise is possible.
};

/// Replication is asynchronous: a primary that dies right after its answer
/// takes the write with it, and the caller would have been told that it was
/// done. A write counts once so many targets have it that any later
/// promotion finds it.
class DurabilityGate {
public:
  using Handler = std::function<void(Durability)>;
  using Ticket = std::uint64_t;

  DurabilityGate(const ClusterView &View, const TargetTable &Table)
      : View(View), Table(Table) {}

  /// Runs \p OnSettled once, perhaps at once, with Durable or Superseded.
  Ticket hold(PendingWrite Write, Handler OnSettled);

  /// Forgets a write whose caller waits no more.
  void cancel(Ticket Id) { Held.erase(Id); }

  /// Settles what can be settled after news from targets or a new view.
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
