/// \file
/// A control host: the agreement, what it decides, and who must know.

#include "Control/ControlNode.h"

#include "Common/Codec.h"

namespace corianderdyke {

namespace {

constexpr Millis TickInterval(10);
/// A proxy that is still behind this long after something went to it didn't
/// get it, or couldn't use it.
constexpr Millis SendViewAgainAfter(60);
constexpr std::size_t CompactAtBytes = 4U << 20U;
/// A proxy is forgotten this many lease durations after it was last heard.
constexpr std::int64_t RemoveAfterLeases = 10;
constexpr const char *SystemActor = "control";

ConsensusOptions consensusOptions(const Settings &From) {
  ConsensusOptions Out;
  Out.Name = From.Name;
  for (const ControlHost &Each : From.ControlHosts)
    Out.Hosts.push_back(Each.Name);
  return Out;
}

} // namespace

ControlNode::ControlNode(const Settings &Options, ControlDependencies Deps,
                         ReplicatedLog &Log, std::uint64_t Seed)
    : Options(Options), Deps(Deps),
      Agreement(consensusOptions(Options), Log, Seed), Orders(Deps.Connector) {}

void ControlNode::start() {
  Agreement.start(Deps.Time.now());
  Deps.Peers.signalReceived().connect(
      sigc::mem_fun(*this, &ControlNode::receive));
  processOutputs();
  tick();
}

void ControlNode::tick() {
  Agreement.tick(Deps.Time.now());
  if (Leading) {
    removeExpiredProxies();
    removeExpiredTargets();
  }
  processOutputs();
  Deps.Timers.after(TickInterval, [this] { tick(); });
}

void ControlNode::receive(const Envelope &Arrived) {
  std::visit([&](const auto &Body) { on(Arrived, Body); }, Arrived.Body);
}

void ControlNode::on(const Envelope &, const ConsensusMessage &Body) {
  Agreement.receive(Body, Deps.Time.now());
  processOutputs();
}

void ControlNode::on(const Envelope &From, const LeaseRequest &Body) {
  const Millis Now = Deps.Time.now();
  const PendingLease To{Body, From.ReplyTo, Now};
  const bool IsRegistered = State.view().Proxies.count(Body.Proxy) != 0;
  const auto Begun = Reads.await(
      Agreement, Now, [this, To, IsRegistered](const Expected<void> &Done) {
        if (Done && IsRegistered)
          grant(To);
      });
  if (!Begun) {
    Deps.Peers.send(From.ReplyTo, Delivery::Datagram,
                    NotLeader{Agreement.leader()});
    return;
  }
  Leases.recordRequest(Body, From.ReplyTo, Now);
  if (!IsRegistered) {
    // A life that was removed for silence and speaks again is registered
    // anew: whatever lease it held has run out.
    propose(SystemActor, RegisterProxy{Body.Proxy, Body.ProxyLocality},
            [](const Expected<ApplyResult> &) {});
    return;
  }
  processOutputs();
}

void ControlNode::on(const Envelope &, const ViewApplied &Body) {
  Leases.recordApplied(Body.Proxy, Body.Revision);
  processOutputs();
}

void ControlNode::on(const Envelope &, const ForwardedAnnouncement &Body) {
  if (!Leading)
    return;
  auto Proposal =
      Announcements.evaluate(State.view(), Body.Target, Deps.Time.now());
  if (Proposal)
    propose(SystemActor, std::move(*Proposal),
            [](const Expected<ApplyResult> &) {});
}

void ControlNode::on(const Envelope &From, const RightsRequest &Body) {
  const Millis Now = Deps.Time.now();
  // Without the quorum's word a former leader, cut off, would go on renewing
  // rights that its successor has waited out.
  const PendingRights To{Body, From.ReplyTo, Now};
  const auto Begun =
      Reads.await(Agreement, Now, [this, To](const Expected<void> &Done) {
        if (Done)
          grantRights(To);
      });
  if (Begun)
    processOutputs();
}

void ControlNode::grantRights(const PendingRights &To) {
  const auto Grant =
      Connections.handleRequest(To.Request, State.view(), To.ReceivedAt);
  if (Grant)
    Deps.Peers.send(To.ReplyTo, Delivery::Datagram, *Grant);
}

void ControlNode::propose(std::string Actor, CommandBody Body,
                          ChangeHandler OnDone) {
  const Command Entry{std::move(Actor), Deps.Time.wallTime(), std::move(Body)};
  await(Agreement.propose(encode(Entry), Deps.Time.now()), std::move(OnDone));
}

void ControlNode::addControlHost(const std::string &Name,
                                 ChangeHandler OnDone) {
  await(Agreement.addVoter(Name, Deps.Time.now()), std::move(OnDone));
}

void ControlNode::removeControlHost(const std::string &Name,
                                    ChangeHandler OnDone) {
  await(Agreement.removeVoter(Name, Deps.Time.now()), std::move(OnDone));
}

void ControlNode::await(const Expected<std::uint64_t> &Index,
                        ChangeHandler OnDone) {
  if (!Index) {
    OnDone(tl::unexpected(Index.error()));
    return;
  }
  Changes[*Index] = {Agreement.term(), std::move(OnDone)};
  processOutputs();
}

void ControlNode::readLatest(const ReadHandler &OnRead) {
  const auto Answer = [this, OnRead](const Expected<void> &Done) {
    if (Done)
      OnRead(&State);
    else
      OnRead(tl::unexpected(Done.error()));
  };
  const auto Begun = Reads.await(Agreement, Deps.Time.now(), Answer);
  if (!Begun)
    return Answer(Begun);
  processOutputs();
}

bool ControlNode::isInForce(std::uint64_t Revision) const {
  return Leases.isInForce(State.view(), Revision, Deps.Time.now());
}

void ControlNode::processOutputs() {
  // Handlers called below may come back here; the outer call goes on until
  // nothing is left.
  if (ProcessingOutputs)
    return;
  ProcessingOutputs = true;
  do {
    applyOutputs(Agreement.takeOutputs());
    updateLeadership();
    publish();
    if (Leading)
      runFailover();
  } while (Agreement.hasOutputs());
  compactIfLong();
  ProcessingOutputs = false;
  updateDiskStatus();
}

void ControlNode::updateDiskStatus() {
  const auto &Failure = Agreement.failure();
  if (Failure && Failure->Code != ErrorCode::System)
    return Failed.emit(*Failure);
  if (Failure.has_value() == DiskRefuses)
    return;
  DiskRefuses = Failure.has_value();
  DiskChanged.emit(DiskRefuses ? Failure->Message : "");
}

void ControlNode::applyOutputs(ConsensusOutputs Outputs) {
  if (Outputs.RestoredState) {
    auto Restored = decode<ControlState>(*Outputs.RestoredState);
    if (!Restored)
      return Failed.emit(Restored.error());
    State = std::move(*Restored);
    AppliedIndex = Agreement.log().snapshotIndex();
  }
  for (const Entry &Each : Outputs.Committed)
    apply(Each);
  Reads.finish(Outputs);
  for (OutgoingConsensusMessage &Each : Outputs.Messages)
    for (const ControlHost &Host : Options.ControlHosts)
      if (Host.Name == Each.To)
        Deps.Peers.send(Host.PeerEndpoint, Delivery::Stream,
                        std::move(Each.Message));
}

void ControlNode::apply(const Entry &Committed) {
  AppliedIndex = Committed.Index;
  std::optional<ApplyResult> Result;
  if (Committed.Kind == EntryKind::Command) {
    const auto Entry = decode<Command>(Committed.Bytes);
    // To pass over a change that the others make would give this host another
    // state than theirs under the same revision.
    if (!Entry)
      return Failed.emit(Entry.error());
    Result = State.apply(Committed.Index, *Entry);
  } else if (Committed.Kind == EntryKind::Membership) {
    const auto Voters = decode<Members>(Committed.Bytes);
    if (!Voters)
      return Failed.emit(Voters.error());
    Result = State.recordControlHosts(Committed.Index, describe(*Voters));
  }
  // The trail is cut at its other end, so its length says nothing.
  if (!State.audit().empty() &&
      State.audit().back().Revision == Committed.Index)
    Audited.emit(State.audit().back());
  const auto Waiting = Changes.find(Committed.Index);
  if (Waiting == Changes.end())
    return;
  const PendingChange Change = std::move(Waiting->second);
  Changes.erase(Waiting);
  if (Change.Term != Committed.Term || !Result)
    Change.OnDone(fail(ErrorCode::Unavailable,
                       "another leader's entry took the place of this one"));
  else
    Change.OnDone(*Result);
}

void ControlNode::grant(const PendingLease &To) {
  const ClusterView &View = State.view();
  // Before the first manifest there is nothing to serve.
  if (!View.CurrentManifest || View.Proxies.count(To.Request.Proxy) == 0)
    return;
  const LeaseGrant Grant{
      To.Request.Proxy, To.Request.Sequence, To.Request.SentAt,
      View.CurrentManifest->Failover.LeaseDuration, View.Revision};
  Leases.recordGrant(Grant, To.ReceivedAt,
                     View.CurrentManifest->Failover.ClockDriftPpm);
  Deps.Peers.send(To.ReplyTo, Delivery::Datagram, Grant);
  if (To.Request.AppliedRevision < View.Revision)
    sendView(To.Request.Proxy, To.ReplyTo);
}

void ControlNode::updateLeadership() {
  // Also one that never settled may have taken changes in: without an answer
  // their operators would wait for good.
  if (!Agreement.isLeader())
    failPending();
  if (Agreement.isReadyLeader() == Leading)
    return;
  Leading = Agreement.isReadyLeader();
  if (Leading) {
    Leases.startTerm(State.view(), Deps.Time.now());
    Failover.reset();
    Announcements.reset(State.view(), Deps.Time.now());
    Connections.startTerm(Agreement.term(), State.view(), Deps.Time.now());
    Published = State.view();
    SentAt.clear();
  }
  Leadership.emit(Leading);
}

void ControlNode::failPending() {
  Reads.failAll();
  const auto Waiting = std::exchange(Changes, {});
  for (const auto &[Index, Change] : Waiting)
    Change.OnDone(fail(ErrorCode::Unavailable,
                       "leadership moved before the change was committed; it "
                       "may or may not take place: send it again"));
}

void ControlNode::publish() {
  if (!Leading || State.view().Revision == Published.Revision)
    return;
  const ViewDelta Delta = computeDelta(Published, State.view());
  Published = State.view();
  const Millis Now = Deps.Time.now();
  for (const auto &[Id, Holder] : Leases.holders()) {
    if (Holder.ReplyTo.Port == 0 || Published.Proxies.count(Id) == 0)
      continue;
    // A proxy that isn't at the delta's base ignores it, goes on asking with
    // its old revision, and gets the whole view.
    Deps.Peers.send(Holder.ReplyTo, Delivery::Stream, Delta);
    SentAt[Id] = Now;
  }
}

void ControlNode::sendView(const ProcessId &Proxy, const Endpoint &To) {
  const Millis Now = Deps.Time.now();
  const auto Last = SentAt.find(Proxy);
  if (Last != SentAt.end() && Now - Last->second < SendViewAgainAfter)
    return;
  SentAt[Proxy] = Now;
  Deps.Peers.send(To, Delivery::Stream, ViewUpdate{State.view()});
}

void ControlNode::runFailover() {
  FailoverActions Actions =
      Failover.step(State.view(), Leases, Deps.Time.now());
  for (CommandBody &Each : Actions.Proposals)
    propose(SystemActor, std::move(Each), [](const Expected<ApplyResult> &) {});
  for (const TargetOrderRequest &Each : Actions.Orders)
    Orders.send(Each, [this, Each](const TargetPosition &Answer) {
      Failover.recordAnswer(Each, Answer);
      processOutputs();
    });
}

void ControlNode::removeExpiredProxies() {
  if (!State.view().CurrentManifest)
    return;
  const Millis Now = Deps.Time.now();
  const Millis Silence =
      State.view().CurrentManifest->Failover.LeaseDuration * RemoveAfterLeases;
  for (const auto &[Id, Where] : State.view().Proxies) {
    const auto Known = Leases.holders().find(Id);
    const auto End = Leases.expiry(Id);
    // A new leader waits for those that are registered: whoever may still
    // have connections open is one of them.
    const bool Expired =
        (!End || *End < Now) && !Connections.mayHoldConnections(Id, Now);
    const bool Silent = Known == Leases.holders().end() ||
                        Now - Known->second.LastRequestAt > Silence;
    const auto Proposed = ProposedRemoval.find(Id);
    if (!Expired || !Silent ||
        (Proposed != ProposedRemoval.end() && Now - Proposed->second < Silence))
      continue;
    ProposedRemoval[Id] = Now;
    propose(SystemActor, RemoveProxy{Id}, [](const Expected<ApplyResult> &) {});
    return;
  }
}

void ControlNode::removeExpiredTargets() {
  for (RemoveTarget &Each :
       Announcements.expired(State.view(), Leases, Deps.Time.now()))
    propose(SystemActor, std::move(Each), [](const Expected<ApplyResult> &) {});
}

void ControlNode::compactIfLong() {
  if (Agreement.log().journalBytes() > CompactAtBytes)
    Agreement.compact(AppliedIndex, encode(State));
}

} // namespace corianderdyke
