/// \file
/// Reads the settings of one process from TOML.

#include "Settings/Settings.h"

#include "Settings/TomlReader.h"

namespace corianderdyke {

namespace {

constexpr std::size_t MinKeyLength = 16;

void readProcess(TomlReader In, Settings &Out) {
  Out.Name = In.requiredText("name");
  Out.Where.Region = In.text("region", "default");
  Out.Where.FailureDomain = In.requiredText("failure_domain");
  Out.Where.Host = In.text("host", Out.Name);
  for (const std::string &Role : In.texts("roles")) {
    if (Role == "proxy")
      Out.IsProxy = true;
    else if (Role == "control")
      Out.IsControl = true;
    else
      In.report("roles", "unknown role '" + Role + "'",
                "a role is \"proxy\" or \"control\"");
  }
  if (!Out.IsProxy && !Out.IsControl)
    In.report("roles", "the process has no role",
              "write roles = [\"proxy\"], [\"control\"] or both");
  Out.DataFolder = In.text("data_folder", "");
  if (Out.IsControl && Out.DataFolder.empty())
    In.report("data_folder", "a control host needs 'data_folder'");
  Out.JsonLogs = In.word("log_format", {"human", "json"}, 0) == 1;
  In.finish();
}

std::string readKey(TomlReader &In, const std::string &Key) {
  std::string Value = In.requiredText(Key);
  if (!Value.empty() && Value.size() < MinKeyLength)
    In.report(Key, "'" + Key + "' is too short to be a key",
              "use 16 characters or more");
  return Value;
}

} // namespace

tl::expected<Settings, Findings> parseSettings(const std::string &File,
                                               const std::string &Text) {
  Findings Found;
  const toml::table Root = parseToml(File, Text, Found);
  if (!Found.empty())
    return tl::unexpected(Found);
  TomlReader In(File, "the settings", &Root, Found);
  Settings Out;
  readProcess(In.table("process"), Out);
  TomlReader Listen = In.table("listen");
  Out.Callers = Listen.endpoint("callers", Out.IsProxy);
  Out.Operators = Listen.endpoint("operators", true);
  Out.Peers = Listen.endpoint("peers", true);
  Listen.finish();
  TomlReader Keys = In.table("keys");
  Out.PeerKey = readKey(Keys, "peers");
  Out.SessionKey = readKey(Keys, "sessions");
  Out.TargetKey = readKey(Keys, "targets");
  Keys.finish();
  In.tables("control", [&Out](TomlReader &Each) {
    Out.Controls.push_back(
        {Each.requiredText("name"), Each.endpoint("peers", true)});
  });
  if (Out.Controls.empty())
    In.report("control", "no control host is named",
              "add a [[control]] table for each");
  bool Named = false;
  for (const ControlHost &Each : Out.Controls)
    Named = Named || Each.Name == Out.Name;
  if (Out.IsControl && !Named)
    In.report("control", "this control host isn't in the [[control]] list",
              "add a table with name = \"" + Out.Name + "\"");
  In.finish();
  if (!Found.empty())
    return tl::unexpected(Found);
  return Out;
}

} // namespace corianderdyke
