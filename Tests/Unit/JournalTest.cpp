/// \file
/// What the journal keeps over crashes, and what it refuses.

#include "Storage/Journal.h"
#include "Consensus/ReplicatedLog.h"
#include "FakeDisk.h"

#include "Storage/FileDisk.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>
#include <unistd.h>

using namespace corianderdyke;

namespace {

constexpr const char *FirstDisk = "disk-1";
constexpr const char *NewDisk = "disk-2";

/// All that a control host promises from its disk.
struct Promised {
  std::string DiskId;
  std::uint64_t Term = 0;
  std::string Vote;
  std::uint64_t SnapshotIndex = 0;
  std::string State;
  std::vector<Entry> Entries;

  bool operator==(const Promised &) const = default;
};

Promised promisedBy(const ReplicatedLog &Log) {
  return {Log.diskId(),
          Log.term(),
          Log.votedFor(),
          Log.snapshotIndex(),
          Log.snapshotState(),
          Log.entriesFrom(Log.snapshotIndex() + 1, std::string::npos)};
}

Entry entry(std::uint64_t Index, std::uint64_t Term) {
  return {Index, Term, EntryKind::Command, "change " + std::to_string(Index)};
}

/// One of each change that a log makes, in an order that a host could meet.
using Change = std::function<Expected<void>(ReplicatedLog &)>;
const std::vector<Change> Changes = {
    [](ReplicatedLog &Log) { return Log.setTerm(1, "control-1"); },
    [](ReplicatedLog &Log) { return Log.append({entry(1, 1)}); },
    [](ReplicatedLog &Log) { return Log.append({entry(2, 1)}); },
    [](ReplicatedLog &Log) { return Log.append({entry(3, 1)}); },
    [](ReplicatedLog &Log) { return Log.compact(2, {}, "state 2"); },
    [](ReplicatedLog &Log) { return Log.append({entry(4, 1)}); },
    [](ReplicatedLog &Log) { return Log.setTerm(2, "control-2"); },
    [](ReplicatedLog &Log) { return Log.truncateFrom(4); },
    [](ReplicatedLog &Log) { return Log.append({entry(4, 2)}); },
    [](ReplicatedLog &Log) { return Log.append({entry(5, 2)}); },
    [](ReplicatedLog &Log) {
      return Log.install({2, 4, 2, 0, {}, "state 4"});
    },
    [](ReplicatedLog &Log) { return Log.append({entry(6, 2)}); },
    // Another history from here on: of entries 5 and 6 nothing may stay.
    [](ReplicatedLog &Log) {
      return Log.install({5, 5, 4, 0, {}, "state 5"});
    },
    [](ReplicatedLog &Log) { return Log.append({entry(6, 5)}); },
};

/// Makes the changes until the disk fails. Gives what held before the change
/// that failed and what would have held after it.
std::pair<Promised, Promised> change(FakeDisk &Disk) {
  Journal Records(Disk);
  ReplicatedLog Log(Records);
  if (!Log.load(FirstDisk))
    return {Promised{}, promisedBy(Log)};
  for (const Change &Each : Changes) {
    const Promised Before = promisedBy(Log);
    if (!Each(Log))
      return {Before, promisedBy(Log)};
  }
  return {promisedBy(Log), promisedBy(Log)};
}

} // namespace

TEST_CASE("A crash at any operation keeps what was promised", "[journal]") {
  // Power goes in the middle of a write, a sync or a replacement, and part of
  // what was written is there. On its return the host holds every vote and
  // entry that it vouched for, and the change in flight whole or not at all.
  FakeDisk Whole;
  change(Whole);
  REQUIRE(Whole.operations() > 2 * Changes.size());
  for (std::size_t At = 1; At <= Whole.operations(); ++At)
    for (const std::size_t Torn : {0, 1, 23, 24, 40, 1000}) {
      CAPTURE(At, Torn);
      FakeDisk Disk;
      Disk.losePowerAfter(At);
      const auto [Before, After] = change(Disk);
      Disk.crash(Torn);
      // A second crash while the first one's rest is put in order.
      Disk.losePowerAfter(1 + At % 4);
      {
        Journal Records(Disk);
        ReplicatedLog Log(Records);
        static_cast<void>(Log.load(FirstDisk));
      }
      Disk.crash();
      Journal Records(Disk);
      ReplicatedLog Log(Records);
      REQUIRE(Log.load(FirstDisk));
      const Promised Found = promisedBy(Log);
      const bool Kept = Found == Before || Found == After ||
                        (Before == Promised{} && Found.Entries.empty());
      CHECK(Kept);
    }
}

TEST_CASE("A flipped bit anywhere is never passed over", "[journal]") {
  // A bit flips on the disk of a stopped host. Either the host says so and
  // doesn't start, or it starts as a new disk that has promised nothing. It
  // never comes back as its old self with a vote or an entry missing.
  const std::string File = GENERATE("journal", "snapshot");
  const auto Steps = GENERATE(as<std::size_t>(), 4, 5, 11, 14);
  FakeDisk Disk;
  Journal Records(Disk);
  ReplicatedLog Log(Records);
  REQUIRE(Log.load(FirstDisk));
  for (std::size_t Step = 0; Step < Steps; ++Step)
    REQUIRE(Changes[Step](Log));
  const Promised Before = promisedBy(Log);
  for (std::size_t Bit = 0; Bit < Disk.content(File).size() * 8; ++Bit) {
    CAPTURE(File, Steps, Bit);
    FakeDisk Flipped = Disk;
    char &Byte = Flipped.content(File)[Bit / 8];
    Byte =
        static_cast<char>(static_cast<unsigned char>(Byte) ^ (1U << (Bit % 8)));
    Journal Again(Flipped);
    ReplicatedLog Reread(Again);
    const auto Loaded = Reread.load(NewDisk);
    if (!Loaded) {
      CHECK(Loaded.error().Code == ErrorCode::Corrupt);
      continue;
    }
    const bool Safe =
        Reread.diskId() == NewDisk || promisedBy(Reread) == Before;
    CHECK(Safe);
  }
}

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
  CHECK(Found->TornTailBytes == 10);
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

TEST_CASE("A damaged middle of a compacted journal is refused", "[journal]") {
  // All of a compacted file was synced before it appeared, so no part of it
  // can be a torn tail, also before anything was added to it.
  const auto InFirst = std::size_t(26);
  const auto InLast = std::size_t(52);
  const auto Fault = GENERATE_COPY(InFirst, InLast);
  FakeDisk Disk;
  REQUIRE(Journal(Disk).replace("state", {"one", "two"}));
  Disk.content("journal")[Fault] ^= 1;
  const auto Found = Journal(Disk).load();
  REQUIRE_FALSE(Found);
  CHECK(Found.error().Code == ErrorCode::Corrupt);
}

TEST_CASE("An interrupted snapshot of another history leaves nothing of it",
          "[journal]") {
  // Power goes between the two files of a snapshot that another leader sent.
  // The old journal holds an entry behind it from a history that lost; the
  // host must neither keep it nor refuse to start.
  FakeDisk Disk;
  {
    Journal Records(Disk);
    ReplicatedLog Log(Records);
    REQUIRE(Log.load(FirstDisk));
    REQUIRE(Log.append({entry(1, 2), entry(2, 2), entry(3, 4)}));
    Disk.losePowerAfter(3);
    REQUIRE_FALSE(Log.install({5, 2, 3, 0, {}, "state 2"}));
  }
  Disk.crash();
  Journal Records(Disk);
  ReplicatedLog Log(Records);
  REQUIRE(Log.load(NewDisk));
  CHECK(Log.diskId() == FirstDisk);
  CHECK(Log.snapshotIndex() == 2);
  CHECK(Log.lastIndex() == 2);
}

TEST_CASE("Recovery time over the journal's length", "[.][recovery]") {
  // Run by command; docs/design/journal.md has the figures.
  for (const std::size_t Entries : {1000, 4000, 16000, 64000}) {
    const std::string Folder = std::filesystem::temp_directory_path() /
                               ("recovery-" + std::to_string(::getpid()));
    {
      auto Disk = FileDisk::open(Folder);
      REQUIRE(Disk);
      Journal Records(*Disk);
      ReplicatedLog Log(Records);
      REQUIRE(Log.load(FirstDisk));
      std::vector<Entry> All;
      for (std::uint64_t Index = 1; Index <= Entries; ++Index)
        All.push_back({Index, 1, EntryKind::Command, std::string(1000, 'x')});
      REQUIRE(Log.append(All));
    }
    auto Disk = FileDisk::open(Folder);
    REQUIRE(Disk);
    const auto Start = std::chrono::steady_clock::now();
    Journal Records(*Disk);
    ReplicatedLog Log(Records);
    REQUIRE(Log.load(NewDisk));
    const std::chrono::duration<double, std::milli> Took =
        std::chrono::steady_clock::now() - Start;
    CHECK(Log.lastIndex() == Entries);
    WARN(Entries << " entries, " << Log.journalBytes()
                 << " bytes: " << Took.count() << " ms");
    std::filesystem::remove_all(Folder);
  }
}

TEST_CASE("Each sync of a data folder is measured", "[journal]") {
  // Guards against a slow disk that looks like an election that collides.
  const std::string Folder =
      std::filesystem::temp_directory_path() /
      ("corianderdyke-syncs-" + std::to_string(getpid()));
  {
    auto Disk = FileDisk::open(Folder);
    REQUIRE(Disk);
    REQUIRE(Disk->append("log", "bytes"));
    const std::uint64_t Before = Disk->syncDurations().total();
    REQUIRE(Disk->sync("log"));
    CHECK(Disk->syncDurations().total() == Before + 1);
  }
  std::filesystem::remove_all(Folder);
}
