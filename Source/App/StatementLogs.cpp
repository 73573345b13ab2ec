/// \file
/// Log lines about statements.

#include "App/StatementLogs.h"

#include "Logs/LogEvents.h"

namespace corianderdyke {

namespace {

std::string millisText(Millis Duration) {
  return std::to_string(Duration.count());
}

std::string positionText(const std::optional<LogPosition> &Position) {
  return Position ? std::to_string(Position->Term) + "." +
                        std::to_string(Position->Number)
                  : "";
}

/// Bytes of the rows and of the signature or reason, without the framing.
std::size_t bytesOf(const StatementAnswer &Answer) {
  std::size_t Out = Answer.Signature.size();
  if (Answer.Refusal)
    Out += Answer.Refusal->Reason.size();
  for (const std::string &Row : Answer.Rows)
    Out += Row.size();
  return Out;
}

const char *phaseName(SessionPhase Phase) {
  switch (Phase) {
  case SessionPhase::Idle:
    return "idle";
  case SessionPhase::InTransaction:
    return "in-transaction";
  case SessionPhase::Failed:
    break;
  }
  return "failed";
}

void appendAnswer(LogFields &Fields, const StatementAnswer &Answer) {
  Fields.emplace_back("signature", Answer.Signature);
  Fields.emplace_back("rows", std::to_string(Answer.Rows.size()));
  Fields.emplace_back("bytes", std::to_string(bytesOf(Answer)));
}

/// Log fields that explain where a statement is sent.
LogFields fieldsOf(const SessionJob &Job, Millis Now) {
  return {
      {"id", Job.Stmt.Id},
      {"route", Job.Route.Name},
      {"group", Job.Route.Group},
      {"place", Job.Destination == Placement::Primary ? "leader" : "replica"},
      {"floor", positionText(Job.Floor)},
      {"tries", std::to_string(Job.Tries)},
      {"since_ms", millisText(Now - Job.ArrivedAt)},
      {"left_ms", millisText(Job.DeadlineAt - Now)}};
}

} // namespace

const char *refusalCodeName(RefusalCode Code) {
  switch (Code) {
  case RefusalCode::Busy:
    return "busy";
  case RefusalCode::Unreachable:
    return "unreachable";
  case RefusalCode::Aborted:
    return "aborted";
  case RefusalCode::Lagging:
    return "lagging";
  case RefusalCode::ReadOnly:
    return "read-only";
  case RefusalCode::Misrouted:
    return "misrouted";
  case RefusalCode::ConnectionLimit:
    return "connection-limit";
  case RefusalCode::NoStatement:
    return "no-statement";
  case RefusalCode::NoDatabase:
    return "no-database";
  case RefusalCode::Malformed:
    return "malformed";
  case RefusalCode::Failed:
    return "failed";
  case RefusalCode::Timeout:
    return "timeout";
  case RefusalCode::Unauthorised:
    return "unauthorised";
  case RefusalCode::Unknown:
    break;
  }
  return "unknown";
}

const char *outcomeName(const UnexpectedAnswer &What) {
  if (!What.Problem.empty())
    return "malformed";
  return What.Verdict == AnswerMatcher::Verdict::Repeated ? "repeated"
                                                          : "mismatched";
}

void logUnexpectedAnswer(const UnexpectedAnswer &What) {
  if (!admitEvent(EventId::AnswerUnexpected))
    return;
  LogFields Fields = {{"target", What.Target}, {"what", outcomeName(What)}};
  if (What.Problem.empty()) {
    const StatementAnswer &Answer = What.Answer;
    Fields.emplace_back(
        "code", Answer.Refusal ? refusalCodeName(Answer.Refusal->Code) : "");
    Fields.emplace_back("phase", phaseName(Answer.Phase));
    Fields.emplace_back("position", positionText(Answer.Position));
    appendAnswer(Fields, Answer);
  } else {
    Fields.emplace_back("why", What.Problem);
  }
  logEvent(EventId::AnswerUnexpected, Fields);
}

void logMalformedLine(const MalformedLine &What) {
  if (admitEvent(EventId::LineMalformed))
    logEvent(EventId::LineMalformed, {{"id", What.StatementId},
                                      {"session", std::to_string(What.Session)},
                                      {"keyword", What.Keyword},
                                      {"bytes", std::to_string(What.Bytes)},
                                      {"why", What.Problem}});
}

void subscribeStatementLogs(SessionPipeline &Pipeline, const Clock &Time) {
  Pipeline.signalRefused().connect(
      [&Pipeline](const CallerSession &Session, const Statement &Stmt,
                  const StatementRefusal &Refusal, const std::string &Grounds) {
        if (admitEvent(EventId::StatementRefused))
          logEvent(EventId::StatementRefused,
                   {{"id", Stmt.Id},
                    {"database", Session.Database},
                    {"session", std::to_string(Session.Id)},
                    {"organisation", Session.Organisation},
                    {"plan", std::to_string(Pipeline.plan().Version)},
                    {"code", refusalCodeName(Refusal.Code)},
                    {"why", Refusal.Reason},
                    {"grounds", Grounds}});
      });
  Pipeline.signalRetried().connect(
      [&Time](const SessionJob &Job, const StatementRefusal &Refusal) {
        if (!admitEvent(EventId::StatementMoved))
          return;
        LogFields Fields = fieldsOf(Job, Time.now());
        Fields.emplace_back("code", refusalCodeName(Refusal.Code));
        Fields.emplace_back("why", Refusal.Reason);
        logEvent(EventId::StatementMoved, Fields);
      });
  Pipeline.signalReplicasBehind().connect(
      [](const std::string &Group, bool AreBehind) {
        const EventId Event =
            AreBehind ? EventId::ReplicasBehind : EventId::ReplicaCaughtUp;
        if (admitEvent(Event))
          logEvent(Event, {{"group", Group}});
      });
  Pipeline.signalServed().connect([&Time](const SessionJob &Job,
                                          const std::string &Target,
                                          const StatementAnswer &Answer) {
    if (!admitEvent(EventId::StatementServed))
      return;
    LogFields Fields = fieldsOf(Job, Time.now());
    Fields.emplace_back("target", Target);
    appendAnswer(Fields, Answer);
    logEvent(EventId::StatementServed, Fields);
  });
  Pipeline.signalUnexpectedAnswer().connect(&logUnexpectedAnswer);
}

} // namespace corianderdyke
