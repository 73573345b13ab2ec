/// \file
/// Reads a manifest from TOML.

#include "Manifest/ManifestFile.h"

#include "Settings/TomlReader.h"

#include <algorithm>
#include <limits>

namespace corianderdyke {

namespace {

constexpr std::int64_t Minute = 60000;
constexpr std::int64_t Week = 7LL * 24 * 60 * Minute;

std::vector<KeyDescription> describeKeys() {
  using Type = KeyType;
  return {
      {.Key = "version",
       .Type = Type::Number,
       .Least = 1,
       .Most = std::numeric_limits<std::int64_t>::max(),
       .Meaning = "Rises with every change; one version has one content."},
      {.Table = "[[organisation]]",
       .Key = "name",
       .Meaning = "Name, as callers give it."},
      {.Table = "[[organisation]]",
       .Key = "share",
       .Type = Type::Number,
       .Least = 1,
       .Most = 10000,
       .Default = "1",
       .Meaning = "Weight against the other organisations when full."},
      {.Table = "[[database]]",
       .Key = "name",
       .Meaning = "Name of a database group, as callers and targets give it."},
      {.Table = "[[database]]",
       .Key = "targets",
       .Type = Type::Number,
       .Least = 1,
       .Most = 9,
       .Default = "3",
       .Meaning = "Targets that the group has."},
      {.Table = "[[database]]",
       .Key = "copies",
       .Type = Type::Number,
       .Least = 1,
       .Most = 9,
       .Default = "targets / 2 + 1",
       .Meaning = "Targets that hold a write before it's acknowledged."},
      {.Table = "[[database]]",
       .Key = "connections_per_target",
       .Type = Type::Number,
       .Unit = "connections",
       .Least = 1,
       .Most = 10000,
       .Default = "16",
       .Meaning = "The server's own limit."},
      {.Table = "[[database]]",
       .Key = "slots_per_target",
       .Type = Type::Number,
       .Unit = "statements",
       .Least = 1,
       .Most = 10000,
       .Default = "2",
       .Meaning = "Statements that a server runs at a time."},
      {.Table = "[[database]]",
       .Key = "too_few_targets",
       .Type = Type::Word,
       .Words = {"wait", "promote-with-loss"},
       .Default = "wait",
       .Meaning = "What happens when too few targets are left to prove that "
                  "nothing acknowledged is lost."},
      {.Table = "[[kind]]",
       .Key = "name",
       .Meaning = "Name of a kind of request, as callers give it."},
      {.Table = "[[kind]]",
       .Key = "access",
       .Type = Type::Word,
       .Words = {"read", "write"},
       .Default = "read",
       .Meaning = "Whether it changes anything."},
      {.Table = "[[kind]]",
       .Key = "repeatable",
       .Type = Type::Flag,
       .Default = "true",
       .Meaning = "False: runs at most once and needs an idempotency key."},
      {.Table = "[[kind]]",
       .Key = "accepted_age_ms",
       .Type = Type::Number,
       .Unit = "ms",
       .Least = 0,
       .Most = Week,
       .Default = "0",
       .Meaning = "Reads: how old the data may be."},
      {.Table = "[[kind]]",
       .Key = "deadline_ms",
       .Type = Type::Number,
       .Unit = "ms",
       .Least = 1,
       .Most = Minute,
       .Default = "5000",
       .Meaning = "Longest time to an answer; a caller may ask for less."},
      {.Table = "[[kind]]",
       .Key = "weight",
       .Type = Type::Number,
       .Least = 1,
       .Most = 10000,
       .Default = "1",
       .Meaning = "Against the organisation's other kinds when full."},
      {.Table = "[limits]",
       .Key = "queue_per_database",
       .Type = Type::Number,
       .Unit = "requests",
       .Least = 0,
       .Most = 100000,
       .Default = "200",
       .Meaning = "Requests that wait at one proxy before more are refused."},
      {.Table = "[limits]",
       .Key = "transaction_idle_ms",
       .Type = Type::Number,
       .Unit = "ms",
       .Least = 10,
       .Most = 10 * Minute,
       .Default = "5000",
       .Meaning = "How long a transaction may hold a connection idle."},
      {.Table = "[limits]",
       .Key = "key_retention_ms",
       .Type = Type::Number,
       .Unit = "ms",
       .Least = Minute,
       .Most = Week,
       .Default = "86400000",
       .Meaning = "How long targets remember idempotency keys."},
      {.Table = "[failover]",
       .Key = "suspect_after_ms",
       .Type = Type::Number,
       .Unit = "ms",
       .Least = 50,
       .Most = Minute,
       .Default = "400",
       .Meaning = "A target that is silent for this long counts as failed."},
      {.Table = "[failover]",
       .Key = "lease_duration_ms",
       .Type = Type::Number,
       .Unit = "ms",
       .Least = 100,
       .Most = Minute,
       .Default = "600",
       .Meaning = "How long a proxy may serve after its last request to "
                  "control."},
      {.Table = "[failover]",
       .Key = "clock_drift_ppm",
       .Type = Type::Number,
       .Unit = "parts a million",
       .Least = 0,
       .Most = 100000,
       .Default = "1000",
       .Meaning = "The most that a host's clock runs fast or slow."},
  };
}

OrganisationPolicy readOrganisation(TomlReader &In) {
  OrganisationPolicy Out;
  Out.Name = In.text("name");
  Out.Share = In.count("share");
  return Out;
}

DatabasePolicy readDatabase(TomlReader &In) {
  DatabasePolicy Out;
  Out.Name = In.text("name");
  Out.Targets = In.count("targets");
  Out.Copies =
      static_cast<std::uint32_t>(In.number("copies", Out.Targets / 2 + 1));
  Out.ConnectionsPerTarget = In.count("connections_per_target");
  Out.SlotsPerTarget = In.count("slots_per_target");
  Out.TooFew = static_cast<TooFewPolicy>(In.word("too_few_targets"));
  if (Out.Copies > Out.Targets)
    In.report("copies", "more copies than targets",
              "at most " + std::to_string(Out.Targets));
  return Out;
}

KindPolicy readKind(TomlReader &In) {
  KindPolicy Out;
  Out.Name = In.text("name");
  Out.Mode = static_cast<Access>(In.word("access"));
  Out.Repeatable = In.flag("repeatable");
  Out.AcceptedAge = In.millis("accepted_age_ms");
  Out.Deadline = In.millis("deadline_ms");
  Out.Weight = In.count("weight");
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
  Out.QueuePerDatabase = In.count("queue_per_database");
  Out.TransactionIdle = In.millis("transaction_idle_ms");
  Out.KeyRetention = In.millis("key_retention_ms");
  In.finish();
  return Out;
}

FailoverPolicy readFailover(TomlReader In) {
  FailoverPolicy Out;
  Out.SuspectAfter = In.millis("suspect_after_ms");
  Out.LeaseDuration = In.millis("lease_duration_ms");
  Out.ClockDriftPpm = In.count("clock_drift_ppm");
  In.finish();
  return Out;
}

/// Reads the tables "[[Key]]", sorted by name, each name once.
template <class T>
std::vector<T> readNamed(TomlReader &Root, const std::string &Key,
                         T (*ReadOne)(TomlReader &)) {
  std::vector<T> Out;
  Root.tables(Key, [&](TomlReader &Each) {
    T New = ReadOne(Each);
    const bool Known =
        std::any_of(Out.begin(), Out.end(),
                    [&New](const T &Other) { return Other.Name == New.Name; });
    if (Known && !New.Name.empty())
      Each.report("name",
                  "a second [[" + Key + "]] is named '" + New.Name + "'",
                  "names are given once");
    Out.push_back(std::move(New));
  });
  std::sort(Out.begin(), Out.end());
  return Out;
}

} // namespace

const KeyTable &manifestKeys() {
  static const KeyTable All(describeKeys());
  return All;
}

std::vector<ItemDifference> manifestDifferences(const std::string &Before,
                                                const std::string &After) {
  return differences(manifestKeys(), Before, After);
}

tl::expected<Manifest, Findings> parseManifest(const std::string &File,
                                               const std::string &Text) {
  Findings Found;
  const toml::table Root = parseToml(File, Text, Found);
  if (!Found.empty())
    return tl::unexpected(Found);
  TomlReader In(File, manifestKeys(), Root, Found);
  Manifest Out;
  Out.Version = static_cast<std::uint64_t>(In.number("version"));
  Out.Organisations = readNamed(In, "organisation", &readOrganisation);
  Out.Databases = readNamed(In, "database", &readDatabase);
  Out.Kinds = readNamed(In, "kind", &readKind);
  Out.Limits = readLimits(In.table("limits"));
  Out.Failover = readFailover(In.table("failover"));
  In.finish();
  if (!Found.empty())
    return tl::unexpected(inOrder(std::move(Found)));
  return Out;
}

} // namespace corianderdyke
