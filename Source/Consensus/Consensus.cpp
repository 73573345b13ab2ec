/// \file
/// Consensus among the control hosts on one log of commands: replication, reads
/// and recovery from disk failures.

#include "Consensus/Consensus.h"

#include "Common/Codec.h"

#include <algorithm>

namespace corianderdyke {

const char *roleName(ConsensusRole Role) {
  switch (Role) {
  case ConsensusRole::Founding:
    return "founding";
  case ConsensusRole::Joining:
    return "joining";
  case ConsensusRole::PreCandidate:
    return "pre-candidate";
  case ConsensusRole::Candidate:
    return "candidate";
  case ConsensusRole::Leader:
    return "leader";
  case ConsensusRole::Follower:
    break;
  }
  return "follower";
}

Consensus::Consensus(ConsensusOptions Options, ReplicatedLog &Log,
                     std::uint64_t Seed)
    : Options(std::move(Options)), Log(Log), Random(Seed) {}

bool Consensus::check(const Expected<void> &Result) {
  if (Result)
    return true;
  if (!Failure)
    Failure = Result.error();
  return false;
}

void Consensus::send(const std::string &To, ConsensusBody Body) {
  Out.Messages.push_back({To, ConsensusMessage{self(), std::move(Body)}});
}

bool Consensus::isVoter(const Member &Host) const {
  return std::find(Voters.begin(), Voters.end(), Host) != Voters.end();
}

void Consensus::reloadVoters() { Voters = Log.voters(); }

// Only the election of this host is postponed, not its answers to other
// candidates: they have not waited for this disk, and a refused pre-vote would
// cost them a whole election timeout if the leader died during the sync. A host
// that did not run for another reason has written nothing and starts its
// election at once.
void Consensus::excludeSyncTime(Millis Now) {
  const std::uint64_t Writes = Log.syncedWrites() - WritesBefore;
  const Millis Passed = Now - LastCall;
  if (Writes != 0) {
    Millis Each(0);
    if (Passed > MaxCallInterval) {
      ElectionDeadline += Passed;
      Each = Passed / static_cast<std::int64_t>(Writes);
    }
    SyncTime = std::min(Options.ElectionTimeout, std::max(Each, SyncTime / 2));
  }
  WritesBefore = Log.syncedWrites();
  LastCall = Now;
}

Millis Consensus::atLeastSyncs(int Count, Millis Minimum) const {
  return std::max(Minimum, SyncTime * Count);
}

void Consensus::resetElectionTimer(Millis Now) {
  setElectionTimer(Now, Options.ElectionTimeout);
}

void Consensus::setElectionTimer(Millis Now, Millis Minimum) {
  std::uniform_int_distribution<std::int64_t> Extra(0, Minimum.count());
  ElectionDeadline = Now + Minimum + Millis(Extra(Random));
}

// If all hosts restart together, there is no leader and everything waits for
// the first election. A live leader is not disturbed, because its followers
// grant no pre-vote. If some hosts are missing, every vote may be needed, and
// two simultaneous candidates would each lack the vote of the other. The hosts
// therefore start their first elections one after another, at an interval
// longer than an election takes. A host that asks before a majority is up
// retries in its next turn, because waiting a whole election timeout leaves
// callers without a proxy for half a second longer.
void Consensus::setFirstElection(Millis Now) {
  const auto Rank =
      std::count_if(Voters.begin(), Voters.end(), [this](const Member &Each) {
        return Each.Name < Options.Name;
      });
  std::uniform_int_distribution<std::int64_t> Extra(
      0, FirstElectionSpacing.count() / 2);
  ElectionDeadline = Now + electionSpacing() * Rank + Millis(Extra(Random));
}

Millis Consensus::electionSpacing() const {
  return atLeastSyncs(SyncsPerCandidacy, FirstElectionSpacing);
}

void Consensus::start(Millis Now) {
  WritesBefore = Log.syncedWrites();
  LastCall = Now;
  reloadVoters();
  if (!Log.snapshotState().empty())
    Out.RestoredState = Log.snapshotState();
  CommitIndex = Log.snapshotIndex();
  EmittedIndex = CommitIndex;
  setFirstElection(Now);
  initializeRole();
  if (Role == ConsensusRole::Founding && Options.Hosts.size() == 1 &&
      Options.Hosts.front() == Options.Name)
    foundGroup({self()}, Now);
}

// A failed disk may not hold the vote or the entry that this host is about to
// confirm. After a restart it could then vote twice, or lack an entry that was
// counted for a commit. The messages of the failed call are therefore dropped,
// which the other hosts see as message loss. Entries that a majority has
// committed are unaffected by this disk.
ConsensusOutputs Consensus::takeOutputs() {
  if (Failure)
    Out.Messages.clear();
  return std::exchange(Out, ConsensusOutputs{});
}

bool Consensus::hasOutputs() const {
  return Out.RestoredState || !Out.Committed.empty() || !Out.Reads.empty() ||
         !Out.FailedReads.empty() || (!Out.Messages.empty() && !Failure);
}

// A full disk refuses writes until space is freed. The process keeps running
// but sends no messages: a leader is replaced because its heartbeats stop, and
// a follower grants no votes. Memory may hold a term, a vote or entries that
// the disk lacks, so the log is reloaded before this host sends messages again.
void Consensus::recoverFromDiskFailure(Millis Now) {
  if (Failure->Code != ErrorCode::System || Now < NextRecovery)
    return;
  NextRecovery = Now + RecoveryRetryInterval;
  failReads();
  if (!Log.reload())
    return;
  if (Log.lastIndex() < CommitIndex) {
    Failure = Error{ErrorCode::Corrupt,
                    "the disk lacks entries that were committed: it ends at " +
                        std::to_string(Log.lastIndex())};
    return;
  }
  Failure.reset();
  reloadVoters();
  Leader.clear();
  Votes.reset();
  Peers.clear();
  resetElectionTimer(Now);
  initializeRole();
}

void Consensus::initializeRole() {
  if (Voters.empty())
    Role =
        Options.MayBootstrap ? ConsensusRole::Founding : ConsensusRole::Joining;
  else
    Role = isVoter(self()) ? ConsensusRole::Follower : ConsensusRole::Joining;
}

bool Consensus::isReadyLeader() const {
  return isLeader() && Log.termAt(CommitIndex) == Log.term();
}

std::vector<Member> Consensus::learners() const {
  std::vector<Member> Found;
  for (const auto &[Name, Each] : Peers)
    if (isLeader() && !Each.Voter)
      Found.push_back(Each.Identity);
  return Found;
}

void Consensus::tick(Millis Now) {
  excludeSyncTime(Now);
  if (Failure)
    return recoverFromDiskFailure(Now);
  switch (Role) {
  case ConsensusRole::Founding:
  case ConsensusRole::Joining:
    // An uncommitted removal may be known only to the removed host, which
    // grants no vote to the shorter logs of the others. Only the removed host
    // can then lead and commit the change. It does not count itself as a voter.
    if (!Voters.empty() && isChangePending() && Now >= ElectionDeadline)
      startPreVote(Now);
    requestLeave(Now);
    if (Now - LastHeartbeat < Options.HeartbeatInterval * 2)
      return;
    // A joining host that receives entries from its leader does not need to
    // send discovery messages.
    if (Role != ConsensusRole::Founding &&
        Now - LastLeaderContact < Options.ElectionTimeout)
      return;
    LastHeartbeat = Now;
    sendDiscovery();
    return;
  case ConsensusRole::Leader:
    stepDownIfRemoved(Now);
    if (isLeader() && Now - LastHeartbeat >= Options.HeartbeatInterval)
      startRound(Now);
    if (isLeader())
      checkLeadership(Now);
    if (isLeader()) {
      forgetRemovedPeers(Now);
      removeLeavingVoter(Now);
      removeSilentVoter(Now);
    }
    return;
  default:
    requestLeave(Now);
    if (Now >= ElectionDeadline)
      startPreVote(Now);
  }
}

void Consensus::receive(const ConsensusMessage &Message, Millis Now) {
  excludeSyncTime(Now);
  if (Failure)
    return;
  LastReceived[Message.From.Name] = Now;
  std::visit([&](const auto &Body) { on(Message.From, Body, Now); },
             Message.Body);
}

// Replication.

Expected<std::uint64_t> Consensus::propose(std::string Command, Millis Now) {
  if (!isLeader() || Failure)
    return fail(ErrorCode::Unavailable, notLeaderReason(Now));
  const std::uint64_t Index = Log.lastIndex() + 1;
  if (!check(Log.append(
          {Entry{Index, Log.term(), EntryKind::Command, std::move(Command)}})))
    return fail(ErrorCode::System, Failure->Message);
  for (auto &[Name, Each] : Peers)
    replicate(Each, false);
  advanceCommit(Now);
  return Index;
}

void Consensus::startRound(Millis Now) {
  LastHeartbeat = Now;
  ++Round;
  for (auto &[Name, Each] : Peers)
    replicate(Each, true);
  advanceReads(Now);
}

void Consensus::replicate(Peer &To, bool Heartbeat) {
  const auto PreviousTerm = Log.termAt(To.Next - 1);
  if (!PreviousTerm) {
    // The entries that the peer needs were compacted. The snapshot is sent at
    // most once per election timeout, so that a slow host does not receive one
    // for each command or read.
    if (!Heartbeat || LastHeartbeat - To.SnapshotSent < Options.ElectionTimeout)
      return;
    To.SnapshotSent = LastHeartbeat;
    send(To.Identity.Name,
         SnapshotInstall{Log.term(), Log.snapshotIndex(), Log.snapshotTerm(),
                         Round, Log.snapshotVoters(), Log.snapshotState()});
    return;
  }
  AppendRequest Request{
      Log.term(),  To.Next - 1, *PreviousTerm,
      CommitIndex, Round,       Log.entriesFrom(To.Next, Options.BatchBytes)};
  if (!Request.Entries.empty())
    To.Next = Request.Entries.back().Index + 1;
  send(To.Identity.Name, std::move(Request));
}

void Consensus::on(const Member &From, const AppendRequest &Request,
                   Millis Now) {
  if (Request.Term < Log.term()) {
    send(From.Name, AppendReply{Log.term(), false, 0, Request.Round});
    return;
  }
  if (Role == ConsensusRole::Founding)
    Role = ConsensusRole::Joining;
  becomeFollower(Request.Term, From.Name, Now);
  if (Failure)
    return;
  LastLeaderContact = Now;
  const auto Known = Log.termAt(Request.PreviousIndex);
  const bool IsCompacted = Request.PreviousIndex < Log.snapshotIndex();
  if (!IsCompacted && Known != Request.PreviousTerm) {
    // All entries from the mismatch on come from another leader. The leader
    // retries at the last entry before it.
    const std::uint64_t Retry =
        std::min(Log.lastIndex(),
                 Request.PreviousIndex > 0 ? Request.PreviousIndex - 1 : 0);
    send(From.Name, AppendReply{Log.term(), false, Retry, Request.Round});
    return;
  }
  std::vector<Entry> New;
  std::uint64_t Match = std::max(Request.PreviousIndex, Log.snapshotIndex());
  for (const Entry &Each : Request.Entries) {
    Match = std::max(Match, Each.Index);
    if (Each.Index <= Log.snapshotIndex())
      continue;
    if (New.empty() && Log.termAt(Each.Index) == Each.Term)
      continue;
    if (New.empty() && Each.Index <= Log.lastIndex() &&
        !truncateUncommitted(Each.Index))
      return;
    New.push_back(Each);
  }
  if (!New.empty() && !check(Log.append(New)))
    return;
  reloadVoters();
  Role = isVoter(self()) ? ConsensusRole::Follower : ConsensusRole::Joining;
  CommitIndex = std::max(CommitIndex, std::min(Request.CommitIndex, Match));
  emitCommitted();
  send(From.Name, AppendReply{Log.term(), true, Match, Request.Round});
}

bool Consensus::truncateUncommitted(std::uint64_t Index) {
  // A leader never lacks a committed entry. A conflict means that two groups
  // have been mixed or that a disk lost synced data, and must be reported to
  // the operator.
  if (Index <= CommitIndex)
    return check(fail(ErrorCode::Corrupt,
                      "a leader's log differs from this one at entry " +
                          std::to_string(Index) + ", which was committed"));
  return check(Log.truncateFrom(Index));
}

void Consensus::on(const Member &From, const AppendReply &Reply, Millis Now) {
  if (Reply.Term > Log.term()) {
    // This also applies to a host that is not a voter. A host that was removed
    // while it started elections has a higher term and would otherwise accept
    // entries from no leader.
    if (isVoter(From) || Peers.count(From.Name) != 0)
      becomeFollower(Reply.Term, "", Now);
    return;
  }
  const auto Known = Peers.find(From.Name);
  if (!isLeader() || Known == Peers.end() || Reply.Term != Log.term())
    return;
  // The host restarted with another disk. Messages addressed to its old disk
  // keep it from sending discovery messages, so it is admitted here.
  if (Known->second.Identity != From && !isVoter(From))
    admitLearner(From, Now);
  if (Known->second.Identity != From)
    return;
  Peer &Each = Known->second;
  Each.LastReply = Now;
  Each.Round = std::max(Each.Round, Reply.Round);
  if (Reply.Matched) {
    Each.Match = std::max(Each.Match, Reply.MatchIndex);
    Each.Next = std::max(Each.Next, Each.Match + 1);
    advanceCommit(Now);
    replaceCaughtUpLearners(Now);
    if (Each.Next <= Log.lastIndex())
      replicate(Each, false);
  } else {
    Each.Next = std::max(Each.Match, Reply.MatchIndex) + 1;
    replicate(Each, true);
  }
  advanceReads(Now);
}

void Consensus::on(const Member &From, const SnapshotInstall &Request,
                   Millis Now) {
  if (Request.Term < Log.term()) {
    send(From.Name, AppendReply{Log.term(), false, 0, Request.Round});
    return;
  }
  if (Role == ConsensusRole::Founding)
    Role = ConsensusRole::Joining;
  becomeFollower(Request.Term, From.Name, Now);
  if (Failure)
    return;
  LastLeaderContact = Now;
  if (Request.LastIndex > CommitIndex) {
    if (!check(Log.install(Request)))
      return;
    reloadVoters();
    Role = isVoter(self()) ? ConsensusRole::Follower : ConsensusRole::Joining;
    CommitIndex = Request.LastIndex;
    EmittedIndex = Request.LastIndex;
    Out.Committed.clear();
    Out.RestoredState = Request.State;
  }
  send(From.Name,
       AppendReply{Log.term(), true, Request.LastIndex, Request.Round});
}

std::uint64_t Consensus::reachedByMajority(std::uint64_t Own,
                                           std::uint64_t Peer::*Member) const {
  std::vector<std::uint64_t> Reached;
  if (isVoter(self()))
    Reached.push_back(Own);
  for (const auto &[Name, Each] : Peers)
    if (Each.Voter)
      Reached.push_back(Each.*Member);
  if (Reached.size() < majority())
    return 0;
  std::sort(Reached.rbegin(), Reached.rend());
  return Reached[majority() - 1];
}

void Consensus::advanceCommit(Millis Now) {
  const std::uint64_t MajorityIndex =
      reachedByMajority(Log.lastIndex(), &Peer::Match);
  if (MajorityIndex <= CommitIndex || Log.termAt(MajorityIndex) != Log.term())
    return;
  const bool WasChangePending = isChangePending();
  CommitIndex = MajorityIndex;
  emitCommitted();
  // A host that leaves waits for this.
  if (WasChangePending && !isChangePending())
    startRound(Now);
}

void Consensus::emitCommitted() {
  while (EmittedIndex < CommitIndex) {
    const Entry *Next = Log.entryAt(EmittedIndex + 1);
    if (Next == nullptr)
      return;
    Out.Committed.push_back(*Next);
    ++EmittedIndex;
  }
}

void Consensus::compact(std::uint64_t Index, std::string State) {
  if (Failure || Index > EmittedIndex)
    return;
  // The voters as of Index. A later membership entry stays in the log.
  Members AtIndex = Log.snapshotVoters();
  for (std::uint64_t Each = Log.snapshotIndex() + 1; Each <= Index; ++Each) {
    const Entry *Found = Log.entryAt(Each);
    if (Found != nullptr && Found->Kind == EntryKind::Membership)
      AtIndex = decode<Members>(Found->Bytes).value_or(AtIndex);
  }
  check(Log.compact(Index, std::move(AtIndex), std::move(State)));
}

// Reads confirmed by a quorum.

Expected<std::uint64_t> Consensus::beginRead(Millis Now) {
  if (!isReadyLeader() || Failure)
    return fail(ErrorCode::Unavailable, notLeaderReason(Now));
  const std::uint64_t Ticket = NextTicket++;
  // The round must begin after the read, because an echo of an earlier round
  // does not prove who leads now. While a round is pending, the next one waits
  // for its end, or for the heartbeat if the round was lost. The renewals of a
  // thousand leases therefore do not cost a round each.
  Reads.push_back({Ticket, Round + 1, CommitIndex});
  if (ConfirmedRound == Round)
    startRound(Now);
  return Ticket;
}

void Consensus::advanceReads(Millis Now) {
  ConfirmedRound =
      std::max(ConfirmedRound, reachedByMajority(Round, &Peer::Round));
  while (!Reads.empty() && Reads.front().Round <= ConfirmedRound) {
    Out.Reads.push_back({Reads.front().Ticket, Reads.front().Index});
    Reads.erase(Reads.begin());
  }
  if (!Reads.empty() && ConfirmedRound == Round)
    startRound(Now);
}

std::string Consensus::notLeaderReason(Millis Now) const {
  std::string Reason = "this control host doesn't lead";
  if (Failure)
    return Reason + ": " + Failure->Message;
  if (!Leader.empty() && Leader != Options.Name)
    return Reason + ", " + Leader + " does";
  if (Role == ConsensusRole::Founding)
    return Reason + ": the control group forms once all hosts of the settings "
                    "have been heard with an empty disk";
  std::string SilentVoters;
  for (const Member &Each : Voters) {
    const auto Known = LastReceived.find(Each.Name);
    if (Each.Name != Options.Name &&
        (Known == LastReceived.end() ||
         Now - Known->second > Options.ElectionTimeout * 2))
      SilentVoters += (SilentVoters.empty() ? "" : ", ") + Each.Name;
  }
  return Reason + " and knows of no leader: " + std::to_string(majority()) +
         " of " + std::to_string(Voters.size()) +
         " voting control hosts must agree; not heard here: " +
         (SilentVoters.empty() ? "none" : SilentVoters);
}

} // namespace corianderdyke
