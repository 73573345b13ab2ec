/// \file
/// A proxy: its lease, its view of the decisions, and its callers.

#include "Proxy/ProxyNode.h"

#include "Common/Cryptography.h"

#include <algorithm>

namespace corianderdyke {

namespace {

constexpr Millis TickInterval(10);
/// A lease is asked for this many times in its duration, so that one lost
/// datagram or a change of the control leader doesn't end it.
constexpr std::int64_t RequestsPerLease = 5;
constexpr Millis RequestIntervalWithoutManifest(100);
/// How often the targets' silence is looked at in the time after which one is
/// suspected: a twentieth of it is added to the failover gap at the most.
constexpr std::int64_t SilenceChecks = 20;
/// Another control host is asked after this long without an answer.
constexpr Millis LeaderPatience(250);
/// Rights are asked for twenty times in their duration, and within the time
/// that a new connection costs four times over where callers wait for them.
constexpr Millis RightsInterval(500);
constexpr Millis RightsIntervalWhenShort(50);
constexpr int StatusAccepted = 202;
constexpr int StatusBadRequest = 400;
constexpr int StatusForbidden = 403;
constexpr int StatusNotFound = 404;

} // namespace

ProxyNode::ProxyNode(const Settings &Options, ProxyDependencies Deps,
                     std::uint64_t Incarnation)
    : Options(Options), Deps(Deps), Id{Options.Name, Incarnation}, Lease(Id),
      Rights(Id), Watcher(Deps.Time, Deps.Timers, Deps.Connector, Table),
      Statements({Deps.Time, Deps.Timers, Deps.Connector}, Id, View, Lease,
                 Table, Watcher, Rights, Options.SessionKey) {}

void ProxyNode::start() {
  Deps.Peers.signalReceived().connect(
      sigc::mem_fun(*this, &ProxyNode::receive));
  // A dead primary is reported at once, not with the next renewal: it's the
  // first part of the failover gap.
  Watcher.signalRefused().connect(
      sigc::hide(sigc::mem_fun(*this, &ProxyNode::requestLease)));
  tick();
}

void ProxyNode::tick() {
  const Millis Now = Deps.Time.now();
  const Millis Interval =
      View.CurrentManifest
          ? View.CurrentManifest->Failover.LeaseDuration / RequestsPerLease
          : RequestIntervalWithoutManifest;
  if (Now - LastAnswer > LeaderPatience && Now - LastLeaseRequest >= Interval)
    LeaderIndex = (LeaderIndex + 1) % Options.ControlHosts.size();
  if (Now - LastLeaseRequest >= Interval)
    requestLease();
  renewRights(Now);
  Statements.tick();
  reportUnreachable(Now);
  if (Lease.isHeld(Now) != HeldLease) {
    HeldLease = !HeldLease;
    LeaseChanged.emit(HeldLease);
  }
  WriteGaps.update(View, Table, HeldLease, Now);
  if (Stop)
    advanceStop();
  Deps.Timers.after(TickInterval, [this] { tick(); });
}

void ProxyNode::reportUnreachable(Millis Now) {
  // Left to the next renewal, a silent primary would be missed later by up to
  // the whole interval of renewals.
  if (!View.CurrentManifest)
    return;
  const Millis SuspectAfter = View.CurrentManifest->Failover.SuspectAfter;
  if (Now - LastReachabilityCheck < SuspectAfter / SilenceChecks)
    return;
  LastReachabilityCheck = Now;
  std::set<std::string> Found = Table.unreachable(SuspectAfter, Now);
  const bool News = !std::includes(Unreachable.begin(), Unreachable.end(),
                                   Found.begin(), Found.end());
  Unreachable = std::move(Found);
  if (News)
    requestLease();
}

const ControlHost &ProxyNode::leader() const {
  return Options.ControlHosts[LeaderIndex];
}

void ProxyNode::requestLease() {
  const Millis Now = Deps.Time.now();
  LastLeaseRequest = Now;
  Deps.Peers.send(leader().PeerEndpoint, Delivery::Datagram,
                  LeaseRequest{Id, Options.OwnLocality, Lease.nextSequence(),
                               Now, Lease.appliedRevision(),
                               Table.unhealthyReports(View, Now),
                               Statements.databasesInUse()});
}

void ProxyNode::renewRights(Millis Now) {
  if (HeldRights && Now >= Rights.end()) {
    HeldRights = false;
    Statements.rightsChanged();
  }
  const Millis Interval =
      Statements.needsConnections() ? RightsIntervalWhenShort : RightsInterval;
  if (View.CurrentManifest && Now - LastRightsRequest >= Interval)
    requestRights();
}

void ProxyNode::requestRights() {
  LastRightsRequest = Deps.Time.now();
  Deps.Peers.send(
      leader().PeerEndpoint, Delivery::Datagram,
      Rights.request(Statements.connectionUse(), LastRightsRequest));
}

void ProxyNode::releaseRights() {
  Rights.relinquish();
  Statements.rightsChanged();
  requestRights();
}

void ProxyNode::on(const Envelope &, const RightsGrant &Body) {
  if (Rights.apply(Body)) {
    requestRights();
    return;
  }
  HeldRights = Deps.Time.now() < Rights.end();
  if (HeldRights)
    Statements.rightsChanged();
}

void ProxyNode::receive(const Envelope &Arrived) {
  std::visit([&](const auto &Body) { on(Arrived, Body); }, Arrived.Body);
}

void ProxyNode::on(const Envelope &, const LeaseGrant &Body) {
  LastAnswer = Deps.Time.now();
  Lease.applyGrant(Body);
}

void ProxyNode::on(const Envelope &, const NotLeader &Body) {
  for (std::size_t Index = 0; Index < Options.ControlHosts.size(); ++Index) {
    if (Options.ControlHosts[Index].Name != Body.Leader || Index == LeaderIndex)
      continue;
    LeaderIndex = Index;
    LastAnswer = Deps.Time.now();
    requestLease();
    return;
  }
}

void ProxyNode::on(const Envelope &From, const ViewUpdate &Body) {
  applyView(Body.View, From.ReplyTo);
}

void ProxyNode::on(const Envelope &From, const ViewDelta &Body) {
  if (const auto New = applyDelta(View, Body))
    applyView(*New, From.ReplyTo);
}

void ProxyNode::applyView(const ClusterView &New, const Endpoint &Sender) {
  LastAnswer = Deps.Time.now();
  if (Lease.applyRevision(New.Revision)) {
    View = New;
    Watcher.update(View);
    Statements.viewChanged();
    // A new target has no connections here yet.
    requestRights();
  }
  // Also for one that was known: the control host may have missed the
  // confirmation.
  Deps.Peers.send(Sender, Delivery::Datagram,
                  ViewApplied{Id, Lease.appliedRevision()});
}

bool ProxyNode::isReady() const {
  return !Stop && Lease.isHeld(Deps.Time.now());
}

void ProxyNode::drain(std::function<void()> OnDone) {
  if (Stop)
    return;
  OnStopped = std::move(OnDone);
  Stop.emplace(Deps.Time.now(), Options.DrainDelay,
               View.CurrentManifest
                   ? View.CurrentManifest->Limits.TransactionIdleTimeout
                   : Millis());
  advanceStop();
}

void ProxyNode::advanceStop() {
  const Millis Now = Deps.Time.now();
  Statements.setIntake(Stop->intake(Now));
  if (Stop->rollsBackIdleTransactions(Now))
    Statements.endIdleTransactions();
  const OpenWork Left{Statements.openStatements(),
                      Statements.openTransactions()};
  if (OnStopped && Stop->update(Left, Now))
    std::exchange(OnStopped, nullptr)();
}

void ProxyNode::handle(const HttpRequest &Request,
                       std::shared_ptr<HttpExchange> Exchange) {
  if (const auto What = operationFor(Request.Path))
    Statements.handle(*What, Request, std::move(Exchange));
  else if (Request.Path == "/announce")
    announce(Request, *Exchange);
  else
    Exchange->respond({StatusNotFound, {}, "no such path\n"});
}

void ProxyNode::handleDisconnect(const std::string &Peer) {
  Statements.handleDisconnect(Peer);
}

void ProxyNode::announce(const HttpRequest &Request, HttpExchange &Exchange) {
  if (!equalsInConstantTime(Request.header("Target-Key"), Options.TargetKey)) {
    Exchange.respond({StatusForbidden, {}, "the target key is wrong\n"});
    return;
  }
  const auto Address = Endpoint::parse(Request.header("Target-Address"));
  TargetAnnouncement Said{Request.header("Target-Name"),
                          Request.header("Target-Database"),
                          {Request.header("Target-Region"),
                           Request.header("Target-Failure-Domain"),
                           Request.header("Target-Host")},
                          Address.value_or(Endpoint()),
                          numberOr(Request.header("Target-Sequence"), 0),
                          Request.header("Target-Leaving") == "true",
                          Request.header("Target-Log")};
  if (!Address || Said.Name.empty() || Said.Database.empty() ||
      Said.Sequence == 0) {
    Exchange.respond({StatusBadRequest,
                      {},
                      "Target-Name, Target-Database, Target-Address and "
                      "Target-Sequence are needed\n"});
    return;
  }
  Deps.Peers.send(leader().PeerEndpoint, Delivery::Stream,
                  ForwardedAnnouncement{std::move(Said)});
  Exchange.respond({StatusAccepted, {}, "passed on\n"});
}

} // namespace corianderdyke
