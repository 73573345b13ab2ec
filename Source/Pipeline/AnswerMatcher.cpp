/// \file
/// Decides which answers of a connection belong to its commands.

#include "Pipeline/AnswerMatcher.h"

#include "Common/TextHash.h"

#include <algorithm>

namespace corianderdyke {

namespace {

AnswerMatcher::Expectation expectationOf(TargetCommand::Kind Operation) {
  using Kind = TargetCommand::Kind;
  switch (Operation) {
  case Kind::Begin:
  case Kind::BeginRead:
    return AnswerMatcher::Expectation::Opening;
  case Kind::Rollback:
    return AnswerMatcher::Expectation::Ending;
  case Kind::Run:
  case Kind::Execute:
    return AnswerMatcher::Expectation::Result;
  default:
    return AnswerMatcher::Expectation::StateChange;
  }
}

std::uint64_t hashOf(const StatementRefusal &Refusal) {
  return hashText(Refusal.Reason, static_cast<std::uint64_t>(Refusal.Code));
}

} // namespace

void AnswerMatcher::recordSent(TargetCommand::Kind Operation) {
  Outstanding.push_back({expectationOf(Operation), false});
}

void AnswerMatcher::recordSentConfirmation(Expectation Wanted) {
  Outstanding.push_back({Wanted, true});
}

AnswerMatcher::Verdict AnswerMatcher::match(const StatementAnswer &Answer) {
  if (Answer.Refusal)
    return matchRefusal(Answer);
  return Answer.Signature.empty() ? matchUnsigned(Answer) : matchResult(Answer);
}

AnswerMatcher::Verdict AnswerMatcher::accept(const StatementAnswer &Answer) {
  const bool IsConfirmation = Outstanding.front().IsConfirmation;
  Outstanding.pop_front();
  Phase = Answer.Phase;
  if (!IsConfirmation)
    HasLostTransaction = false;
  return IsConfirmation ? Verdict::Confirmed : Verdict::Expected;
}

AnswerMatcher::Verdict
AnswerMatcher::matchRefusal(const StatementAnswer &Answer) {
  const std::uint64_t Hash = hashOf(*Answer.Refusal);
  const bool IsKnown = Refusals.count(Hash) != 0;
  const bool IsPossible =
      !Outstanding.empty() &&
      (Phase != SessionPhase::Idle || Answer.Phase == SessionPhase::Idle);
  if (!IsPossible)
    return IsKnown ? Verdict::Repeated : Verdict::Mismatched;
  if (Outstanding.front().IsConfirmation) {
    const bool Confirms =
        Outstanding.front().Wanted == Expectation::Rejection &&
        Answer.Refusal->Code == RefusalCode::Malformed &&
        Answer.Phase == SessionPhase::Failed;
    return Confirms ? accept(Answer) : Verdict::Mismatched;
  }
  // The opening may have been refused, and what was taken for its answer a copy
  // of that to an earlier opening.
  const bool EndsTransaction =
      Phase != SessionPhase::Idle && Answer.Phase == SessionPhase::Idle;
  accept(Answer);
  HasLostTransaction = EndsTransaction;
  Refusals.insert(Hash);
  return IsKnown || HasLostTransaction ? Verdict::Unconfirmed
                                       : Verdict::Expected;
}

AnswerMatcher::Verdict
AnswerMatcher::matchResult(const StatementAnswer &Answer) {
  const std::uint64_t Hash = hashText(Answer.Signature);
  if (Signatures.count(Hash) != 0)
    return Verdict::Repeated;
  if (Outstanding.empty() ||
      Outstanding.front().Wanted != Expectation::Result ||
      (Phase == SessionPhase::Idle && Answer.Phase != SessionPhase::Idle))
    return Verdict::Mismatched;
  Signatures.insert(Hash);
  return accept(Answer);
}

AnswerMatcher::Verdict
AnswerMatcher::matchUnsigned(const StatementAnswer &Answer) {
  bool &IsKnown = HasUnsigned.at(static_cast<std::size_t>(Answer.Phase));
  if (!Outstanding.empty() && fits(Outstanding.front(), Answer, Phase)) {
    IsKnown = true;
    return accept(Answer);
  }
  // If it may belong to a later command, the answers before it may be lost.
  const bool FitsLater =
      Outstanding.size() > 1 &&
      std::any_of(std::next(Outstanding.begin()), Outstanding.end(),
                  [&](const Command &Each) {
                    return fits(Each, Answer, Answer.Phase);
                  });
  return IsKnown && Answer.Rows.empty() && !FitsLater ? Verdict::Repeated
                                                      : Verdict::Mismatched;
}

bool AnswerMatcher::fits(const Command &Sent, const StatementAnswer &Answer,
                         SessionPhase Before) {
  switch (Sent.Wanted) {
  case Expectation::Opening:
    return Answer.Rows.empty() && Answer.Phase == SessionPhase::InTransaction;
  case Expectation::Ending:
    return Answer.Rows.empty() && Answer.Phase == SessionPhase::Idle;
  case Expectation::StateChange:
    return Answer.Rows.empty() && Answer.Phase == Before;
  case Expectation::Result:
  case Expectation::Rejection:
    break;
  }
  return false;
}

SessionPhase AnswerMatcher::expectedPhase() const {
  SessionPhase Out = Phase;
  for (const Command &Each : Outstanding) {
    if (Each.Wanted == Expectation::Opening)
      Out = SessionPhase::InTransaction;
    else if (Each.Wanted == Expectation::Ending)
      Out = SessionPhase::Idle;
  }
  return Out;
}

bool AnswerMatcher::awaitsConfirmation() const {
  return std::any_of(Outstanding.begin(), Outstanding.end(),
                     [](const Command &Each) { return Each.IsConfirmation; });
}

} // namespace corianderdyke
