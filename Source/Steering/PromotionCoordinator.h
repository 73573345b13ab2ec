/// \file
/// Decides which target of a group leads, where a promotion is all it takes
/// and targets enforce the lead themselves.
///
/// A primary counts as failed when proxies can't use it, or nobody has heard
/// of it for long, and control itself gets no answer from it. Its replicas
/// are asked for their positions and the furthest one is promoted. A primary
/// that announces its leaving is told to step down first, and its successor
/// has all of its log before it's promoted: nothing is rolled back.
///
/// The class is driven by ticks and answers; whoever owns it carries out what
/// it asks for.

#ifndef CORIANDERDYKE_STEERING_PROMOTIONCOORDINATOR_H
#define CORIANDERDYKE_STEERING_PROMOTIONCOORDINATOR_H

#include "Common/Clock.h"
#include "Steering/Messages.h"
#include "Steering/Ports.h"
#include "Steering/ReplicatedState.h"

#include <functional>
#include <set>
#include <sigc++/sigc++.h>

namespace corianderdyke {

struct PromotionTimes {
  /// A primary is looked into when no heartbeat came for this long: more than
  /// two intervals, so that one lost heartbeat is no reason.
  Millis SuspectAfter = Millis(2800);
  /// A proxy's word on a target counts for this long.
  Millis ReportValidity = Millis(1200);
  /// How long control waits for a target's word.
  Millis QueryTimeout = Millis(300);
  /// How long control waits for a primary that proxies miss, and for what the
  /// others see of it meanwhile: it's one way there and back, and most proxies
  /// have an answer from a primary that is well every 50 ms.
  Millis ProbeTimeout = Millis(250);
  /// A promotion that took effect is seen within this time, or another order
  /// follows.
  Millis PromotionTimeout = Millis(2500);
  /// How long a planned change waits for its successor to have the whole log.
  Millis CatchUpTimeout = Millis(1500);
  /// Pause between two questions while a successor catches up.
  Millis QueryInterval = Millis(25);
  /// A group that has never had a primary is left alone for this long after
  /// control began to lead: heartbeats are still coming in.
  Millis StartupGracePeriod = Millis(2500);
};

class PromotionCoordinator : public sigc::trackable {
public:
  /// Proposes the order to the control group; runs the handler with the
  /// token once it's committed, or with nothing where it isn't.
  using Propose = std::function<void(
      OrderPromotion, std::function<void(std::optional<std::uint64_t>)>)>;

  PromotionCoordinator(Clock &Time, const TargetDirectory &Directory,
                       TargetCommandPort &Orders, PromotionPort &Promotions,
                       Propose OnPropose, std::string Holder,
                       PromotionTimes Times = {});

  /// Begins as a new leader; what a former leadership had under way is over.
  void startLeading();
  /// Another leads now: nothing more is ordered.
  void stopLeading();
  /// Takes in what a proxy sees.
  void recordReports(const ProcessId &Proxy,
                     const std::vector<ReachabilityReport> &Seen);
  /// To be called every few dozen milliseconds while leading.
  void tick(const RoutePlan &Plan, std::size_t Proxies);

  /// Emitted with each step: group, what, and why.
  sigc::signal<void(const std::string &, const std::string &,
                    const std::string &)> &
  signalStep() {
    return Step;
  }

  /// Emitted when a target is looked into: proxies should tell now what they
  /// have seen.
  sigc::signal<void()> &signalProbeStarted() { return ProbeStarted; }

private:
  enum class Stage : std::uint8_t {
    Watching,
    Probing,      ///< Asks the suspected primary.
    SteppingDown, ///< Tells the present primary to step down.
    Reading,      ///< Asks the replicas for their positions.
    Ordering,     ///< The order is being agreed on, then carried out.
    Awaiting,     ///< The new primary hasn't shown itself yet.
  };

  struct Group {
    Stage CurrentStage = Stage::Watching;
    std::uint64_t Round = 0; ///< Answers of earlier rounds are dropped.
    Millis StageSince;       ///< Of the stage.
    Millis ChangeBeganAt;    ///< Of the change.
    bool IsPlanned = false;
    std::string Reason;
    std::string OldPrimary;
    std::string Successor;
    /// Who led when the group was last looked at, and in which life.
    std::string LastPrimary;
    std::uint64_t LastPrimaryIncarnation = 0;
    std::optional<LogPosition>
        RequiredPosition; ///< That the successor must reach.
    std::map<std::string, TargetStatus> Statuses;
    std::size_t Asked = 0;
    std::size_t Answered = 0;
    bool IsIncomplete = false;      ///< One was too busy to tell.
    std::set<std::string> Excluded; ///< Refused or failed this time.
    /// Replicas that hold a commit before its answer, as the plan has it.
    std::uint32_t SyncReplicas = 0;
    std::set<std::string> StoppedReplicas; ///< Told to stop receiving.
    std::optional<Millis> NextQueryAt;
    Millis RetryAt;
  };

  struct Reachability {
    std::uint64_t Incarnation = 0; ///< The life of the target that was met.
    Millis FailedAt = Millis(-1000000);
    Millis ReachedAt = Millis(-1000000);
  };

  void watch(const std::string &Name, Group &In, std::size_t Proxies);
  /// True where the primary is the one of before, in a later life.
  bool hasRestarted(const Group &In, const TargetRecord &Primary) const;
  /// True while the life that was asked is the one that is known.
  bool isSameIncarnation(const TargetRecord &Asked) const;
  /// Proxies whose word on this life of a target counts.
  std::size_t
  countProxies(const TargetRecord &Target,
               const std::function<bool(const Reachability &)> &Counts) const;
  std::size_t countRecentFailures(const TargetRecord &Target) const;
  std::size_t countRecentlyReached(const TargetRecord &Target) const;
  /// Proxies that said after \p Since that it answers them.
  std::size_t countReachedSince(const TargetRecord &Target, Millis Since) const;
  void probe(const std::string &Name, const TargetRecord &Primary,
             std::size_t Proxies);
  void evaluateProbe(const std::string &Name, const TargetRecord &Primary,
                     std::size_t Proxies, const Expected<TargetStatus> &Answer);
  void stepDown(const std::string &Name, const TargetRecord &Primary);
  /// Targets whose positions count for a promotion.
  std::vector<TargetRecord> candidates(const std::string &Name) const;
  void queryPositions(const std::string &Name);
  void scheduleQuery(Group &In);
  void stopReceiving(const std::string &Name);
  void resumeReceiving(Group &In);
  void queryAll(const std::string &Name, const std::vector<TargetRecord> &All,
                TargetCommand::Kind What, std::uint64_t Term);
  void chooseSuccessor(const std::string &Name);
  void proposePromotion(const std::string &Name, const std::string &Target);
  void sendPromotion(const std::string &Name, const std::string &Target,
                     std::uint64_t Token);
  void checkProgress(const std::string &Name, Group &In);
  void enter(Group &In, Stage Next);
  void resumeWatching(Group &In, Millis Pause);
  bool isCurrent(const std::string &Name, std::uint64_t Round,
                 Stage Expected) const;
  TargetAddress addressOf(const TargetRecord &Of) const {
    return {Of.Group, Of.Id, Of.Address};
  }

  Clock &Time;
  const TargetDirectory &Directory;
  TargetCommandPort &Commands;
  PromotionPort &Promotions;
  Propose OnPropose;
  std::string Holder;
  PromotionTimes Times;
  bool IsActive = false;
  Millis LeadingSince;
  /// Replicas that a former leader may have stopped.
  std::set<std::string> MayBeStopped;
  std::map<std::string, Group> Groups;
  std::map<std::string, std::map<ProcessId, Reachability>> ReachabilityByTarget;
  sigc::signal<void(const std::string &, const std::string &,
                    const std::string &)>
      Step;
  sigc::signal<void()> ProbeStarted;
};

} // namespace corianderdyke

#endif
