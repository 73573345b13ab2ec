/// \file
/// Control hosts that are replaced while others are, or while something else
/// fails: the group returns to a size at which it bears the loss of two disks.

#include "FakeControlGroup.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace corianderdyke;

namespace {

/// The number of disks, out of five, that may be lost.
constexpr std::size_t LostDisks = 2;
constexpr std::size_t GroupSize = 5;
/// Time after which a replaced host no longer counts as one of the losses.
constexpr Millis CatchUpTimeout(4000);
/// Time after which the group must work again once all hosts are back.
constexpr Millis RecoveryTimeout(12000);

FakeControlGroup groupOfFive(int Seed) {
  FakeControlGroup Group(static_cast<std::uint64_t>(Seed), GroupSize,
                         MembershipMode::Open);
  REQUIRE(Group.runUntil(
      [&] { return Group.hasVoters(GroupSize) && Group.isSettled(); }));
  return Group;
}

std::vector<std::string> drawHosts(FakeControlGroup &Group, std::size_t Count) {
  std::vector<std::string> Out = Group.Names;
  std::shuffle(Out.begin(), Out.end(), Group.Random);
  Out.resize(Count);
  return Out;
}

Millis drawTime(FakeControlGroup &Group, int MaxMs) {
  return Millis(static_cast<std::int64_t>(Group.Random() %
                                          static_cast<std::uint64_t>(MaxMs)));
}

/// Five voters, all of which run.
bool isRestored(FakeControlGroup &Group) {
  return Group.hasVoters(GroupSize) && Group.isSettled();
}

/// Hosts join a group of five until all of them vote.
void addVoters(FakeControlGroup &Group, std::size_t Count) {
  for (std::size_t Each = 1; Each <= Count; ++Each)
    Group.add("spare-" + std::to_string(Each));
  REQUIRE(Group.runUntil(
      [&] { return Group.hasVoters(GroupSize + Count) && Group.isSettled(); }));
}

/// Two replacements join, so that seven hosts vote. Returns the hosts to stop.
std::vector<std::string> addTwoReplacements(FakeControlGroup &Group) {
  std::vector<std::string> Replaced = drawHosts(Group, 2);
  Group.add("spare-1");
  Group.add("spare-2");
  REQUIRE(Group.runUntil([&] { return Group.hasVoters(7); }));
  return Replaced;
}

/// Loses two disks while all hosts restart. The entry "kept" must remain.
void expectKeptAfterLoss(FakeControlGroup &Group, std::uint64_t Index) {
  Group.restartWithLostDisks(drawHosts(Group, LostDisks));
  INFO(Group.describe());
  REQUIRE(Group.runUntil([&] { return Group.leader() != nullptr; },
                         RecoveryTimeout));
  CHECK(Group.isHeld(Index, "kept"));
}

/// Cuts all links between a host and the others.
void isolate(FakeControlGroup &Group, const std::string &Name) {
  for (const std::string &Each : Group.Names) {
    Group.Cuts.insert({Name, Each});
    Group.Cuts.insert({Each, Name});
  }
}

/// Stops the leader, if any, and starts it again after \p Downtime.
void restartLeader(FakeControlGroup &Group, Millis Downtime) {
  const Consensus *Leader = Group.leader();
  for (const std::string &Each : Group.Names)
    if (Leader != nullptr && Group.host(Each) == Leader) {
      Group.crash(Each);
      Group.run(Downtime);
      Group.start(Each);
      return;
    }
  Group.run(Downtime);
}

/// Replaces one or two hosts a round in a drawn order, beside restarts of all,
/// crashed leaders and partitions. Then two disks are lost.
void runDrawnReplacements(int Seed) {
  CAPTURE(Seed);
  auto Group = groupOfFive(Seed);
  Group.SyncDuration = Millis(Seed % 3 == 0 ? 20 : 0);
  std::vector<std::pair<std::uint64_t, std::string>> Durable;
  int Spares = 0;
  for (int Round = 0; Round < 6; ++Round) {
    CAPTURE(Round);
    std::vector<std::string> ToStop = drawHosts(Group, 1 + Group.Random() % 2);
    std::size_t ToStart = ToStop.size();
    while (!ToStop.empty() || ToStart != 0) {
      // At most two hosts are missing at a time.
      if (ToStart != 0 && (ToStop.empty() || Group.Random() % 2 == 0)) {
        Group.add("spare-" + std::to_string(++Spares));
        --ToStart;
      } else {
        Group.remove(ToStop.back());
        ToStop.pop_back();
      }
      switch (Group.Random() % 6) {
      case 0:
        Group.restartWithLostDisks({});
        break;
      case 1:
        restartLeader(Group, drawTime(Group, 1000));
        break;
      case 2:
        isolate(Group, drawHosts(Group, 1).front());
        Group.run(drawTime(Group, 3000));
        Group.Cuts.clear();
        break;
      default:
        Group.run(drawTime(Group, 3000));
      }
    }
    INFO(Group.describe());
    REQUIRE(Group.runUntil([&] { return isRestored(Group); }, CatchUpTimeout));
    const std::string Change = "change " + std::to_string(Round);
    const auto Added = Group.proposeDurably(Change, LostDisks);
    REQUIRE(Added != 0);
    Durable.emplace_back(Added, Change);
    Group.restartWithLostDisks(drawHosts(Group, LostDisks));
    REQUIRE(Group.runUntil([&] { return isRestored(Group); }, RecoveryTimeout));
    Group.checkLogs();
    for (const auto &[Index, Text] : Durable)
      CHECK(Group.isHeld(Index, Text));
  }
}

/// Replaces one or two hosts a round, the new ones first. The old ones stop as
/// planned, together or in turn, beside restarts of leaders and lost messages.
/// A change is acknowledged before or after they stop, and two disks are lost
/// at once.
void runDrawnPlannedStops(int Seed) {
  CAPTURE(Seed);
  auto Group = groupOfFive(Seed);
  Group.SyncDuration = Millis(Seed % 3 == 0 ? 20 : 0);
  std::vector<std::pair<std::uint64_t, std::string>> Durable;
  int Spares = 0;
  for (int Round = 0; Round < 6; ++Round) {
    CAPTURE(Round);
    const std::vector<std::string> Replaced =
        drawHosts(Group, 1 + Group.Random() % 2);
    const std::size_t Grown = GroupSize + Replaced.size();
    for (std::size_t Each = 0; Each < Replaced.size(); ++Each)
      Group.add("spare-" + std::to_string(++Spares));
    REQUIRE(Group.runUntil(
        [&] { return Group.hasVoters(Grown) && Group.isSettled(); },
        CatchUpTimeout));
    const std::string Change = "change " + std::to_string(Round);
    const bool IsBefore = Group.Random() % 2 == 0;
    std::uint64_t Added =
        IsBefore ? Group.proposeDurably(Change, LostDisks) : 0;
    Group.Faults.Lost = static_cast<int>(Group.Random() % 3) * 50;
    if (Group.Random() % 3 == 0) {
      restartLeader(Group, drawTime(Group, 1000));
      REQUIRE(Group.runUntil([&] { return Group.isSettled(); }));
    }
    const bool AreTogether = Group.Random() % 2 == 0;
    INFO(Group.describe());
    if (AreTogether)
      CHECK(Group.stop(Replaced));
    for (const std::string &Each : Replaced) {
      if (!AreTogether) {
        Group.run(drawTime(Group, 1000));
        CHECK(Group.stop({Each}));
      }
      Group.remove(Each);
    }
    while (Added == 0)
      Added = Group.proposeDurably(Change, LostDisks);
    Durable.emplace_back(Added, Change);
    Group.Faults.Lost = 0;
    Group.restartWithLostDisks(drawHosts(Group, LostDisks));
    Group.runUntil([&] { return isRestored(Group); }, RecoveryTimeout);
    INFO(Group.describe());
    REQUIRE(isRestored(Group));
    Group.checkLogs();
    for (const auto &[Index, Text] : Durable)
      CHECK(Group.isHeld(Index, Text));
  }
}

} // namespace

TEST_CASE("Two hosts replaced at once count as voters no longer",
          "[open-group]") {
  // Guards against a group of seven that keeps the votes of two hosts that are
  // gone: it lacks a majority once two of the five other disks are lost.
  const auto Seed = GENERATE(range(1, 41));
  CAPTURE(Seed);
  auto Group = groupOfFive(Seed);
  for (const std::string &Each : addTwoReplacements(Group))
    Group.remove(Each);
  CHECK(Group.runUntil([&] { return isRestored(Group); }, CatchUpTimeout));
  const auto Index = Group.proposeDurably("kept", LostDisks);
  REQUIRE(Index != 0);
  expectKeptAfterLoss(Group, Index);
}

TEST_CASE("Two replaced hosts with vacant seats count as voters no longer",
          "[open-group]") {
  // Guards against seats of emptied disks that no host takes any more, because
  // their hosts were replaced under other names.
  const auto Seed = GENERATE(range(1, 21));
  CAPTURE(Seed);
  auto Group = groupOfFive(Seed);
  const std::vector<std::string> Replaced = drawHosts(Group, 2);
  for (const std::string &Each : Replaced) {
    Group.crash(Each);
    Group.loseDisk(Each);
  }
  Group.run(Millis(50));
  for (const std::string &Each : Replaced)
    Group.start(Each);
  REQUIRE(Group.runUntil([&] {
    if (Group.leader() == nullptr)
      return false;
    const Members &Voters = Group.leader()->voters();
    return std::any_of(Voters.begin(), Voters.end(),
                       [](const Member &Each) { return Each.isVacant(); });
  }));
  for (const std::string &Each : Replaced)
    Group.remove(Each);
  Group.add("spare-1");
  Group.add("spare-2");
  CHECK(Group.runUntil([&] { return isRestored(Group); }, CatchUpTimeout));
  const auto Index = Group.proposeDurably("kept", LostDisks);
  REQUIRE(Index != 0);
  expectKeptAfterLoss(Group, Index);
}

TEST_CASE("A group of three that bears one lost disk returns to three",
          "[open-group]") {
  // Guards against a size that is fixed instead of taken from the losses that
  // the group has to bear.
  FakeControlGroup Group(1, 3, MembershipMode::Open);
  REQUIRE(Group.runUntil([&] { return Group.hasVoters(3); }));
  Group.add("spare-1");
  Group.add("spare-2");
  REQUIRE(Group.runUntil([&] { return Group.hasVoters(5); }));
  for (const std::string &Each : drawHosts(Group, 2))
    Group.remove(Each);
  CHECK(Group.runUntil([&] { return Group.hasVoters(3); }, CatchUpTimeout));
  CHECK(Group.runUntil([&] { return Group.isSettled(); }));
}

TEST_CASE("Replaced hosts that stop as planned leave at once",
          "[open-group][planned-stop]") {
  // Guards against seven voters of which two have just stopped as planned: the
  // loss of two disks then leaves no majority of them.
  const auto Seed = GENERATE(range(1, 41));
  const std::size_t Count = GENERATE(1U, 2U);
  const bool AreTogether = GENERATE(false, true);
  CAPTURE(Seed, Count, AreTogether);
  auto Group = groupOfFive(Seed);
  const std::vector<std::string> Replaced = drawHosts(Group, Count);
  addVoters(Group, Count);
  const auto Index = Group.proposeDurably("kept", LostDisks);
  REQUIRE(Index != 0);
  if (AreTogether)
    CHECK(Group.stop(Replaced));
  for (const std::string &Each : Replaced) {
    if (!AreTogether)
      CHECK(Group.stop({Each}));
    Group.remove(Each);
  }
  expectKeptAfterLoss(Group, Index);
  CHECK(Group.runUntil([&] { return isRestored(Group); }, RecoveryTimeout));
}

TEST_CASE("A planned restart at the smallest size keeps its seat",
          "[open-group][planned-stop]") {
  // Guards against a rolling restart that shrinks a group below the size that
  // bears the tolerated losses, or that waits for the group.
  const auto Seed = GENERATE(range(1, 21));
  CAPTURE(Seed);
  auto Group = groupOfFive(Seed);
  for (const std::string &Each : std::vector<std::string>(Group.Names)) {
    const Members Before = Group.leader()->voters();
    CHECK(Group.stop({Each}, Millis(0)));
    Group.run(drawTime(Group, 2500));
    Group.start(Each);
    REQUIRE(Group.runUntil([&] { return Group.isSettled(); }));
    CHECK(Group.leader()->voters() == Before);
  }
}

TEST_CASE("Hosts above the smallest size restart in turn and vote again",
          "[open-group][planned-stop]") {
  // Guards against a host that left for a restart and stays outside, and
  // against a group that is smaller afterwards.
  const auto Seed = GENERATE(range(1, 21));
  CAPTURE(Seed);
  auto Group = groupOfFive(Seed);
  addTwoReplacements(Group);
  for (const std::string &Each : std::vector<std::string>(Group.Names)) {
    CHECK(Group.stop({Each}));
    Group.run(drawTime(Group, 500));
    Group.start(Each);
    REQUIRE(Group.runUntil(
        [&] { return Group.hasVoters(7) && Group.isSettled(); }));
  }
}

TEST_CASE("All hosts of a large group stop together and return",
          "[open-group][planned-stop]") {
  // Guards against hosts that wait for each other's consent to stop.
  const auto Seed = GENERATE(range(1, 41));
  CAPTURE(Seed);
  auto Group = groupOfFive(Seed);
  addTwoReplacements(Group);
  const auto Index = Group.proposeDurably("kept", LostDisks);
  REQUIRE(Index != 0);
  CHECK(Group.stop(Group.Names));
  Group.run(drawTime(Group, 2500));
  for (const std::string &Each : Group.Names)
    Group.start(Each);
  CHECK(Group.runUntil([&] { return Group.hasVoters(7) && Group.isSettled(); },
                       RecoveryTimeout));
  CHECK(Group.isHeld(Index, "kept"));
}

TEST_CASE("A leader that leaves has a successor at once",
          "[open-group][planned-stop]") {
  // Guards against a group that waits for an election timeout although its
  // leader has said that it stops.
  const auto Seed = GENERATE(range(1, 41));
  CAPTURE(Seed);
  auto Group = groupOfFive(Seed);
  // In the order in which they were sent.
  Group.Faults.MaxDelay = Millis(1);
  addVoters(Group, 1);
  const std::string Leader = Group.leader()->leader();
  CHECK(Group.stop({Leader}));
  const Millis Stopped = Group.Now;
  REQUIRE(Group.runUntil([&] { return Group.leader() != nullptr; }));
  // Less than the shortest time without a leader's message before an election.
  CHECK((Group.Now - Stopped).count() < 300);
  CHECK(Group.hasVoters(GroupSize));
}

TEST_CASE("A host that stops in a partition does not wait for ever",
          "[open-group][planned-stop]") {
  // Guards against a host that rejoins for good as a voter that is leaving,
  // after its request reached no leader.
  const auto Seed = GENERATE(range(1, 21));
  CAPTURE(Seed);
  auto Group = groupOfFive(Seed);
  addVoters(Group, 1);
  const std::string Isolated = drawHosts(Group, 1).front();
  isolate(Group, Isolated);
  CHECK_FALSE(Group.stop({Isolated}, Millis(1000)));
  Group.Cuts.clear();
  Group.start(Isolated);
  CHECK(Group.runUntil([&] { return Group.hasVoters(6) && Group.isSettled(); },
                       RecoveryTimeout));
}

TEST_CASE("The smaller part of a split group remains in it", "[open-group]") {
  // Guards against a group that removes the hosts beyond a partition and then
  // consists of too few disks for the tolerated losses.
  const auto Size = GENERATE(5, 7);
  CAPTURE(Size);
  FakeControlGroup Group(1, static_cast<std::size_t>(Size),
                         MembershipMode::Open);
  const auto Voters = static_cast<std::size_t>(Size);
  REQUIRE(Group.runUntil(
      [&] { return Group.hasVoters(Voters) && Group.isSettled(); }));
  const std::vector<std::string> Minority =
      drawHosts(Group, static_cast<std::size_t>(Size / 2));
  for (const std::string &Here : Group.Names)
    for (const std::string &There : Minority)
      if (std::find(Minority.begin(), Minority.end(), Here) == Minority.end()) {
        Group.Cuts.insert({Here, There});
        Group.Cuts.insert({There, Here});
      }
  Group.run(Millis(10000));
  REQUIRE(Group.hasVoters(Voters));
  CHECK(Group.leader()->silentVoters(Group.Now).size() == Minority.size());
  Group.Cuts.clear();
  CHECK(Group.runUntil([&] { return Group.isSettled(); }));
  CHECK(Group.runUntil(
      [&] { return Group.leader()->silentVoters(Group.Now).empty(); }));
}

TEST_CASE("A removed host that returns with its disk joins and leaves again",
          "[open-group]") {
  // Guards against a group that stays at seven voters after replaced hosts
  // have come back and are gone again.
  const auto Seed = GENERATE(range(1, 21));
  CAPTURE(Seed);
  auto Group = groupOfFive(Seed);
  const std::vector<std::string> Replaced = addTwoReplacements(Group);
  for (const std::string &Each : Replaced)
    Group.crash(Each);
  REQUIRE(Group.runUntil([&] { return Group.hasVoters(GroupSize); },
                         CatchUpTimeout));
  for (const std::string &Each : Replaced)
    Group.start(Each);
  REQUIRE(
      Group.runUntil([&] { return Group.hasVoters(7) && Group.isSettled(); }));
  for (const std::string &Each : Replaced)
    Group.remove(Each);
  CHECK(Group.runUntil([&] { return isRestored(Group); }, CatchUpTimeout));
}

TEST_CASE("A host removed during a partition finds a leader it does not know",
          "[open-group]") {
  // Guards against a running host that stays outside the group because it asks
  // only the hosts that were voters before the partition.
  const auto Seed = GENERATE(range(1, 21));
  CAPTURE(Seed);
  auto Group = groupOfFive(Seed);
  const std::string Isolated = drawHosts(Group, 1).front();
  Group.add("spare-1");
  REQUIRE(Group.runUntil([&] { return Group.hasVoters(6); }));
  isolate(Group, Isolated);
  REQUIRE(Group.runUntil([&] { return Group.hasVoters(GroupSize); }));
  for (int Try = 0; Try < 50 && Group.leader() != Group.host("spare-1"); ++Try)
    restartLeader(Group, Millis(1500));
  REQUIRE(Group.leader() == Group.host("spare-1"));
  Group.Cuts.clear();
  CHECK(Group.runUntil([&] { return Group.hasVoters(6) && Group.isSettled(); },
                       CatchUpTimeout));
}

TEST_CASE("A change acknowledged while hosts are replaced survives lost disks",
          "[open-group]") {
  // Guards against an acknowledgement by a group that still counts hosts that
  // have just stopped for good. Two disks are lost as soon as it is given.
  const auto Seed = GENERATE(range(1, 61));
  const std::size_t Count = GENERATE(1U, 2U);
  CAPTURE(Seed, Count);
  auto Group = groupOfFive(Seed);
  const std::vector<std::string> Replaced = drawHosts(Group, Count);
  addVoters(Group, Count);
  for (const std::string &Each : Replaced)
    Group.remove(Each);
  Group.run(drawTime(Group, 2500));
  std::uint64_t Index = 0;
  const Millis Start = Group.Now;
  while (Index == 0 && Group.Now - Start < CatchUpTimeout)
    Index = Group.proposeDurably("kept", LostDisks);
  REQUIRE(Index != 0);
  CHECK((Group.Now - Start).count() < CatchUpTimeout.count());
  expectKeptAfterLoss(Group, Index);
}

TEST_CASE("Drawn replacements and losses keep durable changes and the size",
          "[open-group]") {
  // Guards against orders of replacements, restarts and partitions after which
  // the group counts hosts that are gone.
  runDrawnReplacements(GENERATE(range(1, 61)));
}

TEST_CASE("Drawn planned stops keep durable changes through lost disks",
          "[open-group][planned-stop]") {
  // Guards against orders of planned stops, elections and returns after which
  // the group counts hosts that have stopped.
  runDrawnPlannedStops(GENERATE(range(1, 61)));
}

TEST_CASE("More seeds of drawn replacements and losses", "[.][seeds-long]") {
  // Run by command after a change of the consensus code.
  for (int Seed = 61; Seed <= 3000; ++Seed) {
    runDrawnReplacements(Seed);
    runDrawnPlannedStops(Seed);
  }
}
