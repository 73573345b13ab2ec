/// \file
/// Membership changes of a control group.

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

// Only one membership change is pending at a time, so that any majority before
// it overlaps any majority after it.

Consensus::Peer Consensus::newPeer(const Member &Host, bool Voter,
                                   Millis Now) const {
  return Peer{Host, Log.lastIndex() + 1, 0, 0, Now, NeverSent, Voter};
}

void Consensus::admitLearner(const Member &Host, Millis Now) {
  const auto Known = Peers.find(Host.Name);
  if (Known != Peers.end() && Known->second.Identity == Host) {
    // A host that is about to stop does not ask, so it has restarted.
    Known->second.HasLeft = false;
    return;
  }
  if (Options.Membership == MembershipMode::Listed &&
      findByName(Voters, Host.Name) == nullptr &&
      std::find(Options.Hosts.begin(), Options.Hosts.end(), Host.Name) ==
          Options.Hosts.end())
    return;
  // The old disk of the host does not answer any more. It stays in Voters, and
  // so in the size of the majority, until the change is committed.
  Peers[Host.Name] = newPeer(Host, false, Now);
  replicate(Peers[Host.Name], true);
}

bool Consensus::isChangePending() const {
  return Log.votersIndex() > CommitIndex;
}

Expected<std::uint64_t> Consensus::appendVoters(Members Next, Millis Now) {
  std::sort(Next.begin(), Next.end());
  const std::uint64_t Index = Log.lastIndex() + 1;
  if (!check(Log.append(
          {Entry{Index, Log.term(), EntryKind::Membership, encode(Next)}})))
    return tl::unexpected(*Failure);
  reloadVoters();
  for (auto &[Name, Each] : Peers) {
    const bool Remains = isVoter(Each.Identity);
    Each.HasLeft =
        !Remains && (Each.HasLeft || (Each.Voter && isLeaving(Each, Now)));
    Each.Voter = Remains;
  }
  startRound(Now);
  advanceCommit(Now);
  return Index;
}

// A host that restarts with an empty disk first receives the log. It counts as
// a voter only after two committed changes: the seat of the lost disk becomes
// vacant, and then the new disk takes it. A replacement in one step would let
// {old, B} and {A, new} both form a majority if the lost disk came back.
void Consensus::replaceCaughtUpLearners(Millis Now) {
  if (!isReadyLeader() || isChangePending())
    return;
  for (const auto &[Name, Each] : Peers) {
    if (Each.Voter || Each.HasLeft || Each.Match < CommitIndex ||
        !hasReplied(Each, Now))
      continue;
    const Member *Seat = findByName(Voters, Name);
    // In a listed group, a host without a seat waits for the command of the
    // operator.
    if (Seat == nullptr && Options.Membership == MembershipMode::Listed)
      continue;
    Members Next = Voters;
    if (Seat == nullptr) {
      Next.push_back(Each.Identity);
    } else {
      const Member Replacement =
          Seat->isVacant() ? Each.Identity : Member{Name, VacantDisk};
      std::replace(Next.begin(), Next.end(), *Seat, Replacement);
    }
    static_cast<void>(appendVoters(std::move(Next), Now));
    return;
  }
}

Members Consensus::silentVoters(Millis Now) const {
  if (!isLeader())
    return {};
  std::vector<std::pair<Millis, Member>> Found;
  for (const Member &Each : Voters) {
    if (Each == self())
      continue;
    const auto Known = Peers.find(Each.Name);
    if (Known == Peers.end() || Known->second.Identity != Each)
      Found.emplace_back(NeverSent, Each);
    else if (Now - Known->second.LastReply > SilentVoterTimeout)
      Found.emplace_back(Known->second.LastReply, Each);
  }
  std::sort(Found.begin(), Found.end());
  Members Out;
  for (auto &[LastReply, Each] : Found)
    Out.push_back(std::move(Each));
  return Out;
}

// A host that is permanently lost counts towards the size of the majority until
// it is removed. With an even number of voters its seat adds no fault
// tolerance: the majority of one voter fewer is one smaller, so as many others
// may fail, and committed entries are still on more than half of the remaining
// disks. With an odd number a silent voter stays, since it may only be
// partitioned, as long as the group bears the tolerated losses with it. If
// hosts were replaced at the same time, several voters are gone, and too few
// are left for a majority after such a loss.
void Consensus::removeSilentVoter(Millis Now) {
  if (Options.Membership != MembershipMode::Open || !isReadyLeader() ||
      isChangePending())
    return;
  const Members Silent = silentVoters(Now);
  if (Silent.empty())
    return;
  const std::size_t Answering = Voters.size() - Silent.size();
  if (Voters.size() % 2 != 0 &&
      bearsDiskLoss(Answering, Options.ToleratedDiskLosses))
    return;
  Members Next = Voters;
  Next.erase(std::find(Next.begin(), Next.end(), Silent.front()));
  static_cast<void>(changeVoters(std::move(Next), Now));
}

// A planned stop gives notice, so the size of the group need not wait until the
// voter has been silent for some time: the others could not lose as many disks
// meanwhile. A stopping voter serves until its removal is committed. At the
// smallest size a stop changes nothing, since the host most likely restarts,
// and a restart must not leave a group that bears fewer losses.

void Consensus::leave() { IsLeaving = true; }

bool Consensus::hasLeft() const {
  if (Options.Membership != MembershipMode::Open || Failure || Voters.empty())
    return true;
  return !isChangePending() && !(isVoter(self()) && isAboveSmallestSize());
}

bool Consensus::isAboveSmallestSize() const {
  return Voters.size() > 2 * Options.ToleratedDiskLosses + 1;
}

bool Consensus::isLeaving(const Peer &Each, Millis Now) const {
  return Now - Each.LeaveRequested < Options.ElectionTimeout;
}

void Consensus::requestLeave(Millis Now) {
  if (!IsLeaving || hasLeft() ||
      Now - LastLeaveRequest < Options.HeartbeatInterval)
    return;
  LastLeaveRequest = Now;
  if (!Leader.empty() && Now - LastLeaderContact < Options.ElectionTimeout)
    return send(Leader, LeaveRequest{});
  // A leader that was elected after the removal does not know this host.
  for (const std::string &Host : knownHosts())
    send(Host, LeaveRequest{});
}

void Consensus::on(const Member &From, const LeaveRequest &, Millis Now) {
  if (!isLeader())
    return;
  auto Known = Peers.find(From.Name);
  if (Known == Peers.end() && !isVoter(From)) {
    Known = Peers.emplace(From.Name, newPeer(From, false, Now)).first;
    Known->second.HasLeft = true;
    replicate(Known->second, true);
  }
  if (Known == Peers.end() || Known->second.Identity != From)
    return;
  Known->second.LeaveRequested = Now;
  removeLeavingVoter(Now);
}

void Consensus::removeLeavingVoter(Millis Now) {
  if (Options.Membership != MembershipMode::Open || !isReadyLeader() ||
      isChangePending() || !isAboveSmallestSize())
    return;
  const Member *Leaving = nullptr;
  for (const Member &Each : Voters) {
    const auto Known = Peers.find(Each.Name);
    if (Known != Peers.end() && Known->second.Identity == Each &&
        isLeaving(Known->second, Now))
      Leaving = &Each;
  }
  // Another leader would have to be elected first if this host left before the
  // others that are waiting.
  const Member Self = self();
  if (Leaving == nullptr && IsLeaving && isVoter(Self))
    Leaving = &Self;
  if (Leaving == nullptr)
    return;
  Members Next;
  for (const Member &Each : Voters)
    if (Each != *Leaving)
      Next.push_back(Each);
  static_cast<void>(changeVoters(std::move(Next), Now));
}

// A host that has left still receives entries while it asks, to learn that the
// change is committed.
void Consensus::forgetRemovedPeers(Millis Now) {
  for (auto Each = Peers.begin(); Each != Peers.end();)
    if (Each->second.HasLeft && !isChangePending() &&
        !isLeaving(Each->second, Now))
      Each = Peers.erase(Each);
    else
      ++Each;
}

std::size_t Consensus::disksHolding(std::uint64_t Index) const {
  std::size_t Out = Log.lastIndex() >= Index ? 1 : 0;
  for (const auto &[Name, Each] : Peers)
    if (Each.Match >= Index)
      ++Out;
  return Out;
}

std::size_t Consensus::votersHolding(std::uint64_t Index) const {
  std::size_t Out = isVoter(self()) && Log.lastIndex() >= Index ? 1 : 0;
  for (const auto &[Name, Each] : Peers)
    if (Each.Voter && Each.Match >= Index)
      ++Out;
  return Out;
}

// With fewer voters than the smallest size, the group would not bear the loss
// even if all of them were present. At that size, absent voters therefore count
// among the losses, whether they are gone or only partitioned.
bool Consensus::bearsDiskLoss(std::size_t Present,
                              std::size_t LostDisks) const {
  return Voters.size() <= 2 * LostDisks + 1 ||
         Present >= majority() + LostDisks;
}

// A voter that holds the entry was present after it was appended. One that does
// not may be gone, and is removed soon in that case.
bool Consensus::survivesDiskLoss(std::uint64_t Index,
                                 std::size_t LostDisks) const {
  return Index <= CommitIndex && !isChangePending() &&
         Voters.size() > 2 * LostDisks && disksHolding(Index) > LostDisks &&
         bearsDiskLoss(votersHolding(Index), LostDisks);
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

bool Consensus::hasReplied(const Peer &Each, Millis Now) const {
  return Now - Each.LastReply <
         atLeastSyncs(SyncsPerReply, Options.ElectionTimeout);
}

Expected<void> Consensus::checkChange(Millis Now) const {
  if (!isReadyLeader() || Failure)
    return fail(ErrorCode::Unavailable, notLeaderReason(Now));
  if (isChangePending())
    return fail(ErrorCode::Conflict,
                "another change of the control group is under way: entry " +
                    std::to_string(Log.votersIndex()) + " isn't committed yet");
  return {};
}

Expected<std::uint64_t> Consensus::changeVoters(Members Next, Millis Now) {
  // A group that cannot commit the change that created it could never undo that
  // change.
  std::size_t Reachable = 0;
  for (const Member &Each : Next) {
    const auto Known = Peers.find(Each.Name);
    if (Each == self() ||
        (Known != Peers.end() && Known->second.Identity == Each &&
         hasReplied(Known->second, Now)))
      ++Reachable;
  }
  if (Reachable < Next.size() / 2 + 1)
    return fail(ErrorCode::Conflict,
                "the group would stand still: of " +
                    std::to_string(Next.size()) + " control hosts only " +
                    std::to_string(Reachable) + " would answer");
  return appendVoters(std::move(Next), Now);
}

void Consensus::stepDownIfRemoved(Millis Now) {
  if (isVoter(self()) || isChangePending())
    return;
  // The others receive the commit of the change, and one of them becomes
  // leader.
  startRound(Now);
  for (const Member &Each : Voters)
    if (!Each.isVacant())
      send(Each.Name, LeadershipEnd{Log.term()});
  becomeFollower(Log.term(), "", Now);
}

} // namespace corianderdyke
