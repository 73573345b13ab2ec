/// \file
/// Finds a group's leader among its targets, where the one that is known
/// doesn't lead.
///
/// Load pattern: a primary is replaced, and word of it is late: the host that
/// leads control has just ended, or this proxy is cut off from control but not
/// from the targets. Each statement for the leader would go to the former one,
/// be refused, and use up its caller's tries, for as long as the cut lasts. A
/// target that opens a transaction which may write proves its lead; the
/// opening takes none of its slots, and nobody's word is needed.

#include "Pipeline/SessionPipeline.h"

namespace corianderdyke {

namespace {

/// Between two rounds of questions: a promotion takes several of these, and a
/// question costs a way there and back.
constexpr Millis SearchInterval(60);

} // namespace

void SessionPipeline::searchPrimary(const std::string &Name, Group &In,
                                    Millis Now) {
  if (!In.Outage.isActive() || Now < In.SearchAgainAt)
    return;
  In.SearchAgainAt = Now + SearchInterval;
  for (auto &[Id, Pool] : In.Pools) {
    const TargetRecord &Record = Pool.record();
    if (Id == In.Primary || Record.IsGone || Record.IsLeaving)
      continue;
    const TargetConnectionPtr On = Pool.idleForInternalUse();
    if (!On) {
      // Used by the next round.
      if (Pool.isShared() && Pool.opening("") == 0 && mayOpen(Pool, ""))
        openConnection(Name, Pool, {.IsInternal = true});
      continue;
    }
    On->setBusy(true, Now);
    On->send({{{.Operation = TargetCommand::Kind::Begin,
                .MaxQueueTime = SearchInterval},
               [this, Name, On, SentAt = Now](const StatementAnswer &Answer) {
                 searchAnswered(Name, On, SentAt, Answer);
               }},
              rollBackStep(On)});
  }
}

void SessionPipeline::searchAnswered(const std::string &Name,
                                     const TargetConnectionPtr &On,
                                     Millis SentAt,
                                     const StatementAnswer &Answer) {
  Group &In = Groups[Name];
  const bool Leads =
      !Answer.Refusal && Answer.Phase == SessionPhase::InTransaction;
  if (!Leads || !In.Outage.isActive())
    return;
  const Millis Now = Deps.Time.now();
  if (Answer.Position) {
    if (Deps.Floors.isRegression(Name, *Answer.Position, SentAt))
      return;
    Deps.Floors.record(Name, *Answer.Position, SentAt, Now);
  }
  In.DiscoveredPrimary = On->address().Id;
  In.Primary = On->address().Id;
  In.Outage.recordPrimary(Now);
}

// Control's word goes before what was found here only once it's newer: before
// that it's the word which proved wrong.
void SessionPipeline::adoptPrimary(const std::string &Name, Group &In,
                                   const TargetDirectory &Known) {
  const auto Told = Known.primaryOf(Name);
  const std::uint64_t Since = Told ? Told->PrimaryEpoch : 0;
  const TargetRecord *Found = Known.find(In.DiscoveredPrimary);
  const bool IsFoundGone = Found == nullptr || Found->IsGone;
  if (Since > In.ControlPrimarySince || IsFoundGone)
    In.DiscoveredPrimary.clear();
  In.ControlPrimarySince = Since;
  if (In.DiscoveredPrimary.empty())
    In.Primary = Told ? Told->Id : "";
}

} // namespace corianderdyke
