/// \file
/// Agreement among the control hosts on one log of commands.
///
/// A leader is elected by a majority of the voters for a term, with a
/// pre-vote first. An entry is committed once a majority has it on disk and
/// it is of the leader's own term. The class is pure: it takes messages and
/// the time, and leaves what is to be done in its outputs. Only the log that
/// it is given touches a disk, and it does so before a promise goes out.

#ifndef CORIANDERDYKE_CONSENSUS_CONSENSUS_H
#define CORIANDERDYKE_CONSENSUS_CONSENSUS_H

#include "Common/Millis.h"
#include "Consensus/ReplicatedLog.h"

#include <map>
#include <random>
#include <set>

namespace corianderdyke {

/// Who decides on the members of the group.
enum class MembershipMode : std::uint8_t {
  /// The settings list the hosts; operators add and remove others.
  Listed,
  /// The settings name some hosts to start from. Any host that knocks becomes
  /// a member once it has caught up, and one that stays silent is taken out
  /// where the group is the safer for it.
  Open,
};

struct ConsensusOptions {
  std::string Name;
  /// Control hosts by name as the settings say: all of them, this one
  /// included, or in an open group those that found it.
  std::vector<std::string> Hosts;
  Millis HeartbeatInterval = Millis(50);
  /// A follower that hears nothing for this long, and up to as long again,
  /// asks for votes. A leader that reaches no majority for it steps down.
  Millis ElectionTimeout = Millis(300);
  /// Most bytes of entries in one message.
  std::size_t BatchBytes = 1U << 20U;
  MembershipMode Membership = MembershipMode::Listed;
  /// False on a host that must never found a group: its disk was emptied, or
  /// it was added later.
  bool MayBootstrap = true;
};

/// A message for the control host of that name.
struct OutgoingConsensusMessage {
  std::string To;
  ConsensusMessage Message;
};

/// A read barrier that a majority has confirmed: the state applied up to
/// Index holds everything that was committed when the barrier began.
struct ConfirmedRead {
  std::uint64_t Ticket = 0;
  std::uint64_t Index = 0;

  bool operator==(const ConfirmedRead &) const = default;
};

/// All that the last calls want done, in this order: restore the snapshot,
/// apply the entries, answer the reads, send the messages.
struct ConsensusOutputs {
  std::optional<std::string> RestoredState;
  std::vector<Entry> Committed;
  std::vector<ConfirmedRead> Reads;
  std::vector<std::uint64_t> FailedReads;
  std::vector<OutgoingConsensusMessage> Messages;
};

/// Elections of one host since its start, for metrics.
struct ElectionCounts {
  std::uint64_t PreVoteRounds =
      0;                     ///< Rounds that asked for leave to begin one.
  std::uint64_t Started = 0; ///< Those that a majority let begin.

  auto operator<=>(const ElectionCounts &) const = default;
};

enum class ConsensusRole : std::uint8_t {
  Founding, ///< No group is known yet.
  Joining,  ///< The group exists; this disk isn't a voter of it.
  Follower,
  PreCandidate,
  Candidate,
  Leader,
};

/// The role as logs and reports have it.
const char *refusalText(ConsensusRole Role);

class Consensus {
public:
  Consensus(ConsensusOptions Options, ReplicatedLog &Log, std::uint64_t Seed);

  /// Takes up what the log holds. The outputs hold the snapshot, if any.
  void start(Millis Now);

  /// Takes a message in. A fault of the disk is kept in failure(); until the
  /// disk takes writes again this host neither leads nor answers, since
  /// nothing may be promised.
  void receive(const ConsensusMessage &Message, Millis Now);

  /// To be called every few milliseconds.
  void tick(Millis Now);

  /// Adds a command to the log; its index. Unavailable where this host isn't
  /// the leader.
  Expected<std::uint64_t> propose(std::string Command, Millis Now);

  /// Asks a majority whether this host still leads; its ticket comes back in
  /// the outputs. A stale leader never gets one, so it can't hand out an old
  /// manifest or a lease.
  Expected<std::uint64_t> beginRead(Millis Now);

  /// Makes a host that has caught up a voter, or a voter none. Both give the
  /// index of the change, which counts once it's committed. Conflict while
  /// another change is under way or where the new group would stand still,
  /// Unavailable where this host doesn't lead or the other is behind.
  Expected<std::uint64_t> addVoter(const std::string &Name, Millis Now);
  Expected<std::uint64_t> removeVoter(const std::string &Name, Millis Now);

  /// Lets \p State stand for the log up to the applied \p Index.
  void compact(std::uint64_t Index, std::string State);

  ConsensusOutputs takeOutputs();
  bool hasOutputs() const;

  ConsensusRole role() const { return Role; }
  bool isLeader() const { return Role == ConsensusRole::Leader && !Failure; }
  /// True once the leader has committed an entry of its own term.
  bool isReadyLeader() const;
  /// Name of the host last heard as leader; empty where there's none.
  const std::string &leader() const { return Leader; }
  std::uint64_t term() const { return Log.term(); }
  std::uint64_t commitIndex() const { return CommitIndex; }
  const ElectionCounts &elections() const { return Elections; }
  const std::optional<Error> &failure() const { return Failure; }
  const ReplicatedLog &log() const { return Log; }
  /// Why this host doesn't lead, for an operator.
  std::string notLeaderReason(Millis Now) const;
  const Members &voters() const { return Voters; }
  /// Disks that hold the entry for certain, this one included.
  std::size_t disksHolding(std::uint64_t Index) const;
  /// True where so many disks may be lost at once and the entry is still
  /// there, with a group that can go on. In a group that is still forming a
  /// majority of the voters may be fewer disks than that.
  bool survivesDiskLoss(std::uint64_t Index, std::size_t LostDisks) const;
  /// Hosts that the leader feeds but doesn't count, by name.
  std::vector<Member> learners() const;

private:
  /// Long before any reading of the clock.
  static constexpr Millis NeverSent = Millis(-1000000);
  /// Between the first elections of two hosts that start together: a vote
  /// costs a message each way and a sync, some milliseconds each.
  static constexpr Millis FirstElectionSpacing = Millis(60);
  /// Pause between two tries to use a disk that refused a write. Each costs a
  /// write and a sync.
  static constexpr Millis RecoveryRetryInterval = Millis(250);
  /// A voter of an open group that has been silent for this long may be taken
  /// out: longer than a restart takes.
  static constexpr Millis SilentVoterTimeout = Millis(1500);

  struct Peer {
    Member Identity;
    std::uint64_t Next = 1;
    std::uint64_t Match = 0;
    std::uint64_t Round = 0; ///< Last round that it echoed.
    Millis LastReply;
    Millis SnapshotSent = NeverSent;
    bool Voter = false;
  };

  struct PendingRead {
    std::uint64_t Ticket = 0;
    std::uint64_t Round = 0;
    std::uint64_t Index = 0;
  };

  Member self() const { return {Options.Name, Log.diskId()}; }
  bool isVoter(const Member &Host) const;
  std::size_t majority() const { return Voters.size() / 2 + 1; }
  bool check(const Expected<void> &Result);
  void recoverFromDiskFailure(Millis Now);
  void send(const std::string &To, ConsensusBody Body);
  void resetElectionTimer(Millis Now);
  /// Between \p Least and twice as long from now.
  void setElectionTimer(Millis Now, Millis Least);
  void setFirstElection(Millis Now);
  void initializeRole();
  void reloadVoters();

  void becomeFollower(std::uint64_t Term, const std::string &NewLeader,
                      Millis Now);
  std::set<std::string> knownHosts() const;
  void sendDiscovery();
  void startPreVote(Millis Now);
  void countOwnVote();
  void startElection(Millis Now);
  void becomeLeader(Millis Now);
  void failReads();

  void replicate(Peer &To, bool Heartbeat);
  void startRound(Millis Now);
  void advanceCommit();
  void advanceReads(Millis Now);
  /// The highest value that a majority of the voters has reached, this host
  /// with \p Own and each other with \p Member; 0 where none has.
  std::uint64_t reachedByMajority(std::uint64_t Own,
                                  std::uint64_t Peer::*Member) const;
  void emitCommitted();
  void admitLearner(const Member &Host, Millis Now);
  void replaceCaughtUpLearners(Millis Now);
  void removeSilentVoter(Millis Now);
  Peer newPeer(const Member &Host, bool Voter, Millis Now) const;
  bool changeUnderWay() const;
  Expected<void> checkChange(Millis Now) const;
  Expected<std::uint64_t> changeVoters(Members Next, Millis Now);
  Expected<std::uint64_t> appendVoters(Members Next, Millis Now);
  void stepDownIfRemoved(Millis Now);
  bool truncateUncommitted(std::uint64_t Index);
  void checkLeadership(Millis Now);

  void on(const Member &From, const VoteRequest &Request, Millis Now);
  void on(const Member &From, const VoteReply &Reply, Millis Now);
  void on(const Member &From, const AppendRequest &Request, Millis Now);
  void on(const Member &From, const AppendReply &Reply, Millis Now);
  void on(const Member &From, const SnapshotInstall &Request, Millis Now);
  void on(const Member &From, const GroupDiscovery &Hello, Millis Now);
  void found(const Members &Founders, Millis Now);

  ConsensusOptions Options;
  ReplicatedLog &Log;
  std::mt19937_64 Random;
  ConsensusRole Role = ConsensusRole::Founding;
  Members Voters;
  std::string Leader;
  std::uint64_t CommitIndex = 0;
  /// Entries up to here went out in Committed. Never above CommitIndex.
  std::uint64_t EmittedIndex = 0;
  Millis ElectionDeadline;
  Millis LastLeaderContact = NeverSent;
  Millis LastHeartbeat;
  ElectionCounts Elections;
  std::set<std::string> Votes;
  std::map<std::string, Peer> Peers;
  /// When a message of a host last came in, by its name.
  std::map<std::string, Millis> LastReceived;
  std::uint64_t Round = 0;
  /// The last round that a majority has echoed.
  std::uint64_t ConfirmedRound = 0;
  std::uint64_t NextTicket = 1;
  std::vector<PendingRead> Reads;
  /// While founding: what the other hosts said of themselves.
  std::map<std::string, Member> EmptyDiskHosts;
  /// Hosts that others named as members while this one had no group.
  std::set<std::string> DiscoveredHosts;
  std::optional<Error> Failure;
  Millis NextRecovery = NeverSent;
  ConsensusOutputs Out;
};

} // namespace corianderdyke

#endif
