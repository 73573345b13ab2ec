/// \file
/// How a control group is founded and how its leader is elected.

#include "Consensus/Consensus.h"

#include "Common/Codec.h"

#include <algorithm>

namespace corianderdyke {

// Founding. The group forms only once every host that the settings name has
// said that its disk is empty: a host that lost its disk finds a host with a
// group and joins that one, instead of forming a second group with an empty
// manifest. The first host by name alone writes the list of founders and the
// others take it over. If each wrote its own, a disk lost meanwhile would make
// lists that differ, under the same index and term.

std::set<std::string> Consensus::knownHosts() const {
  std::set<std::string> Out(Options.Hosts.begin(), Options.Hosts.end());
  if (Options.Membership == MembershipMode::Open) {
    // The hosts of the settings may all have been replaced since the file was
    // written.
    for (const Member &Each : Voters)
      Out.insert(Each.Name);
    Out.insert(DiscoveredHosts.begin(), DiscoveredHosts.end());
  }
  Out.erase(Options.Name);
  return Out;
}

void Consensus::sendDiscovery() {
  for (const std::string &Host : knownHosts())
    send(Host, GroupDiscovery{Voters, Log.votersIndex(), false});
}

void Consensus::on(const Member &From, const GroupDiscovery &Hello,
                   Millis Now) {
  if (!Hello.IsReply)
    send(From.Name, GroupDiscovery{Voters, Log.votersIndex(), true});
  if (isLeader() && !isVoter(From)) {
    admitLearner(From, Now);
    return;
  }
  if (Options.Membership == MembershipMode::Open &&
      (Role == ConsensusRole::Founding || Role == ConsensusRole::Joining))
    for (const Member &Each : Hello.Voters)
      DiscoveredHosts.insert(Each.Name);
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
  EmptyDiskHosts[From.Name] = From;
  Members Founders = {self()};
  for (const std::string &Host : Options.Hosts) {
    const auto Known = EmptyDiskHosts.find(Host);
    if (Known != EmptyDiskHosts.end() && Host != Options.Name)
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
  if (LastLeaderContact == NeverSent)
    setElectionTimer(Now, FirstElectionSpacing *
                              static_cast<std::int64_t>(Voters.size()));
  else
    resetElectionTimer(Now);
  Role = ConsensusRole::PreCandidate;
  ++Elections.PreVoteRounds;
  Leader.clear();
  countOwnVote();
  // A host that was removed while it was cut off asks voters that are no more.
  // The leader feeds it once it's heard, and it learns of its removal.
  sendDiscovery();
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
  ++Elections.Started;
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
    // An election begins there; one of this host's own would split the votes.
    if (Granted)
      ElectionDeadline = std::max(ElectionDeadline, Now + FirstElectionSpacing);
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

} // namespace corianderdyke
