/// \file
/// Reads the settings of one process from TOML.

#include "Settings/Settings.h"

#include "Settings/TomlReader.h"

#include <algorithm>

namespace corianderdyke {

namespace {

constexpr std::size_t MinKeyLength = 16;

std::vector<KeyDescription> describeKeys() {
  using Type = KeyType;
  return {
      {.Table = "[process]",
       .Key = "name",
       .Meaning = "Name of the process, unique in the system."},
      {.Table = "[process]",
       .Key = "region",
       .Default = "default",
       .Meaning = "Region of the host."},
      {.Table = "[process]",
       .Key = "failure_domain",
       .Meaning = "Failure domain of the host."},
      {.Table = "[process]",
       .Key = "host",
       .Default = "the process's name",
       .Meaning = "Name of the host."},
      {.Table = "[process]",
       .Key = "roles",
       .Type = Type::StringList,
       .Choices = {"proxy", "control"},
       .Meaning = "Roles of the process; one or both."},
      {.Table = "[process]",
       .Key = "data_folder",
       .Default = "none",
       .Meaning = "Folder of the control state; required for control hosts."},
      {.Table = "[process]",
       .Key = "log_format",
       .Type = Type::Choice,
       .Choices = {"human", "json"},
       .Default = "human",
       .Meaning = "Lines for people, or one JSON object per line.",
       .IsReloadable = true},
      {.Table = "[process]",
       .Key = "log_level",
       .Type = Type::Choice,
       .Choices = {"info", "warning", "error"},
       .Default = "info",
       .Meaning = "The least severe log events that are written.",
       .IsReloadable = true},
      {.Table = "[process]",
       .Key = "stop_notice_ms",
       .Type = Type::Number,
       .Unit = "ms",
       .Min = 0,
       .Max = 600000,
       .Default = "2000",
       .Meaning = "How long a stopping proxy still accepts callers, so that "
                  "the load balancer can detect that it is not ready."},
      {.Table = "[process]",
       .Key = "stop_bound_ms",
       .Type = Type::Number,
       .Unit = "ms",
       .Min = 0,
       .Max = 600000,
       .Default = "30000",
       .Meaning = "How long a graceful stop may wait for requests in flight."},
      {.Table = "[process]",
       .Key = "stop_within",
       .Default = "none",
       .Meaning = "Timeout of a graceful stop, like \"6s\" or \"4500ms\"; "
                  "overrides stop_bound_ms."},
      {.Table = "[process]",
       .Key = "leadership",
       .Type = Type::Choice,
       .Choices = {"leases", "targets"},
       .Default = "leases",
       .Meaning =
           "What prevents a replaced primary from acknowledging statements: "
           "leases of the proxies, or the targets themselves."},
      {.Table = "[listen]",
       .Key = "sessions",
       .Type = Type::Address,
       .Default = "none",
       .Meaning = "Sessions of callers; required for proxies if leadership is "
                  "\"targets\"."},
      {.Table = "[listen]",
       .Key = "readiness",
       .Type = Type::Address,
       .Default = "none",
       .Meaning = "Readiness check of the load balancer; required for proxies "
                  "if leadership is \"targets\"."},
      {.Table = "[listen]",
       .Key = "relay",
       .Type = Type::Address,
       .Default = "none",
       .Meaning = "Statements of other proxies, which share connections to "
                  "targets; only if leadership is \"targets\"."},
      {.Table = "[listen]",
       .Key = "directory",
       .Type = Type::Address,
       .Default = "none",
       .Meaning = "Heartbeats of targets and requests of operators; required "
                  "for control hosts if leadership is \"targets\"."},
      {.Table = "[listen]",
       .Key = "callers",
       .Type = Type::Address,
       .Default = "none",
       .Meaning = "HTTP for callers and targets; required for proxies if "
                  "leadership is \"leases\"."},
      {.Table = "[listen]",
       .Key = "operators",
       .Type = Type::Address,
       .Meaning = "HTTP for operators, metrics, health and readiness."},
      {.Table = "[listen]",
       .Key = "peers",
       .Type = Type::Address,
       .Meaning = "UDP and TCP between the processes of the system."},
      {.Table = "[keys]",
       .Key = "peers",
       .Meaning =
           "Authenticates messages between processes; the same on all hosts."},
      {.Table = "[keys]",
       .Key = "sessions",
       .Meaning = "Authenticates session tokens; the same on all hosts."},
      {.Table = "[keys]",
       .Key = "targets",
       .Meaning = "Sent by targets with their announcements."},
      {.Table = "[keys]",
       .Key = "operators",
       .Meaning = "Sent by operators with changes."},
      {.Table = "[group]",
       .Key = "seeds",
       .Type = Type::StringList,
       .Default = "none",
       .Meaning = "Addresses of control hosts to contact first, if leadership "
                  "is \"targets\". The group needs no other list."},
      {.Table = "[group]",
       .Key = "may_found",
       .Type = Type::Boolean,
       .Default = "false",
       .Meaning = "Whether the seeds may form a new group, because the whole "
                  "system starts for the first time."},
      {.Table = "[group]",
       .Key = "lost_disks_borne",
       .Type = Type::Number,
       .Min = 0,
       .Max = 100,
       .Default = "1",
       .Meaning = "Number of disks that may fail simultaneously; an "
                  "acknowledged change is stored on one more, and control "
                  "hosts that are gone leave the group if it can't bear that "
                  "loss with them."},
      {.Table = "[group]",
       .Key = "promotions",
       .Type = Type::Address,
       .Default = "none",
       .Meaning = "The service that executes changes of primary; control hosts "
                  "need it if leadership is \"targets\"."},
      {.Table = "[group]",
       .Key = "quota_overage",
       .Default = "none",
       .Meaning = "Part by which organisations may exceed their quotas, like "
                  "\"0.1\", if leadership is \"targets\". It is used for "
                  "permits whose previous count was lost."},
      {.Table = "[group]",
       .Key = "quota_slack",
       .Default = "none",
       .Meaning = "Operations by which an organisation may exceed its quota in "
                  "any window, in addition to quota_overage."},
      {.Table = "[group]",
       .Key = "quota_window",
       .Default = "none",
       .Meaning = "The window of quota_overage and quota_slack, like \"5s\"; 5 "
                  "s if omitted."},
      {.Table = "[load]",
       .Key = "late_service",
       .Type = Type::Boolean,
       .Default = "false",
       .Meaning = "Whether statements that miss their objective wait "
                  "for capacity that others leave, if they can still "
                  "meet their timeout."},
      {.Table = "[load]",
       .Key = "urgent_room",
       .Type = Type::Boolean,
       .Default = "false",
       .Meaning = "Whether less urgent statements leave capacity at a "
                  "target while urgent ones arrive."},
      {.Table = "[load]",
       .Key = "lead_relief",
       .Type = Type::Boolean,
       .Default = "false",
       .Meaning = "Whether the lead of a group whose replicas all lag "
                  "is moved off its saturated primary; on proxies and "
                  "control hosts."},
      {.Table = "[load]",
       .Key = "replica_progress",
       .Type = Type::Boolean,
       .Default = "false",
       .Meaning = "Whether reads go only to replicas that are "
                  "expected to hold their floor."},
      {.Table = "[load]",
       .Key = "reach_reports",
       .Type = Type::Boolean,
       .Default = "false",
       .Meaning = "Whether proxies report which targets they reach, "
                  "and probe silent proxies before they send them "
                  "statements."},
      {.Table = "[load]",
       .Key = "quota_forecast",
       .Type = Type::Boolean,
       .Default = "false",
       .Meaning = "Whether refused callers get a place in order for a "
                  "short time."},
      {.Table = "[load]",
       .Key = "permit_forwarding",
       .Type = Type::Boolean,
       .Default = "false",
       .Meaning = "Whether permits are requested through control "
                  "hosts where no holder of a quota's seats is "
                  "reachable."},
      {.Table = "[load]",
       .Key = "share_below",
       .Default = "none",
       .Meaning = "Proxies share the connections to a target below this many "
                  "connections for each proxy, like \"1.5\"; 1 if omitted."},
      {.Table = "[[control]]",
       .Key = "name",
       .Meaning = "Name of a control host; one table per host."},
      {.Table = "[[control]]",
       .Key = "peers",
       .Type = Type::Address,
       .Meaning = "Address of its peers listener."},
  };
}

void readRoles(TomlReader &In, Settings &Out) {
  const std::size_t Before = In.findingCount();
  const std::vector<std::string> Given = In.stringList("roles");
  for (const std::string &Role : Given) {
    if (Role == "proxy")
      Out.IsProxy = true;
    else if (Role == "control")
      Out.IsControl = true;
    else
      In.addFinding("roles", "unknown role '" + Role + "'",
                    "a role is \"proxy\" or \"control\"");
  }
  if (Given.empty() && Before == In.findingCount())
    In.addFinding("roles", "the process has no role",
                  "write roles = [\"proxy\"], [\"control\"] or both");
}

void readProcess(TomlReader In, Settings &Out) {
  Out.Name = In.string("name");
  Out.OwnLocality.Region = In.string("region", "default");
  Out.OwnLocality.FailureDomain = In.string("failure_domain");
  Out.OwnLocality.Host = In.string("host", Out.Name);
  readRoles(In, Out);
  Out.DataFolder = In.string("data_folder");
  if (Out.IsControl && Out.DataFolder.empty())
    In.addFinding("data_folder", "a control host needs 'data_folder'",
                  "name a folder on a disk that lasts");
  Out.JsonLogs = In.choiceIndex("log_format") == 1;
  Out.Level = static_cast<LogLevel>(In.choiceIndex("log_level"));
  Out.DrainDelay = In.millis("stop_notice_ms");
  Out.StopTimeout = In.millis("stop_bound_ms");
  if (const Millis Within = In.duration("stop_within"); Within > Millis(0))
    Out.StopTimeout = Within;
  Out.Fencing = static_cast<FencingMode>(In.choiceIndex("leadership"));
  In.reportUnknownKeys();
}

/// Reads the listeners and the group for FencingMode::Targets.
void readTargetFencingMode(TomlReader Listen, TomlReader Group, Settings &Out) {
  Out.SessionEndpoint = Listen.endpoint("sessions");
  Out.ReadinessEndpoint = Listen.endpoint("readiness");
  Out.RelayEndpoint = Listen.endpoint("relay");
  Out.DirectoryEndpoint = Listen.endpoint("directory");
  Out.PeerEndpoint = Listen.endpoint("peers");
  if (Listen.has("operators"))
    Out.OperatorEndpoint = Listen.endpoint("operators");
  const auto Require = [](TomlReader &In, const char *Key, bool IsMissing) {
    if (IsMissing)
      In.addFinding(Key, std::string("'") + Key + "' is missing",
                    "this role needs it where leadership is \"targets\"");
  };
  Require(Listen, "sessions", Out.IsProxy && Out.SessionEndpoint.Port == 0);
  Require(Listen, "readiness", Out.IsProxy && Out.ReadinessEndpoint.Port == 0);
  Require(Listen, "directory",
          Out.IsControl && Out.DirectoryEndpoint.Port == 0);
  for (const std::string &Each : Group.stringList("seeds")) {
    const auto Parsed = Endpoint::parse(Each);
    if (Parsed)
      Out.Seeds.push_back(*Parsed);
    else
      Group.addFinding("seeds", Parsed.error().Message);
  }
  Require(Group, "seeds", Out.Seeds.empty());
  Out.MayBootstrap = Group.flag("may_found");
  Out.ToleratedDiskLosses = Group.count("lost_disks_borne");
  Out.PromotionEndpoint = Group.endpoint("promotions");
  Out.QuotaOverageRatio = Group.decimal("quota_overage");
  Out.QuotaOverageOperations = Group.decimal("quota_slack");
  if (const Millis Window = Group.duration("quota_window"); Window > Millis(0))
    Out.QuotaWindow = Window;
  Listen.reportUnknownKeys();
  Group.reportUnknownKeys();
}

void readLoad(TomlReader In, LoadOptions &Out) {
  Out.LateService = In.flag("late_service");
  Out.UrgentRoom = In.flag("urgent_room");
  Out.LeadRelief = In.flag("lead_relief");
  Out.ReplicaProgress = In.flag("replica_progress");
  Out.ReachReports = In.flag("reach_reports");
  Out.QuotaForecast = In.flag("quota_forecast");
  Out.PermitForwarding = In.flag("permit_forwarding");
  if (In.has("share_below"))
    Out.ShareBelow = In.decimal("share_below");
  In.reportUnknownKeys();
}

void readListen(TomlReader In, Settings &Out) {
  Out.CallerEndpoint = In.endpoint("callers");
  Out.OperatorEndpoint = In.endpoint("operators");
  Out.PeerEndpoint = In.endpoint("peers");
  if (Out.IsProxy && Out.CallerEndpoint.Port == 0)
    In.addFinding("callers", "a proxy needs 'callers'",
                  "write callers = \"address:port\"");
  const bool Shared =
      Out.OperatorEndpoint.Port != 0 &&
      (Out.OperatorEndpoint == Out.PeerEndpoint ||
       (Out.IsProxy && Out.OperatorEndpoint == Out.CallerEndpoint));
  if (Shared)
    In.addFinding("operators",
                  "two listeners share " + Out.OperatorEndpoint.text(),
                  "give each its own port");
  if (Out.IsProxy && Out.PeerEndpoint.Port != 0 &&
      Out.CallerEndpoint == Out.PeerEndpoint)
    In.addFinding("callers", "two listeners share " + Out.CallerEndpoint.text(),
                  "give each its own port");
  In.reportUnknownKeys();
}

std::string readKey(TomlReader &In, const std::string &Key) {
  std::string Value = In.string(Key);
  if (!Value.empty() && Value.size() < MinKeyLength)
    In.addFinding(Key, "'" + Key + "' is too short to be a key",
                  "use 16 characters or more");
  return Value;
}

void readKeys(TomlReader In, Settings &Out) {
  Out.PeerKey = readKey(In, "peers");
  Out.SessionKey = readKey(In, "sessions");
  Out.TargetKey = readKey(In, "targets");
  Out.OperatorKey = readKey(In, "operators");
  // Targets and operators know their keys, so neither may equal the peer or
  // session key: with the peer key they could send messages as a control host.
  for (const std::string *Other : {&Out.TargetKey, &Out.OperatorKey})
    if (!Other->empty() &&
        (*Other == Out.PeerKey || *Other == Out.SessionKey)) {
      In.addFinding("peers",
                    "a key that outsiders know is also one of the "
                    "system's own",
                    "use another key for each line");
      break;
    }
  In.reportUnknownKeys();
}

void readControls(TomlReader &In, Settings &Out) {
  In.tables("control", [&Out](TomlReader &Each) {
    Out.ControlHosts.push_back({Each.string("name"), Each.endpoint("peers")});
    for (std::size_t Index = 0; Index + 1 < Out.ControlHosts.size(); ++Index)
      if (Out.ControlHosts[Index].Name == Out.ControlHosts.back().Name)
        Each.addFinding("name", "two control hosts are named '" +
                                    Out.ControlHosts.back().Name + "'");
  });
  if (Out.ControlHosts.empty())
    In.addFinding("control", "no control host is named",
                  "add a [[control]] table for each");
  const auto Self = std::find_if(
      Out.ControlHosts.begin(), Out.ControlHosts.end(),
      [&Out](const ControlHost &Each) { return Each.Name == Out.Name; });
  if (!Out.IsControl)
    return;
  if (Self == Out.ControlHosts.end())
    In.addFinding("control", "this control host isn't in the [[control]] list",
                  "add a table with name = \"" + Out.Name + "\"");
  else if (Self->PeerEndpoint.Port != Out.PeerEndpoint.Port)
    In.addFinding("control",
                  "the [[control]] list has " + Self->PeerEndpoint.text() +
                      " for this host, which listens on " +
                      Out.PeerEndpoint.text(),
                  "use the same port in both");
}

} // namespace

const KeySchema &settingKeys() {
  static const KeySchema All(describeKeys());
  return All;
}

tl::expected<Settings, Findings> parseSettings(const std::string &File,
                                               const std::string &Text) {
  Findings Found;
  const toml::table Root = parseToml(File, Text, Found);
  if (!Found.empty())
    return tl::unexpected(Found);
  TomlReader In(File, settingKeys(), Root, Found);
  Settings Out;
  readProcess(In.table("process"), Out);
  if (Out.Fencing == FencingMode::Targets) {
    readTargetFencingMode(In.table("listen"), In.table("group"), Out);
    TomlReader Keys = In.table("keys");
    Out.PeerKey = readKey(Keys, "peers");
    Keys.reportUnknownKeys();
    readLoad(In.table("load"), Out.Load);
  } else {
    readListen(In.table("listen"), Out);
    readKeys(In.table("keys"), Out);
    readControls(In, Out);
  }
  In.reportUnknownKeys();
  if (!Found.empty())
    return tl::unexpected(sortByPosition(std::move(Found)));
  return Out;
}

} // namespace corianderdyke
