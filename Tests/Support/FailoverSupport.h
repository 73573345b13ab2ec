/// \file
/// Shorthands of the failover tests.

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

/// Runs until another target than \p Old is primary.
inline bool awaitNewPrimary(FakeCluster &Cluster, const std::string &Old,
                            Millis Timeout = Millis(5000)) {
  return Cluster.Loop.runUntilTrue(
      [&] {
        return Cluster.isWritable("bale-ledger-1") && primaryOf(Cluster) != Old;
      },
      Timeout);
}

/// Asks again, as callers are told to, while the answer is "not run".
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

/// Why the last action of a kind was taken; empty where there was none.
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
