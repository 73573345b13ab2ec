/// \file
/// What the journal keeps over crashes, and what it refuses.

#include "Storage/Journal.h"
#include "FakeDisk.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

TEST_CASE("A journal gives back what was appended", "[journal]") {
  FakeDisk Disk;
  REQUIRE(Journal(Disk).append({"one", "two"}));
  Journal Again(Disk);
  const auto Found = Again.load();
  REQUIRE(Found);
  CHECK(Found->Records == std::vector<std::string>{"one", "two"});
}

TEST_CASE("A torn tail is cut and the rest kept", "[journal]") {
  // The host loses power while a record is written. On its return the whole
  // records are there and the torn one is gone, and new records follow.
  FakeDisk Disk;
  Journal Before(Disk);
  REQUIRE(Before.append({"one"}));
  Disk.FailSyncs = true;
  CHECK_FALSE(Before.append({"two"}));
  Disk.crash(10);
  Disk.FailSyncs = false;
  Journal After(Disk);
  auto Found = After.load();
  REQUIRE(Found);
  CHECK(Found->Records == std::vector<std::string>{"one"});
  CHECK(Found->CutBytes == 10);
  REQUIRE(After.append({"three"}));
  CHECK(Journal(Disk).load()->Records ==
        std::vector<std::string>{"one", "three"});
}

TEST_CASE("A damaged middle is refused", "[journal]") {
  // A bit flips in a record that had been synced. Cutting there would forget
  // later records that this host has vouched for, so it must not start.
  FakeDisk Disk;
  Journal Before(Disk);
  REQUIRE(Before.append({"one"}));
  REQUIRE(Before.append({"two"}));
  REQUIRE(Before.append({"three"}));
  Disk.content("journal")[26] ^= 1;
  const auto Found = Journal(Disk).load();
  REQUIRE_FALSE(Found);
  CHECK(Found.error().Code == ErrorCode::Corrupt);
}
