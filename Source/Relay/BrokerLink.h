/// \file
/// One link of a broker: its state, and the connection that it holds for the
/// moment.

#ifndef CORIANDERDYKE_RELAY_BROKERLINK_H
#define CORIANDERDYKE_RELAY_BROKERLINK_H

#include "Relay/TargetBroker.h"

#include <algorithm>
#include <deque>

namespace corianderdyke {

/// True for commands that a target works on; the others only change what it
/// holds for the connection.
inline bool takesSlot(TargetCommand::Kind What) {
  return What == TargetCommand::Kind::Run ||
         What == TargetCommand::Kind::Execute;
}

class TargetBroker::Link final : public TargetLink {
public:
  Link(TargetBroker &Owner, const TargetAddress &To, Events Handlers)
      : Owner(Owner), Number(Owner.NextLink++), To(To),
        Handlers(std::move(Handlers)) {
    Owner.Links[Number] = this;
  }

  ~Link() override {
    *Alive = false;
    Owner.Links.erase(Number);
    releaseConnection();
  }

  void send(const std::vector<TargetCommand> &Commands) override;
  bool isShared() const override { return true; }

  std::uint64_t number() const { return Number; }
  const TargetAddress &to() const { return To; }
  const SessionValues &values() const { return Values; }
  std::uint32_t priority() const { return Priority; }
  /// True where anything that waits takes one of the target's slots. A
  /// transaction that begins while those that hold connections wait for their
  /// turns would only make all of them late.
  bool hasSlotCommands() const {
    return std::any_of(
        Pending.begin(), Pending.end(),
        [](const TargetCommand &Each) { return takesSlot(Each.Operation); });
  }
  /// True where what is sent next takes one of the target's slots.
  bool needsSlot() const {
    return std::any_of(
        Pending.begin(), nextStop(),
        [](const TargetCommand &Each) { return takesSlot(Each.Operation); });
  }
  Millis queuedAt() const { return QueuedAt; }
  Millis deadline() const { return Deadline; }
  bool holdsConnection() const { return BoundConnection.has_value(); }
  bool holds(const TargetConnectionPtr &Which) const {
    return BoundConnection && BoundConnection->Connection == Which;
  }
  /// Since when an answer is due; nothing where none is.
  std::optional<Millis> awaitingSince() const {
    return BoundConnection && !BoundConnection->Awaited.empty()
               ? std::optional(BoundConnection->SentAt)
               : std::nullopt;
  }

  bool isWaiting() const { return Waiting.isQueued(); }
  /// Waits for a connection.
  void setConnectionQueueEntry(QueueEntry<Link> At) { Waiting = std::move(At); }
  /// Waits for its turn on the connection that it holds.
  void setTurnQueueEntry(QueueEntry<Link> At) {
    BoundConnection->Turn = std::move(At);
  }
  /// A connection came free.
  void run(const TargetConnectionPtr &On);
  /// Its turn has come on the connection that it holds.
  void takeTurn();
  /// Nothing that waits was sent: answers it all.
  void refuse(RefusalCode Code, const std::string &Why);
  /// The connection that it holds has ended.
  void handleConnectionLoss();

private:
  /// Behind what may be sent together: a command that needs the success of
  /// the one before it waits for that.
  std::deque<TargetCommand>::const_iterator nextStop() const {
    if (Pending.empty())
      return Pending.end();
    return std::find_if(
        std::next(Pending.begin()), Pending.end(),
        [](const TargetCommand &Each) { return Each.NeedsPrevious; });
  }
  /// A connection that the link holds, with all that ends with it.
  struct HeldConnection {
    TargetConnectionPtr Connection;
    /// Answers due; true for one that takes a slot.
    std::deque<bool> Awaited = {};
    /// Values changed inside a transaction may return with its rollback.
    bool HasSetValues = false;
    Millis SentAt = {};
    QueueEntry<Link> Turn = {};
  };

  void sendOrWait();
  void sendPending();
  void handleAnswer(const StatementAnswer &Answer);
  void deliver(const StatementAnswer &Answer);
  void answerStateChanges();
  void releaseConnection();
  /// Ends what it holds: the connection, which nobody else knows to be free.
  TargetConnectionPtr detachConnection();

  TargetBroker &Owner;
  std::uint64_t Number;
  TargetAddress To;
  Events Handlers;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  SessionValues Values;
  std::map<std::string, PreparedStatement> Prepared; ///< By the link's name.
  std::deque<TargetCommand> Pending; ///< Statements that weren't sent yet.
  std::deque<bool> Unanswered;       ///< In order; true for a change of state.
  /// Delivered together with the next one, which is on its way.
  std::vector<StatementAnswer> DeferredAnswers;
  std::optional<HeldConnection> BoundConnection;
  QueueEntry<Link> Waiting;
  std::uint32_t Priority = 0; ///< Of the transaction or statement under way.
  Millis QueuedAt;
  Millis Deadline;
};

} // namespace corianderdyke

#endif
