/// \file
/// Limits the statements that a proxy has in flight at each target.

#include "Proxy/ConcurrencyLimiter.h"

#include <algorithm>

namespace corianderdyke {

void ConcurrencyLimiter::recordSent(const std::string &Target,
                                    bool BeginsTransaction) {
  InFlightCounts &Counts = InFlight[Target];
  ++Counts.All;
  Counts.Begins += BeginsTransaction ? 1 : 0;
}

void ConcurrencyLimiter::recordAnswered(const std::string &Target,
                                        bool BeginsTransaction) {
  InFlightCounts &Counts = InFlight[Target];
  --Counts.All;
  Counts.Begins -= BeginsTransaction ? 1 : 0;
}

ConcurrencyLimiter::InFlightCounts
ConcurrencyLimiter::inFlightCounts(const std::string &Target) const {
  const auto Found = InFlight.find(Target);
  return Found == InFlight.end() ? InFlightCounts() : Found->second;
}

TargetCapacity
ConcurrencyLimiter::capacityOf(const std::string &Database) const {
  const DatabasePolicy *Policy =
      View.CurrentManifest ? View.CurrentManifest->database(Database) : nullptr;
  return Policy == nullptr ? TargetCapacity()
                           : TargetCapacity{Policy->SlotsPerTarget,
                                            Policy->ConnectionsPerTarget};
}

std::size_t
ConcurrencyLimiter::pendingStatements(const std::string &Target) const {
  const auto Pool = Pools.find(Target);
  return inFlightCounts(Target).All + (Pool ? Pool->waiting() : 0);
}

std::size_t
ConcurrencyLimiter::heldByTransactions(const std::string &Target) const {
  const auto Pool = Pools.find(Target);
  const InFlightCounts Counts = inFlightCounts(Target);
  return Pool->inUse() + Pool->waiting() - (Counts.All - Counts.Begins);
}

/// Transactions that pause between statements could occupy all connections of
/// this proxy. An even share of the target's connections is always available to
/// a proxy, whatever the others want; if it is two or more, one connection of
/// it is kept free of transactions.
std::size_t
ConcurrencyLimiter::maxTransactions(const TargetCapacity &Capacity) const {
  const std::size_t Proxies = std::max<std::size_t>(View.Proxies.size(), 1);
  return std::max<std::size_t>(Capacity.Connections / Proxies, 2) - 1;
}

bool ConcurrencyLimiter::hasCapacity(const std::string &Target,
                                     const std::string &Database,
                                     bool BeginsTransaction) const {
  const auto Pool = Pools.find(Target);
  if (!Pool)
    return true;
  if (Pool->inUse() + Pool->waiting() >= Pool->limit())
    return false;
  const TargetCapacity Capacity = capacityOf(Database);
  if (BeginsTransaction &&
      heldByTransactions(Target) >= maxTransactions(Capacity))
    return false;
  return pendingStatements(Target) <
         maxConcurrentStatements(static_cast<std::uint32_t>(Pool->limit()),
                                 Capacity);
}

std::map<std::string, ConnectionUse> ConcurrencyLimiter::connectionUse() const {
  std::map<std::string, ConnectionUse> Out;
  for (const std::string &Name : Pools.targets()) {
    const TargetAnnouncement *Known = View.target(Name);
    const auto Pool = Pools.find(Name);
    if (Known == nullptr)
      continue;
    const GroupRecord *Group = View.group(Known->Database);
    const std::size_t TargetCount =
        std::max<std::size_t>(View.targetsOf(Known->Database).size(), 1);
    std::size_t Queued =
        (Queues.queued(Known->Database, Access::Read) + TargetCount - 1) /
        TargetCount;
    if (Group != nullptr && Group->Primary == Name)
      Queued += Queues.queued(Known->Database, Access::Write);
    const std::size_t Statements = pendingStatements(Name);
    const std::size_t InTransactions =
        Pool->inUse() - std::min(Pool->inUse(), Statements);
    Out[Name] = {static_cast<std::uint32_t>(Pool->total()),
                 connectionsFor(static_cast<std::uint32_t>(Statements + Queued),
                                capacityOf(Known->Database)) +
                     static_cast<std::uint32_t>(InTransactions)};
  }
  return Out;
}

bool ConcurrencyLimiter::needsConnections() const {
  for (const QueueStatus &Each : Queues.status())
    if (Each.Queued > 0)
      return true;
  for (const std::string &Name : Pools.targets())
    if (Pools.find(Name)->limit() == 0)
      return true;
  return false;
}

} // namespace corianderdyke
