/// \file
/// Parsing, comparison and validation of manifest files.

#include "Manifest/ManifestFile.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

constexpr const char *MinimalText = R"(version = 7
[[kind]]
name = "lookup"
[[organisation]]
name = "clerks"
[[organisation]]
name = "brokers"
[[database]]
name = "ledger"
)";

/// The same manifest in another order and with some defaults written out.
constexpr const char *ReorderedText = R"(version = 7
[failover]
lease_duration_ms = 600
[[organisation]]
name = "brokers"
share = 1
[[database]]
name = "ledger"
targets = 3
copies = 2
[[organisation]]
name = "clerks"
[[kind]]
access = "read"
name = "lookup"
repeatable = true
)";

} // namespace

TEST_CASE("A manifest's defaults are those of its types", "[manifest]") {
  const auto Read = parseManifest("f", MinimalText);
  REQUIRE(Read);
  Manifest Expected;
  Expected.Version = 7;
  Expected.Organisations.resize(2);
  Expected.Organisations[0].Name = "brokers";
  Expected.Organisations[1].Name = "clerks";
  Expected.Databases.resize(1);
  Expected.Databases[0].Name = "ledger";
  Expected.Kinds.resize(1);
  Expected.Kinds[0].Name = "lookup";
  CHECK(*Read == Expected);
}

TEST_CASE("Order and explicit defaults do not change the digest",
          "[manifest]") {
  const auto Left = parseManifest("f", MinimalText);
  const auto Right = parseManifest("f", ReorderedText);
  REQUIRE(Left);
  REQUIRE(Right);
  CHECK(Left->digest() == Right->digest());
}

TEST_CASE("A difference is reported per item", "[manifest]") {
  const std::string Before = MinimalText;
  const std::string After = Before + "[[database]]\nname = \"new\"\ncopies=3\n";
  const auto Found = diffManifests(Before, After);
  REQUIRE(Found.size() == 6);
  CHECK(Found[1] == ItemDifference{"database new.copies", "", "3"});
  CHECK(diffManifests(Before, Before).empty());
}

TEST_CASE("A manifest error is reported with its position", "[manifest]") {
  const auto [Added, Finding] = GENERATE(table<std::string, std::string>({
      {"[[kind]]\nname = \"lookup\"\n",
       "f:11:8: a second [[kind]] is named 'lookup'; names are given once\n"},
      {"[limits]\nkey_retention_ms = 5\n",
       "f:11:20: 'key_retention_ms' in [limits] is 5; it may be 60000 to "
       "604800000\n"},
      {"[[kind]]\nname = \"w\"\naccess = \"write\"\naccepted_age_ms = 9\n",
       "f:13:19: a write has no accepted age; remove the line or set access "
       "= \"read\"\n"},
      {"[[kind]]\nname = \"r\"\nrepeatable = false\n",
       "f:12:14: a read can always be repeated; remove the line or set "
       "access = \"write\"\n"},
      {"kind = 3\n", "f:10:1: unknown key 'kind' in [[database]]\n"},
  }));
  const auto Read = parseManifest("f", MinimalText + Added);
  REQUIRE_FALSE(Read);
  CHECK(findingsText(Read.error()) == Finding);
}
