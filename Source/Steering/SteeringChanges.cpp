/// \file
/// Changes that a leading control host proposes, and when it acknowledges them.

#include "Steering/SteeringNode.h"

#include "Common/Codec.h"

namespace corianderdyke {

namespace {

/// Time within which all hosts of a new system have started and joined.
constexpr Millis FormationTimeout(5000);
/// A repeated plan that waits for longer is answered with an error. Operators
/// send it again, and a group that bears no loss for long keeps few requests.
constexpr Millis RepeatTimeout(5000);

} // namespace

tl::unexpected<Error> notLeadingError() {
  return fail(ErrorCode::Unavailable, "this control host doesn't lead");
}

void SteeringNode::acceptPlan(RoutePlan Plan, DoneHandler OnDone) {
  if (!Leading)
    return OnDone(notLeadingError());
  // A superseded or repeated plan has no effect. Its acknowledgement promises
  // as much as the first one: that the plan in force outlives the lost disks.
  if (Plan.Version <= State.plan().Version)
    return awaitPlan(std::move(OnDone));
  propose({Deps.Time.wallTime(), AcceptPlan{std::move(Plan)}},
          [OnDone](std::optional<std::uint64_t> Index) {
            if (Index)
              OnDone({});
            else
              OnDone(fail(ErrorCode::Unavailable,
                          "leadership moved before the change was kept; send "
                          "it again"));
          });
}

void SteeringNode::propose(ReplicatedCommand Command, CommitHandler OnDone) {
  const auto Index = Agreement.propose(encode(Command), Deps.Time.now());
  if (!Index)
    return OnDone(std::nullopt);
  Changes[*Index] = {Agreement.term(), false, std::move(OnDone)};
  processOutputs();
}

bool SteeringNode::isDurable(std::uint64_t Index) const {
  if (Agreement.survivesDiskLoss(Index, Options.ToleratedDiskLosses))
    return true;
  // A system with fewer hosts than the setting requires cannot tolerate that
  // loss at all, and its changes must not wait forever.
  const std::size_t MaxLosses = (Agreement.voters().size() - 1) / 2;
  return Deps.Time.now() - LeadingSince > FormationTimeout &&
         MaxLosses < Options.ToleratedDiskLosses &&
         Agreement.survivesDiskLoss(Index, MaxLosses);
}

void SteeringNode::finishChanges() {
  finishRepeatedPlans();
  for (auto Each = Changes.begin(); Each != Changes.end();) {
    if (!Each->second.IsCommitted || !isDurable(Each->first)) {
      ++Each;
      continue;
    }
    const std::uint64_t Index = Each->first;
    const CommitHandler OnDone = std::move(Each->second.OnDone);
    Each = Changes.erase(Each);
    OnDone(Index);
    // The handler may have proposed another change.
    Each = Changes.upper_bound(Index);
  }
}

void SteeringNode::awaitPlan(DoneHandler OnDone) {
  if (isDurable(PlanIndex))
    return OnDone({});
  RepeatedPlans.push_back({PlanIndex, Deps.Time.now(), std::move(OnDone)});
}

void SteeringNode::finishRepeatedPlans() {
  if (RepeatedPlans.empty())
    return;
  const Millis Now = Deps.Time.now();
  for (RepeatedPlan &Each : std::exchange(RepeatedPlans, {}))
    if (isDurable(Each.Index))
      Each.OnDone({});
    else if (Now - Each.Since > RepeatTimeout)
      Each.OnDone(fail(ErrorCode::Unavailable,
                       "the plan isn't on enough disks yet; send it again"));
    else
      RepeatedPlans.push_back(std::move(Each));
}

void SteeringNode::failChanges() {
  for (const auto &[Index, Change] : std::exchange(Changes, {}))
    Change.OnDone(std::nullopt);
  for (const RepeatedPlan &Each : std::exchange(RepeatedPlans, {}))
    Each.OnDone(notLeadingError());
}

} // namespace corianderdyke
