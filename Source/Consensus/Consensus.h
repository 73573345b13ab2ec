/// \file
/// Consensus among the control hosts on one log of commands.
///
/// A leader is elected for a term by a majority of the voters, after a
/// pre-vote. An entry is committed once a majority has it on disk and it
/// belongs to the current term of the leader. The class does no I/O of its own:
/// it receives messages and the time and collects the resulting actions in its
/// outputs. Only the log that it uses writes to a disk, and it does so before a
/// message that depends on the write is sent.

#ifndef CORIANDERDYKE_CONSENSUS_CONSENSUS_H
#define CORIANDERDYKE_CONSENSUS_CONSENSUS_H

#include "Common/Millis.h"
#include "Consensus/ReplicatedLog.h"

#include <map>
#include <random>
#include <set>

namespace corianderdyke {

/// How the members of the group are determined.
enum class MembershipMode : std::uint8_t {
  /// The settings list the hosts. Operators add and remove others.
  Listed,
  /// The settings name some initial hosts. Any host that sends a discovery
  /// message becomes a voter once it has caught up. A silent voter is removed
  /// if that does not lower the fault tolerance of the group, or if the group
  /// does not bear ToleratedDiskLosses with it.
  Open,
};

struct ConsensusOptions {
  std::string Name;
  /// Names of the control hosts in the settings: all of them, including this
  /// one, or in an open group the founding hosts.
  std::vector<std::string> Hosts;
  Millis HeartbeatInterval = Millis(50);
  /// A follower that receives nothing from a leader for this long, plus a
  /// random time of up to as much again, starts an election. A leader that does
  /// not reach a majority for twice this long steps down.
  Millis ElectionTimeout = Millis(300);
  /// Maximum bytes of entries in one message.
  std::size_t BatchBytes = 1U << 20U;
  MembershipMode Membership = MembershipMode::Listed;
  /// Disks that may be lost at once. An open group with an odd number of voters
  /// does not shrink below the fewest that bear this loss.
  std::size_t ToleratedDiskLosses = 1;
  /// False on a host that must never found a group because its disk was emptied
  /// or it was added later.
  bool MayBootstrap = true;
};

/// A message for the control host named To.
struct OutgoingConsensusMessage {
  std::string To;
  ConsensusMessage Message;
};

/// A read barrier that a majority has confirmed: the state applied up to Index
/// contains everything that was committed when the barrier began.
struct ConfirmedRead {
  std::uint64_t Ticket = 0;
  std::uint64_t Index = 0;

  bool operator==(const ConfirmedRead &) const = default;
};

/// Actions that the last calls require, in this order: restore the snapshot,
/// apply the entries, answer the reads, send the messages.
struct ConsensusOutputs {
  std::optional<std::string> RestoredState;
  std::vector<Entry> Committed;
  std::vector<ConfirmedRead> Reads;
  std::vector<std::uint64_t> FailedReads;
  std::vector<OutgoingConsensusMessage> Messages;
};

/// Counts of the elections of one host since its start, for metrics.
struct ElectionCounts {
  std::uint64_t PreVoteRounds = 0; ///< Pre-votes started.
  std::uint64_t Started = 0;       ///< Elections after a successful pre-vote.

  auto operator<=>(const ElectionCounts &) const = default;
};

enum class ConsensusRole : std::uint8_t {
  Founding, ///< No group is known yet.
  Joining,  ///< A group exists, but this disk is not a voter.
  Follower,
  PreCandidate,
  Candidate,
  Leader,
};

/// The name of the role in logs and reports.
const char *roleName(ConsensusRole Role);

class Consensus {
public:
  Consensus(ConsensusOptions Options, ReplicatedLog &Log, std::uint64_t Seed);

  /// Restores the state from the log. The outputs contain the snapshot, if any.
  void start(Millis Now);

  /// Processes a message. A disk error is kept in failure(). Until the disk
  /// accepts writes again, this host neither leads nor replies, since it cannot
  /// make any promise durable.
  void receive(const ConsensusMessage &Message, Millis Now);

  /// Runs the timers. Must be called every few milliseconds.
  void tick(Millis Now);

  /// Appends a command to the log and returns its index, or Unavailable if this
  /// host is not the leader.
  Expected<std::uint64_t> propose(std::string Command, Millis Now);

  /// Starts a read barrier, which asks a majority whether this host still
  /// leads. The returned ticket appears in the outputs. A stale leader never
  /// receives a confirmation, so it cannot return an outdated manifest or grant
  /// a lease.
  Expected<std::uint64_t> beginRead(Millis Now);

  /// Adds a host that has caught up to the voters, or removes a voter. Both
  /// return the index of the change, which is final once it is committed.
  /// Returns Conflict while another change is pending or if the new group would
  /// have no live majority, and Unavailable if this host does not lead or the
  /// added host is behind.
  Expected<std::uint64_t> addVoter(const std::string &Name, Millis Now);
  Expected<std::uint64_t> removeVoter(const std::string &Name, Millis Now);

  /// Announces that this host is about to stop. In an open group above the
  /// smallest size that bears ToleratedDiskLosses it asks to be removed from
  /// the voters; a leader removes itself. Otherwise nothing changes.
  void leave();
  /// True if the group does not wait for this host any more: it is no voter, or
  /// it stays one while it is down.
  bool hasLeft() const;

  /// Replaces the log up to the applied \p Index by the snapshot \p State.
  void compact(std::uint64_t Index, std::string State);

  ConsensusOutputs takeOutputs();
  bool hasOutputs() const;

  ConsensusRole role() const { return Role; }
  bool isLeader() const { return Role == ConsensusRole::Leader && !Failure; }
  /// True once the leader has committed an entry of its own term.
  bool isReadyLeader() const;
  /// Name of the last known leader; empty if there is none.
  const std::string &leader() const { return Leader; }
  std::uint64_t term() const { return Log.term(); }
  std::uint64_t commitIndex() const { return CommitIndex; }
  const ElectionCounts &elections() const { return Elections; }
  const std::optional<Error> &failure() const { return Failure; }
  const ReplicatedLog &log() const { return Log; }
  /// Text for operators that says why this host does not lead.
  std::string notLeaderReason(Millis Now) const;
  const Members &voters() const { return Voters; }
  /// Voters that have not replied to this leader for SilentVoterTimeout and
  /// seats whose disk is gone, the longest silent first. Empty if this host
  /// does not lead.
  Members silentVoters(Millis Now) const;
  /// Number of disks that certainly hold the entry, including the disk of this
  /// host.
  std::size_t disksHolding(std::uint64_t Index) const;
  /// The same number, counting voters only.
  std::size_t votersHolding(std::uint64_t Index) const;
  /// True if \p LostDisks disks may be lost at once and the entry still
  /// survives in a group that can continue. In a group that is still forming, a
  /// majority of the voters may be fewer disks than that. In a group with more
  /// than 2 * \p LostDisks + 1 voters, some may be gone and not yet removed.
  bool survivesDiskLoss(std::uint64_t Index, std::size_t LostDisks) const;
  /// Hosts that the leader replicates to without counting them as voters,
  /// ordered by name.
  std::vector<Member> learners() const;

private:
  /// A time before any reading of the clock.
  static constexpr Millis NeverSent = Millis(-1000000);
  /// Interval between the first elections of two hosts that start together. A
  /// vote costs one message each way and one sync, each of which takes some
  /// milliseconds.
  static constexpr Millis FirstElectionSpacing = Millis(60);
  /// Interval between two attempts to recover a disk that refused a write. Each
  /// attempt costs a write and a sync.
  static constexpr Millis RecoveryRetryInterval = Millis(250);
  /// The syncs between a request for a vote and the vote.
  static constexpr int SyncsPerVote = 1;
  /// The syncs from a pre-vote to the vote: that of the candidate comes first.
  static constexpr int SyncsPerCandidacy = 2;
  /// The syncs from a vote to the first message of the leader.
  static constexpr int SyncsPerElection = 3;
  /// The syncs from a message of a leader to the reply: two of the voter, and
  /// those of the leader meanwhile.
  static constexpr int SyncsPerReply = 4;

  /// A voter of an open group that has been silent for this long may be
  /// removed. The value exceeds the duration of a restart.
  static constexpr Millis SilentVoterTimeout = Millis(1500);

  /// The longest interval between two calls that is not counted as waiting for
  /// the disk. The timers run every few milliseconds, so a longer interval
  /// after a write is the duration of its sync. Below it nothing changes on
  /// fast disks, whose syncs are far shorter than an election timeout.
  static constexpr Millis MaxCallInterval = Millis(20);

  struct Peer {
    Member Identity;
    std::uint64_t Next = 1;
    std::uint64_t Match = 0;
    std::uint64_t Round = 0; ///< Last round echoed by the peer.
    Millis LastReply;
    Millis SnapshotSent = NeverSent;
    bool Voter = false;
    Millis LeaveRequested = NeverSent;
    /// Removed at its own request; not admitted again.
    bool HasLeft = false;
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
  /// Called first with each message and timer. Postpones the election by the
  /// time that this host has just spent in its own disk syncs, in which it
  /// could not hear a leader. The remaining time to the election is what it was
  /// before the sync, however long that took.
  void excludeSyncTime(Millis Now);
  /// Returns \p Minimum, or the usual duration of \p Count syncs if that is
  /// longer. Other hosts most likely have disks like this one: with slow disks
  /// a vote or a reply takes longer than the timeouts are made for.
  Millis atLeastSyncs(int Count, Millis Minimum) const;
  void resetElectionTimer(Millis Now);
  /// Sets the deadline to a random time between \p Minimum and twice \p Minimum
  /// from now.
  void setElectionTimer(Millis Now, Millis Minimum);
  void setFirstElection(Millis Now);
  /// Interval between the first elections of two hosts.
  Millis electionSpacing() const;
  void initializeRole();
  void reloadVoters();

  /// Gives the vote of a new term to \p Vote, if any.
  void becomeFollower(std::uint64_t Term, const std::string &NewLeader,
                      Millis Now, const std::string &Vote = "");
  std::set<std::string> knownHosts() const;
  void sendDiscovery();
  void startPreVote(Millis Now);
  /// The votes that a candidate has without asking: its own if it is a voter.
  std::set<std::string> ownVote() const;
  void startElection(Millis Now);
  void becomeLeader(Millis Now);
  void failReads();

  void replicate(Peer &To, bool Heartbeat);
  void startRound(Millis Now);
  void advanceCommit(Millis Now);
  void advanceReads(Millis Now);
  /// The highest value that a majority of the voters has reached, where this
  /// host has \p Own and each peer has \p Member; 0 if there is none.
  std::uint64_t reachedByMajority(std::uint64_t Own,
                                  std::uint64_t Peer::*Member) const;
  void emitCommitted();
  void admitLearner(const Member &Host, Millis Now);
  void replaceCaughtUpLearners(Millis Now);
  void removeSilentVoter(Millis Now);
  /// True if the group would still have the fewest voters that bear the
  /// tolerated losses after the removal of one.
  bool isAboveSmallestSize() const;
  bool isLeaving(const Peer &Each, Millis Now) const;
  void requestLeave(Millis Now);
  void removeLeavingVoter(Millis Now);
  void forgetRemovedPeers(Millis Now);
  /// True if the group can continue with \p Present of its voters when
  /// \p LostDisks of these lose their disks, or if it has so few voters that
  /// removing the absent ones would not help.
  bool bearsDiskLoss(std::size_t Present, std::size_t LostDisks) const;
  Peer newPeer(const Member &Host, bool Voter, Millis Now) const;
  bool isChangePending() const;
  /// True if the host has replied to this leader recently.
  bool hasReplied(const Peer &Each, Millis Now) const;
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
  void on(const Member &From, const GroupDiscovery &Discovery, Millis Now);
  void on(const Member &From, const LeaveRequest &Request, Millis Now);
  void on(const Member &From, const LeadershipEnd &End, Millis Now);
  void foundGroup(const Members &Founders, Millis Now);

  ConsensusOptions Options;
  ReplicatedLog &Log;
  std::mt19937_64 Random;
  ConsensusRole Role = ConsensusRole::Founding;
  Members Voters;
  std::string Leader;
  std::uint64_t CommitIndex = 0;
  /// Entries up to this index have been emitted in Committed. Never above
  /// CommitIndex.
  std::uint64_t EmittedIndex = 0;
  Millis ElectionDeadline;
  Millis LastCall;                ///< Of a message or of the timers.
  std::uint64_t WritesBefore = 0; ///< Log.syncedWrites() at LastCall.
  /// Recent duration of a sync of this host, 0 for fast disks. At most the
  /// election timeout, so that a disk that hung once delays no election.
  Millis SyncTime;
  Millis LastLeaderContact = NeverSent;
  Millis LastHeartbeat;
  ElectionCounts Elections;
  std::set<std::string> PreVotes; ///< Granted to the current pre-vote.
  /// Granted to this host in the current term; empty if it has not asked for
  /// votes in this term, or has since become a leader or follower.
  std::optional<std::set<std::string>> Votes;
  std::map<std::string, Peer> Peers;
  /// When the last message of each host arrived, by host name.
  std::map<std::string, Millis> LastReceived;
  std::uint64_t Round = 0;
  /// The last round that a majority has echoed.
  std::uint64_t ConfirmedRound = 0;
  std::uint64_t NextTicket = 1;
  std::vector<PendingRead> Reads;
  /// Hosts that have reported an empty disk while the group is being founded,
  /// by name.
  std::map<std::string, Member> EmptyDiskHosts;
  /// Hosts that other hosts listed as members in discovery messages.
  std::set<std::string> DiscoveredHosts;
  bool IsLeaving = false; ///< This host is about to stop.
  /// When this host last asked to leave.
  Millis LastLeaveRequest = NeverSent;
  std::optional<Error> Failure;
  Millis NextRecovery = NeverSent;
  ConsensusOutputs Out;
};

} // namespace corianderdyke

#endif
