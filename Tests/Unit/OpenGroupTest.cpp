/// \file
/// A control group that forms from seed addresses, replaces its members without
/// an operator, and survives full disks.

#include "FakeControlGroup.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

/// The number of disks, out of five, that may be lost.
constexpr std::size_t LostDisks = 2;

FakeControlGroup openGroup(int Seed, std::size_t Hosts = 5) {
  return FakeControlGroup(static_cast<std::uint64_t>(Seed), Hosts,
                          MembershipMode::Open);
}

} // namespace

TEST_CASE("A group forms from its seeds and adds the other hosts",
          "[open-group]") {
  const auto Hosts = GENERATE(1, 3, 5, 7);
  CAPTURE(Hosts);
  auto Group = openGroup(1, static_cast<std::size_t>(Hosts));
  CHECK(Group.runUntil([&] {
    return Group.hasVoters(static_cast<std::size_t>(Hosts)) &&
           Group.isSettled();
  }));
}

TEST_CASE("A host with an emptied disk never founds a group", "[open-group]") {
  // All seeds lose their disks and restart while they are partitioned from the
  // other hosts. A second group would accept changes that the first group never
  // receives.
  auto Group = openGroup(2);
  REQUIRE(Group.runUntil([&] { return Group.hasVoters(5); }));
  for (const char *Seed : {"control-1", "control-2", "control-3"}) {
    Group.crash(Seed);
    Group.loseDisk(Seed);
  }
  // Messages in flight to them arrive while they are stopped and are lost.
  Group.run(Millis(50));
  for (const char *Seed : {"control-1", "control-2", "control-3"}) {
    Group.start(Seed);
    for (const char *Other : {"control-4", "control-5"}) {
      Group.Cuts.insert({Seed, Other});
      Group.Cuts.insert({Other, Seed});
    }
  }
  Group.run(Millis(10000));
  CHECK(Group.leader() == nullptr);
  for (const char *Seed : {"control-1", "control-2", "control-3"})
    CHECK(Group.host(Seed)->voters().empty());
}

TEST_CASE("A host that is lost permanently is replaced by another",
          "[open-group]") {
  // Each host in turn is replaced by an empty one with another name, until none
  // of the original hosts is left.
  auto Group = openGroup(3);
  REQUIRE(Group.runUntil([&] { return Group.hasVoters(5); }));
  const auto First = Group.proposeDurably("kept", LostDisks);
  REQUIRE(First != 0);
  for (int Each = 1; Each <= 5; ++Each) {
    Group.replace("control-" + std::to_string(Each),
                  "spare-" + std::to_string(Each));
    REQUIRE(Group.runUntil(
        [&] { return Group.hasVoters(5) && Group.isSettled(); }));
  }
  CHECK(Group.isHeld(First, "kept"));
}

TEST_CASE("A voter that is only partitioned remains a voter", "[open-group]") {
  auto Group = openGroup(4);
  REQUIRE(Group.runUntil([&] { return Group.hasVoters(5); }));
  for (const std::string &Other : Group.Names) {
    Group.Cuts.insert({"control-5", Other});
    Group.Cuts.insert({Other, "control-5"});
  }
  Group.run(Millis(10000));
  CHECK(Group.hasVoters(5));
  Group.Cuts.clear();
  CHECK(Group.runUntil([&] { return Group.isSettled(); }));
}

TEST_CASE("An acknowledged change survives the loss of the tolerated disks",
          "[open-group]") {
  // Immediately after the acknowledgement, at any point while the group forms,
  // two hosts lose their disks. The others either keep running or all crash.
  const auto Seed = GENERATE(range(1, 31));
  const bool OthersToo = GENERATE(true, false);
  CAPTURE(Seed, OthersToo);
  auto Group = openGroup(Seed);
  Group.run(Millis(50) * (Seed % 30));
  const auto Index = Group.proposeDurably("kept", LostDisks);
  REQUIRE(Index != 0);
  std::vector<std::string> Victims = Group.Names;
  std::shuffle(Victims.begin(), Victims.end(), Group.Random);
  for (std::size_t Each = 0; Each < Victims.size(); ++Each) {
    if (Each >= 2 && !OthersToo)
      break;
    Group.crash(Victims[Each]);
    if (Each < 2)
      Group.loseDisk(Victims[Each]);
  }
  for (const std::string &Name : Group.Names)
    if (Group.host(Name) == nullptr)
      Group.start(Name);
  INFO(Group.describe());
  REQUIRE(Group.runUntil([&] { return Group.isSettled(); }));
  CHECK(Group.isHeld(Index, "kept"));
}

TEST_CASE("After a power loss of all hosts a leader is elected within 600 ms",
          "[open-group]") {
  // Two of five disks are lost and all hosts restart at the same time. Every
  // vote is needed, so candidates that start simultaneously would split the
  // vote repeatedly and lose most of a second each time.
  const auto Seed = GENERATE(range(1, 41));
  CAPTURE(Seed);
  auto Group = openGroup(Seed);
  REQUIRE(Group.runUntil([&] { return Group.hasVoters(5); }));
  Group.run(Millis(500));
  for (const std::string &Name : Group.Names)
    Group.crash(Name);
  Group.loseDisk("control-2");
  Group.loseDisk("control-4");
  // Messages in flight arrive while the hosts are stopped and are lost.
  Group.run(Millis(50));
  for (const std::string &Name : Group.Names)
    Group.start(Name);
  const Millis Start = Group.Now;
  REQUIRE(Group.runUntil([&] { return Group.leader() != nullptr; }));
  const std::int64_t ElapsedMs = (Group.Now - Start).count();
  CHECK(ElapsedMs < 600);
}

TEST_CASE("A full disk stops no process and loses no acknowledged change",
          "[open-group]") {
  // Syncs fail for a while at the leader and at followers while changes are
  // proposed. The group checks that no acknowledged change is lost. Once the
  // disks have space again, every host takes part as before.
  const auto Seed = GENERATE(range(1, 21));
  CAPTURE(Seed);
  auto Group = openGroup(Seed);
  REQUIRE(Group.runUntil([&] { return Group.hasVoters(5); }));
  std::vector<std::pair<std::uint64_t, std::string>> Acknowledged;
  for (int Round = 0; Round < 12; ++Round) {
    const std::string &Name = Group.Names[Group.Random() % 5];
    Group.Disks[Name]->FailSyncs = true;
    const std::string Text = "change " + std::to_string(Round);
    if (const auto Index = Group.proposeDurably(Text, LostDisks))
      Acknowledged.emplace_back(Index, Text);
    Group.run(Millis(static_cast<std::int64_t>(Group.Random() % 1500)));
    Group.Disks[Name]->FailSyncs = false;
    Group.checkLogs();
  }
  REQUIRE(Group.runUntil([&] { return Group.isSettled(); }));
  for (const std::string &Name : Group.Names)
    CHECK_FALSE(Group.host(Name)->failure());
  CHECK(Acknowledged.size() >= 5);
  for (const auto &[Index, Text] : Acknowledged)
    CHECK(Group.isHeld(Index, Text));
}

TEST_CASE("Random faults lose no acknowledged change of an open group",
          "[open-group]") {
  // Crashes, lost disks, full disks, partitions and replaced hosts follow one
  // another and overlap. The group checks its invariants after every step.
  const auto Seed = GENERATE(range(1, 61));
  CAPTURE(Seed);
  auto Group = openGroup(Seed);
  Group.Faults = {static_cast<int>(Seed % 3) * 50, 50, Millis(20)};
  REQUIRE(Group.runUntil([&] { return Group.hasVoters(5); }));
  int Spares = 0;
  for (int Round = 0; Round < 25; ++Round) {
    const std::string Name = Group.Names[Group.Random() % 5];
    switch (Group.Random() % 6) {
    case 0:
      Group.crash(Name);
      break;
    case 1:
      Group.Disks[Name]->FailSyncs = true;
      break;
    case 2:
      for (const std::string &Other : Group.Names) {
        Group.Cuts.insert({Name, Other});
        if (Group.Random() % 2 == 0)
          Group.Cuts.insert({Other, Name});
      }
      break;
    case 3:
      if (Group.hasVoters(5) && Group.isSettled())
        Group.replace(Name, "spare-" + std::to_string(++Spares));
      break;
    case 4:
      if (Group.hasVoters(5) && Group.isSettled()) {
        Group.crash(Name);
        Group.loseDisk(Name);
        Group.start(Name);
      }
      break;
    default:
      Group.Cuts.clear();
      for (const std::string &Each : Group.Names) {
        if (Group.Disks[Each])
          Group.Disks[Each]->FailSyncs = false;
        if (Group.host(Each) == nullptr)
          Group.start(Each);
      }
    }
    if (Consensus *Leader = Group.leader(); Leader != nullptr)
      static_cast<void>(
          Leader->propose("round " + std::to_string(Round), Group.Now));
    Group.run(Millis(static_cast<std::int64_t>(Group.Random() % 1200)));
    Group.checkLogs();
  }
  Group.Cuts.clear();
  Group.Faults = {};
  for (const std::string &Each : Group.Names) {
    if (Group.Disks[Each])
      Group.Disks[Each]->FailSyncs = false;
    if (Group.host(Each) == nullptr)
      Group.start(Each);
  }
  INFO(Group.describe());
  CHECK(Group.runUntil([&] { return Group.isSettled(); }));
}
