/// \file
/// Elections of control hosts that wait for their own disks.

#include "FakeControlGroup.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

/// A voter of three, founded by a snapshot of its leader control-1.
class OneVoter {
public:
  OneVoter() : Records(Disk), Log(Records), Node({Self, Hosts}, Log, 1) {
    REQUIRE(Log.load("disk-2"));
    Node.start(Now);
    const Members Voters = {
        {Hosts[0], "disk-1"}, {Hosts[1], "disk-2"}, {Hosts[2], "disk-3"}};
    receive(SnapshotInstall{1, 1, 1, 1, Voters, "state"});
    REQUIRE(Node.role() == ConsensusRole::Follower);
  }

  void receive(ConsensusBody Body) {
    Node.receive({{Hosts[0], "disk-1"}, std::move(Body)}, Now);
    Node.takeOutputs();
  }
  /// The leader's next message, with or without an entry to write.
  void hearLeader(bool HasEntry) {
    const std::uint64_t Last = Node.log().lastIndex();
    AppendRequest Request{1, Last, 1, Last, 1, {}};
    if (HasEntry)
      Request.Entries.push_back({Last + 1, 1, EntryKind::Command, "change"});
    receive(std::move(Request));
  }
  /// Runs the timers every 5 ms for \p Span or until an election begins.
  /// Returns the time that passed.
  Millis runUntilElection(Millis Span) {
    const Millis Start = Now;
    while (Now - Start < Span && Node.role() == ConsensusRole::Follower) {
      Now += Millis(5);
      Node.tick(Now);
      Node.takeOutputs();
    }
    return Now - Start;
  }

  const std::string Self = "control-2";
  const std::vector<std::string> Hosts = {"control-1", "control-2",
                                          "control-3"};
  Millis Now = Millis(1000);
  FakeDisk Disk;
  Journal Records;
  ReplicatedLog Log;
  Consensus Node;
};

/// The longest time without a message from a leader before an election.
constexpr Millis MaxSilence(600);

/// Crashes the leader of three hosts while the others write its last entry, or
/// shortly after, where a sync takes \p Sync. Returns the time to the next
/// leader.
Millis measureFailover(std::uint64_t Seed, Millis Sync) {
  FakeControlGroup Group(Seed, 3);
  Group.Faults.MaxDelay = Millis(1);
  REQUIRE(Group.runUntil([&] { return Group.isSettled(); }));
  Group.SyncDuration = Sync;
  Group.run(Millis(1000));
  Consensus *Leader = Group.leader();
  REQUIRE(Leader != nullptr);
  const std::string Name = Leader->leader();
  REQUIRE(Leader->propose("change", Group.Now));
  // The entry leaves the leader after its own sync.
  Group.run(Sync + Millis(10) + Sync * static_cast<int>(Seed % 5) / 4);
  const Millis Start = Group.Now;
  Group.crash(Name);
  REQUIRE(Group.runUntil([&] { return Group.leader() != nullptr; }));
  return Group.Now - Start;
}

} // namespace

TEST_CASE("A voter's own sync does not count as silence of its leader",
          "[consensus]") {
  // A voter is busy with a sync while its leader's messages wait, and its
  // timers run first when the sync ends. Guards against an election by a voter
  // whose leader is alive.
  const Millis Sync(GENERATE(25, 200, 700, 5000));
  OneVoter Voter;
  Voter.hearLeader(true);
  Voter.Now += Sync;
  CHECK(Voter.runUntilElection(Millis(250)) == Millis(250));
  Voter.hearLeader(false);
  CHECK(Voter.runUntilElection(Millis(250)) == Millis(250));
}

TEST_CASE("A voter whose sync hung starts an election after its silence",
          "[consensus]") {
  // The leader dies while the voter's sync hangs for up to an hour. Guards
  // against a voter that, once its disk responds, waits for a time that depends
  // on the sync.
  const Millis Sync(GENERATE(25, 700, 60000, 3600000));
  OneVoter Voter;
  Voter.hearLeader(true);
  Voter.Now += Sync;
  CHECK(Voter.runUntilElection(MaxSilence * 2) <= MaxSilence);
  CHECK(Voter.Node.role() == ConsensusRole::PreCandidate);
}

TEST_CASE("A sync within a silence postpones the election by its duration",
          "[consensus]") {
  // The leader is silent for 250 ms when the voter replaces its log by a
  // snapshot. Guards against a sync that restarts the silence or is counted
  // more than once.
  const auto SilenceBeside = [](Millis Sync) {
    OneVoter Voter;
    Voter.hearLeader(true);
    Voter.hearLeader(false);
    REQUIRE(Voter.runUntilElection(Millis(250)) == Millis(250));
    const std::uint64_t Writes = Voter.Log.syncedWrites();
    Voter.Node.compact(Voter.Log.lastIndex(), "state");
    REQUIRE(Voter.Log.syncedWrites() == Writes + 1);
    Voter.Now += Sync;
    return Millis(250) + Voter.runUntilElection(MaxSilence * 2);
  };
  const Millis WithoutSync = SilenceBeside(Millis(0));
  CHECK(WithoutSync <= MaxSilence);
  // The timers run up to 5 ms after the end of the sync.
  const Millis Growth = SilenceBeside(Millis(400)) - WithoutSync;
  CHECK(Growth.count() >= 0);
  CHECK(Growth.count() <= 5);
}

TEST_CASE("A host that did not run without a write starts its election",
          "[consensus]") {
  // A frozen host has no reason to wait longer once it runs. Guards against
  // elections that are postponed by a suspension or a lack of processor time.
  OneVoter Voter;
  Voter.hearLeader(false);
  Voter.Now += Millis(5000);
  CHECK(Voter.runUntilElection(MaxSilence) == Millis(5));
}

TEST_CASE("Failover grows by no more than the duration of a sync",
          "[consensus]") {
  // Guards against survivors of a leader that wait longer for the election than
  // their syncs explain, and against any effect on fast disks. The limits are
  // the longest failovers of these seeds while voters counted their syncs as
  // silence.
  struct Case {
    Millis Sync;
    Millis LongestBefore;
  };
  const auto [Sync, LongestBefore] =
      GENERATE(values<Case>({{Millis(0), Millis(600)},
                             {Millis(2), Millis(595)},
                             {Millis(10), Millis(645)},
                             {Millis(50), Millis(965)},
                             {Millis(100), Millis(1210)},
                             {Millis(200), Millis(1850)}}));
  const Millis Growth = Sync > Millis(10) ? Sync : Millis(0);
  for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
    CAPTURE(Seed, Sync.count());
    CHECK(measureFailover(Seed, Sync).count() <=
          (LongestBefore + Growth).count());
  }
}

TEST_CASE("Slow disks elect a leader that stays", "[consensus]") {
  // Guards against candidates that ask again before the votes can arrive, and
  // against leaders that step down before the first replies can: with syncs as
  // long as half of the election timeout, groups elected one leader after the
  // other, or none.
  const Millis Sync(GENERATE(100, 160, 220));
  const std::size_t Hosts = GENERATE(4U, 5U, 6U);
  const auto Seed = GENERATE(range(1, 21));
  CAPTURE(Sync.count(), Hosts, Seed);
  FakeControlGroup Group(static_cast<std::uint64_t>(Seed), Hosts);
  REQUIRE(Group.runUntil([&] { return Group.isSettled(); }));
  Group.SyncDuration = Sync;
  Group.run(Millis(1000));
  REQUIRE(Group.runUntil([&] { return Group.leader() != nullptr; }));
  const std::string Name = Group.leader()->leader();
  Group.crash(Name);
  Group.run(Sync);
  Group.start(Name);
  // The time after which the users' callers must be served again.
  constexpr Millis RecoveryTimeout(12000);
  CHECK(Group.runUntil([&] { return Group.isSettled(); }, RecoveryTimeout));
  const Consensus *Leader = Group.leader();
  REQUIRE(Leader != nullptr);
  const std::uint64_t Term = Leader->term();
  for (int Change = 0; Change < 5; ++Change) {
    CHECK(Group.proposeDurably("change", 1) != 0);
    Group.run(Millis(1000));
  }
  CHECK(Group.leader() != nullptr);
  CHECK(Leader->term() == Term);
}
