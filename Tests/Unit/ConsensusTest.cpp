/// \file
/// Behaviour of a control group when hosts are lost, return or are replaced.

#include "Common/Codec.h"
#include "FakeControlGroup.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

/// A group of three hosts that has a leader and a committed entry.
class ThreeHosts {
public:
  explicit ThreeHosts(std::uint64_t Seed = 1) : Group(Seed, 3) {
    settle();
    commit("first");
  }

  void settle() {
    REQUIRE(Group.runUntil([this] { return Group.isSettled(); }));
  }

  /// Proposes \p What at the leader and waits until it is committed there.
  /// Returns its index.
  std::uint64_t commit(const std::string &Content) {
    Consensus *Leader = Group.leader();
    REQUIRE(Leader != nullptr);
    const auto Index = Leader->propose(Content, Group.Now);
    REQUIRE(Index);
    REQUIRE(Group.runUntil([&] { return Leader->commitIndex() >= *Index; }));
    return *Index;
  }

  std::string leaderName() { return Group.leader()->leader(); }
  /// Returns the name of a host that is not the leader.
  std::string follower(std::size_t Number = 0) {
    std::vector<std::string> Others;
    for (const std::string &Name : Group.Names)
      if (Name != leaderName())
        Others.push_back(Name);
    return Others[Number];
  }

  void restartWithEmptyDisk(const std::string &Name) {
    Group.crash(Name);
    Group.loseDisk(Name);
    Group.start(Name);
  }

  void isolate(const std::string &Name) {
    for (const std::string &Each : Group.Names)
      Group.Cuts.insert({{Name, Each}, {Each, Name}});
  }

  bool isVoter(const std::string &Name) {
    const Consensus *Leader = Group.leader();
    const Consensus *Host = Group.host(Name);
    if (Leader == nullptr || Host == nullptr)
      return false;
    const Members &All = Leader->voters();
    return std::find(All.begin(), All.end(),
                     Member{Name, Host->log().diskId()}) != All.end();
  }

  FakeControlGroup Group;
};

} // namespace

TEST_CASE("A host with an empty disk is replaced by two changes",
          "[consensus]") {
  // A control host restarts at once with an empty disk. Without an operator it
  // must receive the log, its lost disk must be removed as a voter, and the new
  // disk must be added.
  const auto Seed = GENERATE(range(1, 11));
  ThreeHosts Three(static_cast<std::uint64_t>(Seed));
  const std::string Name =
      GENERATE(0, 1) == 0 ? Three.follower() : Three.leaderName();
  const std::uint64_t Before = Three.Group.leader()->log().votersIndex();
  Three.restartWithEmptyDisk(Name);
  Three.settle();
  CHECK(Three.isVoter(Name));
  // The removal and the addition are separate entries; only entries of other
  // leaders can lie between them.
  CHECK(Three.Group.leader()->log().votersIndex() > Before + 1);
}

TEST_CASE("A second host is lost right after a repair", "[consensus]") {
  // A disk is lost and its replacement has just become a voter; the other
  // follower does not know it when the leader crashes. Two of three hosts are
  // left, so commits must continue and the committed entry must be kept.
  const auto Seed = GENERATE(range(1, 11));
  ThreeHosts Three(static_cast<std::uint64_t>(Seed));
  const std::string Leader = Three.leaderName();
  const std::string Repaired = Three.follower(0);
  const std::string Other = Three.follower(1);
  const std::uint64_t Accepted = Three.commit("accepted");
  Three.restartWithEmptyDisk(Repaired);
  // The other follower learns of the removal but not of the addition.
  REQUIRE(Three.Group.runUntil(
      [&] { return Three.Group.host(Other)->log().votersIndex() > 1; }));
  Three.Group.Cuts.insert({Leader, Other});
  REQUIRE(Three.Group.runUntil([&] {
    const Consensus *Host = Three.Group.host(Leader);
    return Three.isVoter(Repaired) &&
           Host->log().votersIndex() <= Host->commitIndex();
  }));
  Three.Group.crash(Leader);
  REQUIRE(
      Three.Group.runUntil([&] { return Three.Group.leader() != nullptr; }));
  CHECK(Three.Group.leader()->commitIndex() > Accepted);
  Three.commit("next");
  Three.Group.start(Leader);
  Three.settle();
}

TEST_CASE("A second host is lost before a repair is complete", "[consensus]") {
  // An entry is committed by two hosts; one of them loses its disk and the
  // other crashes. The third host lacks the entry, and the vote of the empty
  // disk would elect it without the entry. It must wait, report which host it
  // waits for, and continue with the entry once that host is back.
  ThreeHosts Three;
  const std::string Leader = Three.leaderName();
  const std::string Repaired = Three.follower(0);
  const std::string Other = Three.follower(1);
  Three.isolate(Other);
  const std::uint64_t Accepted = Three.commit("accepted");
  Three.Group.crash(Repaired);
  Three.Group.loseDisk(Repaired);
  Three.Group.crash(Leader);
  Three.Group.Cuts.clear();
  Three.Group.start(Repaired);
  Three.Group.run(Millis(5000));
  CHECK(Three.Group.leader() == nullptr);
  CHECK_THAT(Three.Group.host(Other)->notLeaderReason(Three.Group.Now),
             Catch::Contains("2 of 3") && Catch::Contains(Leader));
  Three.Group.start(Leader);
  Three.settle();
  CHECK(Three.isVoter(Repaired));
  CHECK(Three.Group.leader()->commitIndex() > Accepted);
}

TEST_CASE("A disk that was considered lost returns", "[consensus]") {
  // A host runs with an empty disk for a short time, then with its old one. If
  // the new disk replaced the old one in a single membership change, the leader
  // and the new disk could commit one entry, and the other hosts, which do not
  // know of the change, another entry at the same index.
  ThreeHosts Three;
  FakeControlGroup &Group = Three.Group;
  const std::string Leader = Three.leaderName();
  const std::string Name = Three.follower(0);
  const std::string Other = Three.follower(1);
  const std::shared_ptr<FakeDisk> Former = Group.Disks[Name];
  Three.restartWithEmptyDisk(Name);
  Three.isolate(Other);
  Group.run(Millis(400));
  Group.crash(Name);
  Group.Disks[Name] = Former;
  Group.start(Name);
  Group.Cuts.clear();
  Three.isolate(Leader);
  REQUIRE(Group.runUntil([&] {
    return Group.leader() != nullptr && Three.leaderName() != Leader;
  }));
  Three.commit("on the other side");
  Group.Cuts.clear();
  Three.settle();
}

TEST_CASE("An entry of an earlier term is not committed by its copies",
          "[consensus]") {
  // A majority holds an entry of an earlier term than the new leader's. A host
  // with an entry of a later term at that index could still be elected and
  // overwrite it, so it must not be committed before an entry of the leader's
  // own term is on a majority too.
  FakeDisk Disk;
  Journal Records(Disk);
  ReplicatedLog Log(Records);
  REQUIRE(Log.load("disk-1"));
  const Members All = {{"control-1", "disk-1"},
                       {"control-2", "disk-2"},
                       {"control-3", "disk-3"}};
  REQUIRE(Log.append({{1, 1, EntryKind::Membership, encode(All)},
                      {2, 2, EntryKind::Command, "change"}}));
  REQUIRE(Log.setTerm(3, ""));
  Consensus Host({"control-1", {"control-1", "control-2", "control-3"}}, Log,
                 1);
  const Millis Now(1000);
  Host.start(Now);
  const Millis Later = Now + Millis(1000);
  Host.tick(Later);
  Host.receive({All[1], VoteReply{4, true, true}}, Later);
  Host.receive({All[1], VoteReply{4, false, true}}, Later);
  REQUIRE(Host.isLeader());
  Host.receive({All[1], AppendReply{4, true, 2, 1}}, Later);
  CHECK(Host.commitIndex() == 0);
  Host.receive({All[1], AppendReply{4, true, 3, 1}}, Later);
  CHECK(Host.commitIndex() == 3);
}

TEST_CASE("A disk is lost while the group forms", "[consensus]") {
  // All hosts start for the first time, and one loses its disk before the group
  // has formed. If each host wrote its own initial membership entry, two hosts
  // could hold different first entries. The group must form and the logs must
  // agree.
  const auto Seed = GENERATE(range(1, 101));
  FakeControlGroup Group(static_cast<std::uint64_t>(Seed), 3);
  Group.Faults = {0, 0, Millis(300)};
  Group.run(Millis(static_cast<std::int64_t>(Group.Random() % 600)));
  const std::string Name = Seed % 2 == 0 ? "control-2" : "control-3";
  Group.crash(Name);
  Group.loseDisk(Name);
  Group.start(Name);
  for (int Each = 0; Each < 200; ++Each) {
    Group.run(Millis(10));
    REQUIRE_NOTHROW(Group.checkLogs());
  }
  Group.Faults = {};
  CHECK(Group.runUntil([&] { return Group.isSettled(); }));
}

TEST_CASE("A returning host does not depose a working leader", "[consensus]") {
  // A partitioned host requests votes without success for 10 s. When it
  // returns, the leader must remain leader in the same term.
  ThreeHosts Three;
  const std::string Leader = Three.leaderName();
  const std::uint64_t Term = Three.Group.leader()->term();
  Three.isolate(Three.follower());
  Three.Group.run(Millis(10000));
  Three.Group.Cuts.clear();
  Three.Group.run(Millis(3000));
  CHECK(Three.leaderName() == Leader);
  CHECK(Three.Group.leader()->term() == Term);
  // A vote request that was sent earlier and arrives late must not depose the
  // leader either.
  const Consensus *Late = Three.Group.host(Three.follower());
  Three.Group.leader()->receive(
      {{Three.follower(), Late->log().diskId()},
       VoteRequest{Term + 5, false, Late->log().lastIndex(), Term}},
      Three.Group.Now);
  CHECK(Three.Group.leader()->term() == Term);
}

TEST_CASE("A stale leader confirms no read", "[consensus]") {
  // The leader is partitioned while it receives reads, and another leader is
  // elected on the other side. The stale leader must confirm none of the reads,
  // and later refuse reads because it is no longer the leader.
  ThreeHosts Three;
  const std::string Stale = Three.leaderName();
  Consensus *Old = Three.Group.leader();
  Three.isolate(Stale);
  const std::uint64_t Confirmed = Three.Group.ConfirmedReads;
  for (int Each = 0; Each < 100; ++Each) {
    Three.Group.read(Stale);
    Three.Group.run(Millis(20));
  }
  REQUIRE(Three.Group.leader() != nullptr);
  CHECK(Three.Group.leader() != Old);
  CHECK(Three.Group.ConfirmedReads == Confirmed);
  CHECK_FALSE(Old->beginRead(Three.Group.Now));
}

TEST_CASE("Nothing is acknowledged when the disk fails", "[consensus]") {
  // The disk of a host fails while it stores an entry. A reply would let the
  // leader count a copy that does not exist, so none may be sent.
  ThreeHosts Three;
  const std::string Name = Three.follower();
  Consensus *Host = Three.Group.host(Name);
  const ConsensusMessage Append{
      {Three.leaderName(), Three.Group.leader()->log().diskId()},
      AppendRequest{Host->term(),
                    Host->log().lastIndex(),
                    Host->log().lastTerm(),
                    0,
                    1,
                    {Entry{Host->log().lastIndex() + 1, Host->term(),
                           EntryKind::Command, "next"}}}};
  Three.Group.Disks[Name]->FailSyncs = true;
  Host->receive(Append, Three.Group.Now);
  CHECK(Host->failure());
  CHECK(Host->takeOutputs().Messages.empty());
  // A later successful sync does not prove that the failed one is durable.
  Three.Group.Disks[Name]->FailSyncs = false;
  Host->receive(Append, Three.Group.Now);
  CHECK(Host->takeOutputs().Messages.empty());
}

TEST_CASE("A late snapshot drops nothing that was acknowledged",
          "[consensus]") {
  // A snapshot that was sent before some entries arrives after them. The host
  // has acknowledged the entries, and the leader may have committed them, so
  // they must be kept.
  FakeDisk Disk;
  Journal Records(Disk);
  ReplicatedLog Log(Records);
  REQUIRE(Log.load("disk-2"));
  Consensus Host({"control-2", {"control-1", "control-2"}}, Log, 1);
  Host.start(Millis(1000));
  const Member Leader{"control-1", "disk-1"};
  AppendRequest Append{1, 0, 0, 0, 1, {}};
  for (std::uint64_t Index = 1; Index <= 3; ++Index)
    Append.Entries.push_back({Index, 1, EntryKind::Command, "change"});
  Host.receive({Leader, Append}, Millis(1000));
  Host.receive({Leader, SnapshotInstall{1, 2, 1, 1, {Leader}, "state"}},
               Millis(1001));
  CHECK(Log.snapshotIndex() == 2);
  CHECK(Log.lastIndex() == 3);
  ReplicatedLog Again(Records);
  REQUIRE(Again.load("disk-3"));
  CHECK(Again.lastIndex() == 3);
}

TEST_CASE("A damaged last batch makes a host join again", "[consensus]") {
  // A bit flips in the last journal batch of a stopped host. The batch may have
  // held a vote, so the host must restart with a new disk id and be added
  // again.
  ThreeHosts Three;
  const std::string Name = Three.follower();
  const std::string Former = Three.Group.host(Name)->log().diskId();
  Three.Group.crash(Name);
  Three.Group.Disks[Name]->content("journal").back() ^= 1;
  Three.Group.start(Name);
  CHECK(Three.Group.host(Name)->log().diskId() != Former);
  Three.settle();
  CHECK(Three.isVoter(Name));
}

TEST_CASE("A single control host refuses a damaged last batch", "[consensus]") {
  // No other host holds the lost entry, so the start must fail with an error.
  FakeControlGroup Group(1, 1);
  REQUIRE(Group.runUntil([&] { return Group.leader() != nullptr; }));
  REQUIRE(Group.leader()->propose("change", Group.Now));
  Group.crash("control-1");
  Group.Disks["control-1"]->content("journal").back() ^= 1;
  CHECK_THROWS_WITH(Group.start("control-1"),
                    Catch::Contains("no other control host holds it"));
}

TEST_CASE("A group grows from three to five, one change at a time",
          "[consensus]") {
  // The operator adds two hosts to the settings of all hosts, restarts these
  // one by one, and adds the two by command. A second membership change during
  // the first must be refused with the reason.
  ThreeHosts Three;
  FakeControlGroup &Group = Three.Group;
  CHECK(Group.leader()->addVoter("control-4", Group.Now).error().Code ==
        ErrorCode::NotFound);
  Group.Names.insert(Group.Names.end(), {"control-4", "control-5"});
  for (const std::string Name : {"control-1", "control-2", "control-3"}) {
    Group.crash(Name);
    Group.start(Name);
    Three.settle();
  }
  Group.start("control-4");
  Group.start("control-5");
  Three.settle();
  CHECK(Group.leader()->voters().size() == 3);
  REQUIRE(Group.runUntil([&] {
    return Group.leader()->addVoter("control-4", Group.Now).has_value();
  }));
  const auto Second = Group.leader()->addVoter("control-5", Group.Now);
  REQUIRE_FALSE(Second);
  CHECK(Second.error().Code == ErrorCode::Conflict);
  CHECK_THAT(Second.error().Message, Catch::Contains("under way"));
  Three.settle();
  REQUIRE(Group.runUntil([&] {
    return Group.leader()->addVoter("control-5", Group.Now).has_value();
  }));
  Three.settle();
  // A group of five tolerates the loss of two hosts.
  Group.crash(Three.follower(0));
  Group.crash(Three.leaderName());
  REQUIRE(Group.runUntil([&] { return Group.leader() != nullptr; }));
  Three.commit("with three of five");
}

TEST_CASE("A control host is removed for good", "[consensus]") {
  // The operator removes a host, which may be the leader. The other hosts must
  // continue, and the removed host must neither vote nor lead, even after a
  // restart.
  const bool Leads = GENERATE(false, true);
  ThreeHosts Three;
  FakeControlGroup &Group = Three.Group;
  const std::string Name = Leads ? Three.leaderName() : Three.follower();
  REQUIRE(Group.leader()->removeVoter(Name, Group.Now));
  REQUIRE(Group.runUntil(
      [&] { return Group.leader() != nullptr && Three.leaderName() != Name; }));
  Three.settle();
  Group.crash(Name);
  Group.start(Name);
  Group.run(Millis(3000));
  CHECK(Group.leader()->voters().size() == 2);
  CHECK_FALSE(Three.isVoter(Name));
  CHECK(Group.host(Name)->role() == ConsensusRole::Joining);
}

TEST_CASE("A removal that would stop the group is refused", "[consensus]") {
  // One host is down and the operator removes a live one by mistake. Only one
  // of the two remaining voters would respond, and no later command could undo
  // the removal.
  ThreeHosts Three;
  FakeControlGroup &Group = Three.Group;
  Group.crash(Three.follower(0));
  Group.run(Millis(500));
  const auto Refused =
      Group.leader()->removeVoter(Three.follower(1), Group.Now);
  REQUIRE_FALSE(Refused);
  CHECK_THAT(Refused.error().Message, Catch::Contains("stand still"));
  CHECK(Group.leader()->removeVoter(Three.follower(0), Group.Now));
  CHECK(Group.leader()->removeVoter("control-9", Group.Now).error().Code !=
        ErrorCode::Unavailable);
}

TEST_CASE("A leader that lacks a committed entry is an error", "[consensus]") {
  // The hosts of two groups are connected by mistake, or a disk has lost synced
  // data. The host must fail with an error and keep the committed entries.
  ThreeHosts Three;
  Consensus *Host = Three.Group.host(Three.follower());
  const std::uint64_t Accepted = Host->commitIndex();
  const Member Other{Three.leaderName(), "another disk"};
  Host->receive({Other, AppendRequest{Host->term() + 1,
                                      0,
                                      0,
                                      0,
                                      1,
                                      {Entry{1, Host->term() + 1,
                                             EntryKind::Command, "other"}}}},
                Three.Group.Now);
  REQUIRE(Host->failure());
  CHECK(Host->failure()->Code == ErrorCode::Corrupt);
  CHECK(Host->log().lastIndex() >= Accepted);
}

TEST_CASE("Concurrent reads share a round", "[consensus]") {
  // When a thousand proxies renew their leases, each renewal is a quorum read.
  // A separate round for each would saturate the links among the control hosts.
  FakeControlGroup Group(1, 3);
  REQUIRE(Group.runUntil([&] { return Group.isSettled(); }));
  std::string Name;
  for (const std::string &Each : Group.Names)
    if (Group.host(Each) == Group.leader())
      Name = Each;
  const std::uint64_t Confirmed = Group.ConfirmedReads;
  const std::uint64_t Sent = Group.SentMessages;
  for (int Count = 0; Count < 50; ++Count)
    Group.read(Name);
  CHECK(Group.SentMessages <= Sent + 2);
  Group.run(Millis(100));
  CHECK(Group.ConfirmedReads == Confirmed + 50);
}

TEST_CASE("A partitioned host requests pre-votes and starts no election",
          "[consensus]") {
  // Guards against counters that do not distinguish pre-vote rounds without a
  // majority from elections.
  ThreeHosts Three;
  const std::string Name = Three.follower();
  const ElectionCounts Before = Three.Group.host(Name)->elections();
  CHECK(Three.Group.leader()->elections().Started > 0);
  Three.isolate(Name);
  REQUIRE(Three.Group.runUntil([&] {
    return Three.Group.host(Name)->elections().PreVoteRounds >
           Before.PreVoteRounds + 2;
  }));
  CHECK(Three.Group.host(Name)->elections().Started == Before.Started);
}

namespace {

/// Runs hosts whose disk syncs take \p Sync until a leader is elected, and then
/// on: the leader stays in office while the disks are no slower.
void checkLeaderWithSlowDisks(std::uint64_t Seed, Millis Sync) {
  CAPTURE(Seed);
  FakeControlGroup Group(Seed, 3);
  Group.Faults.MaxDelay = Millis(1);
  Group.SyncDuration = Sync;
  REQUIRE(
      Group.runUntil([&] { return Group.leader() != nullptr; }, Millis(5000)));
  const std::uint64_t Term = Group.leader()->term();
  Group.run(Millis(10000));
  REQUIRE(Group.leader() != nullptr);
  CHECK(Group.leader()->term() == Term);
}

} // namespace

TEST_CASE("Hosts with slow disks elect a leader", "[consensus]") {
  // A sync of a busy host's disk takes longer than a candidate waits for votes.
  // Each vote then arrives in the candidate's next pre-vote. If it were
  // dropped, all elections would be lost and the group would have no leader for
  // as long as the disks are slow.
  checkLeaderWithSlowDisks(GENERATE(range<std::uint64_t>(1, 21)), Millis(100));
}

TEST_CASE("Hosts with slower disks elect a leader within seconds",
          "[consensus]") {
  // Guards against elections that a voter begins because of its own slow sync.
  checkLeaderWithSlowDisks(18, Millis(150));
}

TEST_CASE("A voter that waits for its disk starts no election", "[consensus]") {
  // A voter writes its vote, and the leader its first entry, before the voter
  // hears from the leader. If the time of the voter's own syncs counts as
  // silence, it starts the next election at once.
  checkLeaderWithSlowDisks(GENERATE(range<std::uint64_t>(1, 21)), Millis(200));
}
