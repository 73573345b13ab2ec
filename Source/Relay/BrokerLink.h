/// \file
/// A link of a TargetBroker: its session state and the connection that it
/// currently holds.

#ifndef CORIANDERDYKE_RELAY_BROKERLINK_H
#define CORIANDERDYKE_RELAY_BROKERLINK_H

#include "Admission/ServiceClass.h"
#include "Relay/TargetBroker.h"

#include <algorithm>
#include <deque>

namespace corianderdyke {

/// True for commands that the target executes in a slot; the others only change
/// the state of the connection.
inline bool takesSlot(TargetCommand::Kind Operation) {
  return Operation == TargetCommand::Kind::Run ||
         Operation == TargetCommand::Kind::Execute;
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
  /// True if any pending command takes one of the target's slots. A transaction
  /// that begins while links with connections wait to send would only delay all
  /// of them.
  bool hasSlotCommands() const {
    return std::any_of(
        Pending.begin(), Pending.end(),
        [](const TargetCommand &Each) { return takesSlot(Each.Operation); });
  }
  /// True if the next batch of commands takes one of the target's slots.
  bool needsSlot() const {
    return std::any_of(
        Pending.begin(), endOfBatch(),
        [](const TargetCommand &Each) { return takesSlot(Each.Operation); });
  }
  Millis queuedAt() const { return QueuedAt; }
  Millis deadline() const { return Deadline; }
  /// Until when it may wait as late; its deadline if it may not.
  Millis lateDeadline() const { return LateDeadline; }
  bool isLate() const { return Class == ServiceClass::Late; }
  void setClass(ServiceClass New) { Class = New; }
  bool holdsConnection() const { return BoundConnection != nullptr; }
  bool holds(const TargetConnectionPtr &Candidate) const {
    return BoundConnection && BoundConnection->Connection == Candidate;
  }
  /// When the unanswered commands were sent; nothing if all are answered.
  std::optional<Millis> awaitingSince() const {
    return BoundConnection && !BoundConnection->Awaited.empty()
               ? std::optional(BoundConnection->SentAt)
               : std::nullopt;
  }

  bool isWaiting() const { return ConnectionQueueEntry.isQueued(); }
  /// Queues the link for a connection.
  void setConnectionQueueEntry(QueueEntry<Link> At) {
    ConnectionQueueEntry = std::move(At);
  }
  /// Queues the link to send on the connection that it holds.
  void setTurnQueueEntry(QueueEntry<Link> At) {
    BoundConnection->Turn = std::move(At);
  }
  /// Binds the link to a connection and sends the pending commands.
  void run(const TargetConnectionPtr &On);
  /// Sends the pending commands on the connection that it holds.
  void takeTurn();
  /// Answers all pending commands, none of which was sent, with a refusal.
  void refuse(RefusalCode Code, const std::string &Reason);
  /// Handles the end of the connection that the link holds.
  void handleConnectionLoss();

private:
  /// Returns the end of the commands that may be sent together: a command that
  /// requires the success of the previous one waits for its answer.
  std::deque<TargetCommand>::const_iterator endOfBatch() const {
    if (Pending.empty())
      return Pending.end();
    return std::find_if(
        std::next(Pending.begin()), Pending.end(),
        [](const TargetCommand &Each) { return Each.NeedsPrevious; });
  }
  /// Count a statement in flight; null for a command that takes no slot.
  struct SlotTokens {
    InFlightCounter::Token OfTarget = {};
    InFlightCounter::Token OfPriority = {};
  };
  /// A connection that the link holds, with the state bound to it. Only the
  /// link owns it; the answers due refer to it weakly, so that an answer of a
  /// connection that the link no longer holds does not reach the link.
  struct HeldConnection {
    TargetConnectionPtr Connection;
    /// One for each outstanding answer.
    std::deque<SlotTokens> Awaited = {};
    /// Values changed inside a transaction may revert when it rolls back.
    bool HasSetValues = false;
    Millis SentAt = {};
    QueueEntry<Link> Turn = {};
    /// While a transaction opens whose first statement will take a slot.
    InFlightCounter::Token Opening = {};
  };

  void sendOrWait();
  void sendPending();
  /// True for an opening behind which statements may write.
  bool opensForWrites(const TargetCommand &Command) const;
  /// Handles the answer to the oldest command sent on \p Held, which exists.
  void handleAnswer(const std::weak_ptr<HeldConnection> &Held,
                    const StatementAnswer &Answer);
  void deliver(const StatementAnswer &Answer);
  void answerStateChanges();
  void releaseConnection();
  /// Gives up the held connection and returns it; the caller releases or
  /// discards it.
  TargetConnectionPtr detachConnection();

  TargetBroker &Owner;
  std::uint64_t Number;
  TargetAddress To;
  Events Handlers;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  SessionValues Values;
  std::map<std::string, PreparedStatement> Prepared; ///< By the link's name.
  std::deque<TargetCommand> Pending;                 ///< Commands not yet sent.
  std::deque<bool> Unanswered; ///< In order; true for a state change.
  /// Held back and delivered together with the next answer.
  std::vector<StatementAnswer> DeferredAnswers;
  std::shared_ptr<HeldConnection> BoundConnection;
  QueueEntry<Link> ConnectionQueueEntry;
  std::uint32_t Priority = 0; ///< Of the current transaction or statement.
  Millis QueuedAt;
  Millis Deadline;
  Millis LateDeadline;
  ServiceClass Class = ServiceClass::InTime; ///< While it waits.
};

} // namespace corianderdyke

#endif
