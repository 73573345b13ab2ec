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
  for (const ControlHost &Each : From.Controls)
    Out.Hosts.push_back(Each.Name);
  return Out;
}

} // namespace

ControlNode::ControlNode(const Settings &Options, ControlPorts Ports,
                         ReplicatedLog &Log, std::uint64_t Seed)
    : Options(Options), Ports(Ports),
      Agreement(consensusOptions(Options), Log, Seed), Orders(Ports.Connector) {
}

void ControlNode::start() {
  Agreement.start(Ports.Time.now());
  Ports.Peers.signalReceived().connect(
      sigc::mem_fun(*this, &ControlNode::receive));
  settle();
  tick();
}

void ControlNode::tick() {
  Agreement.tick(Ports.Time.now());
  if (Leading) {
    removeExpiredProxies();
    removeExpiredTargets();
  }
  settle();
  Ports.Timers.after(TickInterval, [this] { tick(); });
}

void ControlNode::receive(const Envelope &Arrived) {
  std::visit([&](const auto &Body) { on(Arrived, Body); }, Arrived.Body);
}

void ControlNode::on(const Envelope &, const ConsensusMessage &Body) {
  Agreement.receive(Body, Ports.Time.now());
  settle();
}

void ControlNode::on(const Envelope &From, const LeaseRequest &Body) {
  const Millis Now = Ports.Time.now();
  const WaitingLease To{Body, From.ReplyTo, Now};
  const bool IsRegistered = State.view().Proxies.count(Body.Proxy) != 0;
  const auto Begun = Reads.await(
      Agreement, Now, [this, To, IsRegistered](const Expected<void> &Done) {
        if (Done && IsRegistered)
          grant(To);
      });
  if (!Begun) {
    Ports.Peers.send(From.ReplyTo, Delivery::Datagram,
                     NotLeader{Agreement.leader()});
    return;
  }
  Leases.noteRequest(Body, From.ReplyTo, Now);
  if (!IsRegistered) {
    // A life that was removed for silence and speaks again is registered
    // anew: whatever lease it held has run out.
    propose(SystemActor, RegisterProxy{Body.Proxy, Body.Where},
            [](const Expected<ApplyResult> &) {});
    return;
  }
  settle();
}

void ControlNode::on(const Envelope &, const ViewApplied &Body) {
  Leases.noteApplied(Body.Proxy, Body.Revision);
  settle();
}

void ControlNode::on(const Envelope &, const ForwardedAnnouncement &Body) {
  if (!Leading)
    return;
  auto Proposal =
      Announcements.judge(State.view(), Body.Target, Ports.Time.now());
  if (Proposal)
    propose(SystemActor, std::move(*Proposal),
            [](const Expected<ApplyResult> &) {});
}

void ControlNode::on(const Envelope &From, const RightsRequest &Body) {
  const Millis Now = Ports.Time.now();
  // Without the quorum's word a former leader, cut off, would go on renewing
  // rights that its successor has waited out.
  const WaitingRights To{Body, From.ReplyTo, Now};
  const auto Begun =
      Reads.await(Agreement, Now, [this, To](const Expected<void> &Done) {
        if (Done)
          grantRights(To);
      });
  if (Begun)
    settle();
}

void ControlNode::grantRights(const WaitingRights &To) {
  const auto Grant =
      Connections.answer(To.Request, State.view(), To.ReceivedAt);
  if (Grant)
    Ports.Peers.send(To.ReplyTo, Delivery::Datagram, *Grant);
}

void ControlNode::propose(std::string Actor, CommandBody Body,
                          ChangeHandler OnDone) {
  const Command Entry{std::move(Actor), Ports.Time.wallTime(), std::move(Body)};
  await(Agreement.propose(encode(Entry), Ports.Time.now()), std::move(OnDone));
}

void ControlNode::addControlHost(const std::string &Name,
                                 ChangeHandler OnDone) {
  await(Agreement.addVoter(Name, Ports.Time.now()), std::move(OnDone));
}

void ControlNode::removeControlHost(const std::string &Name,
                                    ChangeHandler OnDone) {
  await(Agreement.removeVoter(Name, Ports.Time.now()), std::move(OnDone));
}

void ControlNode::await(const Expected<std::uint64_t> &Index,
                        ChangeHandler OnDone) {
  if (!Index) {
    OnDone(tl::unexpected(Index.error()));
    return;
  }
  Changes[*Index] = {Agreement.term(), std::move(OnDone)};
  settle();
}

void ControlNode::readLatest(const ReadHandler &OnRead) {
  const auto Answer = [this, OnRead](const Expected<void> &Done) {
    if (Done)
      OnRead(&State);
    else
      OnRead(tl::unexpected(Done.error()));
  };
  const auto Begun = Reads.await(Agreement, Ports.Time.now(), Answer);
  if (!Begun)
    return Answer(Begun);
  settle();
}

bool ControlNode::isInForce(std::uint64_t Revision) const {
  return Leases.isInForce(State.view(), Revision, Ports.Time.now());
}

void ControlNode::settle() {
  // Handlers called below may come back here; the outer call goes on until
  // nothing is left.
  if (Settling)
    return;
  Settling = true;
  do {
    carryOut(Agreement.takeOutputs());
    noticeLeadership();
    publish();
    if (Leading)
      coordinate();
  } while (Agreement.hasOutputs());
  compactIfLong();
  Settling = false;
  noticeDisk();
}

void ControlNode::noticeDisk() {
  const auto &Failure = Agreement.failure();
  if (Failure && Failure->Code != ErrorCode::System)
    return Failed.emit(*Failure);
  if (Failure.has_value() == DiskRefuses)
    return;
  DiskRefuses = Failure.has_value();
  DiskChanged.emit(DiskRefuses ? Failure->Message : "");
}

void ControlNode::carryOut(ConsensusOutputs Outputs) {
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
  for (OutgoingConsensus &Each : Outputs.Messages)
    for (const ControlHost &Host : Options.Controls)
      if (Host.Name == Each.To)
        Ports.Peers.send(Host.Peers, Delivery::Stream, std::move(Each.Message));
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
    Result = State.noteControlHosts(Committed.Index, describe(*Voters));
  }
  // The trail is cut at its other end, so its length says nothing.
  if (!State.audit().empty() &&
      State.audit().back().Revision == Committed.Index)
    Audited.emit(State.audit().back());
  const auto Waiting = Changes.find(Committed.Index);
  if (Waiting == Changes.end())
    return;
  const WaitingChange Change = std::move(Waiting->second);
  Changes.erase(Waiting);
  if (Change.Term != Committed.Term || !Result)
    Change.OnDone(fail(ErrorCode::Unavailable,
                       "another leader's entry took the place of this one"));
  else
    Change.OnDone(*Result);
}

void ControlNode::grant(const WaitingLease &To) {
  const ClusterView &View = State.view();
  // Before the first manifest there is nothing to serve.
  if (!View.Current || View.Proxies.count(To.Request.Proxy) == 0)
    return;
  const LeaseGrant Grant{To.Request.Proxy, To.Request.Sequence,
                         To.Request.SentAt,
                         View.Current->Failover.LeaseDuration, View.Revision};
  Leases.noteGrant(Grant, To.ReceivedAt, View.Current->Failover.ClockDriftPpm);
  Ports.Peers.send(To.ReplyTo, Delivery::Datagram, Grant);
  if (To.Request.AppliedRevision < View.Revision)
    sendView(To.Request.Proxy, To.ReplyTo);
}

void ControlNode::noticeLeadership() {
  // Also one that never settled may have taken changes in: without an answer
  // their operators would wait for good.
  if (!Agreement.isLeader())
    failWaiting();
  if (Agreement.isSettledLeader() == Leading)
    return;
  Leading = Agreement.isSettledLeader();
  if (Leading) {
    Leases.begin(State.view(), Ports.Time.now());
    Failover.begin();
    Announcements.begin(State.view(), Ports.Time.now());
    Connections.begin(Agreement.term(), State.view(), Ports.Time.now());
    Published = State.view();
    SentAt.clear();
  }
  Leadership.emit(Leading);
}

void ControlNode::failWaiting() {
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
  const ViewDelta Delta = difference(Published, State.view());
  Published = State.view();
  const Millis Now = Ports.Time.now();
  for (const auto &[Id, Holder] : Leases.holders()) {
    if (Holder.ReplyTo.Port == 0 || Published.Proxies.count(Id) == 0)
      continue;
    // A proxy that isn't at the delta's base ignores it, goes on asking with
    // its old revision, and gets the whole view.
    Ports.Peers.send(Holder.ReplyTo, Delivery::Stream, Delta);
    SentAt[Id] = Now;
  }
}

void ControlNode::sendView(const ProcessId &Proxy, const Endpoint &To) {
  const Millis Now = Ports.Time.now();
  const auto Last = SentAt.find(Proxy);
  if (Last != SentAt.end() && Now - Last->second < SendViewAgainAfter)
    return;
  SentAt[Proxy] = Now;
  Ports.Peers.send(To, Delivery::Stream, ViewUpdate{State.view()});
}

void ControlNode::coordinate() {
  FailoverActions Actions =
      Failover.step(State.view(), Leases, Ports.Time.now());
  for (CommandBody &Each : Actions.Proposals)
    propose(SystemActor, std::move(Each), [](const Expected<ApplyResult> &) {});
  for (const TargetCall &Each : Actions.Calls)
    Orders.send(Each, [this, Each](const TargetPosition &Answer) {
      Failover.answered(Each, Answer);
      settle();
    });
}

void ControlNode::removeExpiredProxies() {
  if (!State.view().Current)
    return;
  const Millis Now = Ports.Time.now();
  const Millis Silence =
      State.view().Current->Failover.LeaseDuration * RemoveAfterLeases;
  for (const auto &[Id, Where] : State.view().Proxies) {
    const auto Known = Leases.holders().find(Id);
    const auto End = Leases.expiry(Id);
    // A new leader waits for those that are registered: whoever may still
    // have connections open is one of them.
    const bool Expired = (!End || *End < Now) && !Connections.mayHold(Id, Now);
    const bool Silent = Known == Leases.holders().end() ||
                        Now - Known->second.LastHeard > Silence;
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
       Announcements.expired(State.view(), Leases, Ports.Time.now()))
    propose(SystemActor, std::move(Each), [](const Expected<ApplyResult> &) {});
}

void ControlNode::compactIfLong() {
  if (Agreement.log().journalBytes() > CompactAtBytes)
    Agreement.compact(AppliedIndex, encode(State));
}

} // namespace corianderdyke
