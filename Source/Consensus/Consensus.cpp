/// \file
/// Agreement among the control hosts on one log of commands.

#include "Consensus/Consensus.h"

#include "Common/Codec.h"

#include <algorithm>

namespace corianderdyke {

namespace {

const Member *findByName(const Members &All, const std::string &Name) {
  for (const Member &Each : All)
    if (Each.Name == Name)
      return &Each;
  return nullptr;
}

} // namespace

const char *text(ConsensusRole Role) {
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

void Consensus::resetElectionTimer(Millis Now) {
  setElectionTimer(Now, Options.ElectionTimeout);
}

void Consensus::setElectionTimer(Millis Now, Millis Least) {
  std::uniform_int_distribution<std::int64_t> Extra(0, Least.count());
  ElectionDeadline = Now + Least + Millis(Extra(Random));
}

// Where all hosts start again together nobody leads, and everything waits for
// the first election. A leader that lives isn't disturbed: who hears it gives
// no pre-vote. With some hosts missing every vote may be needed, and two
// candidates at a time would each lack the other's; so the hosts begin one
// after the other, further apart than an election takes.
void Consensus::setFirstElection(Millis Now) {
  const auto Rank =
      std::count_if(Voters.begin(), Voters.end(), [this](const Member &Each) {
        return Each.Name < Options.Name;
      });
  std::uniform_int_distribution<std::int64_t> Extra(
      0, FirstElectionSpacing.count() / 2);
  ElectionDeadline = Now + Options.HeartbeatInterval +
                     FirstElectionSpacing * Rank + Millis(Extra(Random));
}

void Consensus::start(Millis Now) {
  reloadVoters();
  if (!Log.snapshotState().empty())
    Out.RestoredState = Log.snapshotState();
  CommitIndex = Log.snapshotIndex();
  EmittedIndex = CommitIndex;
  setFirstElection(Now);
  takeUpRole();
  if (Role == ConsensusRole::Founding && Options.Hosts.size() == 1 &&
      Options.Hosts.front() == Options.Name)
    found({self()}, Now);
}

// A disk that failed may not hold what this host was about to promise: a vote
// given twice, or an entry counted for a commit and gone after the restart.
// The messages of the call that met the failure are dropped with it; to the
// others it looks like lost messages. What a majority has committed stands
// whatever this disk does.
ConsensusOutputs Consensus::takeOutputs() {
  if (Failure)
    Out.Messages.clear();
  return std::exchange(Out, ConsensusOutputs{});
}

bool Consensus::hasOutputs() const {
  return Out.RestoredState || !Out.Committed.empty() || !Out.Reads.empty() ||
         !Out.FailedReads.empty() || (!Out.Messages.empty() && !Failure);
}

// A full disk refuses writes until somebody makes room. The process goes on
// without its voice: a leader is replaced, since it sends no heartbeats, and
// a follower gives no vote. Memory may hold a term, a vote or entries that
// the disk doesn't; it's read anew before this host speaks again.
void Consensus::recover(Millis Now) {
  if (Failure->Code != ErrorCode::System || Now < NextRecovery)
    return;
  NextRecovery = Now + RecoveryPause;
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
  Votes.clear();
  Peers.clear();
  resetElectionTimer(Now);
  takeUpRole();
}

void Consensus::takeUpRole() {
  if (Voters.empty())
    Role = Options.MayFound ? ConsensusRole::Founding : ConsensusRole::Joining;
  else
    Role = isVoter(self()) ? ConsensusRole::Follower : ConsensusRole::Joining;
}

bool Consensus::isSettledLeader() const {
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
  if (Failure)
    return recover(Now);
  switch (Role) {
  case ConsensusRole::Founding:
  case ConsensusRole::Joining:
    // A removal that isn't committed yet may be known to the removed host
    // alone, and the others' shorter logs get no vote from it: only it can
    // lead and commit the change. It doesn't count itself.
    if (!Voters.empty() && changeUnderWay() && Now >= ElectionDeadline)
      startPreVote(Now);
    if (Now - LastHeartbeat < Options.HeartbeatInterval * 2)
      return;
    // A joining host that its leader feeds has no need to knock again.
    if (Role != ConsensusRole::Founding &&
        Now - LastLeaderContact < Options.ElectionTimeout)
      return;
    LastHeartbeat = Now;
    sayHello();
    return;
  case ConsensusRole::Leader:
    stepDownIfRemoved(Now);
    if (isLeader() && Now - LastHeartbeat >= Options.HeartbeatInterval)
      startRound(Now);
    if (isLeader())
      checkLeadership(Now);
    if (isLeader())
      removeSilentVoter(Now);
    return;
  default:
    if (Now >= ElectionDeadline)
      startPreVote(Now);
  }
}

void Consensus::receive(const ConsensusMessage &Message, Millis Now) {
  if (Failure)
    return;
  LastHeard[Message.From.Name] = Now;
  std::visit([&](const auto &Body) { on(Message.From, Body, Now); },
             Message.Body);
}

// Founding. The group forms only once every host that the settings name has
// said that its disk is empty: a host that lost its disk finds a host with a
// group and joins that one, instead of forming a second group with an empty
// manifest. The first host by name alone writes the list of founders and the
// others take it over. If each wrote its own, a disk lost meanwhile would make
// lists that differ, under the same index and term.

std::set<std::string> Consensus::knownHosts() const {
  std::set<std::string> Out(Options.Hosts.begin(), Options.Hosts.end());
  if (Options.Membership == GroupPolicyKind::Open) {
    // The hosts of the settings may all have been replaced since the file was
    // written.
    for (const Member &Each : Voters)
      Out.insert(Each.Name);
    Out.insert(NamedByOthers.begin(), NamedByOthers.end());
  }
  Out.erase(Options.Name);
  return Out;
}

void Consensus::sayHello() {
  for (const std::string &Host : knownHosts())
    send(Host, FoundingHello{Voters, Log.votersIndex(), false});
}

void Consensus::on(const Member &From, const FoundingHello &Hello, Millis Now) {
  if (!Hello.Answer)
    send(From.Name, FoundingHello{Voters, Log.votersIndex(), true});
  if (isLeader() && !isVoter(From)) {
    admitLearner(From, Now);
    return;
  }
  if (Options.Membership == GroupPolicyKind::Open &&
      (Role == ConsensusRole::Founding || Role == ConsensusRole::Joining))
    for (const Member &Each : Hello.Voters)
      NamedByOthers.insert(Each.Name);
  if (Role != ConsensusRole::Founding)
    return;
  if (!Hello.Voters.empty()) {
    // Later lists come from the leader with the entries before them.
    if (Hello.VotersIndex == 1 &&
        std::find(Hello.Voters.begin(), Hello.Voters.end(), self()) !=
            Hello.Voters.end())
      found(Hello.Voters, Now);
    else
      Role = ConsensusRole::Joining;
    return;
  }
  const auto First =
      std::min_element(Options.Hosts.begin(), Options.Hosts.end());
  if (First == Options.Hosts.end() || *First != Options.Name)
    return;
  Fresh[From.Name] = From;
  Members Founders = {self()};
  for (const std::string &Host : Options.Hosts) {
    const auto Known = Fresh.find(Host);
    if (Known != Fresh.end() && Host != Options.Name)
      Founders.push_back(Known->second);
  }
  if (Founders.size() == Options.Hosts.size())
    found(Founders, Now);
}

void Consensus::found(const Members &Founders, Millis Now) {
  Members Sorted = Founders;
  std::sort(Sorted.begin(), Sorted.end());
  // The same first entry on every founder, as if a leader of term 1 had
  // written it.
  if (!check(Log.setTerm(1, "")) ||
      !check(Log.append({Entry{1, 1, EntryKind::Membership, encode(Sorted)}})))
    return;
  reloadVoters();
  Role = ConsensusRole::Follower;
  resetElectionTimer(Now);
}

// Elections.

void Consensus::becomeFollower(std::uint64_t Term, const std::string &NewLeader,
                               Millis Now) {
  if (Term > Log.term() && !check(Log.setTerm(Term, "")))
    return;
  if (isLeader())
    failReads();
  Role = isVoter(self()) ? ConsensusRole::Follower : ConsensusRole::Joining;
  Leader = NewLeader;
  Votes.clear();
  Peers.clear();
  resetElectionTimer(Now);
}

void Consensus::failReads() {
  for (const PendingRead &Each : Reads)
    Out.FailedReads.push_back(Each.Ticket);
  Reads.clear();
}

void Consensus::startPreVote(Millis Now) {
  resetElectionTimer(Now);
  Role = ConsensusRole::PreCandidate;
  Leader.clear();
  countOwnVote();
  // A host that was removed while it was cut off asks voters that are no more.
  // The leader feeds it once it's heard, and it learns of its removal.
  sayHello();
  for (const Member &Each : Voters)
    if (Each.Name != Options.Name && !Each.isVacant())
      send(Each.Name,
           VoteRequest{Log.term() + 1, true, Log.lastIndex(), Log.lastTerm()});
  if (Votes.size() >= majority())
    startElection(Now);
}

void Consensus::countOwnVote() {
  Votes.clear();
  if (isVoter(self()))
    Votes.insert(Options.Name);
}

void Consensus::startElection(Millis Now) {
  // A majority has just said that nobody leads, so a lost election needn't be
  // followed by the whole wait for a leader's heartbeat.
  setElectionTimer(Now, Options.ElectionTimeout / 2);
  if (!check(Log.setTerm(Log.term() + 1, Options.Name)))
    return;
  Role = ConsensusRole::Candidate;
  countOwnVote();
  for (const Member &Each : Voters)
    if (Each.Name != Options.Name && !Each.isVacant())
      send(Each.Name,
           VoteRequest{Log.term(), false, Log.lastIndex(), Log.lastTerm()});
  if (Votes.size() >= majority())
    becomeLeader(Now);
}

// A vote is given whether or not this host's own log already names the
// candidate, or this host itself, as a voter: the entry that does may be the
// very one that only the candidate holds, and without the vote the group would
// stand still. The candidate counts votes by disk, so a vote from a disk that
// isn't one of its voters counts for nothing.
void Consensus::on(const Member &From, const VoteRequest &Request, Millis Now) {
  if (Role == ConsensusRole::Founding)
    return;
  // While a leader is heard, nobody is voted for: a host that comes back
  // from a partition waits its turn instead of ending a working term.
  const bool LeaderHeard =
      isLeader() || Now - LastLeaderContact < Options.ElectionTimeout;
  const bool UpToDate = Request.LastTerm > Log.lastTerm() ||
                        (Request.LastTerm == Log.lastTerm() &&
                         Request.LastIndex >= Log.lastIndex());
  if (Request.PreVote) {
    const bool Granted = Request.Term > Log.term() && UpToDate && !LeaderHeard;
    send(From.Name,
         VoteReply{Granted ? Request.Term : Log.term(), true, Granted});
    return;
  }
  if (LeaderHeard && Request.Term > Log.term())
    return;
  if (Request.Term > Log.term())
    becomeFollower(Request.Term, "", Now);
  if (Failure)
    return;
  const bool Free = Log.votedFor().empty() || Log.votedFor() == From.Name;
  const bool Granted =
      Request.Term == Log.term() && Free && UpToDate && !isLeader();
  if (Granted) {
    if (!check(Log.setTerm(Log.term(), From.Name)))
      return;
    resetElectionTimer(Now);
  }
  send(From.Name, VoteReply{Log.term(), false, Granted});
}

void Consensus::on(const Member &From, const VoteReply &Reply, Millis Now) {
  if (!isVoter(From))
    return;
  if (!Reply.Granted && Reply.Term > Log.term()) {
    becomeFollower(Reply.Term, "", Now);
    return;
  }
  const bool Counts =
      Reply.Granted && ((Reply.PreVote && Role == ConsensusRole::PreCandidate &&
                         Reply.Term == Log.term() + 1) ||
                        (!Reply.PreVote && Role == ConsensusRole::Candidate &&
                         Reply.Term == Log.term()));
  if (!Counts)
    return;
  Votes.insert(From.Name);
  if (Votes.size() < majority())
    return;
  if (Reply.PreVote)
    startElection(Now);
  else
    becomeLeader(Now);
}

void Consensus::becomeLeader(Millis Now) {
  Role = ConsensusRole::Leader;
  Leader = Options.Name;
  Peers.clear();
  for (const Member &Each : Voters)
    if (Each.Name != Options.Name && !Each.isVacant())
      Peers[Each.Name] = newPeer(Each, true, Now);
  // Entries of earlier terms are committed only through one of this term.
  if (!check(Log.append(
          {Entry{Log.lastIndex() + 1, Log.term(), EntryKind::Empty, ""}})))
    return;
  startRound(Now);
  advanceCommit();
}

void Consensus::checkLeadership(Millis Now) {
  std::size_t Heard = isVoter(self()) ? 1 : 0;
  for (const auto &[Name, Each] : Peers)
    if (Each.Voter && Now - Each.LastReply < Options.ElectionTimeout * 2)
      ++Heard;
  if (Heard < majority())
    becomeFollower(Log.term(), "", Now);
}

// Replication.

Expected<std::uint64_t> Consensus::propose(std::string Command, Millis Now) {
  if (!isLeader() || Failure)
    return fail(ErrorCode::Unavailable, notLeading(Now));
  const std::uint64_t Index = Log.lastIndex() + 1;
  if (!check(Log.append(
          {Entry{Index, Log.term(), EntryKind::Command, std::move(Command)}})))
    return fail(ErrorCode::System, Failure->Message);
  for (auto &[Name, Each] : Peers)
    replicate(Each, false);
  advanceCommit();
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
    // The entries it needs are gone. The snapshot goes out once in a while,
    // so that a slow host isn't sent one for each command or read.
    if (!Heartbeat || LastHeartbeat - To.SnapshotSent < Options.ElectionTimeout)
      return;
    To.SnapshotSent = LastHeartbeat;
    send(To.Identity.Name,
         SnapshotInstall{Log.term(), Log.snapshotIndex(), Log.snapshotTerm(),
                         Round, Log.snapshotVoters(), Log.snapshotState()});
    return;
  }
  AppendRequest Request{Log.term(),    To.Next - 1,
                        *PreviousTerm, CommitIndex,
                        Round,         Log.from(To.Next, Options.BatchBytes)};
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
  const bool Covered = Request.PreviousIndex < Log.snapshotIndex();
  if (!Covered && Known != Request.PreviousTerm) {
    // Everything from a mismatch on is another leader's; the last entry
    // before it is worth a try.
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
    if (New.empty() && Each.Index <= Log.lastIndex() && !cutFrom(Each.Index))
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

bool Consensus::cutFrom(std::uint64_t Index) {
  // No leader can lack a committed entry. If one seems to, two groups have
  // met or a disk has lied, and the operator must hear of it.
  if (Index <= CommitIndex)
    return check(fail(ErrorCode::Corrupt,
                      "a leader's log differs from this one at entry " +
                          std::to_string(Index) + ", which was committed"));
  return check(Log.truncateFrom(Index));
}

void Consensus::on(const Member &From, const AppendReply &Reply, Millis Now) {
  if (Reply.Term > Log.term()) {
    // Also from a host that doesn't vote: one that was removed while it asked
    // for votes has a higher term, and could be fed by no leader before.
    if (isVoter(From) || Peers.count(From.Name) != 0)
      becomeFollower(Reply.Term, "", Now);
    return;
  }
  const auto Known = Peers.find(From.Name);
  if (!isLeader() || Known == Peers.end() || Reply.Term != Log.term())
    return;
  // The host came back with another disk, and what is sent to its former self
  // keeps it from asking to join.
  if (!isVoter(From))
    admitLearner(From, Now);
  if (Known->second.Identity != From)
    return;
  Peer &Each = Known->second;
  Each.LastReply = Now;
  Each.Round = std::max(Each.Round, Reply.Round);
  if (Reply.Matched) {
    Each.Match = std::max(Each.Match, Reply.MatchIndex);
    Each.Next = std::max(Each.Next, Each.Match + 1);
    advanceCommit();
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

void Consensus::advanceCommit() {
  const std::uint64_t Held = reachedByMajority(Log.lastIndex(), &Peer::Match);
  if (Held > CommitIndex && Log.termAt(Held) == Log.term()) {
    CommitIndex = Held;
    emitCommitted();
  }
}

void Consensus::emitCommitted() {
  while (EmittedIndex < CommitIndex) {
    const Entry *Next = Log.at(EmittedIndex + 1);
    if (Next == nullptr)
      return;
    Out.Committed.push_back(*Next);
    ++EmittedIndex;
  }
}

void Consensus::compact(std::uint64_t Index, std::string State) {
  if (Failure || Index > EmittedIndex)
    return;
  // The voters at Index: a later membership entry stays in the log.
  Members AtIndex = Log.snapshotVoters();
  for (std::uint64_t Each = Log.snapshotIndex() + 1; Each <= Index; ++Each) {
    const Entry *Found = Log.at(Each);
    if (Found != nullptr && Found->Kind == EntryKind::Membership)
      AtIndex = decode<Members>(Found->Bytes).value_or(AtIndex);
  }
  check(Log.compact(Index, std::move(AtIndex), std::move(State)));
}

// Reads through the quorum.

Expected<std::uint64_t> Consensus::beginRead(Millis Now) {
  if (!isSettledLeader() || Failure)
    return fail(ErrorCode::Unavailable, notLeading(Now));
  const std::uint64_t Ticket = NextTicket++;
  // The round must begin after the read did: an echo of an earlier round
  // says nothing about who leads now. While one is under way the next waits
  // for its end, or for the heartbeat where it was lost, so that the renewals
  // of a thousand leases don't cost a round each.
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

// Membership. One change at a time, so that any majority before it meets any
// majority after it.

Consensus::Peer Consensus::newPeer(const Member &Host, bool Voter,
                                   Millis Now) const {
  return Peer{Host, Log.lastIndex() + 1, 0, 0, Now, NeverSent, Voter};
}

void Consensus::admitLearner(const Member &Host, Millis Now) {
  const auto Known = Peers.find(Host.Name);
  if (Known != Peers.end() && Known->second.Identity == Host)
    return;
  if (Options.Membership == GroupPolicyKind::Listed &&
      findByName(Voters, Host.Name) == nullptr &&
      std::find(Options.Hosts.begin(), Options.Hosts.end(), Host.Name) ==
          Options.Hosts.end())
    return;
  // Its former self won't answer any more; it stays in Voters, and so in the
  // size of the majority, until the change is committed.
  Peers[Host.Name] = newPeer(Host, false, Now);
  replicate(Peers[Host.Name], true);
}

bool Consensus::changeUnderWay() const {
  return Log.votersIndex() > CommitIndex;
}

Expected<std::uint64_t> Consensus::appendVoters(Members Next, Millis Now) {
  std::sort(Next.begin(), Next.end());
  const std::uint64_t Index = Log.lastIndex() + 1;
  if (!check(Log.append(
          {Entry{Index, Log.term(), EntryKind::Membership, encode(Next)}})))
    return tl::unexpected(*Failure);
  reloadVoters();
  for (auto &[Name, Each] : Peers)
    Each.Voter = isVoter(Each.Identity);
  startRound(Now);
  advanceCommit();
  return Index;
}

// A host that comes back with an empty disk is fed first and counted only once
// committed changes have put it in the place of its former self: the seat of
// the lost disk becomes vacant, then the new disk takes it. A swap in one step
// would let {old, B} and {A, new} both decide if the lost disk came back.
void Consensus::replaceCaughtUpLearners(Millis Now) {
  if (!isSettledLeader() || changeUnderWay())
    return;
  for (const auto &[Name, Each] : Peers) {
    if (Each.Voter || Each.Match < CommitIndex)
      continue;
    const Member *Seat = findByName(Voters, Name);
    // Without a seat it waits for the operator's command, but in an open
    // group.
    if (Seat == nullptr && Options.Membership == GroupPolicyKind::Listed)
      continue;
    Members Next = Voters;
    if (Seat == nullptr) {
      Next.push_back(Each.Identity);
    } else {
      const Member Taken =
          Seat->isVacant() ? Each.Identity : Member{Name, VacantDisk};
      std::replace(Next.begin(), Next.end(), *Seat, Taken);
    }
    static_cast<void>(appendVoters(std::move(Next), Now));
    return;
  }
}

// A host that is gone for good counts in the size of the majority until it's
// taken out. With an even number of voters its seat is worth nothing: the
// majority of one voter less is one smaller, so as many others may fail, and
// no fewer disks hold what is committed than one more than half of the rest.
// With an odd number it stays: it may only be cut off.
void Consensus::removeSilentVoter(Millis Now) {
  if (Options.Membership != GroupPolicyKind::Open || !isSettledLeader() ||
      changeUnderWay() || Voters.size() % 2 != 0)
    return;
  for (const Member &Each : Voters) {
    if (Each == self())
      continue;
    const auto Known = Peers.find(Each.Name);
    const bool IsSilent = Known == Peers.end() ||
                          Known->second.Identity != Each ||
                          Now - Known->second.LastReply > SilenceBorne;
    if (!IsSilent)
      continue;
    Members Next = Voters;
    Next.erase(std::find(Next.begin(), Next.end(), Each));
    static_cast<void>(changeVoters(std::move(Next), Now));
    return;
  }
}

std::size_t Consensus::disksHolding(std::uint64_t Index) const {
  std::size_t Out = Log.lastIndex() >= Index ? 1 : 0;
  for (const auto &[Name, Each] : Peers)
    if (Each.Match >= Index)
      ++Out;
  return Out;
}

bool Consensus::outlives(std::uint64_t Index, std::size_t LostDisks) const {
  return Index <= CommitIndex && !changeUnderWay() &&
         Voters.size() > 2 * LostDisks && disksHolding(Index) > LostDisks;
}

Expected<std::uint64_t> Consensus::addVoter(const std::string &Name,
                                            Millis Now) {
  if (auto Ready = checkChange(Now); !Ready)
    return tl::unexpected(Ready.error());
  if (findByName(Voters, Name) != nullptr)
    return fail(ErrorCode::Conflict, Name + " is in the control group");
  const auto Known = Peers.find(Name);
  if (Known == Peers.end())
    return fail(ErrorCode::NotFound,
                Name + " hasn't been heard: start it with the control hosts "
                       "in its settings and name it in theirs, then add it");
  if (Known->second.Match < CommitIndex)
    return fail(ErrorCode::Unavailable,
                Name + " is still catching up: it has entry " +
                    std::to_string(Known->second.Match) + " of " +
                    std::to_string(CommitIndex));
  Members Next = Voters;
  Next.push_back(Known->second.Identity);
  return changeVoters(std::move(Next), Now);
}

Expected<std::uint64_t> Consensus::removeVoter(const std::string &Name,
                                               Millis Now) {
  if (auto Ready = checkChange(Now); !Ready)
    return tl::unexpected(Ready.error());
  Members Next;
  for (const Member &Each : Voters)
    if (Each.Name != Name)
      Next.push_back(Each);
  if (Next.size() == Voters.size())
    return fail(ErrorCode::NotFound, Name + " isn't in the control group");
  return changeVoters(std::move(Next), Now);
}

Expected<void> Consensus::checkChange(Millis Now) const {
  if (!isSettledLeader() || Failure)
    return fail(ErrorCode::Unavailable, notLeading(Now));
  if (changeUnderWay())
    return fail(ErrorCode::Conflict,
                "another change of the control group is under way: entry " +
                    std::to_string(Log.votersIndex()) + " isn't committed yet");
  return {};
}

Expected<std::uint64_t> Consensus::changeVoters(Members Next, Millis Now) {
  // A group that can't commit the change that made it could never undo it.
  std::size_t Heard = 0;
  for (const Member &Each : Next) {
    const auto Known = Peers.find(Each.Name);
    if (Each == self() ||
        (Known != Peers.end() && Known->second.Identity == Each &&
         Now - Known->second.LastReply < Options.ElectionTimeout))
      ++Heard;
  }
  if (Heard < Next.size() / 2 + 1)
    return fail(ErrorCode::Conflict,
                "the group would stand still: of " +
                    std::to_string(Next.size()) + " control hosts only " +
                    std::to_string(Heard) + " would answer");
  return appendVoters(std::move(Next), Now);
}

void Consensus::stepDownIfRemoved(Millis Now) {
  if (isVoter(self()) || changeUnderWay())
    return;
  // The others learn that the change is committed, then one of them leads.
  startRound(Now);
  becomeFollower(Log.term(), "", Now);
}

std::string Consensus::notLeading(Millis Now) const {
  std::string Why = "this control host doesn't lead";
  if (Failure)
    return Why + ": " + Failure->Message;
  if (!Leader.empty() && Leader != Options.Name)
    return Why + ", " + Leader + " does";
  if (Role == ConsensusRole::Founding)
    return Why + ": the control group forms once all hosts of the settings "
                 "have been heard with an empty disk";
  std::string Silent;
  for (const Member &Each : Voters) {
    const auto Known = LastHeard.find(Each.Name);
    if (Each.Name != Options.Name &&
        (Known == LastHeard.end() ||
         Now - Known->second > Options.ElectionTimeout * 2))
      Silent += (Silent.empty() ? "" : ", ") + Each.Name;
  }
  return Why + " and knows of no leader: " + std::to_string(majority()) +
         " of " + std::to_string(Voters.size()) +
         " voting control hosts must agree; not heard here: " +
         (Silent.empty() ? "none" : Silent);
}

} // namespace corianderdyke
