/// \file
/// Which targets must answer before one of a group with synchronous replicas is
/// promoted.
///
/// After a target left the group or more replicas were required, the primary
/// and the replicas are queried until enough of them hold what was
/// acknowledged.

#include "Steering/PromotionCoordinator.h"

#include <memory>

namespace corianderdyke {

namespace {

constexpr Millis SettlingInterval(500);

} // namespace

bool PromotionCoordinator::awaitMissingTargets(const std::string &Name) {
  Group &In = Groups[Name];
  In.Quorum.update(Directory.ofGroup(Name), In.SyncReplicas);
  const auto Present = Directory.primaryOf(Name);
  const std::string Best = longestLog(In);
  std::set<std::string> Answered;
  for (const auto &[Id, Each] : In.Statuses) {
    // A primary that has restarted may lack commits that it acknowledged, and
    // one that is passed over may acknowledge more with those that are missing.
    const bool HasRestarted =
        Present && Present->Id == Id && hasRestarted(In, *Present);
    if (!HasRestarted && (!Each.IsPrimary || Id == Best))
      Answered.insert(Id);
  }
  std::set<std::string> Missing = In.Quorum.missing(Answered);
  if (Missing.empty()) {
    In.Awaited.clear();
    return false;
  }
  if (Missing != In.Awaited) {
    std::string Ids;
    for (const std::string &Each : Missing)
      Ids += (Ids.empty() ? "" : ", ") + Each;
    Step.emit(Name, "waiting",
              "no answer from " + Ids +
                  "; acknowledged commits may be on these alone");
  }
  In.Awaited = std::move(Missing);
  resumeWatching(In, AttemptPause);
  return true;
}

bool PromotionCoordinator::countsDeparted(const TargetRecord &Target) const {
  const auto Found = Groups.find(Target.Group);
  return Found != Groups.end() && Found->second.Quorum.counts(Target.Id);
}

std::map<std::string, std::size_t>
PromotionCoordinator::awaitedTargets() const {
  std::map<std::string, std::size_t> Out;
  for (const auto &[Name, Each] : Groups)
    Out[Name] = Each.Awaited.size();
  return Out;
}

// The primary's position is read after the change, so that all commits that
// were acknowledged before it are below that position.
void PromotionCoordinator::considerSettling(const std::string &Name, Group &In,
                                            const TargetRecord &Primary) {
  if (In.SyncReplicas == 0 || In.Quorum.isSettled() ||
      Time.now() < In.NextSettlingAt)
    return;
  In.NextSettlingAt = Time.now() + SettlingInterval;
  Commands.send(
      addressOf(Primary), TargetCommand::Kind::Status, 0, Times.QueryTimeout,
      [this, Name, Round = In.Round, Primary,
       AsOf = In.Quorum.changes()](const Expected<TargetStatus> &Answer) {
        if (isCurrent(Name, Round, Stage::Watching) && Answer &&
            Answer->IsPrimary && isSameIncarnation(Primary))
          countCopies(Name, Primary, Answer->Received, AsOf);
      });
}

void PromotionCoordinator::countCopies(const std::string &Name,
                                       const TargetRecord &Primary,
                                       LogPosition Last, std::uint64_t AsOf) {
  const auto Copies = std::make_shared<std::uint32_t>(0);
  for (const TargetRecord &Each : Directory.ofGroup(Name)) {
    if (Each.Id == Primary.Id)
      continue;
    Commands.send(addressOf(Each), TargetCommand::Kind::Status, 0,
                  Times.QueryTimeout,
                  [this, Name, Round = Groups[Name].Round, Each, Last, AsOf,
                   Copies](const Expected<TargetStatus> &Answer) {
                    if (!isCurrent(Name, Round, Stage::Watching) || !Answer ||
                        Answer->Received < Last || !isSameIncarnation(Each))
                      return;
                    Group &In = Groups[Name];
                    if (++*Copies == In.SyncReplicas)
                      In.Quorum.settle(AsOf);
                  });
  }
}

} // namespace corianderdyke
