/// \file
/// One connection to a target, with the session state that it carries.

#include "Pipeline/TargetConnection.h"

#include <utility>

namespace corianderdyke {

TargetConnection::TargetConnection(TargetConnector &Connector,
                                   const TargetAddress &To, Millis Now,
                                   Events Handlers)
    : Address(To), Handlers(std::move(Handlers)), IdleSince(Now),
      OpenedAt(Now) {
  Link = Connector.open(
      To, {[this] {
             CurrentStage = Stage::Idle;
             HasOpened = true;
             const auto Handler = this->Handlers.OnOpen;
             Handler();
           },
           [this](const StatementAnswer &Answer) { handleAnswer(Answer); },
           [this](const std::optional<StatementRefusal> &Refusal) {
             handleClosed(Refusal);
           },
           this->Handlers.OnKeepaliveTimeout,
           [this](const std::string &Problem) { handleInvalidLine(Problem); }});
  IsShared = Link->isShared();
}

void TargetConnection::appendValueSteps(const SessionValues &Wanted,
                                        std::vector<Step> &Out) {
  if (hasValues(Wanted))
    return;
  bool Extends = AreValuesValid;
  for (const auto &[Name, Value] : Values)
    Extends = Extends && Wanted.count(Name) != 0;
  if (!Extends) {
    Out.push_back({{.Operation = TargetCommand::Kind::Reset}});
    Values.clear();
    Prepared.clear();
    AreValuesValid = true;
  }
  for (const auto &[Name, Value] : Wanted) {
    const auto Known = Values.find(Name);
    if (Known == Values.end() || Known->second != Value)
      Out.push_back({{.Operation = TargetCommand::Kind::SetValue,
                      .Text = Value,
                      .Name = Name}});
  }
  Values = Wanted;
}

std::string TargetConnection::prepare(const PreparedStatement &ToPrepare,
                                      std::vector<Step> &Out) {
  std::string &Name = Prepared[ToPrepare];
  if (Name.empty()) {
    Name = "p" + std::to_string(NextName++);
    Out.push_back({{.Operation = TargetCommand::Kind::Prepare,
                    .Text = ToPrepare.Text,
                    .Name = Name}});
  }
  return Name;
}

void TargetConnection::send(std::vector<Step> Steps) {
  std::vector<TargetCommand> Commands;
  Commands.reserve(Steps.size());
  for (Step &Each : Steps) {
    const bool NeedsProof =
        Each.NeedsProof && !IsShared && Matcher.hasSeenOpening();
    if (!IsShared)
      Matcher.recordSent(Each.Command.Operation);
    Commands.push_back(std::move(Each.Command));
    Pending.push_back({std::move(Each.Handler), NeedsProof});
    if (NeedsProof)
      appendConfirmation(SessionPhase::InTransaction, 1, Commands);
  }
  if (Link)
    Link->send(Commands);
}

AnswerMatcher::Verdict TargetConnection::match(const StatementAnswer &Answer) {
  // The gateway has matched the answers of a shared connection; those to
  // changes of session state are its own.
  if (IsShared)
    return Pending.empty() ? AnswerMatcher::Verdict::Mismatched
                           : AnswerMatcher::Verdict::Expected;
  return Matcher.match(Answer);
}

void TargetConnection::handleAnswer(const StatementAnswer &Answer) {
  const AnswerMatcher::Verdict Verdict = match(Answer);
  switch (Verdict) {
  case AnswerMatcher::Verdict::Repeated:
    return reportUnexpected(Verdict, Answer);
  case AnswerMatcher::Verdict::Mismatched:
    EndReason = "its answers did not fit its commands";
    reportUnexpected(Verdict, Answer);
    return endMismatched();
  case AnswerMatcher::Verdict::Confirmed:
    return Matcher.awaitsConfirmation() ? void() : deliverHeld();
  case AnswerMatcher::Verdict::Expected:
  case AnswerMatcher::Verdict::Unconfirmed:
    break;
  }
  const PendingAnswer Due = std::move(Pending.front());
  Pending.pop_front();
  const bool IsUnconfirmed = Verdict == AnswerMatcher::Verdict::Unconfirmed;
  if (IsUnconfirmed && !Held.empty())
    return endMismatched();
  if (!IsUnconfirmed && !Due.NeedsProof && Held.empty())
    return deliver(Due.Handler, Answer);
  Held.push_back({Due.Handler, Answer});
  if (IsUnconfirmed)
    sendConfirmation();
}

void TargetConnection::deliver(const OnAnswer &Handler,
                               const StatementAnswer &Answer) {
  if (Handler)
    Handler(Answer);
  else if (Answer.Refusal)
    handleClosed(Answer.Refusal);
}

void TargetConnection::handleInvalidLine(const std::string &Problem) {
  EndReason = Problem;
  reportUnexpected(AnswerMatcher::Verdict::Mismatched, {}, Problem);
}

void TargetConnection::sendConfirmation() {
  std::vector<TargetCommand> Commands;
  constexpr std::size_t Repetitions = 2;
  appendConfirmation(Matcher.expectedPhase(), Repetitions, Commands);
  if (Link)
    Link->send(Commands);
}

// The target executes these commands after all others and without a slot, in
// every transaction state. If the answer that is held was a copy, the one that
// its command is still due arrives first. There are several, since each of
// their answers may be taken for a copy's.
void TargetConnection::appendConfirmation(SessionPhase Phase,
                                          std::size_t Repetitions,
                                          std::vector<TargetCommand> &Out) {
  using Kind = TargetCommand::Kind;
  const AnswerMatcher::Expectation Wanted =
      Phase == SessionPhase::Failed ? AnswerMatcher::Expectation::Rejection
                                    : AnswerMatcher::Expectation::StateChange;
  for (std::size_t Each = 0; Each < Repetitions; ++Each) {
    Out.push_back({.Operation = Kind::Prepare,
                   .Text = "FETCH confirmation",
                   .Name = "confirmation"});
    Out.push_back({.Operation = Kind::Deallocate, .Name = "confirmation"});
    Matcher.recordSentConfirmation(Wanted);
    Matcher.recordSentConfirmation(Wanted);
  }
}

void TargetConnection::deliverHeld() {
  const std::shared_ptr<bool> AliveFlag = Alive;
  for (const HeldAnswer &Each : std::exchange(Held, {})) {
    // A handler may close or destroy the connection.
    if (!*AliveFlag || CurrentStage == Stage::Closed)
      return;
    deliver(Each.Handler, Each.Answer);
  }
}

void TargetConnection::reportUnexpected(AnswerMatcher::Verdict Verdict,
                                        const StatementAnswer &Answer,
                                        const std::string &Problem) {
  const auto Handler = Handlers.OnUnexpectedAnswer;
  if (Handler)
    Handler({Address.Id, Verdict, Answer, Problem});
}

void TargetConnection::endMismatched() {
  const std::shared_ptr<bool> AliveFlag = Alive;
  // The statement ran outside the transaction that it was sent in, so the end
  // of the connection rolls nothing back.
  if (!Held.empty() && Matcher.hasLostTransaction()) {
    const OnAnswer Handler = std::move(Held.front().Handler);
    StatementAnswer Out;
    Out.Refusal = StatementRefusal{RefusalCode::Unknown,
                                   "the transaction had not been opened"};
    Out.Phase = SessionPhase::Failed;
    if (Handler)
      Handler(Out);
  }
  if (*AliveFlag)
    handleClosed(std::nullopt);
}

void TargetConnection::handleClosed(
    const std::optional<StatementRefusal> &Refusal) {
  if (CurrentStage == Stage::Closed)
    return;
  CurrentStage = Stage::Closed;
  Pending.clear();
  Held.clear();
  const auto Handler = std::exchange(Handlers, {}).OnClose;
  if (Handler)
    Handler(Refusal);
}

void TargetConnection::close() {
  CurrentStage = Stage::Closed;
  Handlers = {};
  Pending.clear();
  Held.clear();
  Link.reset();
}

void TargetConnection::setBusy(bool Busy, Millis Now) {
  if (CurrentStage == Stage::Closed)
    return;
  CurrentStage = Busy ? Stage::Busy : Stage::Idle;
  if (!Busy)
    IdleSince = Now;
}

} // namespace corianderdyke
