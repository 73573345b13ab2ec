/// \file
/// The connections of this proxy to one target, and what it knows of it.

#ifndef CORIANDERDYKE_PIPELINE_TARGETPOOL_H
#define CORIANDERDYKE_PIPELINE_TARGETPOOL_H

#include "Directory/TargetDirectory.h"
#include "Pipeline/TargetConnection.h"

#include <algorithm>

namespace corianderdyke {

/// A target that couldn't be used, as seen here.
struct TargetTrouble {
  std::string Id;
  bool IsRefused = false; ///< Refused or reset; else silent.

  auto operator<=>(const TargetTrouble &) const = default;
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
  };

  TargetPool(TargetRecord Of, std::size_t Share, Millis Now)
      : Record(std::move(Of)), Share(Share), LeavingSince(Now),
        LimitRaisedAt(Now) {}

  const TargetRecord &record() const { return Record; }
  void update(const TargetRecord &New, Millis Now);
  void setShare(std::size_t New) { Share = New; }
  /// From now on connections are links to those that all proxies share, or
  /// no longer; the ones of the other kind are closed as they come free.
  void setShared(bool New, Millis Now);
  bool isShared() const { return IsShared; }

  /// An idle connection, one that carries these values where there is one.
  TargetConnectionPtr idle(const SessionValues &Wanted) const;
  bool mayOpen(Millis Now) const;
  /// Begins another connection; the handlers run later, on the loop, and not
  /// once the connection was closed from here.
  void open(TargetConnector &Connector, Millis Now, OpenHandlers Handlers);
  /// A connection has ended by itself; true where that's a sign that the
  /// target can't be used. One that ends after it was open is none: whoever
  /// needs the next learns in a moment whether there is one.
  bool noteClosed(const TargetConnectionPtr &Gone,
                  const std::optional<StatementRefusal> &Why, Millis Now);
  void remove(const TargetConnectionPtr &Gone);
  std::size_t opening() const {
    return count(TargetConnection::Stage::Opening);
  }
  std::size_t busy() const { return count(TargetConnection::Stage::Busy); }
  std::size_t size() const { return All.size(); }
  const std::vector<TargetConnectionPtr> &connections() const { return All; }

  /// The target took no further connection: stay below for a while.
  void refusedConnection(Millis Now);
  /// It can't be reached: try later, later each time.
  void unreachable(Millis Now);
  void reached(Millis Now);
  Millis lastAnswer() const { return LastAnswer; }
  /// False once a leaving target must get nothing new.
  bool mayTakeWork(Millis Now) const {
    return !Record.IsGone &&
           (!Record.IsLeaving || Now - LeavingSince < LeavingUse);
  }
  bool isAvoided(Millis Now) const { return Now < AvoidUntil; }
  /// True while fewer connections stand than are kept warm.
  bool wantsWarm() const { return !Record.IsGone && All.size() < kept(); }
  /// True until it had as many connections as are kept warm, so that those
  /// which a target ends later aren't opened again without need.
  bool wantsFirstConnections() {
    IsWarmed = IsWarmed || All.size() >= kept();
    return !IsWarmed;
  }
  /// Lets the limit grow again, and closes what stands idle beyond the share.
  void tend(Millis Now);

  /// Time from sending to a whole answer.
  void noteLatency(Millis Taken);
  double latency() const { return Latency; }
  /// An answer showed where its log stands.
  void notePosition(LogPosition Seen, Millis Now) {
    Position = Seen;
    PositionAt = Now;
  }
  /// It refused a read for want of a floor, or ran one that had a floor. One
  /// that lags by more than callers accept does so for seconds, and each read
  /// that tries it loses the way there and back: it's tried again later each
  /// time.
  void noteLagging(Millis Now);
  void noteFresh() { LastLagPause = LagsUntil = Millis(); }
  bool lags(Millis Now) const { return Now < LagsUntil; }
  /// True where it's likely to refuse a read that asks for \p Floor. What an
  /// answer showed some time ago says nothing: it has received since.
  bool isBehind(LogPosition Floor, Millis Now) const {
    return Position < Floor && Now - PositionAt < PositionKept;
  }
  /// It said that it doesn't lead.
  void noteNotLeading(Millis Now) { NotLeadingUntil = Now + LeadRecheck; }
  bool mayLead(Millis Now) const { return Now >= NotLeadingUntil; }

private:
  std::size_t kept() const {
    return std::max<std::size_t>(1, Share / WarmPart);
  }
  std::size_t count(TargetConnection::Stage Which) const;

  /// A leaving target is promised no new work after some seconds; this is
  /// well below that, and longer than a planned change of primary takes.
  static constexpr Millis LeavingUse = Millis(4000);
  /// Links that one proxy has at most; they cost the target nothing, so this
  /// only bounds the memory.
  static constexpr std::size_t MaxLinks = 256;
  /// Above the share by this many, while nobody else needs them.
  static constexpr std::size_t Burst = 2;
  /// Part of the share that is kept warm. After a loss of power the target
  /// counts the former connections for seconds; there must be room for new
  /// ones beside them.
  static constexpr std::size_t WarmPart = 2;
  /// Idle connections beyond the warm ones are closed after this long: longer
  /// than most gaps within a burst. Four times as long leaves so many open at
  /// a loss of power that callers find none for two seconds after it.
  static constexpr Millis IdleBeyondWarm = Millis(250);
  /// After a refused connection the next is tried this much later.
  static constexpr Millis RefusedPause = Millis(50);
  /// The limit is raised by one this often after a refusal.
  static constexpr Millis LimitRecovery = Millis(1000);
  static constexpr Millis FirstAvoid = Millis(50);
  static constexpr Millis LongestAvoid = Millis(800);
  /// Replicas that are well catch up in a fraction of this.
  static constexpr Millis PositionKept = Millis(150);
  static constexpr Millis FirstLagPause = Millis(100);
  static constexpr Millis LongestLagPause = Millis(1600);
  /// A target that doesn't lead is asked again after this long, in case the
  /// word of its promotion is late.
  static constexpr Millis LeadRecheck = Millis(60);

  TargetRecord Record;
  std::size_t Share;
  bool IsShared = false;
  bool IsWarmed = false;
  Millis LeavingSince; ///< Where the record says that it leaves.
  std::vector<TargetConnectionPtr> All;
  std::optional<std::size_t> Limit; ///< Learned from a refusal.
  Millis LimitRaisedAt;
  Millis OpenAgainAt; ///< After a refused connection.
  Millis AvoidUntil;
  Millis LastAvoid;
  Millis LastAnswer = Millis(-1000000);
  Millis LagsUntil;
  Millis LastLagPause;
  Millis NotLeadingUntil;
  double Latency = 5;
  LogPosition Position;
  Millis PositionAt = Millis(-1000000);
};

} // namespace corianderdyke

#endif
