/// \file
/// Finds a group's leader among its targets while the known primary does not
/// lead.
///
/// When a primary is replaced while the control leader has failed, or while
/// this proxy is cut off from control but not from the targets, the proxy is
/// informed late. Each statement for the leader would go to the former primary,
/// be refused, and use up its caller's retries for as long as the outage lasts.
/// A target that opens a read-write transaction proves that it leads; the
/// opening takes none of its slots and needs no message from control.

#include "Pipeline/SessionPipeline.h"

namespace corianderdyke {

namespace {

/// Interval between two rounds of probes: a promotion takes several intervals,
/// and a probe costs a round trip.
constexpr Millis SearchInterval(60);

} // namespace

void SessionPipeline::searchPrimary(const std::string &Name, Group &G,
                                    Millis Now) {
  if (!G.Outage.isActive() || Now < G.SearchAgainAt)
    return;
  G.SearchAgainAt = Now + SearchInterval;
  for (auto &[Id, Pool] : G.Pools) {
    const TargetRecord &Record = Pool.record();
    if (Id == G.Primary || Record.IsGone || Record.IsLeaving)
      continue;
    const TargetConnectionPtr Connection = Pool.idleForInternalUse();
    if (!Connection) {
      // The next round uses the connection.
      if (Pool.isShared() && Pool.opening("") == 0 && mayOpen(Pool, ""))
        openConnection(Name, Pool, {.IsInternal = true});
      continue;
    }
    Connection->setBusy(true, Now);
    Connection->send({{{.Operation = TargetCommand::Kind::Begin,
                        .MaxQueueTime = SearchInterval},
                       [this, Name, Connection,
                        SentAt = Now](const StatementAnswer &Answer) {
                         handleSearchAnswer(Name, Connection, SentAt, Answer);
                       }},
                      makeRollbackStep(Connection)});
  }
}

void SessionPipeline::handleSearchAnswer(const std::string &Name,
                                         const TargetConnectionPtr &Connection,
                                         Millis SentAt,
                                         const StatementAnswer &Answer) {
  Group &G = Groups[Name];
  const bool Leads =
      !Answer.Refusal && Answer.Phase == SessionPhase::InTransaction;
  if (!Leads || !G.Outage.isActive())
    return;
  const Millis Now = Deps.Time.now();
  if (Answer.Position) {
    if (Deps.Floors.isRegression(Name, *Answer.Position, SentAt))
      return;
    Deps.Floors.record(Name, *Answer.Position, SentAt, Now);
  }
  G.DiscoveredPrimary = Connection->address().Id;
  G.Primary = Connection->address().Id;
  G.Outage.recordPrimary(Now);
}

// The primary that control reports replaces the one found here only with a
// newer epoch: the report of the earlier epoch proved wrong.
void SessionPipeline::adoptPrimary(const std::string &Name, Group &G,
                                   const TargetDirectory &Known) {
  const auto Reported = Known.primaryOf(Name);
  const std::uint64_t Epoch = Reported ? Reported->PrimaryEpoch : 0;
  const TargetRecord *Found = Known.find(G.DiscoveredPrimary);
  const bool IsFoundGone = Found == nullptr || Found->IsGone;
  if (Epoch > G.ControlPrimaryEpoch || IsFoundGone)
    G.DiscoveredPrimary.clear();
  G.ControlPrimaryEpoch = Epoch;
  if (G.DiscoveredPrimary.empty())
    G.Primary = Reported ? Reported->Id : "";
}

} // namespace corianderdyke
