/// \file
/// One link of a broker.

#include "Relay/BrokerLink.h"

namespace corianderdyke {

namespace {

StatementAnswer refusal(RefusalCode Code, std::string Why) {
  StatementAnswer Out;
  Out.Refusal = StatementRefusal{Code, std::move(Why)};
  return Out;
}

} // namespace

void TargetBroker::Link::send(const std::vector<TargetCommand> &Commands) {
  for (const TargetCommand &Each : Commands) {
    Unanswered.push_back(changesOnlyState(Each.What));
    switch (Each.What) {
    case TargetCommand::Kind::Reset:
      Values.clear();
      Prepared.clear();
      break;
    case TargetCommand::Kind::SetValue:
      Values[Each.Name] = Each.Text;
      if (Bound)
        Bound->HasSetValues = true;
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
  if (Bound)
    return sendOrWait();
  Priority = Pending.front().Priority;
  GiveUpAt = QueuedAt + Pending.front().MayWait;
  Owner.waitForConnection(*this);
}

void TargetBroker::Link::sendOrWait() {
  // What needs the success of a command that isn't answered yet stays here.
  if (!Bound->Awaited.empty() && Pending.front().NeedsPrevious)
    return;
  Bound->Turn.leave();
  if (needsSlot())
    Owner.waitForTurn(*this);
  else
    sendPending();
}

void TargetBroker::Link::run(const TargetConnectionPtr &On) {
  Waiting.leave();
  Bound.emplace(Holding{On});
  sendPending();
}

void TargetBroker::Link::takeTurn() {
  Bound->Turn.leave();
  sendPending();
}

void TargetBroker::Link::sendPending() {
  const TargetConnectionPtr On = Bound->On;
  std::vector<TargetConnection::Step> Steps;
  On->adjust(Values, Steps);
  const auto Count = std::distance(Pending.cbegin(), nextStop());
  for (auto Next = Pending.begin(); Next != Pending.begin() + Count; ++Next) {
    TargetCommand &Each = *Next;
    const bool TakesSlot = takesSlot(Each.What);
    if (Each.What == TargetCommand::Kind::Execute)
      Each.Name = On->prepare(Prepared[Each.Name], Steps);
    Steps.push_back(
        {std::move(Each), [this, Still = Alive](const StatementAnswer &Answer) {
           if (*Still)
             answered(Answer);
         }});
    Bound->Awaited.push_back(TakesSlot);
    if (TakesSlot)
      ++Owner.targetOf(To).AtWork;
  }
  Pending.erase(Pending.begin(), Pending.begin() + Count);
  Bound->SentAt = Owner.Time.now();
  On->send(std::move(Steps));
}

void TargetBroker::Link::answered(const StatementAnswer &Answer) {
  if (Bound->Awaited.front())
    --Owner.targetOf(To).AtWork;
  Bound->Awaited.pop_front();
  Owner.noteAnswer(Bound->On);
  const bool Opens = !Answer.Refusal && Answer.Phase != SessionPhase::Idle;
  const bool IsLast = Bound->Awaited.empty();
  if (IsLast && !Pending.empty() && Opens) {
    Held.push_back(Answer);
    return sendOrWait();
  }
  // What needed this one's success isn't sent.
  std::size_t Dropped = 0;
  TargetConnectionPtr Free;
  if (IsLast) {
    Bound->Turn.leave();
    Dropped = std::exchange(Pending, {}).size();
    if (Answer.Phase == SessionPhase::Idle)
      Free = endHolding();
  }
  const std::shared_ptr<bool> Still = Alive;
  TargetBroker &Broker = Owner;
  const std::string Id = To.Id;
  deliver(Answer);
  for (std::size_t Each = 0; Each < Dropped && *Still; ++Each)
    deliver(refusal(Answer.Refusal ? Answer.Refusal->Code : RefusalCode::Busy,
                    "what it needs first didn't succeed"));
  if (Free)
    Broker.giveBack(Free);
  else if (Target *At = Broker.find(Id))
    Broker.pump(*At);
}

void TargetBroker::Link::answerStateChanges() {
  while (!Unanswered.empty() && Unanswered.front()) {
    Unanswered.pop_front();
    const auto Handler = Handlers.OnAnswer;
    const std::shared_ptr<bool> Still = Alive;
    Handler({});
    if (!*Still)
      return;
  }
}

void TargetBroker::Link::deliver(const StatementAnswer &Answer) {
  const std::shared_ptr<bool> Still = Alive;
  for (const StatementAnswer &Each : std::exchange(Held, {}))
    if (*Still)
      deliver(Each);
  if (!*Still)
    return;
  answerStateChanges();
  if (!*Still || Unanswered.empty())
    return;
  Unanswered.pop_front();
  const auto Handler = Handlers.OnAnswer;
  Handler(Answer);
}

void TargetBroker::Link::refuse(RefusalCode Code, const std::string &Why) {
  // One that holds a connection has sent something, or is about to.
  if (Bound)
    return;
  Waiting.leave();
  const std::shared_ptr<bool> Still = Alive;
  const std::size_t Count = std::exchange(Pending, {}).size();
  for (std::size_t Each = 0; Each < Count && *Still; ++Each)
    deliver(refusal(Code, Why));
}

TargetConnectionPtr TargetBroker::Link::endHolding() {
  const Holding Ended = std::move(*std::exchange(Bound, std::nullopt));
  if (Target *At = Owner.find(To.Id))
    At->AtWork -= static_cast<std::size_t>(
        std::count(Ended.Awaited.begin(), Ended.Awaited.end(), true));
  if (Ended.HasSetValues)
    Ended.On->forgetValues();
  return Ended.On;
}

void TargetBroker::Link::lost() {
  endHolding();
  Pending.clear();
  Held.clear();
  const auto Handler = Handlers.OnClose;
  if (Handler)
    Handler(std::nullopt);
}

// Whoever used the link has left in the middle of something.
void TargetBroker::Link::giveUpConnection() {
  if (!Bound)
    return;
  const bool IsAnswered = Bound->Awaited.empty();
  const TargetConnectionPtr Used = endHolding();
  // Answers that are still due may never come.
  if (!IsAnswered)
    return Owner.discard(Used);
  TargetBroker &Broker = Owner;
  Used->send({{{.What = TargetCommand::Kind::Rollback},
               [&Broker, Used](const StatementAnswer &Answer) {
                 if (Answer.Refusal || Answer.Phase != SessionPhase::Idle)
                   Broker.discard(Used);
                 else
                   Broker.giveBack(Used);
               }}});
}

} // namespace corianderdyke
