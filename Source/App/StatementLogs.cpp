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
