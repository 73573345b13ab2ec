/// \file
/// Limits how long a statement may wait for a change of primary.

#include "Proxy/PrimaryWaitLimit.h"

namespace corianderdyke {

namespace {

/// The limit is twice the longest ordinary failover, which consists of the
/// detection and the expiry of all leases.
constexpr std::int64_t FailoverTimeFactor = 2;

} // namespace

void PrimaryWaitLimit::update(const ClusterView &View, Millis Now) {
  for (const auto &[Name, Group] : View.Groups) {
    if (Group.isWritable())
      WithoutPrimarySince.erase(Name);
    else
      WithoutPrimarySince.try_emplace(Name, Now);
  }
}

Millis PrimaryWaitLimit::waitDeadline(const ClusterView &View,
                                      const std::string &Database,
                                      Millis Now) const {
  const GroupRecord *Group = View.group(Database);
  if (Group == nullptr || !View.CurrentManifest ||
      Group->Phase == GroupPhase::Forming)
    return Now;
  const Millis Span = (View.CurrentManifest->Failover.SuspectAfter +
                       View.CurrentManifest->Failover.LeaseDuration) *
                      FailoverTimeFactor;
  const auto Since = WithoutPrimarySince.find(Database);
  return (Since == WithoutPrimarySince.end() ? Now : Since->second) + Span;
}

} // namespace corianderdyke
