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
       .Min = 1,
       .Max = std::numeric_limits<std::int64_t>::max(),
       .Meaning =
           "Increases with every change; a version has exactly one content."},
      {.Table = "[[organisation]]",
       .Key = "name",
       .Meaning = "Name that callers send."},
      {.Table = "[[organisation]]",
       .Key = "share",
       .Type = Type::Number,
       .Min = 1,
       .Max = 10000,
       .Default = "1",
       .Meaning = "Weight relative to the other organisations under overload."},
      {.Table = "[[database]]",
       .Key = "name",
       .Meaning = "Name of a database group that callers and targets send."},
      {.Table = "[[database]]",
       .Key = "targets",
       .Type = Type::Number,
       .Min = 1,
       .Max = 9,
       .Default = "3",
       .Meaning = "Number of targets in the group."},
      {.Table = "[[database]]",
       .Key = "copies",
       .Type = Type::Number,
       .Min = 1,
       .Max = 9,
       .Default = "targets / 2 + 1",
       .Meaning = "Targets that must hold a write before it is acknowledged."},
      {.Table = "[[database]]",
       .Key = "connections_per_target",
       .Type = Type::Number,
       .Unit = "connections",
       .Min = 1,
       .Max = 10000,
       .Default = "16",
       .Meaning = "Connection limit of the server."},
      {.Table = "[[database]]",
       .Key = "slots_per_target",
       .Type = Type::Number,
       .Unit = "statements",
       .Min = 1,
       .Max = 10000,
       .Default = "2",
       .Meaning = "Statements that a server runs concurrently."},
      {.Table = "[[database]]",
       .Key = "too_few_targets",
       .Type = Type::Choice,
       .Choices = {"wait", "promote-with-loss"},
       .Default = "wait",
       .Meaning = "What a failover does if too few targets are left to prove "
                  "that no acknowledged write is lost."},
      {.Table = "[[kind]]",
       .Key = "name",
       .Meaning = "Name of a kind of request that callers send."},
      {.Table = "[[kind]]",
       .Key = "access",
       .Type = Type::Choice,
       .Choices = {"read", "write"},
       .Default = "read",
       .Meaning = "Whether requests of the kind read or write data."},
      {.Table = "[[kind]]",
       .Key = "repeatable",
       .Type = Type::Boolean,
       .Default = "true",
       .Meaning = "If false, a request runs at most once and needs an "
                  "idempotency key."},
      {.Table = "[[kind]]",
       .Key = "accepted_age_ms",
       .Type = Type::Number,
       .Unit = "ms",
       .Min = 0,
       .Max = Week,
       .Default = "0",
       .Meaning = "Reads only: maximum age of the data."},
      {.Table = "[[kind]]",
       .Key = "deadline_ms",
       .Type = Type::Number,
       .Unit = "ms",
       .Min = 1,
       .Max = Minute,
       .Default = "5000",
       .Meaning =
           "Maximum time to a response; a caller may request a shorter one."},
      {.Table = "[[kind]]",
       .Key = "weight",
       .Type = Type::Number,
       .Min = 1,
       .Max = 10000,
       .Default = "1",
       .Meaning =
           "Weight relative to the organisation's other kinds under overload."},
      {.Table = "[limits]",
       .Key = "queue_per_database",
       .Type = Type::Number,
       .Unit = "requests",
       .Min = 0,
       .Max = 100000,
       .Default = "200",
       .Meaning = "Maximum number of requests that wait at one proxy; further "
                  "ones are refused."},
      {.Table = "[limits]",
       .Key = "transaction_idle_ms",
       .Type = Type::Number,
       .Unit = "ms",
       .Min = 10,
       .Max = 10 * Minute,
       .Default = "5000",
       .Meaning = "How long an idle transaction may keep its connection."},
      {.Table = "[limits]",
       .Key = "key_retention_ms",
       .Type = Type::Number,
       .Unit = "ms",
       .Min = Minute,
       .Max = Week,
       .Default = "86400000",
       .Meaning = "How long targets keep idempotency keys."},
      {.Table = "[failover]",
       .Key = "suspect_after_ms",
       .Type = Type::Number,
       .Unit = "ms",
       .Min = 50,
       .Max = Minute,
       .Default = "400",
       .Meaning = "A target from which nothing is received for this long is "
                  "considered failed."},
      {.Table = "[failover]",
       .Key = "lease_duration_ms",
       .Type = Type::Number,
       .Unit = "ms",
       .Min = 100,
       .Max = Minute,
       .Default = "600",
       .Meaning = "How long a proxy may serve after its last lease request."},
      {.Table = "[failover]",
       .Key = "clock_drift_ppm",
       .Type = Type::Number,
       .Unit = "parts a million",
       .Min = 0,
       .Max = 100000,
       .Default = "1000",
       .Meaning = "Maximum drift of the clock of a host."},
  };
}

OrganisationPolicy readOrganisation(TomlReader &In) {
  OrganisationPolicy Out;
  Out.Name = In.string("name");
  Out.Weight = In.count("share");
  return Out;
}

DatabasePolicy readDatabase(TomlReader &In) {
  DatabasePolicy Out;
  Out.Name = In.string("name");
  Out.Targets = In.count("targets");
  Out.AcknowledgedCopies =
      static_cast<std::uint32_t>(In.number("copies", Out.Targets / 2 + 1));
  Out.ConnectionsPerTarget = In.count("connections_per_target");
  Out.SlotsPerTarget = In.count("slots_per_target");
  Out.InsufficientTargets =
      static_cast<InsufficientTargetsPolicy>(In.choiceIndex("too_few_targets"));
  if (Out.AcknowledgedCopies > Out.Targets)
    In.addFinding("copies", "more copies than targets",
                  "at most " + std::to_string(Out.Targets));
  return Out;
}

RequestKindPolicy readKind(TomlReader &In) {
  RequestKindPolicy Out;
  Out.Name = In.string("name");
  Out.Mode = static_cast<Access>(In.choiceIndex("access"));
  Out.Idempotent = In.flag("repeatable");
  Out.MaxStaleness = In.millis("accepted_age_ms");
  Out.Deadline = In.millis("deadline_ms");
  Out.Weight = In.count("weight");
  if (Out.Mode == Access::Write && Out.MaxStaleness > Millis(0))
    In.addFinding("accepted_age_ms", "a write has no accepted age",
                  "remove the line or set access = \"read\"");
  if (Out.Mode == Access::Read && !Out.Idempotent)
    In.addFinding("repeatable", "a read can always be repeated",
                  "remove the line or set access = \"write\"");
  return Out;
}

LimitPolicy readLimits(TomlReader In) {
  LimitPolicy Out;
  Out.QueuePerDatabase = In.count("queue_per_database");
  Out.TransactionIdleTimeout = In.millis("transaction_idle_ms");
  Out.IdempotencyKeyRetention = In.millis("key_retention_ms");
  In.reportUnknownKeys();
  return Out;
}

FailoverPolicy readFailover(TomlReader In) {
  FailoverPolicy Out;
  Out.SuspectAfter = In.millis("suspect_after_ms");
  Out.LeaseDuration = In.millis("lease_duration_ms");
  Out.ClockDriftPpm = In.count("clock_drift_ppm");
  In.reportUnknownKeys();
  return Out;
}

/// Reads the tables "[[Key]]" and sorts them by name. Duplicate names are
/// findings.
template <class T>
std::vector<T> readNamed(TomlReader &Root, const std::string &Key,
                         T (*ReadOne)(TomlReader &)) {
  std::vector<T> Out;
  Root.tables(Key, [&](TomlReader &Each) {
    T Item = ReadOne(Each);
    const bool IsDuplicate =
        std::any_of(Out.begin(), Out.end(), [&Item](const T &Other) {
          return Other.Name == Item.Name;
        });
    if (IsDuplicate && !Item.Name.empty())
      Each.addFinding("name",
                      "a second [[" + Key + "]] is named '" + Item.Name + "'",
                      "names are given once");
    Out.push_back(std::move(Item));
  });
  std::sort(Out.begin(), Out.end());
  return Out;
}

} // namespace

const KeySchema &manifestKeys() {
  static const KeySchema All(describeKeys());
  return All;
}

std::vector<ItemDifference> diffManifests(const std::string &Before,
                                          const std::string &After) {
  return diffDocuments(manifestKeys(), Before, After);
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
  In.reportUnknownKeys();
  if (!Found.empty())
    return tl::unexpected(sortByPosition(std::move(Found)));
  return Out;
}

} // namespace corianderdyke
