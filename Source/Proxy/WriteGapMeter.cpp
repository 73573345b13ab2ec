/// \file
/// Measures how long databases were not writable through one proxy.

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
    DatabaseState &State = Databases[Name];
    const auto Primary = Reports.find(Group.Primary);
    const bool Writable = MayServe && Group.isWritable() &&
                          Primary != Reports.end() && Primary->second.Reachable;
    if (!Writable) {
      State.IsInGap = State.WasWritable;
      continue;
    }
    // A quick failover may begin and end between two updates; the changed term
    // shows it.
    if (State.IsInGap || (State.WasWritable && State.Term != Group.Term))
      Gaps.observe(Now - State.LastWritable);
    State = {true, Now - Primary->second.SilentFor, false, Group.Term};
  }
}

} // namespace corianderdyke
