/// \file
/// Measures how long databases weren't writable, as one proxy sees it.

#include "Proxy/WriteGapMeter.h"

namespace corianderdyke {

void WriteGapMeter::update(const ClusterView &View, const TargetTable &Table,
                           bool MayServe, Millis Now) {
  if (!View.CurrentManifest)
    return;
  std::map<std::string, TargetReport> Reports;
  for (TargetReport &Each : Table.reports(View, Now))
    Reports[Each.Target] = std::move(Each);
  for (const auto &[Name, Group] : View.Groups) {
    Database &Known = Databases[Name];
    const auto Primary = Reports.find(Group.Primary);
    const bool Writable = MayServe && Group.isWritable() &&
                          Primary != Reports.end() && Primary->second.Reachable;
    if (!Writable) {
      Known.IsInGap = Known.WasWritable;
      continue;
    }
    // A quick failover may begin and end between two updates; the new term
    // tells of it.
    if (Known.IsInGap || (Known.WasWritable && Known.Term != Group.Term))
      Gaps.observe(Now - Known.LastWritable);
    Known = {true, Now - Primary->second.SilentFor, false, Group.Term};
  }
}

} // namespace corianderdyke
