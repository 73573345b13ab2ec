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
       .Meaning = "What the process does; one or both."},
      {.Table = "[process]",
       .Key = "data_folder",
       .Default = "none",
       .Meaning = "Folder of the control state; control hosts need it."},
      {.Table = "[process]",
       .Key = "log_format",
       .Type = Type::Choice,
       .Choices = {"human", "json"},
       .Default = "human",
       .Meaning = "Lines for people, or one JSON object a line.",
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
       .Meaning = "How long a stopping proxy still takes callers, so that "
                  "the balancer can see that it isn't ready."},
      {.Table = "[process]",
       .Key = "stop_bound_ms",
       .Type = Type::Number,
       .Unit = "ms",
       .Min = 0,
       .Max = 600000,
       .Default = "30000",
       .Meaning = "How long a graceful stop may wait for what is in flight."},
      {.Table = "[process]",
       .Key = "stop_within",
       .Default = "none",
       .Meaning = "Bound of a whole graceful stop, like \"6s\" or "
                  "\"4500ms\"; goes before stop_bound_ms."},
      {.Table = "[process]",
       .Key = "leadership",
       .Type = Type::Choice,
       .Choices = {"leases", "targets"},
       .Default = "leases",
       .Meaning = "What keeps a replaced primary from acknowledging anything: "
                  "leases of the proxies, or the targets themselves."},
      {.Table = "[listen]",
       .Key = "sessions",
       .Type = Type::Address,
       .Default = "none",
       .Meaning = "Callers' sessions; proxies need it where leadership is "
                  "\"targets\"."},
      {.Table = "[listen]",
       .Key = "readiness",
       .Type = Type::Address,
       .Default = "none",
       .Meaning = "The balancer's check; proxies need it where leadership is "
                  "\"targets\"."},
      {.Table = "[listen]",
       .Key = "relay",
       .Type = Type::Address,
       .Default = "none",
       .Meaning = "Statements of other proxies, where they share targets' "
                  "connections; needs leadership \"targets\"."},
      {.Table = "[listen]",
       .Key = "directory",
       .Type = Type::Address,
       .Default = "none",
       .Meaning = "Heartbeats of targets and calls of operators; control "
                  "hosts need it where leadership is \"targets\"."},
      {.Table = "[listen]",
       .Key = "callers",
       .Type = Type::Address,
       .Default = "none",
       .Meaning = "HTTP for callers and targets; proxies need it."},
      {.Table = "[listen]",
       .Key = "operators",
       .Type = Type::Address,
       .Meaning = "HTTP for operators, metrics, health and readiness."},
      {.Table = "[listen]",
       .Key = "peers",
       .Type = Type::Address,
       .Meaning = "UDP and TCP among the system's own processes."},
      {.Table = "[keys]",
       .Key = "peers",
       .Meaning = "Seals messages among the processes; the same everywhere."},
      {.Table = "[keys]",
       .Key = "sessions",
       .Meaning = "Seals session tokens; the same everywhere."},
      {.Table = "[keys]",
       .Key = "targets",
       .Meaning = "Shown by targets that announce themselves."},
      {.Table = "[keys]",
       .Key = "operators",
       .Meaning = "Shown by operators who change something."},
      {.Table = "[group]",
       .Key = "seeds",
       .Type = Type::StringList,
       .Default = "none",
       .Meaning = "Addresses of control hosts to start from, where leadership "
                  "is \"targets\". The group needs no other list."},
      {.Table = "[group]",
       .Key = "may_found",
       .Type = Type::Boolean,
       .Default = "false",
       .Meaning = "The whole system starts for the first time, so that the "
                  "seeds may found a group."},
      {.Table = "[group]",
       .Key = "lost_disks_borne",
       .Type = Type::Number,
       .Min = 0,
       .Max = 100,
       .Default = "1",
       .Meaning = "Disks that may be lost at once; an acknowledged change is "
                  "on one more."},
      {.Table = "[group]",
       .Key = "promotions",
       .Type = Type::Address,
       .Default = "none",
       .Meaning = "Who carries out changes of primary; control hosts need it "
                  "where leadership is \"targets\"."},
      {.Table = "[group]",
       .Key = "quota_overage",
       .Default = "none",
       .Meaning = "Part by which organisations may pass their quotas, like "
                  "\"0.1\", where leadership is \"targets\". Permits use it "
                  "where their former count is lost."},
      {.Table = "[group]",
       .Key = "quota_slack",
       .Default = "none",
       .Meaning = "Operations by which an organisation may pass its quota in "
                  "any window, beside quota_overage."},
      {.Table = "[group]",
       .Key = "quota_window",
       .Default = "none",
       .Meaning = "The window of quota_overage and quota_slack, like \"5s\"; "
                  "5 s where it's left out."},
      {.Table = "[[control]]",
       .Key = "name",
       .Meaning = "Name of a control host; one table for each."},
      {.Table = "[[control]]",
       .Key = "peers",
       .Type = Type::Address,
       .Meaning = "Its peers' address."},
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

/// The listeners and the group where targets enforce their leadership.
void readSteering(TomlReader Listen, TomlReader Group, Settings &Out) {
  Out.SessionEndpoint = Listen.endpoint("sessions");
  Out.ReadinessEndpoint = Listen.endpoint("readiness");
  Out.RelayEndpoint = Listen.endpoint("relay");
  Out.DirectoryEndpoint = Listen.endpoint("directory");
  Out.PeerEndpoint = Listen.endpoint("peers");
  if (Listen.has("operators"))
    Out.OperatorEndpoint = Listen.endpoint("operators");
  const auto Need = [](TomlReader &In, const char *Key, bool IsMissing) {
    if (IsMissing)
      In.addFinding(Key, std::string("'") + Key + "' is missing",
                    "this role needs it where leadership is \"targets\"");
  };
  Need(Listen, "sessions", Out.IsProxy && Out.SessionEndpoint.Port == 0);
  Need(Listen, "readiness", Out.IsProxy && Out.ReadinessEndpoint.Port == 0);
  Need(Listen, "directory", Out.IsControl && Out.DirectoryEndpoint.Port == 0);
  for (const std::string &Each : Group.stringList("seeds")) {
    const auto Parsed = Endpoint::parse(Each);
    if (Parsed)
      Out.Seeds.push_back(*Parsed);
    else
      Group.addFinding("seeds", Parsed.error().Message);
  }
  Need(Group, "seeds", Out.Seeds.empty());
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
  // Each key is known to others: targets know one, operators another. With
  // the peers' key anyone can speak as a control host.
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
    readSteering(In.table("listen"), In.table("group"), Out);
    TomlReader Keys = In.table("keys");
    Out.PeerKey = readKey(Keys, "peers");
    Keys.reportUnknownKeys();
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
