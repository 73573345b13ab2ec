/// \file
/// Parses scenario files.

#include "Scenario.h"

#include "Settings/TomlReader.h"

namespace corianderdyke {

namespace {

constexpr Micros PerMilli = 1000;
constexpr std::int64_t Most = 1000000;

KeyDescription stringKey(const std::string &Table, const std::string &Key) {
  return {.Table = Table, .Key = Key};
}

KeyDescription number(const std::string &Table, const std::string &Key,
                      const std::string &Default, std::int64_t Least = 0) {
  return {.Table = Table,
          .Key = Key,
          .Type = KeyType::Number,
          .Min = Least,
          .Max = Most,
          .Default = Default};
}

KeyDescription texts(const std::string &Key) {
  return {.Key = Key, .Type = KeyType::StringList};
}

KeyDescription choiceKey(const std::string &Table, const std::string &Key,
                         const std::vector<std::string> &Choices) {
  return {.Table = Table,
          .Key = Key,
          .Type = KeyType::Choice,
          .Choices = Choices,
          .Default = Choices.front()};
}

const KeySchema &keys() {
  static const KeySchema Keys({
      stringKey("", "name"),
      number("", "seed", "1"),
      number("", "length_ms", "10000", 1),
      number("", "count_from_ms", "2000"),
      number("", "returns", "0"),
      number("", "queue_per_database", "200", 1),
      texts("deployments"),
      texts("orders"),
      texts("rights"),
      stringKey("[[organisation]]", "name"),
      number("[[organisation]]", "share", "1", 1),
      stringKey("[[kind]]", "name"),
      choiceKey("[[kind]]", "access", {"read", "write"}),
      number("[[kind]]", "accepted_age_ms", "1000"),
      number("[[kind]]", "deadline_ms", "1000", 1),
      number("[[kind]]", "weight", "1", 1),
      stringKey("[[load]]", "organisation"),
      stringKey("[[load]]", "kind"),
      number("[[load]]", "per_second", "0"),
      number("[[load]]", "service_ms", "4"),
      {.Table = "[[load]]",
       .Key = "exponential",
       .Type = KeyType::Boolean,
       .Default = "false"},
      number("[[load]]", "from_ms", "0"),
      number("[[load]]", "until_ms", "the length"),
      number("[[load]]", "proxies", "0"),
      choiceKey("[[fault]]", "kind",
                {"proxy-dies", "rolling-restart", "slow-target"}),
      number("[[fault]]", "at_ms", "0"),
      number("[[fault]]", "until_ms", "0"),
      number("[[fault]]", "index", "0"),
      number("[[fault]]", "factor", "1", 1),
  });
  return Keys;
}

/// Returns the sizes of a known deployment.
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

RequestKindPolicy readKind(TomlReader &In) {
  RequestKindPolicy Out;
  Out.Name = In.string("name");
  Out.Mode = In.choiceIndex("access") == 0 ? Access::Read : Access::Write;
  Out.MaxStaleness = In.millis("accepted_age_ms");
  Out.Deadline = In.millis("deadline_ms");
  Out.Weight = In.count("weight");
  return Out;
}

Load readLoad(TomlReader &In, Micros Length) {
  Load Out;
  Out.Organisation = In.string("organisation");
  Out.Kind = In.string("kind");
  Out.PerSecond = In.count("per_second");
  Out.Service = In.number("service_ms") * PerMilli;
  Out.Exponential = In.flag("exponential");
  Out.From = In.number("from_ms") * PerMilli;
  Out.Until = In.number("until_ms", Length / PerMilli) * PerMilli;
  Out.Proxies = In.count("proxies");
  return Out;
}

Fault readFault(TomlReader &In) {
  Fault Out;
  Out.Kind = static_cast<FaultKind>(In.choiceIndex("kind"));
  Out.At = In.number("at_ms") * PerMilli;
  Out.Until = In.number("until_ms") * PerMilli;
  Out.Index = In.count("index");
  Out.Factor = In.count("factor");
  return Out;
}

} // namespace

tl::expected<Scenario, Findings> parseScenario(const std::string &File,
                                               const std::string &Text) {
  Findings Found;
  const toml::table Root = parseToml(File, Text, Found);
  if (!Found.empty())
    return tl::unexpected(Found);
  TomlReader In(File, keys(), Root, Found);
  Scenario Out;
  Out.Name = In.string("name");
  Out.Seed = In.count("seed");
  Out.Length = In.number("length_ms") * PerMilli;
  Out.CountFrom = In.number("count_from_ms") * PerMilli;
  Out.MaxRetries = In.count("returns");
  Out.QueueLimit = In.count("queue_per_database");
  for (const std::string &Name : In.stringList("deployments")) {
    const auto Known = deployment(Name);
    if (Known)
      Out.Deployments.push_back(*Known);
    else
      In.addFinding("deployments", Known.error().Message);
  }
  Out.Orders = In.stringList("orders");
  Out.Rights = In.stringList("rights");
  In.tables("organisation", [&Out](TomlReader &Each) {
    const std::string Name = Each.string("name");
    Out.Organisations.push_back({Name, Each.count("share")});
  });
  In.tables("kind",
            [&Out](TomlReader &Each) { Out.Kinds.push_back(readKind(Each)); });
  In.tables("load", [&Out](TomlReader &Each) {
    Out.Loads.push_back(readLoad(Each, Out.Length));
  });
  In.tables("fault", [&Out](TomlReader &Each) {
    Out.Faults.push_back(readFault(Each));
  });
  In.reportUnknownKeys();
  if (!Found.empty())
    return tl::unexpected(Found);
  return Out;
}

} // namespace corianderdyke
