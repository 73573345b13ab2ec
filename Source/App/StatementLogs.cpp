/// \file
/// The log lines about statements.

#include "App/StatementLogs.h"

#include "Logs/LogEvents.h"

namespace corianderdyke {

namespace {

std::string refusalText(Millis Span) { return std::to_string(Span.count()); }

std::string refusalText(const std::optional<LogPosition> &Position) {
  return Position ? std::to_string(Position->Term) + "." +
                        std::to_string(Position->Number)
                  : "";
}

/// What decided where a statement goes.
LogFields fieldsOf(const SessionJob &Job, Millis Now) {
  return {
      {"id", Job.Stmt.Id},
      {"route", Job.Route.Name},
      {"group", Job.Route.Group},
      {"place", Job.Destination == Placement::Primary ? "leader" : "replica"},
      {"floor", refusalText(Job.Floor)},
      {"tries", std::to_string(Job.Tries)},
      {"since_ms", refusalText(Now - Job.ArrivedAt)},
      {"left_ms", refusalText(Job.DeadlineAt - Now)}};
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

void subscribeStatementLogs(SessionPipeline &Pipeline, const Clock &Time) {
  Pipeline.signalRefused().connect(
      [&Pipeline](const CallerSession &Session, const Statement &What,
                  const StatementRefusal &Why, const std::string &Grounds) {
        if (admitEvent(EventId::StatementRefused))
          logEvent(EventId::StatementRefused,
                   {{"id", What.Id},
                    {"database", Session.Database},
                    {"session", std::to_string(Session.Id)},
                    {"organisation", Session.Organisation},
                    {"plan", std::to_string(Pipeline.plan().Version)},
                    {"code", refusalCodeName(Why.Code)},
                    {"why", Why.Reason},
                    {"grounds", Grounds}});
      });
  Pipeline.signalRetried().connect(
      [&Time](const SessionJob &Job, const StatementRefusal &Why) {
        if (!admitEvent(EventId::StatementMoved))
          return;
        LogFields Fields = fieldsOf(Job, Time.now());
        Fields.emplace_back("code", refusalCodeName(Why.Code));
        Fields.emplace_back("why", Why.Reason);
        logEvent(EventId::StatementMoved, Fields);
      });
  Pipeline.signalServed().connect(
      [&Time](const SessionJob &Job, const std::string &Target) {
        if (!admitEvent(EventId::StatementServed))
          return;
        LogFields Fields = fieldsOf(Job, Time.now());
        Fields.emplace_back("target", Target);
        logEvent(EventId::StatementServed, Fields);
      });
}

} // namespace corianderdyke
