/// \file
/// Shares few connections to a target among many links.

#ifndef CORIANDERDYKE_RELAY_TARGETBROKER_H
#define CORIANDERDYKE_RELAY_TARGETBROKER_H

#include "Common/Clock.h"
#include "Loop/CoalescingTimer.h"
#include "Pipeline/TargetPool.h"
#include "Relay/QueueEntry.h"

#include <list>
#include <sigc++/sigc++.h>

namespace corianderdyke {

/// Runs at a gateway. A link takes a connection with its first statement and
/// gives it back when nothing is open on it any more, so that statements of
/// two links never mix. What a link has set or prepared is remembered here and
/// given to whichever connection runs its next statement.
///
/// Load pattern: more links have work than connections stand. They wait by
/// priority, then arrival. One whose time to wait is over is refused as busy,
/// truly not run, so that its proxy can answer its caller in time. Without
/// the bound it would be sent after its caller has given up.
///
/// Load pattern: links hold connections and all have a statement. A target
/// works on few at a time and takes them as they come, so what is urgent would
/// wait behind what isn't, and beyond its short queue all would be refused.
/// Only a little more than it works on is sent; the rest waits here, where a
/// statement inside a transaction goes before one that would begin.
class TargetBroker final : public TargetConnector, public sigc::trackable {
public:
  TargetBroker(Clock &Time, Scheduler &Timers, TargetConnector &Direct);
  ~TargetBroker() override;

  /// A link is open at once; commands that only change its state are
  /// answered together with its next statement.
  std::unique_ptr<TargetLink> open(const TargetAddress &To,
                                   TargetLink::Events Events) override;

  /// What control said of the targets.
  void update(const TargetDirectory &Known);
  /// Connections that this proxy may hold to each target of a group that it
  /// is one of \p Gateways gateways of.
  void setShare(const std::string &Group, std::size_t Connections,
                std::size_t Gateways);
  /// Connections belong to organisations, or to nobody.
  void setPerOrganisation(bool New);
  /// Keeps some connections to these open, and to no others.
  void setGatewayTargets(std::set<std::string> Targets);

  /// True while a transaction or statement of any link is under way.
  bool isBusy() const;
  std::size_t connections() const;
  const OpeningCounts &openings() const { return Openings; }

  /// Emitted when a target couldn't be reached, and when a primary answered.
  sigc::signal<void(const TargetFailure &)> &signalTargetFailure() {
    return TargetFailed;
  }
  sigc::signal<void(const std::string &)> &signalPrimaryAnswered() {
    return Reached;
  }

private:
  class Link;
  friend class Link;

  /// How a group's targets are divided among gateways.
  struct GatewayShare {
    std::size_t Connections = 1;
    std::size_t Gateways = 1;
  };

  /// A target with its connections and those that wait for one.
  struct Target {
    TargetPool Pool;
    std::list<Link *> Waiting = {}; ///< By priority, then arrival.
    /// Links that hold a connection and wait for their statement's turn.
    std::list<Link *> Ready = {};
    std::size_t InFlight = 0; ///< Statements that were sent and not answered.
    bool IsDispatching = false;
    Millis OpenedAt = {}; ///< When the last connection was begun.
    Millis SaturatedAt = Millis(-1000000); ///< When it last had all it may get.
  };

  void applySharing(TargetPool &Pool) const;
  Target &targetOf(const TargetAddress &To);
  Target *find(const std::string &Id);
  /// Null once that link is destroyed.
  Link *findLink(std::uint64_t Number) const;
  std::size_t maxInFlight(const Target &At) const;
  /// A place in the order of priority, then of arrival.
  static QueueEntry<Link> enqueue(Link &New, std::list<Link *> &In);
  void waitForConnection(Link &New);
  void waitForTurn(Link &New);
  bool runNext(Target &At);
  void dispatch(Target &At);
  void openIfAllowed(Target &At);
  /// The first that waits for a connection which neither stands idle nor is
  /// on its way; null where none may be opened for it.
  Link *firstToOpenFor(const Target &At) const;
  void warmUp(Target &At);
  void openConnection(Target &At, const std::string &Organisation);
  void handleClose(const TargetConnectionPtr &Gone,
                   const std::optional<StatementRefusal> &Why);
  void closeStaleConnections(Target &At);
  void release(const TargetConnectionPtr &Used);
  void discard(const TargetConnectionPtr &Used);
  void recordAnswer(const TargetConnectionPtr &From);
  void refuseAll(Target &At, RefusalCode Code, const std::string &Why);
  void tick();
  void expireWaiting(Target &At);
  void detectSilence(Target &At);

  Clock &Time;
  TargetConnector &Direct;
  std::map<std::string, Target> Targets;             ///< By identity.
  std::map<std::string, GatewayShare> GatewayShares; ///< By group.
  bool IsPerOrganisation = false; ///< Connections belong to organisations.
  std::set<std::string> GatewayTargets;
  /// By number. A handler may destroy links and make others at the same
  /// address, so whoever goes through several remembers their numbers.
  std::map<std::uint64_t, Link *> Links;
  std::uint64_t NextLink = 1;
  OpeningCounts Openings;
  CoalescingTimer Ticker;
  sigc::signal<void(const TargetFailure &)> TargetFailed;
  sigc::signal<void(const std::string &)> Reached;
};

} // namespace corianderdyke

#endif
