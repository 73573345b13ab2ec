/// \file
/// The connections of this proxy to one target, and what it knows of it.

#ifndef CORIANDERDYKE_PIPELINE_TARGETPOOL_H
#define CORIANDERDYKE_PIPELINE_TARGETPOOL_H

#include "Directory/TargetDirectory.h"
#include "Pipeline/ReplicaLag.h"
#include "Pipeline/StatementWindow.h"
#include "Pipeline/TargetConnection.h"

#include <algorithm>

namespace corianderdyke {

/// A target that couldn't be used, as seen here.
struct TargetFailure {
  std::string Id;
  bool IsRefused = false; ///< Refused or reset; else silent.

  auto operator<=>(const TargetFailure &) const = default;
};

/// What connections to targets cost them, for metrics: each that is begun
/// takes a slot for about as long as a statement does.
struct OpeningCounts {
  std::uint64_t Begun = 0;
  std::uint64_t RefusedAtLimit = 0; ///< The target had as many as it takes.

  auto operator<=>(const OpeningCounts &) const = default;
};

inline bool isAtLimit(const std::optional<StatementRefusal> &Why) {
  return Why && Why->Code == RefusalCode::ConnectionLimit;
}

/// For whom a connection is opened.
struct ConnectionPurpose {
  std::string Organisation = {};
  bool IsInternal = false;
};

/// Keeps few connections warm. The target counts connections of all proxies
/// together, and a new one costs it a slot, so each proxy keeps its share
/// and goes beyond it only while the target takes more.
class TargetPool {
public:
  struct OpenHandlers {
    std::function<void(const TargetConnectionPtr &)> OnOpen;
    std::function<void(const TargetConnectionPtr &,
                       const std::optional<StatementRefusal> &)>
        OnClose;
    std::function<void(const TargetConnectionPtr &)> OnKeepaliveTimeout =
        nullptr;
  };

  TargetPool(TargetRecord Of, std::size_t Share, Millis Now)
      : Record(std::move(Of)), Share(Share), Observed(Now) {}

  const TargetRecord &record() const { return Record; }
  /// True where \p New is a later life of the target: connections of the
  /// earlier one are dead, whoever holds them.
  bool isNewIncarnation(const TargetRecord &New) const {
    return Record.Incarnation > 0 && New.Incarnation > Record.Incarnation;
  }
  /// Takes over what the target says of itself. With a later life all that
  /// was learned of the earlier one is forgotten.
  void update(const TargetRecord &New, Millis Now);
  void setShare(std::size_t New) { Share = New; }
  /// Connections belong to organisations: none is opened ahead of need.
  void setPerOrganisation(bool New) { IsPerOrganisation = New; }
  /// All shares together are in use, so that nobody leaves any to others: none
  /// is passed.
  void limitToShare(bool New) { Burst = New ? 0 : UsualBurst; }
  /// The target has all the work that it may get: what an opening takes of it
  /// is dearer than an idle connection.
  void setSaturated(bool New) { IsSaturated = New; }
  /// Others hold the target's connections now: what is idle here is closed.
  void setRetiring(bool New) { IsRetiring = New; }
  /// From now on connections are links to those that all proxies share, or
  /// no longer; the ones of the other kind are closed as they come free.
  void setShared(bool New, Millis Now);
  bool isShared() const { return IsShared; }

  /// An idle connection of an organisation, one that carries these values
  /// where there is one. A connection never changes its organisation.
  TargetConnectionPtr idle(const std::string &Organisation,
                           const SessionValues &Wanted) const;
  /// An idle connection for a question of the process's own.
  TargetConnectionPtr idleForInternalUse() const;
  /// Connections that an organisation has or will have, and those of them
  /// that are being opened.
  std::size_t size(const std::string &Organisation) const;
  std::size_t opening(const std::string &Organisation) const;
  /// True where there's room for another one, also where an idle connection
  /// of another organisation would have to go.
  bool mayOpen(const std::string &Organisation, Millis Now) const;
  /// Begins another connection, in the place of the one that has been idle
  /// for longest where no other is free. The handlers run later, on the loop,
  /// and not once the connection was closed from here.
  void open(TargetConnector &Connector, const ConnectionPurpose &For,
            Millis Now, OpenHandlers Handlers);
  /// A connection has ended by itself; true where that's a sign that the
  /// target can't be used. One that ends after it was open is none: whoever
  /// needs the next learns in a moment whether there is one.
  bool handleClosed(const TargetConnectionPtr &Gone,
                    const std::optional<StatementRefusal> &Why, Millis Now);
  void remove(const TargetConnectionPtr &Gone);
  /// Closes all of them; whoever waits on one is still to be told.
  std::vector<TargetConnectionPtr> closeAll();
  std::size_t opening() const {
    return inStage(TargetConnection::Stage::Opening);
  }
  std::size_t busy() const { return inStage(TargetConnection::Stage::Busy); }
  std::size_t size() const { return All.size(); }
  const std::vector<TargetConnectionPtr> &connections() const { return All; }

  /// The target took no further connection: stay below for a while.
  void recordConnectionRefused(Millis Now);
  /// It can't be reached: try later, later each time.
  void recordUnreachable(Millis Now);
  void recordReachable(Millis Now);
  Millis lastAnswer() const { return Observed.LastAnswer; }
  /// False once a leaving target must get nothing new.
  bool acceptsNewWork(Millis Now) const {
    return !Record.IsGone && (!Record.IsLeaving ||
                              Now - Observed.LeavingSince < LeavingGracePeriod);
  }
  bool isBackingOff(Millis Now) const { return Now < Observed.BackoffUntil; }
  /// True while fewer connections stand than are kept warm.
  bool needsWarmConnections() const {
    return !IsPerOrganisation && !Record.IsGone &&
           All.size() < minWarmConnections();
  }
  /// True until it had as many connections as are kept warm, so that those
  /// which a target ends later aren't opened again without need.
  bool updateNeedsWarmup() {
    Observed.IsWarmed = Observed.IsWarmed || IsPerOrganisation ||
                        All.size() >= minWarmConnections();
    return !Observed.IsWarmed;
  }
  /// Lets the limit grow again, and closes what stands idle beyond the share.
  void maintain(Millis Now);

  /// Statements that may be under way here at a time, and what they take.
  StatementWindow &window() { return Observed.Window; }
  const StatementWindow &window() const { return Observed.Window; }
  /// What its log holds, as far as answers showed.
  ReplicaLag &lag() { return Observed.Lag; }
  const ReplicaLag &lag() const { return Observed.Lag; }
  /// It said that it doesn't lead.
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
  std::size_t inStage(TargetConnection::Stage Which) const {
    return count([Which](const TargetConnection &Each) {
      return Each.stage() == Which;
    });
  }
  std::size_t connectionLimit() const;
  /// The connection that was idle for longest and may go for another
  /// organisation's; null where there is none.
  TargetConnectionPtr replaceable(const std::string &Organisation) const;

  /// A leaving target is promised no new work after some seconds; this is
  /// well below that, and longer than a planned change of primary takes.
  static constexpr Millis LeavingGracePeriod = Millis(4000);
  /// Links that one proxy has at most; they cost the target nothing, so this
  /// only bounds the memory.
  static constexpr std::size_t MaxLinks = 256;
  /// Above the share by this many, while nobody else needs them.
  static constexpr std::size_t UsualBurst = 2;
  /// Part of the share that is kept warm. After a loss of power the target
  /// counts the former connections for seconds; there must be room for new
  /// ones beside them.
  static constexpr std::size_t WarmDivisor = 2;
  /// Idle connections beyond the warm ones are closed after this long: longer
  /// than most gaps within a burst. Four times as long leaves so many open at
  /// a loss of power that callers find none for two seconds after it.
  static constexpr Millis IdleTimeout = Millis(250);
  /// The same where connections belong to organisations and the target
  /// has none of its slots to spare.
  static constexpr Millis SaturatedIdleTimeout = Millis(4000);
  /// After a refused connection the next is tried this much later.
  static constexpr Millis RefusedPause = Millis(50);
  /// The limit is raised by one this often after a refusal.
  static constexpr Millis LimitRecovery = Millis(1000);
  static constexpr Millis LimitRecoveryWhereDivided = Millis(250);
  static constexpr Millis InitialBackoff = Millis(50);
  static constexpr Millis MaxBackoff = Millis(800);
  /// A target that doesn't lead is asked again after this long, in case the
  /// word of its promotion is late.
  static constexpr Millis PrimaryRecheckInterval = Millis(60);

  /// What was learned of one life of the target.
  struct Observations {
    explicit Observations(Millis Now) : LeavingSince(Now), LimitRaisedAt(Now) {}

    bool IsWarmed = false;
    Millis LeavingSince;              ///< Where the record says that it leaves.
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
  std::size_t Burst = UsualBurst;
  std::vector<TargetConnectionPtr> All;
  Observations Observed;
};

} // namespace corianderdyke

#endif
