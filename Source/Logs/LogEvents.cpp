/// \file
/// The catalogue of numbered log events.

#include "Logs/LogEvents.h"

#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_color_sinks.h>
#include <spdlog/spdlog.h>

namespace corianderdyke {

namespace {

bool JsonLines = false;

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

std::string humanLine(const EventDescription &Event, const LogFields &Fields) {
  std::string Out =
      "CD" + std::to_string(static_cast<int>(Event.Id)) + " " + Event.Name;
  for (const auto &[Name, Value] : Fields)
    if (!Value.empty())
      Out += " " + Name + "=\"" + Value + "\"";
  return Out;
}

std::string jsonLine(const EventDescription &Event, const LogFields &Fields) {
  nlohmann::json Out = {{"event", static_cast<int>(Event.Id)},
                        {"name", Event.Name}};
  for (const auto &[Name, Value] : Fields)
    if (!Value.empty())
      Out[Name] = Value;
  return Out.dump();
}

} // namespace

const std::vector<EventDescription> &eventCatalogue() {
  static const std::vector<EventDescription> All = {
      {EventId::Started, Severity::Info, "started",
       "The process has opened its ports and files and begins its work."},
      {EventId::Stopped, Severity::Info, "stopped",
       "The process ends after a signal."},
      {EventId::StartRefused, Severity::Error, "start-refused",
       "The settings are good, but a port or the data folder isn't usable."},
      {EventId::StateChanged, Severity::Info, "state-changed",
       "A change was committed; the fields are those of the audit trail."},
      {EventId::LeadershipGained, Severity::Info, "leadership-gained",
       "This control host leads from now on."},
      {EventId::LeadershipLost, Severity::Warning, "leadership-lost",
       "This control host doesn't lead any more."},
      {EventId::DiskFailed, Severity::Error, "disk-failed",
       "A write to the data folder failed; the process ends."},
      {EventId::LeaseGained, Severity::Info, "lease-gained",
       "The proxy holds a lease and serves callers."},
      {EventId::LeaseLost, Severity::Warning, "lease-lost",
       "The proxy's lease ran out; it serves nothing until it has another."},
  };
  return All;
}

void setUpLogs(bool Json) {
  JsonLines = Json;
  auto Logger = spdlog::stderr_color_st("corianderdyke");
  Logger->set_pattern(Json ? "%v" : "%Y-%m-%dT%H:%M:%S.%eZ %l %v",
                      spdlog::pattern_time_type::utc);
  spdlog::set_default_logger(std::move(Logger));
}

void logEvent(EventId Id, const LogFields &Fields) {
  const EventDescription &Event = describe(Id);
  spdlog::log(levelOf(Event.Level), "{}",
              JsonLines ? jsonLine(Event, Fields) : humanLine(Event, Fields));
}

} // namespace corianderdyke
