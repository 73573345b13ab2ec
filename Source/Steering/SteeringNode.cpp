/// \file
/// A control host where targets enforce their leadership themselves.

#include "Steering/SteeringNode.h"

#include "Common/Codec.h"

namespace corianderdyke {

namespace {

/// Half of the shortest interval of the agreement.
constexpr Millis TickInterval(25);
constexpr Millis HeartbeatInterval(100);
/// Five heartbeats: a host whose disk or processor is slow for a moment isn't
/// replaced at once.
constexpr Millis ElectionTimeout(500);
/// Groups are looked at this often while leading.
constexpr Millis WatchInterval(50);
constexpr std::size_t CompactAtBytes = 4U << 20U;
/// All hosts of a new system have started and joined within this time.
constexpr Millis FormingPatience(5000);

ConsensusOptions consensusOptions(const SteeringOptions &From) {
  ConsensusOptions Out;
  Out.Name = From.Name;
  Out.Hosts = From.Seeds;
  Out.HeartbeatInterval = HeartbeatInterval;
  Out.ElectionTimeout = ElectionTimeout;
  Out.Membership = GroupPolicyKind::Open;
  Out.MayFound = From.MayFound;
  return Out;
}

tl::unexpected<Error> notLeading() {
  return fail(ErrorCode::Unavailable, "this control host doesn't lead");
}

} // namespace

SteeringNode::SteeringNode(SteeringOptions Given, SteeringPorts Ports,
                           ReplicatedLog &Log, std::uint64_t Seed)
    : Options(std::move(Given)), Ports(Ports),
      Agreement(consensusOptions(Options), Log, Seed),
      Coordinator(
          Ports.Time, Directory, Ports.Orders, Ports.Promotions,
          [this](OrderPromotion Body, Committed OnDone) {
            propose({this->Ports.Time.wallTime(), std::move(Body)},
                    std::move(OnDone));
          },
          Options.Process),
      RecalledIndex(Log.lastIndex()), IsRecalled(RecalledIndex == 0) {
  Coordinator.signalLookedInto().connect([this] {
    for (const auto &[Id, Each] : Followers)
      this->Ports.Peers.send(Each.Address, Delivery::Datagram, TellSightings{});
  });
}

void SteeringNode::start() {
  Agreement.start(Ports.Time.now());
  Ports.Peers.signalReceived().connect(
      sigc::mem_fun(*this, &SteeringNode::receive));
  settle();
  tick();
}

void SteeringNode::tick() {
  const Millis Now = Ports.Time.now();
  Agreement.tick(Now);
  if (Leading && Now - LastWatch >= WatchInterval) {
    LastWatch = Now;
    Directory.forgetGone(Now);
    dropSilentFollowers();
    noteTargets();
    noteProxies();
    answerSeats();
    noteSeats();
    Coordinator.tick(State.plan(), Followers.size());
  }
  settle();
  Ports.Timers.after(TickInterval, [this] { tick(); });
}

void SteeringNode::receive(const Envelope &Arrived) {
  std::visit([&](const auto &Body) { on(Arrived, Body); }, Arrived.Body);
}

void SteeringNode::on(const Envelope &, const ConsensusMessage &Body) {
  Agreement.receive(Body, Ports.Time.now());
  settle();
}

// Operators and targets.

void SteeringNode::accept(RoutePlan Plan, DoneHandler OnDone) {
  if (!Leading)
    return OnDone(notLeading());
  // What was overtaken, or comes again, changes nothing.
  if (Plan.Version <= State.plan().Version)
    return OnDone({});
  propose({Ports.Time.wallTime(), AcceptPlan{std::move(Plan)}},
          [OnDone](std::optional<std::uint64_t> Index) {
            if (Index)
              OnDone({});
            else
              OnDone(fail(ErrorCode::Unavailable,
                          "leadership moved before the change was kept; send "
                          "it again"));
          });
}

void SteeringNode::readPlan(PlanHandler OnRead) {
  barrier([this, OnRead](const Expected<void> &Done) {
    if (Done)
      OnRead(&State.plan());
    else
      OnRead(tl::unexpected(Done.error()));
  });
}

void SteeringNode::hear(const TargetRecord &Said, DoneHandler OnDone) {
  if (!Leading)
    return OnDone(notLeading());
  const TargetRecord *Known = Directory.find(Said.Id);
  const bool IsPromise =
      Said.IsLeaving &&
      (Known == nullptr || !Known->IsLeaving || Known->BornAt < Said.BornAt);
  Directory.hear(Said, Ports.Time.now());
  publish();
  // The target takes the answer for a promise that it gets nothing new soon.
  // A leader that is cut off from the others, and from most proxies with
  // them, can't keep that.
  if (IsPromise)
    return barrier(OnDone);
  OnDone({});
}

void SteeringNode::forget(const std::string &Target, std::uint64_t BornAt,
                          DoneHandler OnDone) {
  if (!Leading)
    return OnDone(notLeading());
  Directory.leave(Target, BornAt, Ports.Time.now());
  publish();
  OnDone({});
}

void SteeringNode::barrier(const DoneHandler &OnDone) {
  const auto Begun = Barriers.await(Agreement, Ports.Time.now(), OnDone);
  if (!Begun)
    return OnDone(Begun);
  settle();
}

// Heartbeats come every second and change nothing; joining, leaving and
// changes of role are few. All since the last note go into one entry.
void SteeringNode::noteTargets() {
  if (IsNoting || NotedTo == Directory.revision())
    return;
  NoteTargets News;
  const std::uint64_t Revision = Directory.revision();
  for (const TargetRecord &Each : Directory.changedSince(NotedTo)) {
    const auto Noted = State.targets().find(Each.Id);
    if (Noted == State.targets().end() ? Each.IsGone
                                       : Each.saysTheSame(Noted->second))
      continue;
    News.Targets.push_back(Each);
  }
  if (News.Targets.empty()) {
    NotedTo = Revision;
    return;
  }
  IsNoting = true;
  propose({Ports.Time.wallTime(), std::move(News)},
          [this, Revision](std::optional<std::uint64_t> Index) {
            IsNoting = false;
            if (Index)
              NotedTo = Revision;
          });
}

// Restarts in turn and whole failure domains come together in one entry.
void SteeringNode::noteProxies() {
  if (IsNotingProxies || !Proxies.isSettled(Ports.Time.now()))
    return;
  NoteProxies News = Proxies.news(State.proxies());
  if (News.Present.empty() && News.Gone.empty())
    return;
  IsNotingProxies = true;
  propose({Ports.Time.wallTime(), std::move(News)},
          [this](std::optional<std::uint64_t>) { IsNotingProxies = false; });
}

// The agreement.

void SteeringNode::propose(AgreedCommand Command, Committed OnDone) {
  const auto Index = Agreement.propose(encode(Command), Ports.Time.now());
  if (!Index)
    return OnDone(std::nullopt);
  Changes[*Index] = {Agreement.term(), false, std::move(OnDone)};
  settle();
}

void SteeringNode::settle() {
  if (Settling)
    return;
  Settling = true;
  do {
    carryOut(Agreement.takeOutputs());
    noticeLeadership();
    finishChanges();
    publish();
  } while (Agreement.hasOutputs());
  compactIfLong();
  noticeStanding();
  Settling = false;
  noticeDisk();
  answerWaiting();
}

void SteeringNode::noticeDisk() {
  const auto &Failure = Agreement.failure();
  if (Failure && Failure->Code != ErrorCode::System)
    return Failed.emit(*Failure);
  if (Failure.has_value() == DiskRefuses)
    return;
  DiskRefuses = Failure.has_value();
  DiskChanged.emit(DiskRefuses ? Failure->Message : "");
}

void SteeringNode::carryOut(ConsensusOutputs Outputs) {
  if (Outputs.RestoredState) {
    auto Restored = decode<AgreedState>(*Outputs.RestoredState);
    if (!Restored)
      return Failed.emit(Restored.error());
    State = std::move(*Restored);
    AppliedIndex = Agreement.log().snapshotIndex();
    noticeRecalled();
  }
  for (const Entry &Each : Outputs.Committed) {
    apply(Each);
    noticeRecalled();
  }
  Barriers.finish(Outputs);
  for (OutgoingConsensus &Each : Outputs.Messages)
    Ports.Peers.send({Each.To, Options.PeerPort}, Delivery::Stream,
                     std::move(Each.Message));
}

// A snapshot may hold more than the disk did at the start.
void SteeringNode::noticeRecalled() {
  if (AppliedIndex < RecalledIndex || std::exchange(IsRecalled, true))
    return;
  Recalled.emit();
}

void SteeringNode::apply(const Entry &Done) {
  AppliedIndex = Done.Index;
  if (Done.Kind == EntryKind::Command) {
    const auto Command = decode<AgreedCommand>(Done.Bytes);
    // To pass over a change that the others make would give this host another
    // state than theirs.
    if (!Command)
      return Failed.emit(Command.error());
    const std::uint64_t Before = State.plan().Version;
    if (State.apply(Done.Index, *Command) && Done.Index > RecalledIndex)
      Audited.emit(State.audit().back());
    if (Leading && State.plan().Version != Before)
      for (auto &[Id, Each] : Followers) {
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
  const Committed OnDone = std::move(Waiting->second.OnDone);
  Changes.erase(Waiting);
  OnDone(std::nullopt);
}

bool SteeringNode::isKept(std::uint64_t Index) const {
  if (Agreement.outlives(Index, Options.LostDisksBorne))
    return true;
  // A system with fewer hosts than the bound asks for can't bear that loss at
  // all; its operators aren't kept waiting for it for good.
  const std::size_t Most = (Agreement.voters().size() - 1) / 2;
  return Ports.Time.now() - LeadingSince > FormingPatience &&
         Most < Options.LostDisksBorne && Agreement.outlives(Index, Most);
}

void SteeringNode::finishChanges() {
  for (auto Each = Changes.begin(); Each != Changes.end();) {
    if (!Each->second.IsCommitted || !isKept(Each->first)) {
      ++Each;
      continue;
    }
    const std::uint64_t Index = Each->first;
    const Committed OnDone = std::move(Each->second.OnDone);
    Each = Changes.erase(Each);
    OnDone(Index);
    // The handler may have proposed another.
    Each = Changes.upper_bound(Index);
  }
}

void SteeringNode::failChanges() {
  const auto Waiting = std::exchange(Changes, {});
  for (const auto &[Index, Change] : Waiting)
    Change.OnDone(std::nullopt);
}

void SteeringNode::noticeLeadership() {
  if (!Agreement.isLeader() && !Changes.empty())
    failChanges();
  if (Agreement.isSettledLeader() == Leading)
    return;
  Leading = Agreement.isSettledLeader();
  LeadingSince = Ports.Time.now();
  Followers.clear();
  Proxies.begin(State.proxies(), LeadingSince);
  Seats.begin(Agreement.term(), State.seats(), LeadingSince);
  SeatRequests.clear();
  IsConfirmingSeats = false;
  IsNotingSeats = false;
  Published = {};
  if (Leading) {
    std::vector<TargetRecord> Known;
    for (const auto &[Id, Each] : State.targets())
      Known.push_back(Each);
    Directory.merge(Known, Ports.Time.now());
    Directory.beginTerm(Agreement.term());
    IsNoting = false;
    NotedTo = 0;
    IsNotingProxies = false;
    Coordinator.begin();
  } else {
    Coordinator.end();
    Barriers.failAll();
  }
  Leadership.emit(Leading);
}

void SteeringNode::noticeStanding() {
  if (LastRole == Agreement.role() && LastTerm == Agreement.term() &&
      LastVoters == Agreement.voters())
    return;
  LastRole = Agreement.role();
  LastTerm = Agreement.term();
  LastVoters = Agreement.voters();
  Standing.emit();
}

void SteeringNode::compactIfLong() {
  if (Agreement.log().journalBytes() >= CompactAtBytes)
    Agreement.compact(AppliedIndex, encode(State));
}

} // namespace corianderdyke
