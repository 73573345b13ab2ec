/// \file
/// Bootstrap of a control group and election of its leader.

#include "Consensus/Consensus.h"

#include "Common/Codec.h"

#include <algorithm>

namespace corianderdyke {

// Bootstrap. The group forms only once every host in the settings has reported
// that its disk is empty. A host that lost its disk therefore finds a host with
// a group and joins it, instead of forming a second group with an empty
// manifest. Only the first host by name writes the list of founding members,
// and the others copy it. If each host wrote its own list, the loss of a disk
// in the meantime would produce different lists under the same index and term.

std::set<std::string> Consensus::knownHosts() const {
  std::set<std::string> Out(Options.Hosts.begin(), Options.Hosts.end());
  if (Options.Membership == MembershipMode::Open) {
    // All hosts in the settings may have been replaced since the file was
    // written.
    for (const Member &Each : Voters)
      Out.insert(Each.Name);
    Out.insert(DiscoveredHosts.begin(), DiscoveredHosts.end());
  }
  Out.erase(Options.Name);
  return Out;
}

void Consensus::sendDiscovery() {
  // A leader would admit this host again.
  if (IsLeaving)
    return;
  for (const std::string &Host : knownHosts())
    send(Host, GroupDiscovery{Voters, Log.votersIndex(), false});
}

void Consensus::on(const Member &From, const GroupDiscovery &Discovery,
                   Millis Now) {
  if (!Discovery.IsReply && !IsLeaving)
    send(From.Name, GroupDiscovery{Voters, Log.votersIndex(), true});
  if (isLeader() && !isVoter(From)) {
    admitLearner(From, Now);
    return;
  }
  // A host that was removed during a partition still follows the voters that it
  // knew, none of which may lead any more.
  if (Options.Membership == MembershipMode::Open)
    for (const Member &Each : Discovery.Voters)
      DiscoveredHosts.insert(Each.Name);
  if (Role != ConsensusRole::Founding)
    return;
  if (!Discovery.Voters.empty()) {
    // Later lists come from the leader, together with the entries before them.
    if (Discovery.VotersIndex == 1 &&
        std::find(Discovery.Voters.begin(), Discovery.Voters.end(), self()) !=
            Discovery.Voters.end())
      foundGroup(Discovery.Voters, Now);
    else
      Role = ConsensusRole::Joining;
    return;
  }
  const auto First =
      std::min_element(Options.Hosts.begin(), Options.Hosts.end());
  if (First == Options.Hosts.end() || *First != Options.Name)
    return;
  EmptyDiskHosts[From.Name] = From;
  Members Founders = {self()};
  for (const std::string &Host : Options.Hosts) {
    const auto Known = EmptyDiskHosts.find(Host);
    if (Known != EmptyDiskHosts.end() && Host != Options.Name)
      Founders.push_back(Known->second);
  }
  if (Founders.size() == Options.Hosts.size())
    foundGroup(Founders, Now);
}

void Consensus::foundGroup(const Members &Founders, Millis Now) {
  Members Sorted = Founders;
  std::sort(Sorted.begin(), Sorted.end());
  // Every founding member writes the same first entry, as if a leader of term 1
  // had written it.
  if (!check(Log.setTerm(1, "")) ||
      !check(Log.append({Entry{1, 1, EntryKind::Membership, encode(Sorted)}})))
    return;
  reloadVoters();
  Role = ConsensusRole::Follower;
  resetElectionTimer(Now);
}

// Elections.

void Consensus::becomeFollower(std::uint64_t Term, const std::string &NewLeader,
                               Millis Now, const std::string &Vote) {
  if (Term > Log.term() && !check(Log.setTerm(Term, Vote)))
    return;
  if (isLeader())
    failReads();
  Role = isVoter(self()) ? ConsensusRole::Follower : ConsensusRole::Joining;
  Leader = NewLeader;
  Votes.reset();
  Peers.clear();
  resetElectionTimer(Now);
}

void Consensus::failReads() {
  for (const PendingRead &Each : Reads)
    Out.FailedReads.push_back(Each.Ticket);
  Reads.clear();
}

void Consensus::startPreVote(Millis Now) {
  if (LastLeaderContact == NeverSent)
    setElectionTimer(Now, electionSpacing() *
                              static_cast<std::int64_t>(Voters.size()));
  else
    resetElectionTimer(Now);
  Role = ConsensusRole::PreCandidate;
  ++Elections.PreVoteRounds;
  Leader.clear();
  PreVotes = ownVote();
  // A host that was removed during a partition asks voters that no longer
  // exist. Discovery lets the leader replicate to it, so that it receives the
  // entry of its removal.
  sendDiscovery();
  for (const Member &Each : Voters)
    if (Each.Name != Options.Name && !Each.isVacant())
      send(Each.Name,
           VoteRequest{Log.term() + 1, true, Log.lastIndex(), Log.lastTerm()});
  if (PreVotes.size() >= majority())
    startElection(Now);
}

std::set<std::string> Consensus::ownVote() const {
  if (!isVoter(self()))
    return {};
  return {Options.Name};
}

void Consensus::startElection(Millis Now) {
  // A majority has just confirmed that there is no leader, so a lost election
  // is retried without waiting for the full election timeout.
  setElectionTimer(Now,
                   atLeastSyncs(SyncsPerVote, Options.ElectionTimeout / 2));
  Votes.reset();
  if (!check(Log.setTerm(Log.term() + 1, Options.Name)))
    return;
  Role = ConsensusRole::Candidate;
  ++Elections.Started;
  Votes = ownVote();
  for (const Member &Each : Voters)
    if (Each.Name != Options.Name && !Each.isVacant())
      send(Each.Name,
           VoteRequest{Log.term(), false, Log.lastIndex(), Log.lastTerm()});
  if (Votes->size() >= majority())
    becomeLeader(Now);
}

// A vote is granted even if the log of this host does not list the candidate,
// or this host itself, as a voter. The entry that lists them may exist only on
// the candidate, and without the vote the group could not make progress. The
// candidate counts votes by disk and ignores a vote from a disk that is not one
// of its voters.
void Consensus::on(const Member &From, const VoteRequest &Request, Millis Now) {
  if (Role == ConsensusRole::Founding)
    return;
  // No vote is granted while a leader is alive, so that a host that returns
  // from a partition does not end a working term.
  const bool IsLeaderAlive =
      isLeader() || Now - LastLeaderContact < Options.ElectionTimeout;
  const bool UpToDate = Request.LastTerm > Log.lastTerm() ||
                        (Request.LastTerm == Log.lastTerm() &&
                         Request.LastIndex >= Log.lastIndex());
  if (Request.PreVote) {
    const bool Granted =
        Request.Term > Log.term() && UpToDate && !IsLeaderAlive;
    // The sender is about to start an election. An election of this host at the
    // same time would split the votes.
    if (Granted)
      ElectionDeadline = std::max(ElectionDeadline, Now + electionSpacing());
    send(From.Name,
         VoteReply{Granted ? Request.Term : Log.term(), true, Granted});
    return;
  }
  if (IsLeaderAlive && Request.Term > Log.term())
    return;
  // The term and the vote take one sync together.
  if (Request.Term > Log.term())
    becomeFollower(Request.Term, "", Now, UpToDate ? From.Name : "");
  if (Failure)
    return;
  const bool IsVoteAvailable =
      Log.votedFor().empty() || Log.votedFor() == From.Name;
  const bool Granted =
      Request.Term == Log.term() && IsVoteAvailable && UpToDate && !isLeader();
  if (Granted) {
    if (!check(Log.setTerm(Log.term(), From.Name)))
      return;
    setElectionTimer(Now,
                     atLeastSyncs(SyncsPerElection, Options.ElectionTimeout));
  }
  send(From.Name, VoteReply{Log.term(), false, Granted});
}

// Only what this host knows of the leader changes, so that it grants a pre-vote
// and starts one in its turn.
void Consensus::on(const Member &From, const LeadershipEnd &End, Millis Now) {
  if (End.Term != Log.term() || Leader != From.Name ||
      Role != ConsensusRole::Follower)
    return;
  Leader.clear();
  LastLeaderContact = NeverSent;
  setFirstElection(Now + FirstElectionSpacing / 2);
}

void Consensus::on(const Member &From, const VoteReply &Reply, Millis Now) {
  if (!isVoter(From))
    return;
  if (!Reply.Granted && Reply.Term > Log.term()) {
    becomeFollower(Reply.Term, "", Now);
    return;
  }
  if (!Reply.Granted)
    return;
  if (Reply.PreVote) {
    if (Role != ConsensusRole::PreCandidate || Reply.Term != Log.term() + 1)
      return;
    PreVotes.insert(From.Name);
    if (PreVotes.size() >= majority())
      startElection(Now);
    return;
  }
  // The vote may arrive after this host has started its next pre-vote. It is
  // still valid, because the term is the same. If such votes were dropped, no
  // election could be won while a vote takes longer than the election timer.
  if (!Votes || Reply.Term != Log.term())
    return;
  Votes->insert(From.Name);
  if (Votes->size() >= majority())
    becomeLeader(Now);
}

void Consensus::becomeLeader(Millis Now) {
  Role = ConsensusRole::Leader;
  Leader = Options.Name;
  Votes.reset();
  Peers.clear();
  for (const Member &Each : Voters)
    if (Each.Name != Options.Name && !Each.isVacant())
      Peers[Each.Name] = newPeer(Each, true, Now);
  // Entries of earlier terms are committed only through an entry of this term.
  if (!check(Log.append(
          {Entry{Log.lastIndex() + 1, Log.term(), EntryKind::Empty, ""}})))
    return;
  startRound(Now);
  advanceCommit(Now);
}

void Consensus::checkLeadership(Millis Now) {
  std::size_t Reachable = isVoter(self()) ? 1 : 0;
  for (const auto &[Name, Each] : Peers)
    if (Each.Voter &&
        Now - Each.LastReply <
            atLeastSyncs(SyncsPerReply, Options.ElectionTimeout * 2))
      ++Reachable;
  if (Reachable < majority())
    becomeFollower(Log.term(), "", Now);
}

} // namespace corianderdyke
