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

#include <algorithm>

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
    probeLead(Connection, SearchInterval,
              [this, Name, Connection,
               SentAt = Now](std::optional<LogPosition> Position) {
                handleSearchAnswer(Name, Connection, SentAt, Position);
              });
  }
}

// The opening's answer alone proves nothing: it may be a copy of that to an
// earlier opening, also of a transaction that only reads. If the target had
// refused this opening, that refusal would arrive as the rollback's answer. The
// higher of both positions belongs to at least one answer that is no copy.
void SessionPipeline::probeLead(
    const TargetConnectionPtr &Connection, Millis MaxQueueTime,
    std::function<void(std::optional<LogPosition>)> Handler) {
  const auto Opened = std::make_shared<std::optional<LogPosition>>();
  std::vector<TargetConnection::Step> Steps;
  Steps.push_back(
      {{.Operation = TargetCommand::Kind::Begin, .MaxQueueTime = MaxQueueTime},
       [Opened](const StatementAnswer &Answer) {
         if (!Answer.Refusal && Answer.Phase == SessionPhase::InTransaction)
           *Opened = Answer.Position;
       }});
  Steps.push_back(
      {{.Operation = TargetCommand::Kind::Rollback},
       [this, Connection, Opened,
        Handler = std::move(Handler)](const StatementAnswer &Answer) {
         const bool IsIdle = Answer.Phase == SessionPhase::Idle;
         const bool Leads =
             *Opened && Answer.Position && !Answer.Refusal && IsIdle;
         Handler(Leads ? std::max(*Opened, Answer.Position) : std::nullopt);
         if (IsIdle)
           release(Connection);
         else
           discard(Connection);
       }});
  Connection->send(std::move(Steps));
}

void SessionPipeline::handleSearchAnswer(const std::string &Name,
                                         const TargetConnectionPtr &Connection,
                                         Millis SentAt,
                                         std::optional<LogPosition> Position) {
  Group &G = Groups[Name];
  if (!Position || !G.Outage.isActive() ||
      Deps.Floors.isRegression(Name, *Position, SentAt))
    return;
  const Millis Now = Deps.Time.now();
  Deps.Floors.record(Name, *Position, SentAt, Now);
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
