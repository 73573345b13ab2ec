/// \file
/// The log lines about statements.

#include "App/StatementLogs.h"

#include "Logs/LogEvents.h"

namespace corianderdyke {

namespace {

std::string text(Millis Span) { return std::to_string(Span.count()); }

std::string text(const std::optional<LogPosition> &Position) {
  return Position ? std::to_string(Position->Term) + "." +
                        std::to_string(Position->Number)
                  : "";
}

/// What decided where a statement goes.
LogFields fieldsOf(const SessionJob &Job, Millis Now) {
  return {{"id", Job.What.Id},
          {"route", Job.Route.Name},
          {"group", Job.Route.Group},
          {"place", Job.Where == Placement::Leader ? "leader" : "replica"},
          {"floor", text(Job.Floor)},
          {"tries", std::to_string(Job.Tries)},
          {"since_ms", text(Now - Job.ArrivedAt)},
          {"left_ms", text(Job.DeadlineAt - Now)}};
}

} // namespace

const char *refusalWord(RefusalCode Code) {
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

void logStatements(SessionPipeline &Of, const Clock &Time) {
  Of.signalRefused().connect(
      [&Of](const CallerSession &Session, const Statement &What,
            const StatementRefusal &Why, const std::string &Grounds) {
        if (wantsEvent(EventId::StatementRefused))
          logEvent(EventId::StatementRefused,
                   {{"id", What.Id},
                    {"database", Session.Database},
                    {"session", std::to_string(Session.Id)},
                    {"organisation", Session.Organisation},
                    {"plan", std::to_string(Of.plan().Version)},
                    {"code", refusalWord(Why.Code)},
                    {"why", Why.Why},
                    {"grounds", Grounds}});
      });
  Of.signalMoved().connect(
      [&Time](const SessionJob &Job, const StatementRefusal &Why) {
        if (!wantsEvent(EventId::StatementMoved))
          return;
        LogFields Fields = fieldsOf(Job, Time.now());
        Fields.emplace_back("code", refusalWord(Why.Code));
        Fields.emplace_back("why", Why.Why);
        logEvent(EventId::StatementMoved, Fields);
      });
  Of.signalServed().connect(
      [&Time](const SessionJob &Job, const std::string &Target) {
        if (!wantsEvent(EventId::StatementServed))
          return;
        LogFields Fields = fieldsOf(Job, Time.now());
        Fields.emplace_back("target", Target);
        logEvent(EventId::StatementServed, Fields);
      });
}

} // namespace corianderdyke
