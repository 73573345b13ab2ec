/// \file
/// Classifies a target's answer by what it proves about the statement.

#include "Proxy/AnswerClassifier.h"

#include "Proxy/TargetProtocol.h"

namespace corianderdyke {

namespace {

constexpr int StatusOk = 200;

AnswerClass refusalOf(const std::string &Reason) {
  if (Reason == target_reason::OtherTerm || Reason == target_reason::NotPrimary)
    return AnswerClass::TermMismatch;
  if (Reason == target_reason::Behind)
    return AnswerClass::BehindFloor;
  if (Reason == target_reason::NotConnected)
    return AnswerClass::NotConnected;
  return AnswerClass::Refused;
}

} // namespace

AnswerClass classifyAnswer(const Expected<HttpResponse> &Answer) {
  if (!Answer || Answer->header(target_header::Term).empty())
    return AnswerClass::NoAnswer;
  const std::string &Reason = Answer->header(target_header::Reason);
  if (!Reason.empty())
    return refusalOf(Reason);
  return Answer->Status == StatusOk ? AnswerClass::Ran : AnswerClass::Failed;
}

} // namespace corianderdyke
