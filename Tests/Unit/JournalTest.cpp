/// \file
/// Durability of the journal over crashes, and detection of corruption.

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

/// The durable state that a control host has acknowledged.
struct DurableState {
  std::string DiskId;
  std::uint64_t Term = 0;
  std::string Vote;
  std::uint64_t SnapshotIndex = 0;
  std::string State;
  std::vector<Entry> Entries;

  bool operator==(const DurableState &) const = default;
};

DurableState durableState(const ReplicatedLog &Log) {
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

/// Every kind of log operation, in an order that is possible on a host.
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
    // A diverging history from here on: entries 5 and 6 must be discarded.
    [](ReplicatedLog &Log) {
      return Log.install({5, 5, 4, 0, {}, "state 5"});
    },
    [](ReplicatedLog &Log) { return Log.append({entry(6, 5)}); },
};

/// Applies the changes until the disk fails. Returns the state before the
/// failed change and the state that would follow it.
std::pair<DurableState, DurableState> applyChanges(FakeDisk &Disk) {
  Journal Records(Disk);
  ReplicatedLog Log(Records);
  if (!Log.load(FirstDisk))
    return {DurableState{}, durableState(Log)};
  for (const Change &Each : Changes) {
    const DurableState Before = durableState(Log);
    if (!Each(Log))
      return {Before, durableState(Log)};
  }
  return {durableState(Log), durableState(Log)};
}

} // namespace

TEST_CASE("A crash at any operation keeps acknowledged state", "[journal]") {
  // Power is lost during a write, a sync or a file replacement, and only a part
  // of the written bytes is kept. After the restart the host must hold every
  // acknowledged vote and entry, and the change in flight entirely or not at
  // all.
  FakeDisk Reference;
  applyChanges(Reference);
  REQUIRE(Reference.operations() > 2 * Changes.size());
  for (std::size_t Operation = 1; Operation <= Reference.operations();
       ++Operation)
    for (const std::size_t Torn : {0, 1, 23, 24, 40, 1000}) {
      CAPTURE(Operation, Torn);
      FakeDisk Disk;
      Disk.losePowerAfter(Operation);
      const auto [Before, After] = applyChanges(Disk);
      Disk.crash(Torn);
      // A second crash during the recovery from the first.
      Disk.losePowerAfter(1 + Operation % 4);
      {
        Journal Records(Disk);
        ReplicatedLog Log(Records);
        static_cast<void>(Log.load(FirstDisk));
      }
      Disk.crash();
      Journal Records(Disk);
      ReplicatedLog Log(Records);
      REQUIRE(Log.load(FirstDisk));
      const DurableState Found = durableState(Log);
      const bool Kept = Found == Before || Found == After ||
                        (Before == DurableState{} && Found.Entries.empty());
      CHECK(Kept);
    }
}

TEST_CASE("A flipped bit is always detected", "[journal]") {
  // A bit flips on the disk of a stopped host. The host must either fail to
  // start with an error or start with a new disk id, which has acknowledged
  // nothing. It must never start with its old id and a missing vote or entry.
  const std::string File = GENERATE("journal", "snapshot");
  const auto Steps = GENERATE(as<std::size_t>(), 4, 5, 11, 14);
  FakeDisk Disk;
  Journal Records(Disk);
  ReplicatedLog Log(Records);
  REQUIRE(Log.load(FirstDisk));
  for (std::size_t Step = 0; Step < Steps; ++Step)
    REQUIRE(Changes[Step](Log));
  const DurableState Before = durableState(Log);
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
        Reread.diskId() == NewDisk || durableState(Reread) == Before;
    CHECK(Safe);
  }
}

TEST_CASE("A journal returns the appended records", "[journal]") {
  FakeDisk Disk;
  REQUIRE(Journal(Disk).append({"one", "two"}));
  Journal Again(Disk);
  const auto Found = Again.load();
  REQUIRE(Found);
  CHECK(Found->Records == std::vector<std::string>{"one", "two"});
}

TEST_CASE("A torn tail is truncated and the rest kept", "[journal]") {
  // The host loses power while a record is written. After the restart the
  // complete records must be kept, the torn one removed, and new records
  // appended behind them.
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

TEST_CASE("A damaged record before the tail is refused", "[journal]") {
  // A bit flips in a synced record. Truncating there would drop later records
  // that this host has acknowledged, so it must not start.
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

TEST_CASE("A damaged record of a compacted journal is refused", "[journal]") {
  // A compacted file is synced entirely before it replaces the old one, so no
  // part of it can be a torn tail, even before anything is appended to it.
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
  // Power is lost between the writes of the two files of a snapshot from
  // another leader. The old journal holds a later entry of a diverging history.
  // The host must discard that entry and still start.
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
  // Run by command; docs/design/journal.md has the results.
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
  // Guards against a slow disk that is mistaken for colliding elections.
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
