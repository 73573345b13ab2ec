/// \file
/// What a control group does when hosts are lost, return, or are replaced.

#include "Common/Codec.h"
#include "FakeControlGroup.h"

#include <catch2/catch.hpp>

using namespace corianderdyke;

namespace {

/// A group of three that leads and has committed something.
class ThreeHosts {
public:
  explicit ThreeHosts(std::uint64_t Seed = 1) : Group(Seed, 3) {
    settle();
    commit("first");
  }

  void settle() {
    REQUIRE(Group.runUntil([this] { return Group.isSettled(); }));
  }

  /// Proposes at the leader and waits until it's committed there.
  std::uint64_t commit(const std::string &What) {
    Consensus *Leader = Group.leader();
    REQUIRE(Leader != nullptr);
    const auto Index = Leader->propose(What, Group.Now);
    REQUIRE(Index);
    REQUIRE(Group.runUntil([&] { return Leader->commitIndex() >= *Index; }));
    return *Index;
  }

  std::string leaderName() { return Group.leader()->leader(); }
  /// A host that doesn't lead.
  std::string follower(std::size_t Number = 0) {
    std::vector<std::string> Others;
    for (const std::string &Name : Group.Names)
      if (Name != leaderName())
        Others.push_back(Name);
    return Others[Number];
  }

  void returnWithEmptyDisk(const std::string &Name) {
    Group.crash(Name);
    Group.loseDisk(Name);
    Group.start(Name);
  }

  void cutOff(const std::string &Name) {
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
  // A control host comes back at once with an empty disk. The operator does
  // nothing: it's fed, its lost disk leaves, the new one enters, and it holds
  // all that was accepted.
  const auto Seed = GENERATE(range(1, 11));
  ThreeHosts Three(static_cast<std::uint64_t>(Seed));
  const std::string Name =
      GENERATE(0, 1) == 0 ? Three.follower() : Three.leaderName();
  const std::uint64_t Before = Three.Group.leader()->log().votersIndex();
  Three.returnWithEmptyDisk(Name);
  Three.settle();
  CHECK(Three.isVoter(Name));
  // The entries between the two are other leaders' at most.
  CHECK(Three.Group.leader()->log().votersIndex() > Before + 1);
}

TEST_CASE("A second host is lost right after a repair", "[consensus]") {
  // A disk was lost and its successor has just been voted in; the other
  // follower hasn't heard of it when the leader dies. Two of three are left,
  // so changes go on, and the accepted one is there.
  const auto Seed = GENERATE(range(1, 11));
  ThreeHosts Three(static_cast<std::uint64_t>(Seed));
  const std::string Leader = Three.leaderName();
  const std::string Repaired = Three.follower(0);
  const std::string Other = Three.follower(1);
  const std::uint64_t Accepted = Three.commit("accepted");
  Three.returnWithEmptyDisk(Repaired);
  // The other hears of the vacant seat, not of who takes it.
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

TEST_CASE("A second host is lost before a repair has settled", "[consensus]") {
  // A change was accepted by two hosts; one of them loses its disk and the
  // other dies. The third never had the change, and the empty disk's vote
  // would let it lead without. It waits, tells the operator for whom, and
  // goes on with the change once the host that holds it is back.
  ThreeHosts Three;
  const std::string Leader = Three.leaderName();
  const std::string Repaired = Three.follower(0);
  const std::string Other = Three.follower(1);
  Three.cutOff(Other);
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

TEST_CASE("A disk that was taken for lost comes back", "[consensus]") {
  // A host runs with an empty disk for a moment, then with its old one. Had
  // the new disk taken the old one's seat in one step, the leader and the new
  // disk could have accepted one change and the rest, which never heard of
  // it, another in its place.
  ThreeHosts Three;
  FakeControlGroup &Group = Three.Group;
  const std::string Leader = Three.leaderName();
  const std::string Name = Three.follower(0);
  const std::string Other = Three.follower(1);
  const std::shared_ptr<FakeDisk> Former = Group.Disks[Name];
  Three.returnWithEmptyDisk(Name);
  Three.cutOff(Other);
  Group.run(Millis(400));
  Group.crash(Name);
  Group.Disks[Name] = Former;
  Group.start(Name);
  Group.Cuts.clear();
  Three.cutOff(Leader);
  REQUIRE(Group.runUntil([&] {
    return Group.leader() != nullptr && Three.leaderName() != Leader;
  }));
  Three.commit("on the other side");
  Group.Cuts.clear();
  Three.settle();
}

TEST_CASE("An entry of an earlier term isn't committed by its copies",
          "[consensus]") {
  // A new leader finds that a majority holds an entry of an earlier term. A
  // host with a later term's entry in its place could still be elected and
  // undo it, so nobody is told that it's accepted before an entry of the
  // leader's own term is on a majority too.
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
  // All hosts start for the first time, and one loses its disk before the
  // group has formed. Had each host written its own list of founders, two
  // could hold other first entries. The group forms, and the logs agree.
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

TEST_CASE("A returning host doesn't topple a working leader", "[consensus]") {
  // A host sits behind a partition for ten seconds and asks for votes in vain.
  // On its return the leader leads on in the same term.
  ThreeHosts Three;
  const std::string Leader = Three.leaderName();
  const std::uint64_t Term = Three.Group.leader()->term();
  Three.cutOff(Three.follower());
  Three.Group.run(Millis(10000));
  Three.Group.Cuts.clear();
  Three.Group.run(Millis(3000));
  CHECK(Three.leaderName() == Leader);
  CHECK(Three.Group.leader()->term() == Term);
  // Nor does a vote that it had asked for before, and that comes late.
  const Consensus *Late = Three.Group.host(Three.follower());
  Three.Group.leader()->receive(
      {{Three.follower(), Late->log().diskId()},
       VoteRequest{Term + 5, false, Late->log().lastIndex(), Term}},
      Three.Group.Now);
  CHECK(Three.Group.leader()->term() == Term);
}

TEST_CASE("A stale leader confirms no read", "[consensus]") {
  // The leader is cut off while an operator asks it for the latest manifest,
  // and a newer one is accepted on the other side. It answers nothing, then
  // says that it doesn't lead.
  ThreeHosts Three;
  const std::string Stale = Three.leaderName();
  Consensus *Old = Three.Group.leader();
  Three.cutOff(Stale);
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

TEST_CASE("Nothing is promised when the disk fails", "[consensus]") {
  // The disk of a host fails while it stores an entry. Its answer would let
  // the leader count a copy that isn't there, so none goes out.
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
  // A later sync that succeeds says nothing about the one that failed.
  Three.Group.Disks[Name]->FailSyncs = false;
  Host->receive(Append, Three.Group.Now);
  CHECK(Host->takeOutputs().Messages.empty());
}

TEST_CASE("A late snapshot drops nothing that was acknowledged",
          "[consensus]") {
  // A snapshot that was sent before some entries arrives after them. The host
  // has acknowledged the entries, and the leader may have committed them.
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

TEST_CASE("A damaged last batch makes a host join anew", "[consensus]") {
  // A bit flips in the last batch of a stopped host. It may have held a vote,
  // so the host comes back as a new disk and is voted in again.
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
  // There is no other host to learn the lost change from, so the operator is
  // told instead.
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
  // The operator names two more hosts in the settings of all, restarts them
  // one by one, and adds the two by command. A second change meanwhile is
  // refused with the reason.
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
  // Five bear the loss of two.
  Group.crash(Three.follower(0));
  Group.crash(Three.leaderName());
  REQUIRE(Group.runUntil([&] { return Group.leader() != nullptr; }));
  Three.commit("with three of five");
}

TEST_CASE("A control host is removed for good", "[consensus]") {
  // The operator takes a host out, whether it leads or not. The rest go on,
  // and the removed host neither votes nor leads, also after a restart.
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
  // One host is dead and the operator removes a live one by mistake. Of the
  // two that would be left only one answers, and no later command could undo
  // it.
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
  // Two groups have met, or a disk has lied. The operator is told, and what
  // was accepted stays.
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

TEST_CASE("Reads that come together share a round", "[consensus]") {
  // A thousand proxies renew their leases. Each renewal is read through the
  // quorum, and a round for each would fill the links among the control hosts.
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

TEST_CASE("A host that is cut off asks for elections and begins none",
          "[consensus]") {
  // Guards against counts that don't tell elections without a majority.
  ThreeHosts Of;
  const std::string Name = Of.follower();
  const ElectionCounts Before = Of.Group.host(Name)->elections();
  CHECK(Of.Group.leader()->elections().Started > 0);
  Of.cutOff(Name);
  REQUIRE(Of.Group.runUntil([&] {
    return Of.Group.host(Name)->elections().PreVoteRounds >
           Before.PreVoteRounds + 2;
  }));
  CHECK(Of.Group.host(Name)->elections().Started == Before.Started);
}
