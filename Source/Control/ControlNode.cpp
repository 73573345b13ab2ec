/// \file
/// A control host: consensus, the replicated state, leases, failover and the
/// distribution of views to proxies.

#include "Control/ControlNode.h"

#include "Common/Codec.h"

namespace corianderdyke {

namespace {

constexpr Millis TickInterval(10);
/// A proxy that is still behind this long after a view or delta was sent to it
/// did not receive it or could not apply it.
constexpr Millis ViewRetryInterval(60);
constexpr std::size_t CompactAtBytes = 4U << 20U;
/// A silent proxy is removed this many lease durations after its last request.
constexpr std::int64_t RemovalLeaseCount = 10;
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
  const PendingLease Pending{Body, From.ReplyTo, Now};
  const bool IsRegistered = State.view().Proxies.count(Body.Proxy) != 0;
  const auto Begun =
      Reads.await(Agreement, Now,
                  [this, Pending, IsRegistered](const Expected<void> &Done) {
                    if (Done && IsRegistered)
                      grant(Pending);
                  });
  if (!Begun) {
    Deps.Peers.send(From.ReplyTo, Delivery::Datagram,
                    NotLeader{Agreement.leader()});
    return;
  }
  Leases.recordRequest(Body, From.ReplyTo, Now);
  if (!IsRegistered) {
    // An incarnation that was removed for silence and sends requests again is
    // registered anew, since any lease that it held has expired.
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
  // Without confirmation by a quorum, a partitioned former leader could keep
  // renewing rights whose expiry its successor has already waited for.
  const PendingRights Pending{Body, From.ReplyTo, Now};
  const auto Begun =
      Reads.await(Agreement, Now, [this, Pending](const Expected<void> &Done) {
        if (Done)
          grantRights(Pending);
      });
  if (Begun)
    processOutputs();
}

void ControlNode::grantRights(const PendingRights &Pending) {
  const auto Grant = Connections.handleRequest(Pending.Request, State.view(),
                                               Pending.ReceivedAt);
  if (Grant)
    Deps.Peers.send(Pending.ReplyTo, Delivery::Datagram, *Grant);
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
  // Handlers called below may reenter this function. The outer call continues
  // until no outputs are left.
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
    // Skipping a change that the other hosts apply would give this host a
    // different state under the same revision.
    if (!Entry)
      return Failed.emit(Entry.error());
    Result = State.apply(Committed.Index, *Entry);
  } else if (Committed.Kind == EntryKind::Membership) {
    const auto Voters = decode<Members>(Committed.Bytes);
    if (!Voters)
      return Failed.emit(Voters.error());
    Result = State.recordControlHosts(Committed.Index, describe(*Voters));
  }
  // The audit trail is truncated at its start, so its length does not show
  // whether a record was added.
  if (!State.audit().empty() &&
      State.audit().back().Revision == Committed.Index)
    Audited.emit(State.audit().back());
  const auto Pending = Changes.find(Committed.Index);
  if (Pending == Changes.end())
    return;
  const PendingChange Change = std::move(Pending->second);
  Changes.erase(Pending);
  if (Change.Term != Committed.Term || !Result)
    Change.OnDone(fail(ErrorCode::Unavailable,
                       "another leader's entry took the place of this one"));
  else
    Change.OnDone(*Result);
}

void ControlNode::grant(const PendingLease &Pending) {
  const ClusterView &View = State.view();
  // There is nothing to serve before the first manifest.
  if (!View.CurrentManifest || View.Proxies.count(Pending.Request.Proxy) == 0)
    return;
  const LeaseGrant Grant{
      Pending.Request.Proxy, Pending.Request.Sequence, Pending.Request.SentAt,
      View.CurrentManifest->Failover.LeaseDuration, View.Revision};
  Leases.recordGrant(Grant, Pending.ReceivedAt,
                     View.CurrentManifest->Failover.ClockDriftPpm);
  Deps.Peers.send(Pending.ReplyTo, Delivery::Datagram, Grant);
  if (Pending.Request.AppliedRevision < View.Revision)
    sendView(Pending.Request.Proxy, Pending.ReplyTo);
}

void ControlNode::updateLeadership() {
  // A leader that never became ready may also have accepted changes. Without an
  // answer, the operators who sent them would wait forever.
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
    ViewSentAt.clear();
  }
  Leadership.emit(Leading);
}

void ControlNode::failPending() {
  Reads.failAll();
  const auto Pending = std::exchange(Changes, {});
  for (const auto &[Index, Change] : Pending)
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
    // A proxy whose view is not at the base of the delta ignores it, reports
    // its old revision in the next request, and then receives the whole view.
    Deps.Peers.send(Holder.ReplyTo, Delivery::Stream, Delta);
    ViewSentAt[Id] = Now;
  }
}

void ControlNode::sendView(const ProcessId &Proxy, const Endpoint &To) {
  const Millis Now = Deps.Time.now();
  const auto Last = ViewSentAt.find(Proxy);
  if (Last != ViewSentAt.end() && Now - Last->second < ViewRetryInterval)
    return;
  ViewSentAt[Proxy] = Now;
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
  const Millis SilenceLimit =
      State.view().CurrentManifest->Failover.LeaseDuration * RemovalLeaseCount;
  for (const auto &[Id, ProxyLocality] : State.view().Proxies) {
    const auto Known = Leases.holders().find(Id);
    const auto End = Leases.expiry(Id);
    // A new leader waits only for registered proxies, so any proxy that may
    // still have open connections must stay registered.
    const bool IsExpired =
        (!End || *End < Now) && !Connections.mayHoldConnections(Id, Now);
    const bool IsSilent = Known == Leases.holders().end() ||
                          Now - Known->second.LastRequestAt > SilenceLimit;
    const auto Proposed = ProposedRemoval.find(Id);
    if (!IsExpired || !IsSilent ||
        (Proposed != ProposedRemoval.end() &&
         Now - Proposed->second < SilenceLimit))
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
