/// \file
/// Shares a small number of target connections among many links.

#ifndef CORIANDERDYKE_RELAY_TARGETBROKER_H
#define CORIANDERDYKE_RELAY_TARGETBROKER_H

#include "Admission/LateForecast.h"
#include "Admission/LoadOptions.h"
#include "Admission/UrgentRoom.h"
#include "Common/Clock.h"
#include "Loop/CoalescingTimer.h"
#include "Pipeline/TargetPool.h"
#include "Relay/InFlightCounter.h"
#include "Relay/QueueEntry.h"

#include <list>
#include <sigc++/sigc++.h>

namespace corianderdyke {

/// Runs at a gateway. A link acquires a connection with its first statement
/// and releases it when no transaction is open on it, so that statements of
/// two links never mix. The broker keeps each link's session values and
/// prepared statements and applies them to the connection that runs its next
/// statement.
///
/// More links may have statements than there are connections. Links queue by
/// priority, then arrival. A link whose queue deadline has passed is refused
/// as busy, and its statements are guaranteed not to have run, so that its
/// proxy can answer the caller in time. Without the deadline they would be sent
/// after the caller has timed out.
///
/// All links that hold connections may have a statement at once. A target
/// executes few statements at a time in the order of arrival, so urgent ones
/// would wait behind others, and it refuses those beyond its short queue.
/// The broker sends only a few more than the target executes and queues the
/// rest, where a statement inside a transaction precedes one that would begin
/// a transaction.
///
/// With late service, a link whose queue deadline has passed may wait longer,
/// behind all others, for slots that they leave.
class TargetBroker final : public TargetConnector, public sigc::trackable {
public:
  TargetBroker(Clock &Time, Scheduler &Timers, TargetConnector &Direct,
               LoadOptions Load = {});
  ~TargetBroker() override;

  /// A link is open immediately; commands that only change session state are
  /// answered together with its next statement.
  std::unique_ptr<TargetLink> open(const TargetAddress &To,
                                   TargetLink::Events Events) override;

  /// Applies the target directory received from control.
  void update(const TargetDirectory &Directory);
  /// Sets how many connections this proxy may hold to each target of a group
  /// for which it is one of \p Gateways gateways.
  void setShare(const std::string &Group, std::size_t Connections,
                std::size_t Gateways);
  /// Sets whether each connection belongs to one organisation.
  void setPerOrganisation(bool New);
  /// Sets whether this proxy may be one of many spares of a target. Its
  /// connections to targets of which it is no gateway then close when idle, and
  /// statements for which it gets none are refused at once as unreachable, so
  /// that they go to a spare that has one.
  void setServesAsSpare(bool New) { ServesAsSpare = New; }
  /// Keeps some connections open to these targets and to no others.
  void setGatewayTargets(std::set<std::string> Targets);

  /// True while a transaction or statement of any link is in progress.
  bool isBusy() const;
  std::size_t connections() const;
  const OpeningCounts &openings() const { return Openings; }
  const LateCounts &lateCounts() const { return LateStatements; }
  /// Returns how many late statements wait.
  std::size_t lateWaiting() const;
  /// True if the last attempts to use the target failed and it is not retried
  /// yet.
  bool isFailing(const std::string &Id) const;
  std::set<std::string> failingTargets() const;
  /// Statements waiting and in flight, by target.
  std::map<std::string, std::uint32_t> load() const;

  /// Emitted when a target is unreachable, and when a primary has answered.
  sigc::signal<void(const TargetFailure &)> &signalTargetFailure() {
    return TargetFailed;
  }
  sigc::signal<void(const std::string &)> &signalPrimaryAnswered() {
    return PrimaryAnswered;
  }
  /// Emitted with each answer of a target that belongs to no statement.
  sigc::signal<void(const UnexpectedAnswer &)> &signalUnexpectedAnswer() {
    return AnswerUnexpected;
  }

private:
  class Link;
  friend class Link;

  /// How the connections to a group's targets are divided among gateways.
  struct GatewayShare {
    std::size_t Connections = 1;
    std::size_t Gateways = 1;
  };

  /// A target with its connections and the links that wait for one.
  struct Target {
    explicit Target(TargetPool Initial) : Pool(std::move(Initial)) {}

    TargetPool Pool;
    std::list<Link *> Waiting = {}; ///< By priority, then arrival.
    /// Links that hold a connection and wait until their statement may be
    /// sent.
    std::list<Link *> Ready = {};
    /// Links whose queue deadline has passed, by priority, then the time when
    /// it passed.
    std::list<Link *> Late = {};
    InFlightCounter InFlight = {}; ///< Statements sent and not yet answered.
    /// The same by priority.
    std::map<std::uint32_t, InFlightCounter> InFlightOf = {};
    /// Transactions being opened whose first statement will take a slot.
    InFlightCounter OpeningTransactions = {};
    LateForecast LateStarts = {};
    UrgentRoom Arrivals = {};
    bool IsDispatching = false;
    Millis OpenedAt = {}; ///< When the last opening began.
    Millis SaturatedAt =
        Millis(-1000000); ///< When InFlight last was at its limit.

    /// True if the target has gone and nothing refers to it.
    bool hasEnded() const {
      return Pool.hasEnded() && !hasWaiting() && Ready.empty();
    }
    /// True if links wait for a connection.
    bool hasWaiting() const { return !Waiting.empty() || !Late.empty(); }
  };

  void applySharing(TargetPool &Pool) const;
  bool isFailing(const Target &At) const;
  Target &targetOf(const TargetAddress &To);
  Target *find(const std::string &Id);
  /// Returns null if the link has been destroyed.
  Link *findLink(std::uint64_t Number) const;
  SlotShare slotShare(const Target &At) const;
  std::size_t maxInFlight(const Target &At) const;
  /// True if another statement of this priority may be sent to the target.
  bool maySend(const Target &At, std::uint32_t Priority) const;
  /// True if the target has a slot that statements in time leave.
  bool hasSlotForLate(const Target &At) const;
  /// Inserts \p New by priority, then arrival.
  static QueueEntry<Link> enqueue(Link &New, std::list<Link *> &In);
  void waitForConnection(Link &New);
  void waitForTurn(Link &New);
  /// Queues a link whose queue deadline has passed as late. Returns false if it
  /// has to be refused.
  bool waitLate(Target &At, Link &Waiter);
  /// Returns a late link that gives its place to \p Waiter, because neither it
  /// nor others are expected to start in time; null if there is none.
  Link *replaceableBy(const Target &At, const Link &Waiter) const;
  void refuseAfterWait(Target &At, Link &Waiter);
  void recordIfFree(Target &At);
  TargetConnectionPtr idleFor(Target &At, const Link &Waiter) const;
  bool runNext(Target &At);
  bool runNextLate(Target &At);
  void dispatch(Target &At);
  void openIfAllowed(Target &At);
  /// Returns the first waiting link for which a connection may be opened: no
  /// idle connection suits it and none is being opened for its organisation.
  /// Null if there is none.
  Link *firstToOpenFor(const Target &At) const;
  void warmUp(Target &At);
  void openConnection(Target &At, const std::string &Organisation);
  void handleClose(const TargetConnectionPtr &Closed,
                   const std::optional<StatementRefusal> &Refusal);
  void closeStaleConnections(Target &At);
  void release(const TargetConnectionPtr &Used);
  void discard(const TargetConnectionPtr &Used);
  void recordAnswer(const TargetConnectionPtr &From);
  void refuseAll(Target &At, RefusalCode Code, const std::string &Reason);
  void tick();
  void expireWaiting(Target &At);
  void detectSilence(Target &At);

  /// Intervals between checks of the timeouts: while links wait or connections
  /// are being opened, and while statements run.
  static constexpr Millis WaitingInterval = Millis(20);
  static constexpr Millis RunningInterval = Millis(50);

  Clock &Time;
  TargetConnector &Direct;
  LoadOptions Load;
  /// By identity. Only the timer erases targets, since all other functions may
  /// run while one further up the stack uses a target.
  std::map<std::string, Target> Targets;
  std::map<std::string, GatewayShare> GatewayShares; ///< By group.
  bool IsPerOrganisation = false; ///< Each connection serves one organisation.
  std::set<std::string> GatewayTargets;
  bool ServesAsSpare = false;
  /// By number. A handler may destroy links and create others at the same
  /// memory address, so loops over several links store their numbers.
  std::map<std::uint64_t, Link *> Links;
  std::uint64_t NextLink = 1;
  OpeningCounts Openings;
  LateCounts LateStatements;
  CoalescingTimer Ticker;
  sigc::signal<void(const TargetFailure &)> TargetFailed;
  sigc::signal<void(const std::string &)> PrimaryAnswered;
  sigc::signal<void(const UnexpectedAnswer &)> AnswerUnexpected;
};

} // namespace corianderdyke

#endif
