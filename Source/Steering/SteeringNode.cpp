/// \file
/// A control host, for systems in which targets enforce their leadership
/// themselves.

#include "Steering/SteeringNode.h"

#include "Common/Codec.h"

namespace corianderdyke {

namespace {

/// At most half of the shortest interval of the consensus protocol.
constexpr Millis TickInterval(25);
constexpr Millis HeartbeatInterval(100);
/// Five heartbeats, so that a leader whose disk or processor is briefly slow is
/// not replaced.
constexpr Millis ElectionTimeout(500);
/// Interval of the checks of groups and subscribers while leading.
constexpr Millis WatchInterval(50);
constexpr std::size_t CompactAtBytes = 4U << 20U;

ConsensusOptions consensusOptions(const SteeringOptions &From) {
  ConsensusOptions Out;
  Out.Name = From.Name;
  Out.Hosts = From.Seeds;
  Out.HeartbeatInterval = HeartbeatInterval;
  Out.ElectionTimeout = ElectionTimeout;
  Out.Membership = MembershipMode::Open;
  Out.ToleratedDiskLosses = From.ToleratedDiskLosses;
  Out.MayBootstrap = From.MayBootstrap;
  return Out;
}

std::string describe(HeartbeatConflict What) {
  if (What == HeartbeatConflict::Limit)
    return "too many targets of such groups are known";
  return std::string("a target of another group has this ") +
         conflictName(What);
}

} // namespace

SteeringNode::SteeringNode(SteeringOptions Given, SteeringDependencies Deps,
                           ReplicatedLog &Log, std::uint64_t Seed)
    : Options(std::move(Given)), Deps(Deps),
      Agreement(consensusOptions(Options), Log, Seed),
      Coordinator(
          Deps.Time, Directory, State.openOrders(), Deps.TargetCommands,
          Deps.Promotions,
          [this](PromotionCommand Body, CommitHandler OnDone) {
            std::visit(
                [&](auto &Each) {
                  propose({this->Deps.Time.wallTime(), std::move(Each)},
                          std::move(OnDone));
                },
                Body);
          },
          Options.ProcessName),
      ReplayEndIndex(Log.lastIndex()), IsReplayed(ReplayEndIndex == 0) {
  Coordinator.enableRelief(Options.LeadRelief);
  Coordinator.signalProbeStarted().connect([this] {
    for (const auto &[Id, Each] : Subscribers)
      this->Deps.Peers.send(Each.Address, Delivery::Datagram,
                            ReachabilityQuery{});
  });
}

void SteeringNode::start() {
  Directory.declareGroups(State.plan().groupNames());
  Agreement.start(Deps.Time.now());
  Deps.Peers.signalReceived().connect(
      sigc::mem_fun(*this, &SteeringNode::receive));
  processOutputs();
  tick();
}

void SteeringNode::tick() {
  const Millis Now = Deps.Time.now();
  // A change of a leader that leaves could not be confirmed any more.
  if (IsStopping && Changes.empty())
    Agreement.leave();
  Agreement.tick(Now);
  if (Leading && Now - LastWatch >= WatchInterval) {
    LastWatch = Now;
    Directory.purgeGone(Now);
    removeExpiredSubscribers();
    recordTargets();
    recordProxies();
    answerSeats();
    recordSeats();
    Coordinator.tick(State.plan(), Subscribers.size());
  }
  processOutputs();
  Deps.Timers.after(TickInterval, [this] { tick(); });
}

void SteeringNode::receive(const Envelope &Arrived) {
  std::visit([&](const auto &Body) { on(Arrived, Body); }, Arrived.Body);
}

void SteeringNode::on(const Envelope &, const ConsensusMessage &Body) {
  Agreement.receive(Body, Deps.Time.now());
  processOutputs();
}

// Operators and targets.

void SteeringNode::readPlan(PlanHandler OnRead) {
  awaitReadBarrier([this, OnRead](const Expected<void> &Done) {
    if (Done)
      OnRead(&State.plan());
    else
      OnRead(tl::unexpected(Done.error()));
  });
}

void SteeringNode::applyHeartbeat(const TargetRecord &Reported,
                                  DoneHandler OnDone) {
  if (!Leading)
    return OnDone(notLeadingError());
  const HeartbeatConflict Conflict = Directory.conflictOf(Reported);
  if (Conflict != HeartbeatConflict::None) {
    ++RefusedHeartbeats[conflictName(Conflict)];
    HeartbeatRefused.emit(Reported, Conflict);
    return OnDone(fail(ErrorCode::Conflict, "the plan does not name " +
                                                Reported.Group + ": " +
                                                describe(Conflict)));
  }
  Directory.applyHeartbeat(Reported, Deps.Time.now());
  publish();
  // The target takes the answer as a promise that it soon gets no new
  // statements. A leader that is partitioned from the other control hosts, and
  // with them from most proxies, cannot keep this promise, also if the target
  // reports again.
  const auto Confirmed = ConfirmedLeaving.find(Reported.Id);
  if (!Reported.IsLeaving || (Confirmed != ConfirmedLeaving.end() &&
                              Confirmed->second == Reported.Incarnation))
    return OnDone({});
  awaitReadBarrier(
      [this, OnDone, Id = Reported.Id,
       Incarnation = Reported.Incarnation](const Expected<void> &Done) {
        if (Done)
          ConfirmedLeaving[Id] = Incarnation;
        OnDone(Done);
      });
}

void SteeringNode::deregister(const std::string &Target,
                              std::uint64_t Incarnation, DoneHandler OnDone) {
  if (!Leading)
    return OnDone(notLeadingError());
  Directory.deregister(Target, Incarnation, Deps.Time.now());
  ConfirmedLeaving.erase(Target);
  publish();
  OnDone({});
}

void SteeringNode::awaitReadBarrier(const DoneHandler &OnDone) {
  const auto Started = Barriers.await(Agreement, Deps.Time.now(), OnDone);
  if (!Started)
    return OnDone(Started);
  processOutputs();
}

// Heartbeats arrive every second and rarely change anything but the sequence;
// joins, departures and changes of role are rare. All changes since the last
// record go into one entry.
void SteeringNode::recordTargets() {
  if (IsRecordingTargets)
    return;
  RecordTargets Changed;
  for (const auto &[Id, Each] : State.targets())
    if (isDeparted(Each) && !Coordinator.countsDeparted(Each)) {
      Changed.Targets.push_back(Each);
      Changed.Targets.back().IsGone = true;
    }
  const std::uint64_t Revision = Directory.revision();
  for (TargetRecord Each : Directory.changedSince(RecordedRevision)) {
    if (Each.IsGone && Coordinator.countsDeparted(Each))
      Each = departedRecord(Each);
    const auto Recorded = State.targets().find(Each.Id);
    if (Recorded == State.targets().end()
            ? Each.IsGone
            : Each.equalsIgnoringSequence(Recorded->second))
      continue;
    Changed.Targets.push_back(Each);
  }
  if (Changed.Targets.empty()) {
    RecordedRevision = Revision;
    return;
  }
  IsRecordingTargets = true;
  propose({Deps.Time.wallTime(), std::move(Changed)},
          [this, Revision](std::optional<std::uint64_t> Index) {
            IsRecordingTargets = false;
            if (Index)
              RecordedRevision = Revision;
          });
}

// Changes by rolling restarts or the loss of a failure domain are combined in
// one entry.
void SteeringNode::recordProxies() {
  if (IsRecordingProxies || !Proxies.isReady(Deps.Time.now()))
    return;
  RecordProxies Changed = Proxies.unrecordedChanges(State.proxies());
  if (Changed.Present.empty() && Changed.Removed.empty())
    return;
  IsRecordingProxies = true;
  propose({Deps.Time.wallTime(), std::move(Changed)},
          [this](std::optional<std::uint64_t>) { IsRecordingProxies = false; });
}

// Consensus.

void SteeringNode::processOutputs() {
  if (IsProcessingOutputs)
    return;
  IsProcessingOutputs = true;
  do {
    applyOutputs(Agreement.takeOutputs());
    updateLeadership();
    finishChanges();
    publish();
  } while (Agreement.hasOutputs());
  compactIfLong();
  checkConsensusStatus();
  IsProcessingOutputs = false;
  checkDisk();
  answerWaiting();
}

void SteeringNode::checkDisk() {
  const auto &Failure = Agreement.failure();
  if (Failure && Failure->Code != ErrorCode::System)
    return Failed.emit(*Failure);
  if (Failure.has_value() == DiskRefuses)
    return;
  DiskRefuses = Failure.has_value();
  DiskChanged.emit(DiskRefuses ? Failure->Message : "");
}

void SteeringNode::applyOutputs(ConsensusOutputs Outputs) {
  if (Outputs.RestoredState) {
    auto Restored = ReplicatedState::restore(*Outputs.RestoredState);
    if (!Restored)
      return Failed.emit(Restored.error());
    State = std::move(*Restored);
    AppliedIndex = Agreement.log().snapshotIndex();
    PlanIndex = AppliedIndex;
    Directory.declareGroups(State.plan().groupNames());
    checkReplayed();
  }
  for (const Entry &Each : Outputs.Committed) {
    apply(Each);
    checkReplayed();
  }
  Barriers.finish(Outputs);
  for (OutgoingConsensusMessage &Each : Outputs.Messages)
    Deps.Peers.send({Each.To, Options.PeerPort}, Delivery::Stream,
                    std::move(Each.Message));
}

// A snapshot may contain entries beyond those on the disk at the start.
void SteeringNode::checkReplayed() {
  if (AppliedIndex < ReplayEndIndex || std::exchange(IsReplayed, true))
    return;
  Replayed.emit();
}

void SteeringNode::apply(const Entry &Done) {
  AppliedIndex = Done.Index;
  if (Done.Kind == EntryKind::Command) {
    const auto Command = decode<ReplicatedCommand>(Done.Bytes);
    // Skipping an entry that the other hosts apply would make this host's state
    // diverge.
    if (!Command)
      return Failed.emit(Command.error());
    const std::uint64_t Before = State.plan().Version;
    if (State.apply(Done.Index, *Command) && Done.Index > ReplayEndIndex)
      Audited.emit(State.audit().back());
    if (State.plan().Version != Before) {
      PlanIndex = Done.Index;
      Directory.declareGroups(State.plan().groupNames());
    }
    if (Leading && State.plan().Version != Before)
      for (auto &[Id, Each] : Subscribers) {
        Each.PlanSentAt = Millis(-1000000);
        bringUpToDate(Each);
      }
  }
  const auto Waiting = Changes.find(Done.Index);
  if (Waiting == Changes.end())
    return;
  if (Waiting->second.Term == Done.Term) {
    Waiting->second.IsCommitted = true;
    return;
  }
  const CommitHandler OnDone = std::move(Waiting->second.OnDone);
  Changes.erase(Waiting);
  OnDone(std::nullopt);
}

void SteeringNode::updateLeadership() {
  if (!Agreement.isLeader())
    failChanges();
  if (Agreement.isReadyLeader() == Leading)
    return;
  Leading = Agreement.isReadyLeader();
  ConfirmedLeaving.clear();
  LeadingSince = Deps.Time.now();
  Subscribers.clear();
  Proxies.startTerm(State.proxies(), LeadingSince);
  Seats.startTerm(Agreement.term(), State.seats(), LeadingSince);
  SeatRequests.clear();
  IsConfirmingSeats = false;
  IsRecordingSeats = false;
  Published = {};
  if (Leading) {
    std::vector<TargetRecord> Known;
    std::vector<TargetRecord> Departed;
    for (const auto &[Id, Each] : State.targets())
      (isDeparted(Each) ? Departed : Known).push_back(Each);
    Directory.merge(Known, Deps.Time.now());
    Directory.beginTerm(Agreement.term());
    IsRecordingTargets = false;
    RecordedRevision = 0;
    IsRecordingProxies = false;
    Coordinator.startLeading(Departed);
  } else {
    Coordinator.stopLeading();
    Barriers.failAll();
  }
  Leadership.emit(Leading);
}

void SteeringNode::checkConsensusStatus() {
  if (LastRole == Agreement.role() && LastTerm == Agreement.term() &&
      LastVoters == Agreement.voters())
    return;
  LastRole = Agreement.role();
  LastTerm = Agreement.term();
  LastVoters = Agreement.voters();
  ConsensusStatusChanged.emit();
}

void SteeringNode::compactIfLong() {
  if (Agreement.log().journalBytes() >= CompactAtBytes)
    Agreement.compact(AppliedIndex, encode(State));
}

} // namespace corianderdyke
