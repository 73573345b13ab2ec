/// \file
/// Measures how long databases weren't writable, as one proxy sees it.

#include "Proxy/WriteGapMeter.h"

namespace corianderdyke {

void WriteGapMeter::update(const ClusterView &View, const TargetTable &Table,
                           bool MayServe, Millis Now) {
  if (!View.Current)
    return;
  std::map<std::string, TargetReport> Reports;
  for (TargetReport &Each :
       Table.reports(View.Current->Failover.SuspectAfter, Now))
    Reports[Each.Target] = std::move(Each);
  for (const auto &[Name, Group] : View.Groups) {
    Database &Known = Databases[Name];
    const auto Primary = Reports.find(Group.Primary);
    const bool Writable = MayServe && Group.isWritable() &&
                          Primary != Reports.end() && Primary->second.Reachable;
    if (!Writable) {
      Known.InGap = Known.WasWritable;
      continue;
    }
    if (Known.InGap)
      Gaps.observe(Now - Known.LastWritable);
    Known = {true, Now - Primary->second.SilentFor, false};
  }
}

} // namespace corianderdyke
