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

Consensus::Consensus(ConsensusOptions Options, ReplicatedLog &Log,
                     std::uint64_t Seed)
    : Options(std::move(Options)), Log(Log), Random(Seed) {}

bool Consensus::check(const Expected<void> &Result) {
  if (Result)
    return true;
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
  std::uniform_int_distribution<std::int64_t> Extra(
      0, Options.ElectionTimeout.count());
  ElectionDeadline = Now + Options.ElectionTimeout + Millis(Extra(Random));
}

void Consensus::start(Millis Now) {
  reloadVoters();
  if (!Log.snapshotState().empty())
    Out.RestoredState = Log.snapshotState();
  CommitIndex = Log.snapshotIndex();
  EmittedIndex = CommitIndex;
  resetElectionTimer(Now);
  if (Voters.empty())
    Role = ConsensusRole::Founding;
  else
    Role = isVoter(self()) ? ConsensusRole::Follower : ConsensusRole::Joining;
  if (Voters.empty() && Options.Hosts.size() == 1)
    found({self()}, Now);
}

ConsensusOutputs Consensus::takeOutputs() {
  return std::exchange(Out, ConsensusOutputs{});
}

bool Consensus::hasOutputs() const {
  return Out.RestoredState || !Out.Committed.empty() || !Out.Reads.empty() ||
         !Out.FailedReads.empty() || !Out.Messages.empty();
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
    return;
  switch (Role) {
  case ConsensusRole::Founding:
  case ConsensusRole::Joining:
    if (Now - LastHeartbeat < Options.HeartbeatInterval * 2)
      return;
    // A joining host that its leader feeds has no need to knock again.
    if (Role == ConsensusRole::Joining &&
        Now - LastLeaderContact < Options.ElectionTimeout)
      return;
    LastHeartbeat = Now;
    for (const std::string &Host : Options.Hosts)
      if (Host != Options.Name)
        send(Host, FoundingHello{Voters, false});
    return;
  case ConsensusRole::Leader:
    if (Now - LastHeartbeat >= Options.HeartbeatInterval)
      startRound(Now);
    checkLeadership(Now);
    return;
  default:
    if (Now >= ElectionDeadline)
      startPreVote(Now);
  }
}

void Consensus::receive(const ConsensusMessage &Message, Millis Now) {
  if (Failure)
    return;
  std::visit([&](const auto &Body) { on(Message.From, Body, Now); },
             Message.Body);
}

// Founding. The group forms only once every host that the settings name has
// said that its disk is empty: a host that lost its disk finds a host with a
// group and joins that one, instead of forming a second group with an empty
// manifest.

void Consensus::on(const Member &From, const FoundingHello &Hello, Millis Now) {
  if (!Hello.Answer)
    send(From.Name, FoundingHello{Voters, true});
  if (isLeader() && !isVoter(From)) {
    admitLearner(From, Now);
    return;
  }
  if (Role != ConsensusRole::Founding)
    return;
  if (!Hello.Voters.empty()) {
    if (std::find(Hello.Voters.begin(), Hello.Voters.end(), self()) !=
        Hello.Voters.end())
      found(Hello.Voters, Now);
    else
      Role = ConsensusRole::Joining;
    return;
  }
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
  if (!check(Log.append({Entry{1, 1, EntryKind::Membership, encode(Sorted)}})))
    return;
  if (!check(Log.setTerm(1, "")))
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
  Votes = {Options.Name};
  for (const Member &Each : Voters)
    if (Each.Name != Options.Name)
      send(Each.Name,
           VoteRequest{Log.term() + 1, true, Log.lastIndex(), Log.lastTerm()});
  if (Votes.size() >= majority())
    startElection(Now);
}

void Consensus::startElection(Millis Now) {
  resetElectionTimer(Now);
  if (!check(Log.setTerm(Log.term() + 1, Options.Name)))
    return;
  Role = ConsensusRole::Candidate;
  Votes = {Options.Name};
  for (const Member &Each : Voters)
    if (Each.Name != Options.Name)
      send(Each.Name,
           VoteRequest{Log.term(), false, Log.lastIndex(), Log.lastTerm()});
  if (Votes.size() >= majority())
    becomeLeader(Now);
}

void Consensus::on(const Member &From, const VoteRequest &Request, Millis Now) {
  if (!isVoter(From) || Role == ConsensusRole::Founding)
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
  const bool Free = Log.votedFor().empty() || Log.votedFor() == From.Name;
  // A disk that isn't a voter's has lost votes it may have given before.
  const bool Granted = Request.Term == Log.term() && Free && UpToDate &&
                       isVoter(self()) && !isLeader();
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
    if (Each.Name != Options.Name)
      Peers[Each.Name] = Peer{Each, Log.lastIndex() + 1, 0, 0, Now, true};
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
    return fail(ErrorCode::Unavailable, "this control host doesn't lead");
  const std::uint64_t Index = Log.lastIndex() + 1;
  if (!check(Log.append(
          {Entry{Index, Log.term(), EntryKind::Command, std::move(Command)}})))
    return fail(ErrorCode::System, Failure->Message);
  for (auto &[Name, Each] : Peers)
    replicate(Each, false);
  LastHeartbeat = Now;
  advanceCommit();
  return Index;
}

void Consensus::startRound(Millis Now) {
  LastHeartbeat = Now;
  ++Round;
  for (auto &[Name, Each] : Peers)
    replicate(Each, true);
  advanceReads();
}

void Consensus::replicate(Peer &To, bool Heartbeat) {
  const auto PreviousTerm = Log.termAt(To.Next - 1);
  if (!PreviousTerm) {
    // The entries it needs are gone. The snapshot goes out on heartbeats
    // only, so that a slow host isn't sent one for each command.
    if (Heartbeat)
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
    if (New.empty() && Each.Index <= Log.lastIndex() &&
        !check(Log.truncateFrom(Each.Index)))
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

void Consensus::on(const Member &From, const AppendReply &Reply, Millis Now) {
  if (Reply.Term > Log.term()) {
    // Only a voter may end a term; a joining host may be ahead by nothing.
    if (isVoter(From))
      becomeFollower(Reply.Term, "", Now);
    return;
  }
  const auto Known = Peers.find(From.Name);
  if (!isLeader() || Known == Peers.end() || Reply.Term != Log.term() ||
      Known->second.Identity != From)
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
  advanceReads();
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

void Consensus::advanceCommit() {
  std::vector<std::uint64_t> Matches;
  if (isVoter(self()))
    Matches.push_back(Log.lastIndex());
  for (const auto &[Name, Each] : Peers)
    if (Each.Voter)
      Matches.push_back(Each.Match);
  if (Matches.size() < majority())
    return;
  std::sort(Matches.rbegin(), Matches.rend());
  const std::uint64_t Held = Matches[majority() - 1];
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
    return fail(ErrorCode::Unavailable, "this control host doesn't lead");
  const std::uint64_t Ticket = NextTicket++;
  // The round must begin after the read did: an echo of an earlier round
  // says nothing about who leads now.
  const bool RoundWaits = !Reads.empty() && Reads.back().Round > Round;
  Reads.push_back({Ticket, Round + 1, CommitIndex});
  if (!RoundWaits)
    startRound(Now);
  return Ticket;
}

void Consensus::advanceReads() {
  std::vector<std::uint64_t> Echoes;
  if (isVoter(self()))
    Echoes.push_back(Round);
  for (const auto &[Name, Each] : Peers)
    if (Each.Voter)
      Echoes.push_back(Each.Round);
  if (Echoes.size() < majority())
    return;
  std::sort(Echoes.rbegin(), Echoes.rend());
  const std::uint64_t Confirmed = Echoes[majority() - 1];
  while (!Reads.empty() && Reads.front().Round <= Confirmed) {
    Out.Reads.push_back({Reads.front().Ticket, Reads.front().Index});
    Reads.erase(Reads.begin());
  }
}

// Membership. A host with an empty disk is fed first and counted only once a
// committed change has put it in the place of its former self. One change at
// a time, so that any majority before it meets any majority after it.

void Consensus::admitLearner(const Member &Host, Millis Now) {
  const auto Known = Peers.find(Host.Name);
  if (Known != Peers.end() && Known->second.Identity == Host)
    return;
  if (findByName(Voters, Host.Name) == nullptr &&
      std::find(Options.Hosts.begin(), Options.Hosts.end(), Host.Name) ==
          Options.Hosts.end())
    return;
  // Its former self won't answer any more; it stays in Voters, and so in the
  // size of the majority, until the change is committed.
  Peers[Host.Name] = Peer{Host, Log.lastIndex() + 1, 0, 0, Now, false};
  replicate(Peers[Host.Name], true);
}

void Consensus::replaceCaughtUpLearners(Millis Now) {
  if (!isSettledLeader() || Log.votersIndex() > CommitIndex)
    return;
  for (auto &[Name, Each] : Peers) {
    if (Each.Voter || Each.Match < CommitIndex)
      continue;
    // Two steps, each of one host: the lost disk leaves, then the new one
    // enters. A swap in one step would let {old, B} and {A, new} both decide
    // if the lost disk came back.
    const bool FormerIn = findByName(Voters, Name) != nullptr;
    Members Next;
    for (const Member &Voter : Voters)
      if (Voter.Name != Name)
        Next.push_back(Voter);
    if (!FormerIn)
      Next.push_back(Each.Identity);
    std::sort(Next.begin(), Next.end());
    const std::uint64_t Index = Log.lastIndex() + 1;
    if (!check(Log.append(
            {Entry{Index, Log.term(), EntryKind::Membership, encode(Next)}})))
      return;
    reloadVoters();
    Each.Voter = !FormerIn;
    startRound(Now);
    advanceCommit();
    return;
  }
}

} // namespace corianderdyke
