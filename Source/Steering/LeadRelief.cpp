/// \file
/// Decides when the lead of a group moves off a saturated primary.

#include "Steering/LeadRelief.h"

namespace corianderdyke {

namespace {

using Kind = ReliefAnswer::Kind;
using Action = ReliefDecision::Action;

/// True if \p Has lacks at most \p Missing records of a log up to \p Of.
/// Positions of different terms are not comparable by count.
bool isWithin(LogPosition Has, LogPosition Of, std::uint64_t Missing) {
  return Has.Term == Of.Term && Has.Number + Missing >= Of.Number;
}

bool isBusy(const TargetRecord &Primary, const ReliefAnswer &Answer) {
  return Answer.Outcome == Kind::Busy ||
         (Primary.Slots > 0 && Answer.Status.Busy >= Primary.Slots);
}

/// True if some replica receives the primary's log. A busy primary may not have
/// told its position; then two replicas must have received about the same,
/// since one alone may have received nothing for long.
bool hasSuccessor(const ReliefRules &Rules, const ReliefAnswer &Primary,
                  const std::vector<LogPosition> &Received) {
  if (Primary.Outcome == Kind::Answered)
    return std::any_of(Received.begin(), Received.end(), [&](LogPosition Each) {
      return isWithin(Each, Primary.Status.Received, Rules.MaxMissingRecords);
    });
  std::vector<LogPosition> Sorted = Received;
  std::sort(Sorted.rbegin(), Sorted.rend());
  return Sorted.size() > 1 &&
         isWithin(Sorted[1], Sorted[0], Rules.MaxMissingRecords);
}

} // namespace

void PressureReports::record(const ProcessId &Proxy, std::uint64_t Sequence,
                             const std::vector<GroupPressure> &Counts,
                             Millis Now) {
  Reporter &From = Reporters[Proxy.Name];
  if (From.Replaced.count(Proxy.Incarnation) != 0)
    return;
  if (From.Incarnation != Proxy.Incarnation) {
    if (From.Incarnation != 0)
      From.Replaced.insert(From.Incarnation);
    From.Incarnation = Proxy.Incarnation;
    From.Sequence = 0;
  }
  if (Sequence <= From.Sequence)
    return;
  From.Sequence = Sequence;
  for (const GroupPressure &Each : Counts)
    Entries.push_back({Now, Each});
}

GroupPressure PressureReports::recent(const std::string &Group, Millis Window,
                                      Millis Now) const {
  GroupPressure Out{Group};
  for (const Entry &Each : Entries)
    if (Each.Counts.Group == Group && Now - Each.At < Window) {
      Out.RefusedReads += Each.Counts.RefusedReads;
      Out.LaggingReads += Each.Counts.LaggingReads;
    }
  return Out;
}

void PressureReports::removeExpired(Millis Window, Millis Now) {
  while (!Entries.empty() && Now - Entries.front().At >= Window)
    Entries.pop_front();
}

void PressureReports::clear() {
  Reporters.clear();
  Entries.clear();
}

void ReliefHistory::start(const ReliefRules &Rules, Millis Now) {
  Incarnations.clear();
  LastPrimary.clear();
  UnchangedSince = Now;
  // An earlier leader may have moved the lead just before.
  NotBefore = Now + Rules.MinInterval;
}

void ReliefHistory::observe(const std::vector<TargetRecord> &Targets,
                            const std::string &Primary, Millis Now) {
  std::map<std::string, std::uint64_t> Present;
  for (const TargetRecord &Each : Targets)
    Present[Each.Id] = Each.Incarnation;
  if (Present == Incarnations && Primary == LastPrimary)
    return;
  Incarnations = std::move(Present);
  LastPrimary = Primary;
  UnchangedSince = Now;
}

std::optional<Millis> smallestStaleness(const RoutePlan &Plan,
                                        const std::string &Group) {
  std::optional<Millis> Out;
  for (const RoutePolicy &Each : Plan.Routes)
    if (Each.Group == Group && Each.Reads != Freshness::Primary)
      Out = std::min(Out.value_or(Each.MaxStaleness), Each.MaxStaleness);
  return Out;
}

bool shouldConsiderRelief(const ReliefRules &Rules,
                          const ReliefHistory &History,
                          const GroupPressure &Recent, Millis Now) {
  // Reads that may wait beyond their objective are served late instead of being
  // refused.
  return Recent.RefusedReads + Recent.LaggingReads >= Rules.MinAffectedReads &&
         History.allows(Rules, Now);
}

ReliefDecision decideRelief(const ReliefRules &Rules, const ReliefQuery &Query,
                            Millis Timeout, Millis Now) {
  const auto Primary = Query.Answers.find(Query.Primary.Id);
  if (Primary == Query.Answers.end())
    return {Action::Nothing};
  bool IsPending = false;
  bool MayAskAgain = false;
  std::vector<LogPosition> Received;
  std::string Lags;
  for (const auto &[Id, Each] : Query.Answers) {
    IsPending |= Each.Outcome == Kind::Pending;
    MayAskAgain |= Each.Outcome == Kind::Busy;
    if (Id == Query.Primary.Id || Each.Outcome != Kind::Answered)
      continue;
    // It serves reads, or another target leads.
    if (Each.Status.Lag <= Query.MaxStaleness || Each.Status.IsPrimary)
      return {Action::Nothing};
    Received.push_back(Each.Status.Received);
    Lags += (Lags.empty() ? "" : ", ") + Id + " lags " +
            std::to_string(Each.Status.Lag.count()) + " ms";
  }
  if (IsPending)
    return {Action::Wait};
  if (MayAskAgain && Now - Query.StartedAt < Timeout)
    return {Action::Query};
  // A replica that is too busy to answer serves reads.
  for (const auto &[Id, Each] : Query.Answers)
    if (Id != Query.Primary.Id && Each.Outcome == Kind::Busy)
      return {Action::Nothing};
  const ReliefAnswer &Lead = Primary->second;
  if (Lead.Outcome == Kind::Missing ||
      (Lead.Outcome == Kind::Answered && !Lead.Status.IsPrimary) ||
      !isBusy(Query.Primary, Lead) || !hasSuccessor(Rules, Lead, Received))
    return {Action::Nothing};
  return {Action::Move, "the primary is saturated: " +
                            std::to_string(Query.Pressure.RefusedReads) +
                            " reads refused there in " +
                            std::to_string(Rules.Window.count()) + " ms and " +
                            std::to_string(Query.Pressure.LaggingReads) +
                            " late; " + Lags};
}

std::string
chooseReliefSuccessor(const std::map<std::string, TargetStatus> &Replicas,
                      LogPosition Required) {
  const std::pair<const std::string, TargetStatus> *Best = nullptr;
  for (const auto &Each : Replicas)
    if (Each.second.Received >= Required &&
        (Best == nullptr || Each.second.Lag < Best->second.Lag))
      Best = &Each;
  return Best == nullptr ? "" : Best->first;
}

} // namespace corianderdyke
