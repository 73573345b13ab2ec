/// \file
/// The connections of this proxy to one target, and its observations of the
/// target.

#ifndef CORIANDERDYKE_PIPELINE_TARGETPOOL_H
#define CORIANDERDYKE_PIPELINE_TARGETPOOL_H

#include "Directory/TargetDirectory.h"
#include "Pipeline/ReplicaLag.h"
#include "Pipeline/StatementWindow.h"
#include "Pipeline/TargetConnection.h"

#include <algorithm>

namespace corianderdyke {

/// A target that this proxy could not use.
struct TargetFailure {
  std::string Id;
  bool IsRefused = false; ///< Refused or reset; else no response.

  auto operator<=>(const TargetFailure &) const = default;
};

/// Counts openings of connections to targets, for metrics: each one takes a
/// slot of the target for about as long as a statement does.
struct OpeningCounts {
  std::uint64_t Begun = 0;
  std::uint64_t RefusedAtLimit = 0; ///< The target was at its connection limit.

  auto operator<=>(const OpeningCounts &) const = default;
};

inline bool isAtLimit(const std::optional<StatementRefusal> &Refusal) {
  return Refusal && Refusal->Code == RefusalCode::ConnectionLimit;
}

/// Why a connection is opened.
struct ConnectionPurpose {
  std::string Organisation = {};
  bool IsInternal = false;
};

/// Keeps few connections warm. The target limits the connections of all proxies
/// together, and opening one costs it a slot, so each proxy keeps its share and
/// exceeds it only while the target accepts more.
class TargetPool {
public:
  struct OpenHandlers {
    std::function<void(const TargetConnectionPtr &)> OnOpen;
    std::function<void(const TargetConnectionPtr &,
                       const std::optional<StatementRefusal> &)>
        OnClose;
    std::function<void(const TargetConnectionPtr &)> OnKeepaliveTimeout =
        nullptr;
    std::function<void(const UnexpectedAnswer &)> OnUnexpectedAnswer = nullptr;
  };

  TargetPool(TargetRecord Initial, std::size_t Share, Millis Now)
      : Record(std::move(Initial)), Share(Share), Observed(Now) {}

  const TargetRecord &record() const { return Record; }
  /// True if \p New is a later incarnation of the target: connections to the
  /// earlier one are dead.
  bool isNewIncarnation(const TargetRecord &New) const {
    return Record.Incarnation > 0 && New.Incarnation > Record.Incarnation;
  }
  /// Applies a new record of the target. A later incarnation clears all
  /// observations of the earlier one.
  void update(const TargetRecord &New, Millis Now);
  void setShare(std::size_t New) { Share = New; }
  /// Sets whether connections belong to organisations; none is then opened
  /// ahead of need.
  void setPerOrganisation(bool New) { IsPerOrganisation = New; }
  /// Sets whether the share is a hard limit: all proxies together use all
  /// shares, so that none is left over to exceed it.
  void limitToShare(bool New) { Burst = New ? 0 : DefaultBurst; }
  /// Sets whether the target has all the work that it may get: opening a
  /// connection then costs it more than an idle connection does.
  void setSaturated(bool New) { IsSaturated = New; }
  /// Sets whether other processes hold the target's connections now: idle
  /// connections here are closed.
  void setRetiring(bool New) { IsRetiring = New; }
  /// Sets whether connections are links to those that all proxies share.
  /// Connections of the other kind are closed when they become idle.
  void setShared(bool New, Millis Now);
  bool isShared() const { return IsShared; }

  /// Returns an idle connection of \p Organisation, preferably one with the
  /// values \p Wanted, or null. A connection never changes its organisation.
  TargetConnectionPtr idle(const std::string &Organisation,
                           const SessionValues &Wanted) const;
  /// Returns an idle connection for a request of the process itself, or null.
  TargetConnectionPtr idleForInternalUse() const;
  /// Number of connections of \p Organisation, including those that are being
  /// opened, and number of the latter alone.
  std::size_t size(const std::string &Organisation) const;
  std::size_t opening(const std::string &Organisation) const;
  /// True if another connection may be opened, also if an idle connection of
  /// another organisation must be closed for it.
  bool mayOpen(const std::string &Organisation, Millis Now) const;
  /// Opens another connection. At the limit it replaces the one that has been
  /// idle longest. The handlers run later, on the loop, and not after this
  /// object has closed the connection.
  void open(TargetConnector &Connector, const ConnectionPurpose &For,
            Millis Now, OpenHandlers Handlers);
  /// Handles a connection that was closed by the other side or by an error.
  /// Returns true if that indicates that the target cannot be used. The end of
  /// an established connection does not: the next attempt to connect shows
  /// whether the target is available.
  bool handleClosed(const TargetConnectionPtr &Connection,
                    const std::optional<StatementRefusal> &Refusal, Millis Now);
  void remove(const TargetConnectionPtr &Connection);
  /// Closes the present connections and returns them; the caller must fail the
  /// statements that wait on them. Connections opened meanwhile stay open.
  std::vector<TargetConnectionPtr> closeAll();
  std::size_t opening() const {
    return inStage(TargetConnection::Stage::Opening);
  }
  std::size_t busy() const { return inStage(TargetConnection::Stage::Busy); }
  std::size_t size() const { return All.size(); }
  /// True if the target has gone and no connection to it is left.
  bool hasEnded() const { return Record.IsGone && All.empty(); }
  const std::vector<TargetConnectionPtr> &connections() const { return All; }

  /// The target refused a connection at its limit: lowers the limit here for a
  /// while.
  void recordConnectionRefused(Millis Now);
  /// The target cannot be reached: retries with exponential backoff.
  void recordUnreachable(Millis Now);
  void recordReachable(Millis Now);
  Millis lastAnswer() const { return Observed.LastAnswer; }
  /// False once a leaving target must get no new work.
  bool acceptsNewWork(Millis Now) const {
    return !Record.IsGone && (!Record.IsLeaving ||
                              Now - Observed.LeavingSince < LeavingGracePeriod);
  }
  bool isBackingOff(Millis Now) const { return Now < Observed.BackoffUntil; }
  /// True while fewer connections exist than are kept warm.
  bool needsWarmConnections() const {
    return !IsPerOrganisation && !Record.IsGone &&
           All.size() < minWarmConnections();
  }
  /// Returns true until the pool has once had as many connections as are kept
  /// warm, so that connections which a target closes later are not reopened
  /// without need.
  bool updateNeedsWarmup() {
    Observed.IsWarmed = Observed.IsWarmed || IsPerOrganisation ||
                        All.size() >= minWarmConnections();
    return !Observed.IsWarmed;
  }
  /// Raises the limit again after a refusal, and closes connections that are
  /// worn or have been idle too long beyond the warm ones.
  void maintain(Millis Now);

  /// Limit for statements in flight at the target, and their answer times.
  StatementWindow &window() { return Observed.Window; }
  const StatementWindow &window() const { return Observed.Window; }
  /// Position of the target's log, as observed in answers.
  ReplicaLag &lag() { return Observed.Lag; }
  const ReplicaLag &lag() const { return Observed.Lag; }
  /// The target answered that it does not lead.
  void recordNotPrimary(Millis Now) {
    Observed.NotPrimaryUntil = Now + PrimaryRecheckInterval;
  }
  bool mayBePrimary(Millis Now) const {
    return Now >= Observed.NotPrimaryUntil;
  }

private:
  std::size_t minWarmConnections() const {
    return IsRetiring ? 0 : std::max<std::size_t>(1, Share / WarmDivisor);
  }
  template <class Predicate> std::size_t count(Predicate Is) const {
    return static_cast<std::size_t>(std::count_if(
        All.begin(), All.end(), [&Is](const auto &Each) { return Is(*Each); }));
  }
  std::size_t inStage(TargetConnection::Stage Wanted) const {
    return count([Wanted](const TargetConnection &Each) {
      return Each.stage() == Wanted;
    });
  }
  std::size_t connectionLimit() const;
  /// Returns the connection that has been idle longest and may be closed for
  /// another organisation's; null if there is none.
  TargetConnectionPtr replaceable(const std::string &Organisation) const;

  /// A leaving target is guaranteed no new work after some seconds; this is
  /// well below that, and longer than a planned change of primary takes.
  static constexpr Millis LeavingGracePeriod = Millis(4000);
  /// Limit for the links of one proxy; they cost the target nothing, so this
  /// only bounds memory.
  static constexpr std::size_t MaxLinks = 256;
  /// How far a proxy may exceed its share while other proxies do not use
  /// theirs.
  static constexpr std::size_t DefaultBurst = 2;
  /// Divisor of the share for the connections that are kept warm. After a power
  /// failure the target counts the former connections for seconds; new ones
  /// must fit beside them.
  static constexpr std::size_t WarmDivisor = 2;
  /// Idle connections beyond the warm ones are closed after this long: longer
  /// than most gaps within a burst. With four times as long, so many are open
  /// at a power failure that callers get none for two seconds after it.
  static constexpr Millis IdleTimeout = Millis(250);
  /// The same if connections belong to organisations and the target has no
  /// free slots.
  static constexpr Millis SaturatedIdleTimeout = Millis(4000);
  /// Pause after a refused connection before the next is opened.
  static constexpr Millis RefusedPause = Millis(50);
  /// Interval at which the limit is raised by one after a refusal.
  static constexpr Millis LimitRecovery = Millis(1000);
  static constexpr Millis LimitRecoveryPerOrganisation = Millis(250);
  static constexpr Millis InitialBackoff = Millis(50);
  static constexpr Millis MaxBackoff = Millis(800);
  /// A target that does not lead is tried again after this long, in case the
  /// message about its promotion is late.
  static constexpr Millis PrimaryRecheckInterval = Millis(60);

  /// Observations of one incarnation of the target.
  struct Observations {
    explicit Observations(Millis Now) : LeavingSince(Now), LimitRaisedAt(Now) {}

    bool IsWarmed = false;
    Millis LeavingSince;              ///< Valid if the record is leaving.
    std::optional<std::size_t> Limit; ///< Learned from a refusal.
    Millis LimitRaisedAt;
    Millis NextOpenAt; ///< After a refused connection.
    Millis BackoffUntil;
    Millis LastBackoff;
    Millis LastAnswer = Millis(-1000000);
    Millis NotPrimaryUntil;
    StatementWindow Window;
    ReplicaLag Lag;
  };

  TargetRecord Record;
  std::size_t Share;
  bool IsShared = false;
  bool IsPerOrganisation = false;
  bool IsRetiring = false;
  bool IsSaturated = false;
  std::size_t Burst = DefaultBurst;
  std::vector<TargetConnectionPtr> All;
  Observations Observed;
};

} // namespace corianderdyke

#endif
