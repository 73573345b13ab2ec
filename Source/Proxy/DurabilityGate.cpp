/// \file
/// Holds the answers to writes until enough targets have the writes.

#include "Proxy/DurabilityGate.h"

namespace corianderdyke {

DurabilityGate::Ticket DurabilityGate::hold(PendingWrite Write,
                                            Handler OnSettled) {
  const Ticket Id = NextId++;
  const Durability Now = durability(Write);
  if (Now == Durability::Pending)
    Held.emplace(Id, Entry{std::move(Write), std::move(OnSettled)});
  else
    OnSettled(Now);
  return Id;
}

void DurabilityGate::resolveHeldWrites() {
  std::vector<std::pair<Handler, Durability>> Settled;
  for (auto Each = Held.begin(); Each != Held.end();) {
    const Durability Now = durability(Each->second.Write);
    if (Now == Durability::Pending) {
      ++Each;
      continue;
    }
    Settled.emplace_back(std::move(Each->second.OnSettled), Now);
    Each = Held.erase(Each);
  }
  for (const auto &[OnSettled, Now] : Settled)
    OnSettled(Now);
}

Durability DurabilityGate::durability(const PendingWrite &Write) const {
  const GroupRecord *Group = View.group(Write.Database);
  const DatabasePolicy *Policy =
      View.CurrentManifest ? View.CurrentManifest->database(Write.Database)
                           : nullptr;
  if (Group == nullptr || Policy == nullptr || Group->Term != Write.Term ||
      !Group->hasPrimary())
    return Durability::Superseded;
  return Table.countCopies(*Group, Write.Position) < Policy->AcknowledgedCopies
             ? Durability::Pending
             : Durability::Durable;
}

} // namespace corianderdyke
