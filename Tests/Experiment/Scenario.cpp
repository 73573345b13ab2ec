/// \file
/// Reads scenarios.

#include "Scenario.h"

#include "Settings/TomlReader.h"

namespace corianderdyke {

namespace {

constexpr Micros PerMilli = 1000;
constexpr std::int64_t Most = 1000000;

std::uint32_t count(TomlReader &In, const std::string &Key,
                    std::int64_t Default, std::int64_t Least = 0) {
  return static_cast<std::uint32_t>(In.number(Key, Default, Least, Most));
}

Micros millis(TomlReader &In, const std::string &Key, std::int64_t Default) {
  return In.number(Key, Default, 0, Most) * PerMilli;
}

/// The sizes that the brief gives.
Expected<Deployment> deployment(const std::string &Name) {
  Deployment Out;
  Out.Name = Name;
  if (Name == "riga")
    return Out;
  if (Name != "taichung")
    return fail(ErrorCode::BadInput, "no deployment '" + Name + "'");
  Out.Connections = 30;
  Out.TargetHop = 1500;
  Out.CallerHop = 3000;
  return Out;
}

KindPolicy readKind(TomlReader &In) {
  KindPolicy Out;
  Out.Name = In.requiredText("name");
  Out.Mode = In.word("access", {"read", "write"}, 0) == 0 ? Access::Read
                                                          : Access::Write;
  Out.AcceptedAge = Millis(In.number("accepted_age_ms", 1000, 0, Most));
  Out.Deadline = Millis(In.number("deadline_ms", 1000, 1, Most));
  Out.Weight = count(In, "weight", 1, 1);
  return Out;
}

Load readLoad(TomlReader &In, Micros Length) {
  Load Out;
  Out.Organisation = In.requiredText("organisation");
  Out.Kind = In.requiredText("kind");
  Out.PerSecond = static_cast<double>(In.number("per_second", 0, 0, Most));
  Out.Service = millis(In, "service_ms", 4);
  Out.Exponential = In.flag("exponential", false);
  Out.From = millis(In, "from_ms", 0);
  Out.Until = millis(In, "until_ms", Length / PerMilli);
  Out.Proxies = count(In, "proxies", 0);
  return Out;
}

Fault readFault(TomlReader &In) {
  Fault Out;
  Out.Kind = static_cast<FaultKind>(
      In.word("kind", {"proxy-dies", "rolling-restart", "slow-target"}, 0));
  Out.At = millis(In, "at_ms", 0);
  Out.Until = millis(In, "until_ms", 0);
  Out.Index = count(In, "index", 0);
  Out.Factor = count(In, "factor", 1, 1);
  return Out;
}

} // namespace

tl::expected<Scenario, Findings> parseScenario(const std::string &File,
                                               const std::string &Text) {
  Findings Found;
  const toml::table Root = parseToml(File, Text, Found);
  if (!Found.empty())
    return tl::unexpected(Found);
  TomlReader In(File, "the scenario", &Root, Found);
  Scenario Out;
  Out.Name = In.requiredText("name");
  Out.Seed = count(In, "seed", 1);
  Out.Length = millis(In, "length_ms", 10000);
  Out.CountFrom = millis(In, "count_from_ms", 2000);
  Out.Returns = count(In, "returns", 0);
  Out.QueueLimit = count(In, "queue_per_database", 200, 1);
  for (const std::string &Name : In.texts("deployments")) {
    const auto Known = deployment(Name);
    if (Known)
      Out.Deployments.push_back(*Known);
    else
      In.report("deployments", Known.error().Message);
  }
  Out.Orders = In.texts("orders");
  Out.Rights = In.texts("rights");
  In.tables("organisation", [&Out](TomlReader &Each) {
    const std::string Name = Each.requiredText("name");
    Out.Organisations.push_back({Name, count(Each, "share", 1, 1)});
  });
  In.tables("kind",
            [&Out](TomlReader &Each) { Out.Kinds.push_back(readKind(Each)); });
  In.tables("load", [&Out](TomlReader &Each) {
    Out.Loads.push_back(readLoad(Each, Out.Length));
  });
  In.tables("fault", [&Out](TomlReader &Each) {
    Out.Faults.push_back(readFault(Each));
  });
  In.finish();
  if (!Found.empty())
    return tl::unexpected(Found);
  return Out;
}

} // namespace corianderdyke
