/// \file
/// Judges what a target's answer proves about a statement.

#include "Proxy/AnswerJudge.h"

#include "Proxy/TargetProtocol.h"

namespace corianderdyke {

namespace {

constexpr int StatusOk = 200;

Verdict refusalOf(const std::string &Reason) {
  if (Reason == target_reason::OtherTerm || Reason == target_reason::NotPrimary)
    return Verdict::OtherTerm;
  if (Reason == target_reason::Behind)
    return Verdict::Behind;
  if (Reason == target_reason::NotConnected)
    return Verdict::Stale;
  return Verdict::Refused;
}

} // namespace

Verdict judge(const Expected<HttpResponse> &Answer) {
  if (!Answer || Answer->header(target_header::Term).empty())
    return Verdict::Lost;
  const std::string &Reason = Answer->header(target_header::Reason);
  if (!Reason.empty())
    return refusalOf(Reason);
  return Answer->Status == StatusOk ? Verdict::Ran : Verdict::Failed;
}

} // namespace corianderdyke
