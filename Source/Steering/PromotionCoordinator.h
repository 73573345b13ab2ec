/// \file
/// Decides which target of a group leads, for systems in which targets enforce
/// their leadership themselves and control only orders promotions.
///
/// A primary is suspected when proxies cannot use it, or when its heartbeats
/// have stopped and no proxy reaches it. It counts as failed if, in addition,
/// it does not answer control. Control queries the positions of its replicas
/// and promotes the one with the highest. A primary that announces that it is
/// leaving steps down first, and its successor receives its whole log before
/// the promotion, so that no write is rolled back. The same change moves the
/// lead off a saturated primary whose replicas all lag, if that is enabled.
///
/// With synchronous replicas, a target that refused an order or did not take
/// over still counts: the others are promoted only if they hold all
/// acknowledged commits without it, and once it answers it may be ordered
/// again.
///
/// An order without an answer may be executed seconds later. If the primary
/// works again meanwhile, it is ordered to lead on: that changes nothing, but
/// rejects the earlier order. Until then the target of the open order receives
/// every commit that is acknowledged.
///
/// The class is driven by ticks and answers; its owner executes its requests.

#ifndef CORIANDERDYKE_STEERING_PROMOTIONCOORDINATOR_H
#define CORIANDERDYKE_STEERING_PROMOTIONCOORDINATOR_H

#include "Common/Clock.h"
#include "Steering/LeadRelief.h"
#include "Steering/ReadQuorum.h"
#include "Steering/ReplicatedState.h"

#include <functional>
#include <set>
#include <sigc++/sigc++.h>
#include <variant>

namespace corianderdyke {

struct PromotionTimes {
  /// A primary is probed when no heartbeat has arrived for this long: more than
  /// two intervals, so that one lost heartbeat does not trigger a probe.
  Millis SuspectAfter = Millis(2800);
  /// A proxy's report on a target is valid for this long.
  Millis ReportValidity = Millis(1200);
  /// How long control waits for a target's answer.
  Millis QueryTimeout = Millis(300);
  /// How long control waits for the answer of a suspected primary and for new
  /// reports of the proxies. The answer takes one round trip, and most proxies
  /// get an answer from a healthy primary every 50 ms.
  Millis ProbeTimeout = Millis(250);
  /// If the effect of a promotion is not observed within this time, another
  /// attempt follows.
  Millis PromotionTimeout = Millis(2500);
  /// Time from the acceptance of an order until its target leads.
  Millis TakeoverTime = Millis(1000);
  /// Replicas are kept stopped for an order without an answer for this long at
  /// most. It is executed within seconds or not at all, and while the promotion
  /// service cannot be reached nothing ends it.
  Millis OrderLifetime = Millis(20000);
  /// How long a planned change waits until its successor has the whole log.
  Millis CatchUpTimeout = Millis(1500);
  /// Pause between two queries while a successor catches up.
  Millis QueryInterval = Millis(25);
  /// A group without a primary gets none for this long after control began to
  /// lead, because the first heartbeats are still arriving.
  Millis StartupGracePeriod = Millis(2500);
};

using PromotionCommand = std::variant<OrderPromotion, EndPromotion>;

class PromotionCoordinator : public sigc::trackable {
public:
  /// Proposes the command to the control group. Runs the handler with its index
  /// once it is committed, or with nothing if it is not. The index of an order
  /// is its fencing token.
  using Propose = std::function<void(
      PromotionCommand, std::function<void(std::optional<std::uint64_t>)>)>;

  /// \p Orders are those of the replicated state.
  PromotionCoordinator(Clock &Time, const TargetDirectory &Directory,
                       const OpenOrders &Orders, TargetCommandPort &Commands,
                       PromotionPort &Promotions, Propose OnPropose,
                       std::string Holder, PromotionTimes Times = {});

  /// Starts as a new leader and abandons changes of an earlier leadership.
  /// \p Departed are the targets that left and for which countsDeparted() was
  /// true.
  void startLeading(const std::vector<TargetRecord> &Departed = {});
  /// True if acknowledged commits may be on too few other targets because this
  /// one left its group. The next leader must learn of it.
  bool countsDeparted(const TargetRecord &Target) const;
  /// Stops issuing orders because another control host leads.
  void stopLeading();
  /// Records a proxy's reports on targets.
  void recordReports(const ProcessId &Proxy,
                     const std::vector<ReachabilityReport> &Reports);
  /// Sets whether the lead is moved off saturated primaries.
  void enableRelief(bool New) { IsReliefEnabled = New; }
  /// Records a proxy's counts of reads refused or late at leaders.
  void recordPressure(const ProcessId &Proxy, std::uint64_t Sequence,
                      const std::vector<GroupPressure> &Counts);
  /// Number of targets whose answers a change of primary waits for, by group.
  std::map<std::string, std::size_t> awaitedTargets() const;
  /// Number of targets that an open order may promote in place of the present
  /// primary, by group.
  std::map<std::string, std::size_t> openOrders() const;
  /// Number of reliefs begun by this process, for metrics.
  std::uint64_t reliefs() const { return Reliefs; }
  /// Must be called every few tens of milliseconds while leading.
  void tick(const RoutePlan &Plan, std::size_t Proxies);

  /// Emitted with each step: group, step and reason.
  sigc::signal<void(const std::string &, const std::string &,
                    const std::string &)> &
  signalStep() {
    return Step;
  }

  /// Emitted when a target is probed: proxies should send their reports now.
  sigc::signal<void()> &signalProbeStarted() { return ProbeStarted; }

private:
  /// Pause between a failed attempt and the next one.
  static constexpr Millis AttemptPause = Millis(100);

  enum class Stage : std::uint8_t {
    Watching,
    Probing,      ///< Queries the suspected primary.
    SteppingDown, ///< Orders the current primary to step down.
    Reading,      ///< Queries the positions of the replicas.
    Ordering,     ///< Waits until the order is committed.
    Awaiting,     ///< Waits for the new primary's heartbeat.
  };

  /// Orders to one target that were refused or had no effect.
  struct FailedOrders {
    Millis Pause;   ///< From the last failure to the next order.
    Millis RetryAt; ///< Not ordered again before, with synchronous replicas.
  };

  /// Orders the present primary to lead on, which ends earlier orders. Works
  /// independently of the stages: another change has a higher token.
  struct Confirmation {
    std::string Primary = {};
    std::uint64_t Incarnation = 0;
    std::uint64_t Token = 0;   ///< 0 until the order is committed.
    bool IsUnderWay = false;   ///< A query or the order awaits its answer.
    std::uint64_t Attempt = 0; ///< Answers to earlier attempts are ignored.
    Millis NextAt = {};
    Millis Pause = {}; ///< From an order without an answer to the next one.
  };

  struct Group {
    Stage CurrentStage = Stage::Watching;
    std::uint64_t Round = 0; ///< Answers of earlier rounds are ignored.
    Millis StageSince;       ///< Start of the stage.
    Millis ChangeBeganAt;    ///< Start of the change of primary.
    bool IsPlanned = false;
    std::string Reason;
    std::string OldPrimary;
    std::string Successor;
    std::uint64_t SuccessorToken = 0; ///< Of the order, while awaiting.
    /// The primary at the last check of the group, and its incarnation.
    std::string LastPrimary;
    std::uint64_t LastPrimaryIncarnation = 0;
    std::optional<LogPosition>
        RequiredPosition; ///< To be reached by the successor.
    std::map<std::string, TargetStatus> Statuses;
    std::size_t Asked = 0;
    std::size_t Answered = 0;
    bool IsIncomplete = false; ///< A replica was too busy to answer.
    /// Targets that refused or failed in this change, by id. Without
    /// synchronous replicas they are not ordered again until all have failed.
    std::map<std::string, FailedOrders> Failures;
    /// Replicas that must hold a commit before it is acknowledged, according
    /// to the plan.
    std::uint32_t SyncReplicas = 0;
    /// Targets whose positions are needed; updated if SyncReplicas is not 0.
    ReadQuorum Quorum;
    /// Targets without an answer that the change waits for.
    std::set<std::string> Awaited;
    Millis NextSettlingAt;
    std::set<std::string> StoppedReplicas; ///< Ordered to stop receiving.
    Confirmation Confirming;
    /// Targets that must receive every acknowledged commit, because an order
    /// that names them may be executed, and until when at least.
    std::set<std::string> Rivals;
    Millis RivalsUntil = Millis(-1000000);
    Millis LastOrderAt = Millis(-1000000); ///< Sent by this host.
    std::optional<Millis> NextQueryAt;
    Millis RetryAt;
    /// The smallest accepted age of reads that replicas may serve, according to
    /// the plan. Only kept while reliefs are enabled.
    std::optional<Millis> MaxStaleness;
    ReliefHistory History;
    /// Targets are queried for a relief; only set while watching.
    std::optional<ReliefQuery> Query;
    /// The change under way is a relief. Only replicas of the query may lead
    /// next, and only with the whole log.
    std::optional<ReliefQuery> Relief;
    bool HasOrderedStepDown = false; ///< In this relief.
    bool IsReturning = false;        ///< The old primary is to lead again.
  };

  struct Reachability {
    std::uint64_t Incarnation = 0; ///< Of the target when observed.
    Millis FailedAt = Millis(-1000000);
    Millis ReachedAt = Millis(-1000000);
  };

  void watch(const std::string &Name, Group &In, std::size_t Proxies);
  /// Ends a change that has failed so far, because the primary works again.
  void abandonChange(const std::string &Name, Group &In,
                     const TargetRecord &Primary);
  /// True if the primary is the previous one in a later incarnation.
  bool hasRestarted(const Group &In, const TargetRecord &Primary) const;
  /// True if the queried incarnation is still the current one.
  bool isSameIncarnation(const TargetRecord &Asked) const;
  /// Counts proxies whose record on this incarnation of the target satisfies
  /// \p Matches.
  std::size_t
  countProxies(const TargetRecord &Target,
               const std::function<bool(const Reachability &)> &Matches) const;
  std::size_t countRecentFailures(const TargetRecord &Target) const;
  std::size_t countRecentlyReached(const TargetRecord &Target) const;
  /// Counts proxies that reported after \p Since that the target answers them.
  std::size_t countReachedSince(const TargetRecord &Target, Millis Since) const;
  void probe(const std::string &Name, const TargetRecord &Primary,
             std::size_t Proxies);
  void evaluateProbe(const std::string &Name, const TargetRecord &Primary,
                     std::size_t Proxies, const Expected<TargetStatus> &Answer);
  void stepDown(const std::string &Name, const TargetRecord &Primary);
  /// Returns the targets whose positions count for a promotion.
  std::vector<TargetRecord> candidates(const std::string &Name) const;
  void queryPositions(const std::string &Name);
  void scheduleQuery(Group &In);
  void stopReceiving(const std::string &Name);
  void queryAll(const std::string &Name, const std::vector<TargetRecord> &All,
                TargetCommand::Kind What, std::uint64_t Term);
  void chooseSuccessor(const std::string &Name);
  /// Returns the target that answered with the highest position, if any.
  std::string longestLog(const Group &In) const;
  /// Orders a target that failed again only after a growing pause.
  void recordFailure(Group &In, const std::string &Target) const;
  void checkProgress(const std::string &Name, Group &In);
  void enter(Group &In, Stage Next);
  void resumeWatching(Group &In, Millis Pause);

  // Orders and their ends, in PromotionOrders.cpp.
  void proposePromotion(const std::string &Name, const std::string &Target);
  void sendPromotion(const std::string &Name, const std::string &Target,
                     std::uint64_t Token);
  /// Records the end of an order if its result tells it.
  void recordEnd(const std::string &Name, std::uint64_t Token,
                 PromotionPort::Result Result);
  void recordTakeover(const std::string &Name, const Group &In);
  void considerConfirmation(const std::string &Name, Group &In,
                            const TargetRecord &Primary);
  void orderConfirmation(const std::string &Name, const TargetRecord &Primary);
  void sendConfirmation(const std::string &Name);
  bool isConfirming(const std::string &Name, std::uint64_t Attempt) const;
  void retryConfirmation(const std::string &Name, Millis Pause);
  void updateRivals(const std::string &Name, Group &In);
  /// The stopped replicas that may receive again now.
  std::set<std::string> resumable(const Group &In) const;
  void resumeReceiving(Group &In);
  void handleResumeAnswer(const TargetRecord &Replica,
                          const Expected<TargetStatus> &Answer);

  // Who must answer with synchronous replicas, in PromotionQuorum.cpp.
  /// Ends the attempt and returns true if targets that did not answer may hold
  /// acknowledged commits that the others lack.
  bool awaitMissingTargets(const std::string &Name);
  void considerSettling(const std::string &Name, Group &In,
                        const TargetRecord &Primary);
  void countCopies(const std::string &Name, const TargetRecord &Primary,
                   LogPosition Last, std::uint64_t AsOf);

  // Moving the lead off a saturated primary, in PromotionRelief.cpp.
  void updateStaleness(const RoutePlan &Plan);
  void considerRelief(const std::string &Name, Group &In,
                      const TargetRecord &Primary);
  void sendReliefQueries(const std::string &Name);
  void evaluateRelief(const std::string &Name);
  void beginRelief(const std::string &Name);
  void continueStepDown(const std::string &Name);
  void handleStepDownStatus(const std::string &Name,
                            const Expected<TargetStatus> &Answer);
  void retryStepDown(const std::string &Name, const std::string &Problem);
  void handleSteppedDown(const std::string &Name, LogPosition Last);
  void chooseForRelief(const std::string &Name);
  void returnLead(const std::string &Name, const std::string &Problem);
  /// True if the target may lead after the relief.
  static bool mayRelieve(const ReliefQuery &Relief, const TargetRecord &Target);
  /// True once a heartbeat shows that the ordered promotion took effect.
  bool isPromoted(const Group &In, const TargetRecord &Primary) const;

  bool isCurrent(const std::string &Name, std::uint64_t Round,
                 Stage Expected) const;
  TargetAddress addressOf(const TargetRecord &Of) const {
    return {Of.Group, Of.Id, Of.Address};
  }

  Clock &Time;
  const TargetDirectory &Directory;
  const OpenOrders &Orders;
  TargetCommandPort &Commands;
  PromotionPort &Promotions;
  Propose OnPropose;
  std::string Holder;
  PromotionTimes Times;
  ReliefRules Rules;
  bool IsActive = false;
  bool IsReliefEnabled = false;
  std::uint64_t Reliefs = 0;
  std::uint64_t LastQueryId = 0;
  std::uint64_t StalenessVersion = 0; ///< Of the plan last read.
  PressureReports Pressure;
  Millis LeadingSince;
  /// Replicas that an earlier leader may have ordered to stop receiving.
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
