/// \file
/// A link of a TargetBroker.

#include "Relay/BrokerLink.h"

namespace corianderdyke {

namespace {

StatementAnswer refusal(RefusalCode Code, std::string Reason) {
  StatementAnswer Out;
  Out.Refusal = StatementRefusal{Code, std::move(Reason)};
  return Out;
}

} // namespace

void TargetBroker::Link::send(const std::vector<TargetCommand> &Commands) {
  for (const TargetCommand &Each : Commands) {
    Unanswered.push_back(isSessionStateCommand(Each.Operation));
    switch (Each.Operation) {
    case TargetCommand::Kind::Reset:
      Values.clear();
      Prepared.clear();
      break;
    case TargetCommand::Kind::SetValue:
      Values[Each.Name] = Each.Text;
      if (BoundConnection)
        BoundConnection->HasSetValues = true;
      break;
    case TargetCommand::Kind::Prepare:
      Prepared[Each.Name] = {Each.Text, false};
      break;
    default:
      Pending.push_back(Each);
    }
  }
  if (Pending.empty())
    return;
  QueuedAt = Owner.Time.now();
  const auto IsSlotCommand = [](const TargetCommand &Each) {
    return takesSlot(Each.Operation);
  };
  const bool TakesSlot =
      !To.IsInternal &&
      std::any_of(Commands.begin(), Commands.end(), IsSlotCommand);
  if (BoundConnection) {
    if (TakesSlot)
      Owner.targetOf(To).Arrivals.recordArrival(Priority, QueuedAt);
    return sendOrWait();
  }
  const TargetCommand &First = Pending.front();
  Priority = First.Priority;
  Deadline = QueuedAt + First.MaxQueueTime;
  // Commands that arrive behind a waiting one do not extend its late wait.
  if (!isWaiting())
    LateDeadline = Deadline + First.MaxLateTime;
  if (TakesSlot)
    Owner.targetOf(To).Arrivals.recordArrival(Priority, QueuedAt);
  Owner.waitForConnection(*this);
}

void TargetBroker::Link::sendOrWait() {
  // A command that requires the success of an unanswered one is not sent yet.
  if (!BoundConnection->Awaited.empty() && Pending.front().NeedsPrevious)
    return;
  BoundConnection->Turn.remove();
  if (needsSlot())
    Owner.waitForTurn(*this);
  else
    sendPending();
}

void TargetBroker::Link::run(const TargetConnectionPtr &On) {
  ConnectionQueueEntry.remove();
  Class = ServiceClass::InTime;
  BoundConnection = std::make_shared<HeldConnection>(HeldConnection{On});
  if (hasSlotCommands() && !needsSlot())
    BoundConnection->Opening = Owner.targetOf(To).OpeningTransactions.begin();
  sendPending();
}

void TargetBroker::Link::takeTurn() {
  BoundConnection->Turn.remove();
  sendPending();
}

// A transaction that ends in the same write belongs to a single read.
bool TargetBroker::Link::opensForWrites(const TargetCommand &Command) const {
  return Command.Operation == TargetCommand::Kind::Begin &&
         std::none_of(Pending.begin(), Pending.end(),
                      [](const TargetCommand &Each) {
                        return Each.Operation == TargetCommand::Kind::Rollback;
                      });
}

void TargetBroker::Link::sendPending() {
  const TargetConnectionPtr On = BoundConnection->Connection;
  const std::weak_ptr<HeldConnection> Held = BoundConnection;
  std::vector<TargetConnection::Step> Steps;
  On->appendValueSteps(Values, Steps);
  const auto Count = std::distance(Pending.cbegin(), endOfBatch());
  for (auto Next = Pending.begin(); Next != Pending.begin() + Count; ++Next) {
    TargetCommand &Each = *Next;
    const bool TakesSlot = takesSlot(Each.Operation);
    if (Each.Operation == TargetCommand::Kind::Execute)
      Each.Name = On->prepare(Prepared[Each.Name], Steps);
    const bool NeedsProof = opensForWrites(Each);
    Steps.push_back({std::move(Each),
                     [this, Held](const StatementAnswer &Answer) {
                       // The link exists while what it owns does.
                       if (!Held.expired())
                         handleAnswer(Held, Answer);
                     },
                     NeedsProof});
    SlotTokens Tokens;
    if (TakesSlot) {
      Target &At = Owner.targetOf(To);
      Tokens = {At.InFlight.begin(), At.InFlightOf[Priority].begin()};
      BoundConnection->Opening.reset();
    }
    BoundConnection->Awaited.push_back(std::move(Tokens));
  }
  Pending.erase(Pending.begin(), Pending.begin() + Count);
  BoundConnection->SentAt = Owner.Time.now();
  On->send(std::move(Steps));
}

void TargetBroker::Link::handleAnswer(const std::weak_ptr<HeldConnection> &Held,
                                      const StatementAnswer &Answer) {
  BoundConnection->Awaited.pop_front();
  const TargetConnectionPtr From = BoundConnection->Connection;
  Owner.recordAnswer(From);
  // A handler of the signal may have ended the connection.
  if (Held.expired())
    return;
  const bool IsTransactionOpen =
      !Answer.Refusal && Answer.Phase != SessionPhase::Idle;
  const bool IsLast = BoundConnection->Awaited.empty();
  if (IsLast && !Pending.empty() && IsTransactionOpen) {
    DeferredAnswers.push_back(Answer);
    return sendOrWait();
  }
  // Commands that require the success of this one are not sent.
  std::size_t Dropped = 0;
  TargetConnectionPtr Released;
  if (IsLast) {
    BoundConnection->Turn.remove();
    Dropped = std::exchange(Pending, {}).size();
    if (Answer.Phase == SessionPhase::Idle)
      Released = detachConnection();
  }
  const std::shared_ptr<bool> AliveFlag = Alive;
  TargetBroker &Broker = Owner;
  const std::string Id = To.Id;
  deliver(Answer);
  for (std::size_t Each = 0; Each < Dropped && *AliveFlag; ++Each)
    deliver(refusal(Answer.Refusal ? Answer.Refusal->Code : RefusalCode::Busy,
                    "what it needs first didn't succeed"));
  if (Released)
    Broker.release(Released);
  else if (Target *At = Broker.find(Id))
    Broker.dispatch(*At);
}

void TargetBroker::Link::answerStateChanges() {
  while (!Unanswered.empty() && Unanswered.front()) {
    Unanswered.pop_front();
    const auto Handler = Handlers.OnAnswer;
    const std::shared_ptr<bool> AliveFlag = Alive;
    Handler({});
    if (!*AliveFlag)
      return;
  }
}

void TargetBroker::Link::deliver(const StatementAnswer &Answer) {
  const std::shared_ptr<bool> AliveFlag = Alive;
  for (const StatementAnswer &Each : std::exchange(DeferredAnswers, {}))
    if (*AliveFlag)
      deliver(Each);
  if (!*AliveFlag)
    return;
  answerStateChanges();
  if (!*AliveFlag || Unanswered.empty())
    return;
  Unanswered.pop_front();
  const auto Handler = Handlers.OnAnswer;
  Handler(Answer);
}

void TargetBroker::Link::refuse(RefusalCode Code, const std::string &Reason) {
  // A link that holds a connection has sent commands or is about to.
  if (BoundConnection)
    return;
  ConnectionQueueEntry.remove();
  Class = ServiceClass::InTime;
  const std::shared_ptr<bool> AliveFlag = Alive;
  const std::size_t Count = std::exchange(Pending, {}).size();
  for (std::size_t Each = 0; Each < Count && *AliveFlag; ++Each)
    deliver(refusal(Code, Reason));
}

TargetConnectionPtr TargetBroker::Link::detachConnection() {
  const std::shared_ptr<HeldConnection> Ended =
      std::exchange(BoundConnection, nullptr);
  if (Ended->HasSetValues)
    Ended->Connection->invalidateValues();
  return Ended->Connection;
}

void TargetBroker::Link::handleConnectionLoss() {
  detachConnection();
  Pending.clear();
  DeferredAnswers.clear();
  const auto Handler = Handlers.OnClose;
  if (Handler)
    Handler(std::nullopt);
}

// Runs when the link is destroyed. If it still holds a connection, a
// transaction or statement is in progress.
void TargetBroker::Link::releaseConnection() {
  if (!BoundConnection)
    return;
  const bool IsAllAnswered = BoundConnection->Awaited.empty();
  const TargetConnectionPtr Used = detachConnection();
  // Outstanding answers may never arrive.
  if (!IsAllAnswered)
    return Owner.discard(Used);
  TargetBroker &Broker = Owner;
  Used->send({{{.Operation = TargetCommand::Kind::Rollback},
               [&Broker, Used](const StatementAnswer &Answer) {
                 if (Answer.Refusal || Answer.Phase != SessionPhase::Idle)
                   Broker.discard(Used);
                 else
                   Broker.release(Used);
               }}});
}

} // namespace corianderdyke
