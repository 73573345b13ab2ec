/// \file
/// A control host where targets enforce their leadership themselves.

#include "Steering/SteeringNode.h"

#include "Common/Codec.h"
#include "Organisations/OrganisationTable.h"

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
/// Between two rounds of news on targets: a few percent of the time in which
/// proxies must have stopped to use one that leaves.
constexpr Millis PublishInterval(50);
/// Between two confirmations of this host's lead for requests for seats.
constexpr Millis SeatsPause(50);
/// What a follower didn't confirm is sent again after this long.
constexpr Millis SendAgainAfter(400);
/// A proxy that asked longer ago has asked again by now.
constexpr Millis WaitingKept(500);
/// A proxy that wasn't heard for this long doesn't count any more.
constexpr Millis FollowerKept(3000);
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

// Proxies.

void SteeringNode::on(const Envelope &From, const FollowRequest &Body) {
  if (!Leading && (leader().empty() || leader() == Options.Name)) {
    Waiting[Body.Proxy] = {From, Ports.Time.now()};
    return;
  }
  if (!Leading) {
    Ports.Peers.send(From.ReplyTo, Delivery::Datagram,
                     FollowElsewhere{leader()});
    return;
  }
  // A restarted proxy counts once.
  std::erase_if(Followers, [&Body](const auto &Each) {
    return Each.first.Name == Body.Proxy.Name && Each.first != Body.Proxy;
  });
  Follower &Known = Followers[Body.Proxy];
  Known.Address = From.ReplyTo;
  Known.LastHeard = Ports.Time.now();
  Known.PlanVersion = Body.PlanVersion;
  Known.Directory = Body.Directory;
  Known.Proxies = Body.Proxies;
  Proxies.hear(Body.Self, Body.IsLeaving, Ports.Time.now());
  Coordinator.noteSightings(Body.Proxy, Body.Sightings);
  bringUpToDate(Known);
  takeSeatRequest(From, Body);
  if (!Body.NeedsProof)
    return answer(From.ReplyTo, Body, false);
  barrier([this, To = From.ReplyTo, Body](const Expected<void> &Done) {
    if (Done)
      answer(To, Body, true);
  });
}

// Load pattern: all processes start together, and every proxy asks before
// there is a leader. If each waited for its next turn to ask, callers would
// find no proxy that serves for up to 150 ms longer.
void SteeringNode::answerWaiting() {
  if (Waiting.empty() ||
      (!Leading && (leader().empty() || leader() == Options.Name)))
    return;
  for (const auto &[Proxy, Each] : std::exchange(Waiting, {}))
    if (Ports.Time.now() - Each.Since < WaitingKept)
      receive(Each.Said);
}

void SteeringNode::answer(const Endpoint &To, const FollowRequest &Request,
                          bool Proven) {
  Ports.Peers.send(
      To, Delivery::Datagram,
      FollowReply{Request.Sequence, Proven, State.plan().Version, members(),
                  Proxies.isSettled(Ports.Time.now())
                      ? static_cast<std::uint32_t>(
                            std::max(Followers.size(), Proxies.size()))
                      : 0});
}

std::vector<std::string> SteeringNode::members() const {
  std::vector<std::string> Out;
  for (const Member &Each : Agreement.voters())
    Out.push_back(Each.Name);
  return Out;
}

void SteeringNode::bringUpToDate(Follower &To) {
  const Millis Now = Ports.Time.now();
  // Ahead of the plan: with it a proxy begins to open connections, and must
  // know how many others do.
  if (Proxies.isSettled(Now) && To.Proxies != proxiesVersion() &&
      Now - To.ProxiesSentAt >= SendAgainAfter) {
    To.ProxiesSentAt = Now;
    Ports.Peers.send(To.Address, Delivery::Stream, proxyListUpdate(To.Proxies));
  }
  if (To.PlanVersion < State.plan().Version &&
      Now - To.PlanSentAt >= SendAgainAfter) {
    To.PlanSentAt = Now;
    Ports.Peers.send(To.Address, Delivery::Stream, planUpdate());
  }
  if (To.Directory != directoryVersion() &&
      Now - To.DirectorySentAt >= SendAgainAfter)
    sendDirectory(To, To.Directory);
}

const PreparedMessage &SteeringNode::planUpdate() {
  if (SharedPlanVersion != State.plan().Version) {
    SharedPlanVersion = State.plan().Version;
    SharedPlan = Ports.Peers.prepare(
        PlanUpdate{withoutKeys(State.plan(), Options.KeySecret)});
  }
  return SharedPlan;
}

const PreparedMessage &
SteeringNode::SharedUpdates::of(const DirectoryVersion &From,
                                const DirectoryVersion &Version,
                                const std::function<PreparedMessage()> &Make) {
  if (To != Version) {
    To = Version;
    ByFrom.clear();
  }
  const auto Known = ByFrom.find(From);
  return Known != ByFrom.end() ? Known->second
                               : ByFrom.emplace(From, Make()).first->second;
}

// What another leader counted says nothing here.
DirectoryVersion SteeringNode::baseOf(const DirectoryVersion &Known) const {
  return Known.Term == Agreement.term() ? Known : DirectoryVersion{};
}

const PreparedMessage &
SteeringNode::directoryUpdate(const DirectoryVersion &Known) {
  const DirectoryVersion From = baseOf(Known);
  return SharedDirectory.of(From, directoryVersion(), [&] {
    return Ports.Peers.prepare(DirectoryUpdate{
        From, directoryVersion(),
        From == DirectoryVersion{} ? Directory.all()
                                   : Directory.changedSince(From.Revision)});
  });
}

const PreparedMessage &
SteeringNode::proxyListUpdate(const DirectoryVersion &Known) {
  const DirectoryVersion From = baseOf(Known);
  return SharedProxies.of(From, proxiesVersion(), [&] {
    NoteProxies Changed;
    if (From == DirectoryVersion{})
      Changed.Present = Proxies.all();
    else
      Changed = Proxies.changedSince(From.Revision);
    return Ports.Peers.prepare(ProxyListUpdate{From, proxiesVersion(),
                                               std::move(Changed.Present),
                                               std::move(Changed.Gone)});
  });
}

void SteeringNode::sendDirectory(Follower &To, const DirectoryVersion &Known) {
  To.DirectorySentAt = Ports.Time.now();
  To.DirectorySent = directoryVersion();
  Ports.Peers.send(To.Address, Delivery::Datagram, directoryUpdate(Known));
}

// Load pattern: hundreds of targets say that they are there within a second.
// All that changed within one interval goes out together.
void SteeringNode::publish() {
  const Millis Now = Ports.Time.now();
  if (!Leading || Published == directoryVersion() ||
      Now - PublishedAt < PublishInterval)
    return;
  const DirectoryVersion Before = std::exchange(Published, directoryVersion());
  PublishedAt = Now;
  for (auto &[Id, Each] : Followers)
    sendDirectory(Each, Each.DirectorySent);
  // A successor starts with what this leader knew.
  const PreparedMessage &Update = directoryUpdate(Before);
  for (const std::string &Host : members())
    if (Host != Options.Name)
      Ports.Peers.send({Host, Options.PeerPort}, Delivery::Datagram, Update);
}

void SteeringNode::on(const Envelope &, const DirectoryUpdate &Body) {
  Directory.merge(Body.Targets, Ports.Time.now());
}

void SteeringNode::takeSeatRequest(const Envelope &From,
                                   const FollowRequest &Body) {
  if (Body.Seats.Sequence == 0)
    return;
  SeatRequests[Body.Proxy] = {From.ReplyTo, Body.Seats};
  answerSeats();
}

// One confirmation of this host's lead serves all requests that came before
// it: it costs a message to each control host and back.
void SteeringNode::answerSeats() {
  const Millis Now = Ports.Time.now();
  if (SeatRequests.empty() || IsConfirmingSeats ||
      Now - SeatsAnsweredAt < SeatsPause)
    return;
  SeatsAnsweredAt = Now;
  IsConfirmingSeats = true;
  barrier(
      [this, ReceivedAt = Now, Term = Agreement.term(),
       Requests = std::exchange(SeatRequests, {})](const Expected<void> &Done) {
        if (Term != Agreement.term())
          return;
        IsConfirmingSeats = false;
        if (!Done)
          return;
        for (const auto &[Proxy, Each] : Requests)
          if (auto Grant = Seats.answer(Proxy, Each.Request, ReceivedAt))
            Ports.Peers.send(Each.From, Delivery::Datagram, std::move(*Grant));
      });
}

void SteeringNode::noteSeats() {
  if (IsNotingSeats)
    return;
  NotedSeats News = Seats.takeNews();
  if (News.empty())
    return;
  IsNotingSeats = true;
  propose({Ports.Time.wallTime(), NoteSeats{News}},
          [this, News](std::optional<std::uint64_t> Index) {
            IsNotingSeats = false;
            if (Index)
              Seats.noted(News, Ports.Time.now());
          });
}

void SteeringNode::dropSilentFollowers() {
  for (auto Each = Followers.begin(); Each != Followers.end();)
    if (Ports.Time.now() - Each->second.LastHeard > FollowerKept)
      Each = Followers.erase(Each);
    else
      ++Each;
  Proxies.dropSilent(Ports.Time.now(), FollowerKept);
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
