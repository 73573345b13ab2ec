/// \file
/// Helper functions for the failover tests.

#ifndef CORIANDERDYKE_TESTS_SUPPORT_FAILOVERSUPPORT_H
#define CORIANDERDYKE_TESTS_SUPPORT_FAILOVERSUPPORT_H

#include "FakeCluster.h"

namespace corianderdyke {

inline std::string primaryOf(FakeCluster &Cluster,
                             const std::string &Database = "bale-ledger-1") {
  const GroupRecord *Group = Cluster.group(Database);
  return Group == nullptr ? "" : Group->Primary;
}

inline std::vector<std::string> targetsExcept(const FakeCluster &Cluster,
                                              const std::string &Target) {
  std::vector<std::string> Out;
  for (const auto &[Name, Node] : Cluster.Targets)
    if (Name != Target)
      Out.push_back(Name);
  return Out;
}

/// Runs until a target other than \p Old is a writable primary; false if none
/// is within \p Timeout.
inline bool awaitNewPrimary(FakeCluster &Cluster, const std::string &Old,
                            Millis Timeout = Millis(5000)) {
  return Cluster.Loop.runUntilTrue(
      [&] {
        return Cluster.isWritable("bale-ledger-1") && primaryOf(Cluster) != Old;
      },
      Timeout);
}

/// Sends \p Question and retries it while the outcome is "not-run", as the
/// protocol asks of callers.
inline CallerResponse sendWithRetries(FakeCluster &Cluster,
                                      const std::string &Proxy,
                                      const CallerRequest &Question,
                                      Millis Timeout = Millis(10000)) {
  const Millis End = Cluster.Loop.now() + Timeout;
  CallerResponse Out = Cluster.sendAndWait(Proxy, Question);
  while (Out.Outcome == "not-run" && Cluster.Loop.now() < End) {
    Cluster.Loop.runFor(Millis(100));
    Out = Cluster.sendAndWait(Proxy, Question);
  }
  return Out;
}

/// Returns the reason of the last audit record with \p Action, or its new value
/// if it has no reason; empty if there is no such record.
inline std::string lastAuditReason(FakeCluster &Cluster,
                                   const std::string &Action) {
  std::string Out;
  if (ControlNode *Leader = Cluster.leader(); Leader != nullptr)
    for (const AuditRecord &Each : Leader->appliedState().audit())
      if (Each.Action == Action)
        Out = Each.Reason.empty() ? Each.To : Each.Reason;
  return Out;
}

} // namespace corianderdyke

#endif
