/// \file
/// What one caller's session holds at its proxy.

#ifndef CORIANDERDYKE_PIPELINE_CALLERSESSION_H
#define CORIANDERDYKE_PIPELINE_CALLERSESSION_H

#include "Loop/Scheduler.h"
#include "Pipeline/TargetConnection.h"
#include "Plan/RoutePlan.h"

namespace corianderdyke {

struct CallerSession;

/// Where a statement may run.
enum class Placement : std::uint8_t {
  Primary,  ///< At a target that proves its lead.
  AnyFresh, ///< Wherever the log holds the floor.
};

/// One statement on its way through the proxy.
struct SessionJob {
  enum class Stage : std::uint8_t { Waiting, Running, Done };

  Statement Stmt;
  std::weak_ptr<CallerSession> Session;
  RoutePolicy Route;
  Millis ArrivedAt;  ///< Of its first byte, or of its transaction's.
  Millis DeadlineAt; ///< Of this statement.
  /// Its wait for a connection counts from here: its arrival, or the moment at
  /// which the answer to an earlier try, or the question for its floor, ended.
  Millis WaitingSince;
  /// Until then it may wait for a connection or be tried again.
  Millis QueueDeadline;
  /// The same where nobody leads: nothing else can serve it.
  Millis RetryDeadline;
  Stage CurrentStage = Stage::Waiting;
  Placement Destination = Placement::Primary;
  std::optional<LogPosition> Floor;
  /// The floor is the session's own commit, which even a replica that is well
  /// may not have yet.
  bool IsFloorOwnCommit = false;
  std::set<std::string> ExcludedTargets; ///< Targets that refused it.
  unsigned LaggingRefusals = 0;
  bool HasAskedForFloor = false; ///< Once a try is enough.
  unsigned Tries = 0;
  /// True once the caller's own text went out on the present try.
  bool IsSent = false;
  Millis SentAt;
  /// What went out may wait this long for a shared connection before it runs.
  Millis MaxQueueTime;
  Millis QueuedAt; ///< When it began to wait for a connection.
  Millis RetryAt;  ///< Waits until then after a refusal.
  TargetConnectionPtr Connection;
  bool Writes = false;
  std::uint64_t PermitRequestId = 0; ///< Asked for its operation; 0: none.
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
  /// Whose statements it runs. It never changes: where the plan gives the key
  /// to another organisation, the session ends.
  std::string Organisation;
  /// Since when the plan doesn't let it run for that organisation any more.
  std::optional<Millis> RevokedAt;
  SessionValues Values;
  std::map<std::string, PreparedStatement> Prepared;
  /// Set while it waits for a plan that knows it: until then at most.
  std::optional<Millis> AdmissionDeadline;
  SessionPhase Phase = SessionPhase::Idle;
  /// The transaction was ended here, and its caller hasn't been told yet.
  bool IsAbortUnreported = false;
  std::optional<SessionTransaction> Transaction;
  /// The session's own last commit by group: its reads must not miss it.
  std::map<std::string, LogPosition> LastCommit;
  SessionJobPtr Current;
  std::deque<Statement> PendingStatements; ///< Behind the current one.
  bool IsStarting = false; ///< Its statements are being started.
  bool IsClosed = false;   ///< The caller has left.
};

using CallerSessionPtr = std::shared_ptr<CallerSession>;

} // namespace corianderdyke

#endif
