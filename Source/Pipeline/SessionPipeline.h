/// \file
/// Carries the statements of callers' sessions to targets that enforce their
/// leadership themselves.
///
/// A proxy under this policy needs no lease. It reports a write as done only
/// with the answer of a target that leads, which the target itself guarantees.
/// The target that runs a read proves that it is fresh: inside a transaction
/// that only a leader accepts, or on a log that holds a proven floor. Callers
/// are served while control is cut off, frozen or down.

#ifndef CORIANDERDYKE_PIPELINE_SESSIONPIPELINE_H
#define CORIANDERDYKE_PIPELINE_SESSIONPIPELINE_H

#include "Admission/LateForecast.h"
#include "Admission/LoadOptions.h"
#include "Admission/UrgentRoom.h"
#include "Admission/WaitForecast.h"
#include "Common/Clock.h"
#include "Loop/CoalescingTimer.h"
#include "Organisations/OrganisationTable.h"
#include "Pipeline/CallerSession.h"
#include "Pipeline/FloorTable.h"
#include "Pipeline/JobQueue.h"
#include "Pipeline/PrimaryOutage.h"
#include "Pipeline/StopSchedule.h"
#include "Pipeline/TargetPool.h"
#include "Plan/PlanIndex.h"
#include "Quota/PermitSource.h"
#include "Replicas/ReplicaTable.h"

#include <list>
#include <sigc++/sigc++.h>

namespace corianderdyke {

/// Counters for metrics.
struct PipelineCounts {
  std::uint64_t Sessions = 0;
  std::uint64_t ReadsByReplica = 0;
  std::uint64_t ReadsByPrimary = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Commits = 0;
  std::uint64_t NotRun = 0;  ///< Refused, and nothing is kept.
  std::uint64_t Failed = 0;  ///< All other refusals.
  std::uint64_t Unknown = 0; ///< May have run.
  std::uint64_t Retries = 0;
  std::uint64_t OverQuota = 0; ///< Refused for their organisation's quota.
  std::uint64_t ReadsServedLate = 0;  ///< Answered after their objective.
  std::uint64_t WritesServedLate = 0; ///< Answered after their objective.
  LateCounts Late;                    ///< Of this process's own queue.
  /// Tries that a target refused because its log lacked the floor.
  std::uint64_t LaggingRefusals = 0;
  /// Reads sent to the leader because no replica held their floor.
  std::uint64_t ReadsLackingReplica = 0;
  OpeningCounts Openings; ///< Of own connections, not of shared links.

  auto operator<=>(const PipelineCounts &) const = default;
};

/// One target's connections, for metrics.
struct PoolReport {
  std::string Target;
  std::size_t Connections = 0;
  std::size_t Busy = 0;

  auto operator<=>(const PoolReport &) const = default;
};

/// What is known of one replica's log, for metrics.
struct ReplicaStatus {
  std::string Target;
  LogPosition Position;
  std::optional<double> Rate; ///< Positions per second; if known.

  auto operator<=>(const ReplicaStatus &) const = default;
};

class SessionPipeline : public sigc::trackable {
public:
  struct Dependencies {
    Clock &Time;
    Scheduler &Timers;
    TargetConnector &Targets;
    /// Shared with the other parts of this process that record floors.
    FloorTable &Floors;
    /// True while control confirms that the plan is the newest. While it is
    /// false, no key is refused as unknown. Empty: always true.
    std::function<bool()> IsPlanCurrent = nullptr;
    /// Secret for the digests of callers' keys; the same at control hosts.
    std::string KeySecret = {};
    /// Null: no organisation is limited.
    PermitSource *Permits = nullptr;
    LoadOptions Load = {};
    /// Shared with the relay of this process. Null: a replica that refused a
    /// read as lagging is avoided for a while (ReplicaLag).
    ReplicaTable *Replicas = nullptr;
  };

  SessionPipeline(Dependencies Deps, Locality OwnLocality);
  ~SessionPipeline();

  /// Opens a session for the organisation that \p Key belongs to.
  std::uint64_t open(const std::string &Database, const std::string &Key,
                     std::shared_ptr<CallerLink> Link);
  void receive(std::uint64_t Id, Statement Stmt);
  void handleDisconnect(std::uint64_t Id);

  /// Updates from control.
  void adopt(const RoutePlan &New);
  void updateTargets(const TargetDirectory &Directory);
  void setProxyCount(std::size_t Count);

  /// Begins a planned stop. Statements are served as before until they might
  /// not be answered in time; later ones are refused as not run, and their
  /// sessions closed. Sessions without statements are closed a few at a time.
  void beginStop(const StopSchedule &Schedule);
  bool hasNoSessions() const { return Sessions.empty(); }
  std::size_t sessions() const { return Sessions.size(); }
  /// Returns how many statements of callers have not been answered yet.
  std::size_t statementsInProgress() const;

  const RoutePlan &plan() const { return Plan.plan(); }
  const PipelineCounts &counts() const { return Counts; }
  std::vector<PoolReport> pools() const;
  /// Returns how many late statements wait in this process's own queue.
  std::size_t lateWaiting() const;
  std::vector<ReplicaStatus> replicas() const;

  /// Emitted when a target could not be reached.
  sigc::signal<void(const TargetFailure &)> &signalTargetFailure() {
    return TargetFailed;
  }
  /// Emitted when a primary answered.
  sigc::signal<void(const std::string &)> &signalPrimaryAnswered() {
    return PrimaryAnswered;
  }
  /// Emitted with each statement that is refused.
  sigc::signal<void(const CallerSession &, const Statement &,
                    const StatementRefusal &, const std::string &)> &
  signalRefused() {
    return RefusedSignal;
  }

  /// Emitted with a group when a read finds that all its replicas lack the
  /// floor (true), and when one has caught up with the reads (false).
  sigc::signal<void(const std::string &, bool)> &signalReplicasBehind() {
    return ReplicasBehind;
  }
  /// Emitted when a try gave no result and another follows.
  sigc::signal<void(const SessionJob &, const StatementRefusal &)> &
  signalRetried() {
    return Retried;
  }
  /// Emitted with the group of each read that was refused as busy (true), or
  /// served after its objective (false), at the leader because every replica
  /// lagged.
  sigc::signal<void(const std::string &, bool)> &signalReadPressure() {
    return ReadPressure;
  }
  /// Emitted with each result of a target, and the target.
  sigc::signal<void(const SessionJob &, const std::string &,
                    const StatementAnswer &)> &
  signalServed() {
    return Served;
  }
  /// Emitted with each answer of a target that belongs to no statement.
  sigc::signal<void(const UnexpectedAnswer &)> &signalUnexpectedAnswer() {
    return AnswerUnexpected;
  }

private:
  /// Pause before a busy target is asked again: about the time of one statement
  /// at first, then longer each time up to about the time that its queue takes
  /// to drain. With a constant pause, the retries of many proxies fill the
  /// queue before new statements.
  static constexpr Millis BusyPause = Millis(10);
  static constexpr Millis LongestBusyPause = Millis(40);
  /// Timeout of statements in transactions whose route has been removed.
  static constexpr Millis TimeoutWithoutRoute = Millis(1000);

  static Millis busyPause(const SessionJob &Job) {
    return std::min(BusyPause * (std::int64_t(1) << std::min(Job.Tries, 4U)),
                    LongestBusyPause);
  }

  /// How often deadlines are checked: while statements wait or connections
  /// open, while statements run, and while sessions are idle. Each check wakes
  /// the process, which costs a small host about as much as a statement.
  static constexpr Millis WaitingInterval = Millis(20);
  static constexpr Millis RunningInterval = Millis(50);
  static constexpr Millis IdleInterval = Millis(250);

  /// A request to a group's leader for its log position, shared by all reads
  /// that wait for it.
  struct FloorProbe {
    TargetConnectionPtr Connection; ///< Null while none is in flight.
    Millis SentAt;
  };

  /// A request to a replica for its log position.
  struct ReplicaProbe {
    TargetConnectionPtr Connection; ///< Null while none is in flight.
    Millis SentAt;
    Millis NextAt;
  };

  /// Reads of a group that no replica can serve, because all lack the floor.
  struct FloorShortage {
    Millis Since = Millis(-1000000);  ///< First of the reads without a gap.
    Millis LastAt = Millis(-1000000); ///< Latest read.
    LogPosition Floor;                ///< Of that read.
    bool IsReported = false;
    Millis EndReportedAt = Millis(-1000000);
  };

  struct Group {
    /// By target. Only the timer erases pools, since all other functions may
    /// run while one further up the stack uses a pool.
    std::map<std::string, TargetPool> Pools;
    std::string Primary; ///< Empty if none is known.
    /// The primary found by this proxy, if it differs from the one that
    /// control reported last; else empty.
    std::string DiscoveredPrimary;
    std::uint64_t ControlPrimaryEpoch = 0; ///< Epoch reported by control.
    Millis SearchAgainAt;
    JobQueue Waiting;
    /// Bounded reads that wait for a recent floor.
    std::list<SessionJobPtr> AwaitingFloor;
    FloorProbe Probe;
    FloorShortage Shortage;
    std::map<std::string, ReplicaProbe> ReplicaProbes; ///< By target.
    PrimaryOutage Outage;
    WaitForecast PrimaryForecast;
    WaitForecast ReplicaForecast;
    LateForecast PrimaryLate;
    LateForecast ReplicaLate;
    bool IsDispatching = false;

    WaitForecast &forecast(const SessionJob &Job) {
      return Job.Destination == Placement::Primary ? PrimaryForecast
                                                   : ReplicaForecast;
    }
    LateForecast &lateForecast(const SessionJob &Job) {
      return Job.Destination == Placement::Primary ? PrimaryLate : ReplicaLate;
    }
    /// Number of waiting statements with the same placement and class.
    std::size_t waiting(const SessionJob &Job) const {
      const JobQueue::List &Jobs = Waiting.jobs();
      return static_cast<std::size_t>(std::count_if(
          Jobs.begin(), Jobs.end(), [&Job](const SessionJobPtr &Each) {
            return Each->Destination == Job.Destination &&
                   Each->Class == Job.Class;
          }));
    }
  };

  // Sessions and their statements.
  void admit(const CallerSessionPtr &Session);
  void waitForPlan(const CallerSessionPtr &Session);
  bool isPlanCurrent() const;
  void rejectSession(const CallerSessionPtr &Session,
                     const StatementRefusal &Refusal);
  /// Admits sessions that waited for a plan with their database and key.
  void admitPendingOpenings();
  void processPendingOpenings(Millis Now);
  // Sessions whose key is no longer in the plan.
  void revokeSessions();
  bool isRevoked(const CallerSession &Session) const;
  void endIfRevoked(const CallerSessionPtr &Session);
  /// True if its transaction has run for too long since the revocation.
  static bool exceedsRevocationGrace(const CallerSession &Session, Millis Now);
  void startNext(const CallerSessionPtr &Session);
  void start(const CallerSessionPtr &Session, const Statement &Stmt);
  void startUnlessStopping(const CallerSessionPtr &Session,
                           const Statement &Stmt);
  void answerLocally(const CallerSessionPtr &Session, const Statement &Stmt);
  void beginTransaction(const CallerSessionPtr &Session, const Statement &Stmt);
  void rollBack(const CallerSessionPtr &Session);
  void endTransaction(SessionTransaction Transaction);
  void startJob(const CallerSessionPtr &Session, const Statement &Stmt);
  bool resolveExecution(const CallerSessionPtr &Session, SessionJob &Job);
  void choosePlacement(const CallerSession &Session, SessionJob &Job) const;
  static bool wantsFloor(const CallerSession &Session, const SessionJob &Job);
  void reply(const CallerSessionPtr &Session, const StatementAnswer &Answer);
  void replyDone(const CallerSessionPtr &Session);
  void replyRefused(const CallerSessionPtr &Session, const Statement &Stmt,
                    StatementRefusal Refusal, const std::string &Grounds);
  void closeSession(const CallerSessionPtr &Session);

  // Assigning connections.
  void enqueue(const SessionJobPtr &Job);
  void enqueueOrWaitForFloor(const SessionJobPtr &Job);
  // Quotas of organisations.
  /// True if the statement's operation may begin now. Otherwise it waits or is
  /// refused.
  bool beginOperation(const CallerSessionPtr &Session,
                      const SessionJobPtr &Job);
  void beginPermitted(const SessionJobPtr &Job);
  void refuseOverQuota(const SessionJobPtr &Job, Millis RetryAfter);
  void stopWaitingForPermit(const SessionJobPtr &Job);
  // Asking the leader for a floor.
  void waitForFloor(const SessionJobPtr &Job);
  void askForFloor(const std::string &Name);
  void handleFloorAnswer(const std::string &Name,
                         const TargetConnectionPtr &Connection,
                         std::optional<LogPosition> Position);
  void endProbe(const std::string &Name);
  void expireProbe(const std::string &Name, Group &G, Millis Now);
  void dispatchWaiting(const std::string &Name);
  bool assign(Group &G, const SessionJobPtr &Job);
  /// True if one more statement would only wait inside the target.
  bool isFull(const TargetPool &Pool) const;
  /// Refuses a statement that can no longer be served in time.
  bool refuseIfTooLate(Group &G, const SessionJobPtr &Job);
  /// Usual time from sending a statement to its answer.
  Millis answerTime(const Group &G, const SessionJob &Job) const;
  // Late service.
  /// Returns the last time at which the statement can start and be answered
  /// before its timeout.
  Millis latestStartOf(const SessionJob &Job) const;
  /// Makes a statement late that is not queued. Returns false if it has to be
  /// refused.
  bool becomeLate(Group &G, SessionJob &Job);
  /// Decides whether a statement whose wait in time is over is tried again as
  /// late.
  bool tryAgainLate(const SessionJobPtr &Job, const StatementRefusal &Refusal,
                    Millis After);
  /// Refuses a statement for which no time is left, with a retry-after time.
  void refuseUntried(const SessionJobPtr &Job, StatementRefusal Refusal);
  /// Returns how many late statements can run together.
  std::size_t lateWidth(const Group &G, const SessionJob &Job) const;
  Millis lateRetryAfter(Group &G, const SessionJob &Job) const;
  /// Refuses a statement that would wait or has waited for too long.
  void refuseAfterWait(Group &G, const SessionJobPtr &Job,
                       const std::string &What, const std::string &Grounds);
  /// Informs the forecast of late statements if none waits with the placement
  /// of \p Job, in time or late.
  void recordIfFree(Group &G, const SessionJob &Job) const;
  /// Sets how long the next command may wait at a gateway.
  void setQueueTimes(SessionJob &Job) const;
  /// Ends the time for waiting of a statement whose transaction has opened.
  void handleWaitEnd(SessionJob &Job) const;
  /// Returns the time from sending to the answer that just arrived, limited if
  /// the statement may have waited late.
  Millis targetAnswerTime(const SessionJob &Job, TargetPool &From) const;
  void countIfLate(const SessionJob &Job);
  std::vector<TargetPool *> candidates(Group &G, const SessionJob &Job);
  std::vector<TargetPool *> candidates(Group &G, SessionJob &Job);
  // Choosing replicas by their progress.
  ReplicaReadiness readiness(const Group &G, const TargetPool &Pool,
                             const SessionJob &Job, Millis Now) const;
  void recordAssignment(Group &G, SessionJob &Job, const TargetPool &Pool,
                        Millis Now);
  void recordReplicaAnswer(SessionJob &Job, const std::string &Target,
                           const StatementAnswer &Answer);
  void recordShortage(Group &G, const SessionJob &Job, Millis Now);
  void probeReplicas();
  /// Probes the replicas of a group that are due; returns when to look again.
  Millis probeGroup(const std::string &Name, Group &G, Millis Now);
  bool probeReplica(const std::string &Name, TargetPool &Pool,
                    ReplicaProbe &Probe, Millis Now);
  void handleReplicaAnswer(const TargetConnectionPtr &Connection, Millis SentAt,
                           const StatementAnswer &Answer);
  static void excludeCongestedPrimary(const Group &G,
                                      std::vector<TargetPool *> &Candidates);
  std::vector<TargetPool *>
  cheapestFirst(const Group &G, const std::vector<TargetPool *> &Candidates,
                const SessionJob &Job, Millis Now) const;
  double cost(const Group &G, const TargetPool &Pool, const SessionJob &Job,
              Millis Now) const;
  /// True if this proxy may open another connection to the target.
  bool mayOpen(const TargetPool &Pool, const std::string &Organisation) const;
  /// Opens a pool's warm connections, once, ahead of the first statements.
  void warmUp(const std::string &GroupName, TargetPool &Pool, Millis Now);
  bool openIfAllowed(const std::string &GroupName, TargetPool &Pool,
                     const std::string &Organisation, Millis Waited);
  void openConnection(const std::string &GroupName, TargetPool &Pool,
                      const ConnectionPurpose &For);
  void handleOpened(const std::string &GroupName,
                    const TargetConnectionPtr &Connection);
  void handleClosed(const std::string &GroupName,
                    const TargetConnectionPtr &Connection,
                    const std::optional<StatementRefusal> &Refusal);
  void closeStaleConnections(const std::string &GroupName, TargetPool &Pool);
  void release(const TargetConnectionPtr &Connection);
  void discard(const TargetConnectionPtr &Connection);
  TargetPool *findPool(const TargetConnectionPtr &Connection);

  // Finding the leader.
  void searchPrimary(const std::string &Name, Group &G, Millis Now);
  void handleSearchAnswer(const std::string &Name,
                          const TargetConnectionPtr &Connection, Millis SentAt,
                          std::optional<LogPosition> Position);
  /// Asks whether a target leads, by opening a transaction and rolling it back.
  /// \p Handler gets its position, or nothing if it did not prove its lead.
  void probeLead(const TargetConnectionPtr &Connection, Millis MaxQueueTime,
                 std::function<void(std::optional<LogPosition>)> Handler);
  static void adoptPrimary(const std::string &Name, Group &G,
                           const TargetDirectory &Known);

  // Running.
  void run(const SessionJobPtr &Job, const TargetConnectionPtr &Connection);
  void openTransaction(const SessionJobPtr &Job, bool AtPrimary);
  void openAndRun(const SessionJobPtr &Job, bool AtPrimary);
  TargetConnection::Step makeOpeningStep(const SessionJobPtr &Job,
                                         bool AtPrimary);
  void runStatement(const SessionJobPtr &Job, bool RollBackAfter);
  /// Sets how long a statement may wait at most.
  static void setWaitDeadlines(SessionJob &Job);
  /// When a statement that still has no connection is refused.
  Millis effectiveQueueDeadline(const SessionJob &Job) const;
  /// How long a statement may wait for one of the shared connections.
  Millis remainingQueueTime(const SessionJob &Job) const;
  TargetCommand makeCommand(const SessionJobPtr &Job,
                            std::vector<TargetConnection::Step> &Steps);
  /// Rolls back the open transaction of a connection and releases the
  /// connection with the answer.
  TargetConnection::Step
  makeRollbackStep(const TargetConnectionPtr &Connection);
  void handleTransactionOpened(const SessionJobPtr &Job, bool AtPrimary,
                               const StatementAnswer &Answer);
  void handlePrimaryOpened(const SessionJobPtr &Job,
                           const StatementAnswer &Answer);
  bool hasLostLog(const SessionJobPtr &Job,
                  const StatementAnswer &Answer) const;
  void handleLostLog(const SessionJobPtr &Job);
  void handleRefusedOpening(const SessionJobPtr &Job,
                            const StatementAnswer &Answer);
  void retryOpening(const SessionJobPtr &Job,
                    const TargetConnectionPtr &Connection,
                    const StatementRefusal &Refusal);
  void handleAnswer(const SessionJobPtr &Job, const StatementAnswer &Answer);
  void handleAnswerInTransaction(const SessionJobPtr &Job,
                                 const CallerSessionPtr &Session,
                                 const StatementAnswer &Answer);
  void handleAnswerOutsideTransaction(const SessionJobPtr &Job,
                                      const CallerSessionPtr &Session,
                                      const StatementAnswer &Answer);
  /// No gateway reaches the target: backs off from it, and tries again.
  void handleUnreachableTarget(const SessionJobPtr &Job,
                               const TargetConnectionPtr &Connection,
                               const StatementRefusal &Refusal);
  void handleLostConnection(const SessionJobPtr &Job,
                            const std::string &Grounds);
  /// The gateway has not answered keepalives. Retries a read outside a
  /// transaction elsewhere; all other statements wait for their answers.
  void handleKeepaliveTimeout(const TargetConnectionPtr &Connection);
  void tryAgain(const SessionJobPtr &Job, const StatementRefusal &Refusal,
                Millis After);
  void finishRefused(const SessionJobPtr &Job, StatementRefusal Refusal,
                     const std::string &Grounds);
  void recordAnswer(const SessionJobPtr &Job, const StatementAnswer &Answer,
                    bool ProvesLead);

  // Reads refused or served late because every replica lags.
  void recordLag(SessionJob &Job) const;
  void recordRefusedRead(const SessionJob &Job, const StatementRefusal &Why);
  void recordServedRead(const SessionJob &Job, const std::string &Target);
  bool isReadBelowPrimary(const SessionJob &Job) const;
  /// True if the group has replicas, and each one was skipped for its lag or
  /// refused the read for it.
  bool lagsEverywhere(const SessionJob &Job) const;

  // Time.
  void tick();
  void expireWaiting(Group &G, Millis Now);
  void checkAnswerTimeout(const SessionJobPtr &Job, Millis Now);
  void reportUnresponsive(const TargetConnectionPtr &Connection, Millis Now);
  void checkUnresponsive(const SessionJobPtr &Job, Millis Now);
  Millis answerTimeout(const SessionJob &Job, bool IsOutsideTransaction) const;
  void endIdleTransactions(Millis Now);

  // A planned stop.
  /// Ends a statement's time limits before the process ends.
  void limitToStop(SessionJob &Job) const;
  /// True if a statement that starts now might not be answered before this
  /// process ends.
  bool refusesNewWork(const std::string &Database) const;
  bool refusesTransactions(const std::string &Database) const;
  static StatementRefusal stopRefusal();
  /// Refuses a statement as not run, and ends its transaction. The session ends
  /// once it is idle.
  void refuseWhileStopping(const CallerSessionPtr &Session,
                           const Statement &Stmt);
  void closeIfEnding(const CallerSessionPtr &Session);
  static bool isBetweenStatements(const CallerSession &Session);
  void closeQuietSessions(Millis Now);
  std::size_t sessionsThatMayRemain(Millis Now) const;

  Dependencies Deps;
  Locality OwnLocality;
  PlanIndex Plan;
  OrganisationTable Organisations; ///< Of the plan.
  Millis FirstPlanAt;              ///< When the first plan was adopted.
  std::map<std::string, Group> Groups;
  std::map<std::uint64_t, CallerSessionPtr> Sessions;
  std::set<SessionJobPtr> Running;
  std::uint64_t NextSession = 1;
  std::size_t Proxies = 8;
  CoalescingTimer Ticker;
  CoalescingTimer ReplicaTimer;
  std::optional<StopSchedule> Stop;     ///< Set once a planned stop has begun.
  std::uint64_t FirstSessionOfStop = 0; ///< First opened during the stop.
  std::size_t SessionsAtStop = 0;
  /// Answer times of all targets together: one proxy among hundreds gets too
  /// few answers from each target to know its usual answer time.
  StatementWindow AnswerTimes;
  PipelineCounts Counts;
  sigc::signal<void(const TargetFailure &)> TargetFailed;
  sigc::signal<void(const std::string &)> PrimaryAnswered;
  sigc::signal<void(const std::string &, bool)> ReplicasBehind;
  sigc::signal<void(const SessionJob &, const StatementRefusal &)> Retried;
  sigc::signal<void(const SessionJob &, const std::string &,
                    const StatementAnswer &)>
      Served;
  sigc::signal<void(const UnexpectedAnswer &)> AnswerUnexpected;
  sigc::signal<void(const CallerSession &, const Statement &,
                    const StatementRefusal &, const std::string &)>
      RefusedSignal;
  sigc::signal<void(const std::string &, bool)> ReadPressure;
};

} // namespace corianderdyke

#endif
