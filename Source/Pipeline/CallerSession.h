/// \file
/// The state of one caller's session at its proxy.

#ifndef CORIANDERDYKE_PIPELINE_CALLERSESSION_H
#define CORIANDERDYKE_PIPELINE_CALLERSESSION_H

#include "Admission/ServiceClass.h"
#include "Loop/Scheduler.h"
#include "Pipeline/TargetConnection.h"
#include "Plan/RoutePlan.h"

namespace corianderdyke {

struct CallerSession;

/// Where a statement may run.
enum class Placement : std::uint8_t {
  Primary,  ///< At a target that proves its lead.
  AnyFresh, ///< At any target whose log holds the floor.
};

/// One statement on its way through the proxy.
struct SessionJob {
  enum class Stage : std::uint8_t { Waiting, Running, Done };

  Statement Stmt;
  std::weak_ptr<CallerSession> Session;
  RoutePolicy Route;
  Millis ArrivedAt;  ///< When it became the current statement.
  Millis DeadlineAt; ///< Of this statement.
  /// Start of its wait for a connection: its arrival, or the end of an earlier
  /// try whose answer was lost, or of the wait for a floor or a permit.
  Millis WaitingSince;
  /// Deadline for the wait for a connection and for retries.
  Millis QueueDeadline;
  /// The same deadline while no target leads: nothing else can serve the
  /// statement then.
  Millis RetryDeadline;
  Stage CurrentStage = Stage::Waiting;
  /// While it waits in this process.
  ServiceClass Class = ServiceClass::InTime;
  Placement Destination = Placement::Primary;
  std::optional<LogPosition> Floor;
  /// The floor is the last commit of the session, which even a healthy replica
  /// may not have yet.
  bool IsFloorOwnCommit = false;
  bool HaveAllLagged = false; ///< All replicas, when it was last queued.
  std::set<std::string> ExcludedTargets; ///< Targets that refused it.
  std::set<std::string> LaggingTargets;  ///< Those that lacked its floor.
  unsigned LaggingRefusals = 0;
  /// All replicas that could serve it lacked the floor when a target was last
  /// looked for.
  bool LacksReplica = false;
  bool IsReplicaTrial = false;   ///< Sent to a replica that may lack the floor.
  bool HasAskedForFloor = false; ///< A floor was requested; done at most once.
  unsigned Tries = 0;
  /// True once the caller's statement was sent in the current try.
  bool IsSent = false;
  Millis SentAt;
  /// How long the sent command may wait for a shared connection before it runs.
  Millis MaxQueueTime;
  /// How long it may wait beyond that, as a late statement.
  Millis MaxLateTime;
  Millis QueuedAt; ///< When it began to wait for a connection.
  Millis RetryAt;  ///< Not retried before then after a refusal.
  TargetConnectionPtr Connection;
  bool Writes = false;
  std::uint64_t PermitRequestId = 0; ///< Of its operation; 0: none.

  ServiceRank rank() const { return {Class, Route.Priority}; }
};

using SessionJobPtr = std::shared_ptr<SessionJob>;

struct SessionTransaction {
  bool IsReadOnly = false;
  Millis StartedAt;
  Millis LastUsed;
  TargetConnectionPtr Connection; ///< From its first statement on.
  bool AtPrimary = false;
  bool HasWritten = false;
  bool IsCountedInQuota = false; ///< Its organisation's quota counts it.
  bool HasSetValues = false;
};

struct CallerSession {
  std::uint64_t Id = 0;
  std::shared_ptr<CallerLink> Link;
  std::string Database;
  std::string KeyDigest;
  /// The organisation that it runs statements for. It never changes: if the
  /// plan gives the key to another organisation, the session ends.
  std::string Organisation;
  /// When a plan stopped assigning its key to that organisation.
  std::optional<Millis> RevokedAt;
  SessionValues Values;
  std::map<std::string, PreparedStatement> Prepared;
  /// Set while the session waits for a plan that contains its key: the deadline
  /// of that wait.
  std::optional<Millis> AdmissionDeadline;
  SessionPhase Phase = SessionPhase::Idle;
  /// The proxy has ended the transaction, and the caller has not been informed
  /// yet.
  bool IsAbortUnreported = false;
  std::optional<SessionTransaction> Transaction;
  /// The session's last commit by group, which its reads must not miss.
  std::map<std::string, LogPosition> LastCommit;
  SessionJobPtr Current;
  std::deque<Statement> PendingStatements; ///< Behind the current one.
  bool IsStarting = false; ///< Its statements are being started.
  Millis QuietSince;       ///< Last answer, or the opening.
  bool IsEnding = false;   ///< To be closed when idle: its proxy stops.
  bool IsClosed = false;   ///< The session has ended.
};

using CallerSessionPtr = std::shared_ptr<CallerSession>;

} // namespace corianderdyke

#endif
