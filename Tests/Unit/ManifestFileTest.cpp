/// \file
/// What a manifest's file means, and when two mean the same.

#include "Manifest/ManifestFile.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

constexpr const char *Short = R"(version = 7
[[kind]]
name = "lookup"
[[organisation]]
name = "clerks"
[[organisation]]
name = "brokers"
[[database]]
name = "ledger"
)";

/// The same, in another order and with some defaults spelt out.
constexpr const char *Long = R"(version = 7
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
  const auto Read = parseManifest("f", Short);
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

TEST_CASE("Order and spelt-out defaults make no other manifest", "[manifest]") {
  const auto Left = parseManifest("f", Short);
  const auto Right = parseManifest("f", Long);
  REQUIRE(Left);
  REQUIRE(Right);
  CHECK(Left->digest() == Right->digest());
}

TEST_CASE("A difference is told by item", "[manifest]") {
  const std::string Before = Short;
  const std::string After = Before + "[[database]]\nname = \"new\"\ncopies=3\n";
  const auto Found = diffManifests(Before, After);
  REQUIRE(Found.size() == 6);
  CHECK(Found[1] == ItemDifference{"database new.copies", "", "3"});
  CHECK(diffManifests(Before, Before).empty());
}

TEST_CASE("A fault of a manifest is found with its place", "[manifest]") {
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
  const auto Read = parseManifest("f", Short + Added);
  REQUIRE_FALSE(Read);
  CHECK(findingsText(Read.error()) == Finding);
}
