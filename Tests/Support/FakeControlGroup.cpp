/// \file
/// Implements a group of consensus nodes on simulated disks and checks its
/// invariants.

#include "FakeControlGroup.h"

#include "Common/Cryptography.h"

#include <algorithm>
#include <stdexcept>

namespace corianderdyke {

namespace {

constexpr Millis Step(5);

void require(bool Holds, const std::string &What) {
  if (!Holds)
    throw std::runtime_error(What);
}

} // namespace

FakeControlGroup::FakeControlGroup(std::uint64_t Seed, std::size_t Hosts,
                                   MembershipMode Membership)
    : Random(Seed), Membership(Membership),
      ToleratedDiskLosses((Hosts - 1) / 2) {
  for (std::size_t Index = 1; Index <= Hosts; ++Index)
    Names.push_back("control-" + std::to_string(Index));
  Seeds = Names;
  if (Membership == MembershipMode::Open)
    Seeds.resize(std::min<std::size_t>(3, Seeds.size()));
  for (const std::string &Name : Names)
    start(Name);
  IsFounding = false;
}

void FakeControlGroup::replace(const std::string &Old, const std::string &New) {
  crash(Old);
  loseDisk(Old);
  std::replace(Names.begin(), Names.end(), Old, New);
  updateSeeds(New);
  start(New);
}

void FakeControlGroup::add(const std::string &New) {
  Names.push_back(New);
  updateSeeds(New);
  start(New);
}

void FakeControlGroup::remove(const std::string &Old) {
  crash(Old);
  loseDisk(Old);
  Names.erase(std::find(Names.begin(), Names.end(), Old));
  updateSeeds("");
}

void FakeControlGroup::updateSeeds(const std::string &Joining) {
  Seeds.clear();
  for (const std::string &Each : Names)
    if (Each != Joining && Seeds.size() < 3)
      Seeds.push_back(Each);
}

void FakeControlGroup::restartWithLostDisks(
    const std::vector<std::string> &Lost) {
  for (const std::string &Name : Names)
    crash(Name);
  for (const std::string &Name : Lost)
    loseDisk(Name);
  // Messages in flight arrive while the hosts are stopped and are lost.
  run(Millis(50));
  for (const std::string &Name : Names)
    start(Name);
}

std::uint64_t FakeControlGroup::proposeDurably(const std::string &Text,
                                               std::size_t LostDisks) {
  if (!runUntil([this] { return leader() != nullptr; }))
    return 0;
  Consensus *At = leader();
  const auto Index = At->propose(Text, Now);
  if (!Index)
    return 0;
  const bool Held = runUntil([&] {
    return leader() == At && At->survivesDiskLoss(*Index, LostDisks);
  });
  return Held ? *Index : 0;
}

void FakeControlGroup::start(const std::string &Name) {
  auto Made = std::make_unique<Host>();
  auto &Disk = Disks[Name];
  if (!Disk)
    Disk = std::make_shared<FakeDisk>();
  Made->Disk = Disk;
  Made->Syncs = Disk->syncs();
  Made->Records = std::make_unique<Journal>(*Disk);
  Made->Log = std::make_unique<ReplicatedLog>(*Made->Records);
  const auto Loaded = Made->Log->load("disk-" + std::to_string(NextDisk++));
  // Power may fail again while this start completes an interrupted operation
  // of the previous one.
  if (Disk->hasLostPower())
    return;
  require(Loaded.has_value(), Name + " cannot load its log: " +
                                  (Loaded ? "" : Loaded.error().Message));
  const bool IsOpen = Membership == MembershipMode::Open;
  ConsensusOptions Options{Name, IsOpen ? Seeds : Names};
  Options.Membership = Membership;
  Options.ToleratedDiskLosses = ToleratedDiskLosses;
  Options.MayBootstrap = !IsOpen || IsFounding;
  Made->Node =
      std::make_unique<Consensus>(std::move(Options), *Made->Log, Random());
  Hosts[Name] = std::move(Made);
  Hosts[Name]->Node->start(Now);
  collect(Name);
}

void FakeControlGroup::crash(const std::string &Name, std::size_t Torn) {
  Hosts.erase(Name);
  Frozen.erase(Name);
  if (const auto Disk = Disks.find(Name); Disk != Disks.end())
    Disk->second->crash(Torn);
}

bool FakeControlGroup::stop(const std::vector<std::string> &Which,
                            Millis Timeout) {
  std::vector<std::string> Running = Which;
  for (const std::string &Each : Running)
    host(Each)->leave();
  const bool HaveLeft = runUntil(
      [&] {
        std::vector<std::string> Remaining;
        for (const std::string &Each : Running)
          if (host(Each)->hasLeft())
            crash(Each);
          else
            Remaining.push_back(Each);
        Running = std::move(Remaining);
        return Running.empty();
      },
      Timeout);
  for (const std::string &Each : Running)
    crash(Each);
  return HaveLeft;
}

Consensus *FakeControlGroup::host(const std::string &Name) {
  const auto Found = Hosts.find(Name);
  return Found == Hosts.end() ? nullptr : Found->second->Node.get();
}

Consensus *FakeControlGroup::leader() {
  Consensus *Best = nullptr;
  for (const auto &[Name, Each] : Hosts)
    if (Frozen.count(Name) == 0 && Each->Node->isReadyLeader() &&
        (Best == nullptr || Each->Node->term() > Best->term()))
      Best = Each->Node.get();
  return Best;
}

bool FakeControlGroup::isSettled() {
  const Consensus *Leader = leader();
  if (Leader == nullptr || Leader->commitIndex() != Leader->log().lastIndex())
    return false;
  for (const Member &Seat : Leader->voters())
    if (host(Seat.Name) == nullptr ||
        host(Seat.Name)->log().diskId() != Seat.DiskId)
      return false;
  for (const auto &[Name, Each] : Hosts)
    if (Each->Applied != Leader->commitIndex())
      return false;
  return true;
}

bool FakeControlGroup::hasVoters(std::size_t Count) {
  const Consensus *Leader = leader();
  return Leader != nullptr && Leader->voters().size() == Count;
}

bool FakeControlGroup::isHeld(std::uint64_t Index, const std::string &Text) {
  const Consensus *Leader = leader();
  const Entry *Found =
      Leader == nullptr ? nullptr : Leader->log().entryAt(Index);
  return Found != nullptr && Found->Bytes == Text;
}

std::string FakeControlGroup::describe() {
  std::string Text;
  for (const auto &[Name, Each] : Hosts) {
    const Consensus &Node = *Each->Node;
    Text += Name + " " + Each->Log->diskId() + " role " +
            std::to_string(static_cast<int>(Node.role())) + " term " +
            std::to_string(Node.term()) + " commit " +
            std::to_string(Node.commitIndex()) + " of " +
            std::to_string(Each->Log->lastIndex()) +
            (Node.failure() ? " failed: " + Node.failure()->Message : "") +
            "; voters";
    for (const Member &Seat : Node.voters())
      Text += " " + Seat.Name + "/" + Seat.DiskId;
    Text += "\n";
  }
  return Text;
}

void FakeControlGroup::compact(const std::string &Name) {
  Host &At = *Hosts.at(Name);
  if (At.Applied > 0)
    At.Node->compact(At.Applied, At.State);
}

void FakeControlGroup::read(const std::string &Name) {
  Host &At = *Hosts.at(Name);
  const std::uint64_t Latest =
      Committed.empty() ? 0 : Committed.rbegin()->first;
  if (const auto Ticket = At.Node->beginRead(Now))
    At.Reads[*Ticket] = Latest;
  collect(Name);
}

void FakeControlGroup::run(Millis Span) {
  for (const Millis Until = Now + Span; Now < Until;)
    step();
}

bool FakeControlGroup::runUntil(const std::function<bool()> &Condition,
                                Millis Timeout) {
  for (const Millis Until = Now + Timeout; Now < Until;) {
    if (Condition())
      return true;
    step();
  }
  return Condition();
}

void FakeControlGroup::step() {
  Now = Now + Step;
  deliver();
  std::vector<std::string> FailedHosts;
  for (auto &[Name, Each] : Hosts) {
    if (Frozen.count(Name) != 0)
      continue;
    while (!Each->WhileStopped.empty() && !isSyncing(*Each)) {
      Each->Node->receive(Each->WhileStopped.front(), Now);
      Each->WhileStopped.pop_front();
      collect(Name);
    }
    if (isSyncing(*Each))
      continue;
    Each->Node->tick(Now);
    collect(Name);
    // A host whose disk refused a sync keeps running until the disk works.
    if (Each->Node->failure() &&
        (Each->Disk->hasLostPower() || Each->Disk->FailedSyncs == 0)) {
      require(Each->Disk->hasLostPower(),
              Name + " failed: " + Each->Node->failure()->Message);
      FailedHosts.push_back(Name);
    }
  }
  for (const std::string &Name : FailedHosts)
    crash(Name, Random() % 40);
}

void FakeControlGroup::deliver() {
  while (!Network.empty() && Network.begin()->first <= Now) {
    const auto Next = Network.extract(Network.begin());
    const auto To = Hosts.find(Next.mapped().To);
    const ConsensusMessage &Message = Next.mapped().Message;
    if (To == Hosts.end() || Cuts.count({Message.From.Name, To->first}) != 0)
      continue;
    if (Frozen.count(To->first) != 0 || isSyncing(*To->second)) {
      To->second->WhileStopped.push_back(Message);
      continue;
    }
    To->second->Node->receive(Message, Now);
    collect(To->first);
  }
}

void FakeControlGroup::post(const std::string &From,
                            const OutgoingConsensusMessage &Each, Millis At) {
  if (Cuts.count({From, Each.To}) != 0 || chance() < Faults.Lost)
    return;
  const int Copies = chance() < Faults.Duplicated ? 2 : 1;
  for (int Copy = 0; Copy < Copies; ++Copy) {
    const auto Delay =
        1 + Random() % static_cast<std::uint64_t>(Faults.MaxDelay.count());
    Network.emplace(At + Millis(static_cast<std::int64_t>(Delay)),
                    InFlight{Each.To, Each.Message});
  }
}

void FakeControlGroup::collect(const std::string &Name) {
  Host &At = *Hosts.at(Name);
  const ConsensusOutputs Out = At.Node->takeOutputs();
  SentMessages += Out.Messages.size();
  const auto NewSyncs = static_cast<std::int64_t>(At.Disk->syncs() - At.Syncs);
  At.Syncs = At.Disk->syncs();
  At.SyncingUntil = std::max(At.SyncingUntil, Now) + SyncDuration * NewSyncs;
  if (Out.RestoredState) {
    At.Applied = At.Log->snapshotIndex();
    At.State = *Out.RestoredState;
    require(States.count(At.Applied) != 0 && States[At.Applied] == At.State,
            Name + " restored a state that differs from the committed one");
  }
  for (const Entry &Each : Out.Committed)
    apply(Name, At, Each);
  for (const ConfirmedRead &Each : Out.Reads) {
    ++ConfirmedReads;
    require(Each.Index >= At.Reads[Each.Ticket] &&
                At.Applied >= At.Reads[Each.Ticket],
            Name + " confirmed a read at " + std::to_string(Each.Index) +
                " that began after " + std::to_string(At.Reads[Each.Ticket]) +
                " was committed");
  }
  for (const OutgoingConsensusMessage &Each : Out.Messages)
    post(Name, Each, At.SyncingUntil);
  if (!At.Node->isLeader() || At.Node->failure())
    return;
  const Member Self{Name, At.Log->diskId()};
  const auto Known = Leaders.try_emplace(At.Node->term(), Self).first;
  require(Known->second == Self, "term " + std::to_string(At.Node->term()) +
                                     " has two leaders: " + Name + " and " +
                                     Known->second.Name);
}

void FakeControlGroup::apply(const std::string &Name, Host &At,
                             const Entry &Each) {
  require(Each.Index == At.Applied + 1,
          Name + " applies an entry out of order");
  const auto Known = Committed.try_emplace(Each.Index, Each).first;
  require(Known->second == Each, "entry " + std::to_string(Each.Index) +
                                     " differs on " + Name +
                                     " from what was committed");
  At.Applied = Each.Index;
  At.State = sha256Hex(At.State + std::to_string(Each.Index) + Each.Bytes);
  States[Each.Index] = At.State;
}

void FakeControlGroup::checkLogs() const {
  std::map<std::pair<std::uint64_t, std::uint64_t>, Entry> Seen;
  for (const auto &[Name, Each] : Hosts)
    for (std::uint64_t Index = Each->Log->snapshotIndex() + 1;
         Index <= Each->Log->lastIndex(); ++Index) {
      const Entry &Here = *Each->Log->entryAt(Index);
      const auto Known = Seen.try_emplace({Here.Index, Here.Term}, Here).first;
      require(Known->second == Here,
              "entry " + std::to_string(Index) + " of term " +
                  std::to_string(Here.Term) + " differs on " + Name);
    }
}

} // namespace corianderdyke
