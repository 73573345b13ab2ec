/// \file
/// Checks that acknowledged commits are on enough of the present targets again
/// after a target left its group or more synchronous replicas were required.

#include "Steering/PromotionCoordinator.h"

#include <memory>

namespace corianderdyke {

namespace {

constexpr Millis SettlingInterval(500);

} // namespace

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
