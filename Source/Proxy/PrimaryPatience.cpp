/// \file
/// Decides how long a statement may wait for a change of primary.

#include "Proxy/PrimaryPatience.h"

namespace corianderdyke {

namespace {

/// Twice the longest ordinary change: detection and the end of all leases.
constexpr std::int64_t OrdinaryChanges = 2;

} // namespace

void PrimaryPatience::update(const ClusterView &View, Millis Now) {
  for (const auto &[Name, Group] : View.Groups) {
    if (Group.isWritable())
      WithoutPrimarySince.erase(Name);
    else
      WithoutPrimarySince.try_emplace(Name, Now);
  }
}

Millis PrimaryPatience::until(const ClusterView &View,
                              const std::string &Database, Millis Now) const {
  const GroupRecord *Group = View.group(Database);
  if (Group == nullptr || !View.Current || Group->Phase == GroupPhase::Forming)
    return Now;
  const Millis Span = (View.Current->Failover.SuspectAfter +
                       View.Current->Failover.LeaseDuration) *
                      OrdinaryChanges;
  const auto Since = WithoutPrimarySince.find(Database);
  return (Since == WithoutPrimarySince.end() ? Now : Since->second) + Span;
}

} // namespace corianderdyke
