/// \file
/// The catalogue of numbered log events, which Help/log-events.md documents.

#ifndef CORIANDERDYKE_LOGS_LOGEVENTS_H
#define CORIANDERDYKE_LOGS_LOGEVENTS_H

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace corianderdyke {

/// Numbers are never reused for another event, so that alerts stay valid.
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
  HeartbeatRefused = 208,
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
  ReplicasBehind = 409,
  ReplicaCaughtUp = 410,
  PeerUnreachable = 411,
  PeerReachable = 412,
  AnswerUnexpected = 413,
  LineMalformed = 414,
  PromotionStep = 404,
};

enum class Severity : std::uint8_t { Info, Warning, Error };

struct EventDescription {
  EventId Id;
  Severity Level;
  const char *Name;
  const char *Meaning;
  /// Maximum number of lines per second and process; 0 for no limit.
  std::uint32_t MaxPerSecond = 0;
};

/// All events in the order of their numbers.
const std::vector<EventDescription> &eventCatalogue();

/// The catalogue as the Markdown table of the manual.
std::string eventMarkdown();

/// Writes later events of at least \p MinSeverity to standard output, as lines
/// for people or as one JSON object per line.
void configureLogging(bool Json, Severity MinSeverity);
/// True if lines are JSON objects. May be called in a signal handler.
bool writesJsonLogs();

/// True if the rate limit admits the event now; otherwise counts it as dropped.
/// Called before the fields of an event are built, which saves that cost for
/// events that occur with every statement.
bool admitEvent(EventId Id);

using LogFields = std::vector<std::pair<std::string, std::string>>;

/// Writes an event with its fields; empty fields are omitted.
void logEvent(EventId Id, const LogFields &Given);

} // namespace corianderdyke

#endif
