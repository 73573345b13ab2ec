/// \file
/// Reads a manifest from TOML.

#include "Manifest/ManifestFile.h"

#include "Settings/TomlReader.h"

#include <algorithm>
#include <limits>

namespace corianderdyke {

namespace {

constexpr Millis Minute(60000);
constexpr Millis Week(7LL * 24 * 3600 * 1000);

OrganisationPolicy readOrganisation(TomlReader &In) {
  OrganisationPolicy Out;
  Out.Name = In.requiredText("name");
  Out.Share = static_cast<std::uint32_t>(In.number("share", 1, 1, 10000));
  return Out;
}

DatabasePolicy readDatabase(TomlReader &In) {
  DatabasePolicy Out;
  Out.Name = In.requiredText("name");
  Out.Targets = static_cast<std::uint32_t>(In.number("targets", 3, 1, 9));
  Out.Copies = static_cast<std::uint32_t>(
      In.number("copies", Out.Targets / 2 + 1, 1, 9));
  Out.ConnectionsPerTarget = static_cast<std::uint32_t>(
      In.number("connections_per_target", 16, 1, 10000));
  Out.SlotsPerTarget =
      static_cast<std::uint32_t>(In.number("slots_per_target", 2, 1, 10000));
  Out.TooFew = In.word("too_few_targets", {"wait", "promote-with-loss"}, 0) == 0
                   ? TooFewPolicy::Wait
                   : TooFewPolicy::PromoteWithLoss;
  if (Out.Copies > Out.Targets)
    In.report("copies", "more copies than targets",
              "at most " + std::to_string(Out.Targets));
  return Out;
}

KindPolicy readKind(TomlReader &In) {
  KindPolicy Out;
  Out.Name = In.requiredText("name");
  Out.Mode = In.word("access", {"read", "write"}, 0) == 0 ? Access::Read
                                                          : Access::Write;
  Out.Repeatable = In.flag("repeatable", true);
  Out.AcceptedAge = In.millis("accepted_age_ms", Millis(0), Millis(0), Week);
  Out.Deadline = In.millis("deadline_ms", Millis(5000), Millis(1), Minute);
  Out.Weight = static_cast<std::uint32_t>(In.number("weight", 1, 1, 10000));
  if (Out.Mode == Access::Write && Out.AcceptedAge > Millis(0))
    In.report("accepted_age_ms", "a write has no accepted age",
              "remove the line or set access = \"read\"");
  if (Out.Mode == Access::Read && !Out.Repeatable)
    In.report("repeatable", "a read can always be repeated",
              "remove the line or set access = \"write\"");
  return Out;
}

LimitPolicy readLimits(TomlReader In) {
  LimitPolicy Out;
  Out.QueuePerDatabase = static_cast<std::uint32_t>(
      In.number("queue_per_database", 200, 0, 100000));
  Out.TransactionIdle =
      In.millis("transaction_idle_ms", Millis(5000), Millis(10), Minute * 10);
  Out.KeyRetention =
      In.millis("key_retention_ms", Millis(86400000), Minute, Week);
  In.finish();
  return Out;
}

FailoverPolicy readFailover(TomlReader In) {
  FailoverPolicy Out;
  Out.SuspectAfter =
      In.millis("suspect_after_ms", Millis(400), Millis(50), Minute);
  Out.LeaseDuration =
      In.millis("lease_duration_ms", Millis(600), Millis(100), Minute);
  Out.ClockDriftPpm =
      static_cast<std::uint32_t>(In.number("clock_drift_ppm", 1000, 0, 100000));
  In.finish();
  return Out;
}

template <class T>
void sortByName(std::vector<T> &All, const std::string &What, TomlReader &Root,
                const std::string &Key) {
  std::sort(All.begin(), All.end());
  for (std::size_t Index = 1; Index < All.size(); ++Index)
    if (All[Index].Name == All[Index - 1].Name)
      Root.report(Key, "two " + What + " are named '" + All[Index].Name + "'");
}

} // namespace

tl::expected<Manifest, Findings> parseManifest(const std::string &File,
                                               const std::string &Text) {
  Findings Found;
  const toml::table Root = parseToml(File, Text, Found);
  if (!Found.empty())
    return tl::unexpected(Found);
  TomlReader In(File, "the manifest", &Root, Found);
  Manifest Out;
  if (Root.get("version") == nullptr)
    In.report("version", "'version' is missing in the manifest");
  Out.Version = static_cast<std::uint64_t>(
      In.number("version", 1, 1, std::numeric_limits<std::int64_t>::max()));
  In.tables("organisation", [&Out](TomlReader &Each) {
    Out.Organisations.push_back(readOrganisation(Each));
  });
  In.tables("database", [&Out](TomlReader &Each) {
    Out.Databases.push_back(readDatabase(Each));
  });
  In.tables("kind",
            [&Out](TomlReader &Each) { Out.Kinds.push_back(readKind(Each)); });
  Out.Limits = readLimits(In.table("limits"));
  Out.Failover = readFailover(In.table("failover"));
  sortByName(Out.Organisations, "organisations", In, "organisation");
  sortByName(Out.Databases, "databases", In, "database");
  sortByName(Out.Kinds, "kinds", In, "kind");
  In.finish();
  if (!Found.empty())
    return tl::unexpected(Found);
  return Out;
}

} // namespace corianderdyke
