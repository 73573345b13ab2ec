/// \file
/// The catalogue of numbered log events. Help/log-events.md lists the same.

#ifndef CORIANDERDYKE_LOGS_LOGEVENTS_H
#define CORIANDERDYKE_LOGS_LOGEVENTS_H

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace corianderdyke {

/// A number is never given to another event, so that alerts stay valid.
enum class EventId : std::uint16_t {
  Started = 100,
  Stopped = 101,
  StartRefused = 102,
  Stopping = 103,
  StopBoundReached = 104,
  SettingsReloaded = 105,
  SettingsRefused = 106,
  RestartNeeded = 107,
  Crashed = 108,
  StateChanged = 200,
  LeadershipGained = 201,
  LeadershipLost = 202,
  DiskFailed = 203,
  DiskRefuses = 204,
  DiskUsable = 205,
  GroupStanding = 206,
  StateRecalled = 207,
  LeaseGained = 300,
  LeaseLost = 301,
  PlanInForce = 400,
  ControlLost = 401,
  ControlFound = 402,
  StatementRefused = 403,
  StatementMoved = 405,
  StatementServed = 406,
  TargetUnusable = 407,
  ProxiesKnown = 408,
  PromotionStep = 404,
};

enum class Severity : std::uint8_t { Info, Warning, Error };

struct EventDescription {
  EventId Id;
  Severity Level;
  const char *Name;
  const char *Meaning;
  /// Lines a second that a process writes at most; 0 for no bound.
  std::uint32_t MaxPerSecond = 0;
};

/// All events in the order of their numbers.
const std::vector<EventDescription> &eventCatalogue();

/// The catalogue as rows of a Markdown table, as the manual has them.
std::string eventMarkdown();

/// Sends later events of \p MinSeverity severity or more to standard output, as
/// lines for people or as one JSON object a line.
void configureLogging(bool Json, Severity MinSeverity);
/// True where lines are JSON objects. May be called inside a signal handler.
bool writesJsonLogs();

/// True where an event would be written now; else it's counted as left out.
/// Saves making the fields of events that come with every statement.
bool admitEvent(EventId Id);

using LogFields = std::vector<std::pair<std::string, std::string>>;

/// Writes an event with its fields; empty fields are left out.
void logEvent(EventId Id, const LogFields &Given);

} // namespace corianderdyke

#endif
