/// \file
/// The catalogue of numbered log events.

#include "Logs/LogEvents.h"

#include "Common/JsonText.h"
#include "Common/SystemClock.h"
#include "Logs/LogRateLimiter.h"
#include "Logs/NonBlockingStdoutSink.h"

#include <map>
#include <spdlog/fmt/chrono.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace corianderdyke {

namespace {

bool JsonLines = false;

/// The rate limiter of an event with a limit. Not synchronised, because only
/// the thread of the event loop writes logs.
LogRateLimiter &rateLimiterOf(const EventDescription &Event) {
  static std::map<EventId, LogRateLimiter> All;
  return All.try_emplace(Event.Id, LogRateLimiter(Event.MaxPerSecond))
      .first->second;
}

const EventDescription &describe(EventId Id) {
  for (const EventDescription &Each : eventCatalogue())
    if (Each.Id == Id)
      return Each;
  return eventCatalogue().front();
}

spdlog::level::level_enum levelOf(Severity Of) {
  switch (Of) {
  case Severity::Warning:
    return spdlog::level::warn;
  case Severity::Error:
    return spdlog::level::err;
  case Severity::Info:
    break;
  }
  return spdlog::level::info;
}

const char *severityName(Severity Of) {
  switch (Of) {
  case Severity::Warning:
    return "warning";
  case Severity::Error:
    return "error";
  case Severity::Info:
    break;
  }
  return "info";
}

/// The wall clock time, for people and for merging the logs of several hosts.
std::string timeNow() {
  const auto Now = std::chrono::system_clock::now();
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(Now)),
                     std::chrono::duration_cast<std::chrono::milliseconds>(
                         Now.time_since_epoch())
                             .count() %
                         1000);
}

std::string humanLine(const EventDescription &Event, const LogFields &Fields) {
  std::string Out =
      "CD" + std::to_string(static_cast<int>(Event.Id)) + " " + Event.Name;
  // Escaped, because names and ids from other processes may hold line ends.
  for (const auto &[Name, Value] : Fields)
    if (!Value.empty())
      Out += " " + Name + "=" + jsonText(Value);
  return Out;
}

std::string jsonLine(const EventDescription &Event, const LogFields &Fields) {
  nlohmann::json Out = {{"time", timeNow()},
                        {"level", severityName(Event.Level)},
                        {"event", static_cast<int>(Event.Id)},
                        {"name", Event.Name}};
  for (const auto &[Name, Value] : Fields)
    if (!Value.empty())
      Out[Name] = Value;
  return jsonText(Out);
}

} // namespace

const std::vector<EventDescription> &eventCatalogue() {
  static const std::vector<EventDescription> All = {
      {EventId::Started, Severity::Info, "started",
       "The process has opened its ports and files and is running; tells the "
       "version and the revision of its sources."},
      {EventId::Stopped, Severity::Info, "stopped",
       "The process ends after a signal."},
      {EventId::StartRefused, Severity::Error, "start-refused",
       "The settings are valid, but a port or the data folder cannot be used."},
      {EventId::Stopping, Severity::Info, "stopping",
       "A graceful stop begins: the process is no longer ready and completes "
       "the requests in flight."},
      {EventId::StopBoundReached, Severity::Warning, "stop-bound-reached",
       "The graceful stop reached its timeout; requests were aborted."},
      {EventId::SettingsReloaded, Severity::Info, "settings-reloaded",
       "A setting that may change while the process runs took effect."},
      {EventId::SettingsRefused, Severity::Error, "settings-refused",
       "The settings file has an error; the process keeps its current "
       "settings."},
      {EventId::RestartNeeded, Severity::Warning, "restart-needed",
       "A changed setting takes effect only after a restart."},
      {EventId::Crashed, Severity::Error, "crashed",
       "A fatal signal ends the process; the fields are the signal, the "
       "address accessed, the program counter and the calls that led there, "
       "innermost first, as offsets for addr2line."},
      {EventId::StateChanged, Severity::Info, "state-changed",
       "A change was committed; the fields are those of the audit trail."},
      {EventId::LeadershipGained, Severity::Info, "leadership-gained",
       "This control host has become the leader."},
      {EventId::LeadershipLost, Severity::Warning, "leadership-lost",
       "This control host is no longer the leader."},
      {EventId::DiskFailed, Severity::Error, "disk-failed",
       "The data folder holds invalid data; the process ends."},
      {EventId::DiskRefuses, Severity::Error, "disk-refuses",
       "A write to the data folder failed. This host neither leads nor votes "
       "until writes succeed again."},
      {EventId::DiskUsable, Severity::Info, "disk-usable",
       "Writes to the data folder succeed again; the state was reloaded."},
      {EventId::GroupStanding, Severity::Info, "group-standing",
       "This control host's role, its term or the voters changed.", 50},
      {EventId::StateRecalled, Severity::Info, "state-recalled",
       "The state in the data folder was restored at the start; its changes "
       "were logged when they were made."},
      {EventId::HeartbeatRefused, Severity::Warning, "heartbeat-refused",
       "A program reported a target of a group that the plan does not name; "
       "the "
       "fields state what conflicts with a target of a named group.",
       20},
      {EventId::LeaseGained, Severity::Info, "lease-gained",
       "The proxy holds a lease and serves callers."},
      {EventId::LeaseLost, Severity::Warning, "lease-lost",
       "The proxy's lease expired; it serves no statements until it has a new "
       "one."},
      {EventId::PlanInForce, Severity::Info, "plan-in-force",
       "The proxy now applies this version of the plan."},
      {EventId::ControlLost, Severity::Warning, "control-lost",
       "No control host answers; the proxy keeps serving callers with its last "
       "known state."},
      {EventId::ControlFound, Severity::Info, "control-found",
       "The leading control host answers."},
      {EventId::StatementRefused, Severity::Warning, "statement-refused",
       "A statement ended without a result; the fields state the code and the "
       "reason.",
       100},
      {EventId::PromotionStep, Severity::Warning, "promotion-step",
       "A step of a change of primary, with the reason for it."},
      {EventId::StatementMoved, Severity::Info, "statement-moved",
       "An attempt at a statement ended without a result; it is retried.", 50},
      {EventId::StatementServed, Severity::Info, "statement-served",
       "A target returned the result of a statement; the fields state where it "
       "ran, its floor (the minimum position), how long it waited, and the "
       "signature, rows and bytes of the result.",
       10},
      {EventId::TargetUnusable, Severity::Warning, "target-unusable",
       "A target could not be reached or did not answer in time.", 20},
      {EventId::ProxiesKnown, Severity::Info, "proxies-known",
       "The list of proxies changed, and with it the assignment of target "
       "connections."},
      {EventId::ReplicasBehind, Severity::Warning, "replicas-behind",
       "For half a second all replicas of a group lacked the positions that "
       "reads require; these reads run at the leader.",
       20},
      {EventId::ReplicaCaughtUp, Severity::Info, "replica-caught-up",
       "A replica of such a group serves reads again.", 20},
      {EventId::PeerUnreachable, Severity::Warning, "peer-unreachable",
       "Another proxy is silent or refuses streams; it gets no statements "
       "until it answers a ping.",
       20},
      {EventId::PeerReachable, Severity::Info, "peer-reachable",
       "A proxy that was unreachable answers again.", 20},
      {EventId::AnswerUnexpected, Severity::Warning, "answer-unexpected",
       "A target sent an answer that belongs to no statement; no caller got "
       "it. The fields state why, and the answer's signature or code, its "
       "phase, position, rows and bytes.",
       20},
      {EventId::LineMalformed, Severity::Warning, "line-malformed",
       "A caller's line is no message, is not allowed at this point, or is a "
       "malformed statement; the fields state its keyword and bytes, never its "
       "text.",
       20},
  };
  return All;
}

std::string eventMarkdown() {
  std::string Out = "| number | name | level | meaning |\n"
                    "| --- | --- | --- | --- |\n";
  for (const EventDescription &Each : eventCatalogue())
    Out += "| " + std::to_string(static_cast<int>(Each.Id)) + " | " +
           Each.Name + " | " + severityName(Each.Level) + " | " + Each.Meaning +
           " |\n";
  return Out;
}

void configureLogging(bool Json, Severity MinSeverity) {
  JsonLines = Json;
  auto Logger = std::make_shared<spdlog::logger>(
      "corianderdyke", std::make_shared<NonBlockingStdoutSink>(STDOUT_FILENO));
  Logger->set_pattern(Json ? "%v" : "%Y-%m-%dT%H:%M:%S.%eZ %l %v",
                      spdlog::pattern_time_type::utc);
  Logger->set_level(levelOf(MinSeverity));
  spdlog::set_default_logger(std::move(Logger));
}

bool writesJsonLogs() { return JsonLines; }

bool admitEvent(EventId Id) {
  const EventDescription &Event = describe(Id);
  return Event.MaxPerSecond == 0 ||
         rateLimiterOf(Event).allow(SystemClock().now());
}

void logEvent(EventId Id, const LogFields &Given) {
  const EventDescription &Event = describe(Id);
  LogFields Fields = Given;
  if (Event.MaxPerSecond != 0)
    if (const auto DroppedCount = rateLimiterOf(Event).takeDroppedCount();
        DroppedCount > 0)
      Fields.emplace_back("left_out", std::to_string(DroppedCount));
  spdlog::log(levelOf(Event.Level), "{}",
              JsonLines ? jsonLine(Event, Fields) : humanLine(Event, Fields));
}

} // namespace corianderdyke
