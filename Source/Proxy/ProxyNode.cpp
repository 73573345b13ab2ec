/// \file
/// A proxy process: its lease, its cluster view and the service for callers.

#include "Proxy/ProxyNode.h"

#include "Common/Cryptography.h"

#include <algorithm>

namespace corianderdyke {

namespace {

constexpr Millis TickInterval(10);
/// A lease is renewed this many times in its duration, so that one lost
/// datagram or a change of the control leader does not end it.
constexpr std::int64_t RequestsPerLease = 5;
constexpr Millis RequestIntervalWithoutManifest(100);
/// The number of reachability checks in the time after which a target is
/// suspected. The check adds at most a twentieth of that time to a failover.
constexpr std::int64_t ReachabilityChecks = 20;
/// After this long without an answer, requests go to another control host.
constexpr Millis LeaderAnswerTimeout(250);
/// Rights are requested twenty times in their duration or, while callers wait
/// for connections, at an interval of about four times the cost of opening one.
constexpr Millis RightsInterval(500);
constexpr Millis RightsIntervalWhenWaiting(50);
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
  // A failed primary is reported at once, not with the next renewal, because
  // the detection time is part of the failover time.
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
  if (Now - LastAnswer > LeaderAnswerTimeout &&
      Now - LastLeaseRequest >= Interval)
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
  // Reporting a silent primary only with the next renewal would delay its
  // detection by up to the whole renewal interval.
  if (!View.CurrentManifest)
    return;
  const Millis SuspectAfter = View.CurrentManifest->Failover.SuspectAfter;
  if (Now - LastReachabilityCheck < SuspectAfter / ReachabilityChecks)
    return;
  LastReachabilityCheck = Now;
  std::set<std::string> NowUnreachable = Table.unreachable(SuspectAfter, Now);
  const bool HasNewUnreachable =
      !std::includes(Unreachable.begin(), Unreachable.end(),
                     NowUnreachable.begin(), NowUnreachable.end());
  Unreachable = std::move(NowUnreachable);
  if (HasNewUnreachable)
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
  const Millis Interval = Statements.needsConnections()
                              ? RightsIntervalWhenWaiting
                              : RightsInterval;
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

void ProxyNode::receive(const Envelope &Message) {
  std::visit([&](const auto &Body) { on(Message, Body); }, Message.Body);
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
    // This proxy has no connection rights for new targets yet.
    requestRights();
  }
  // A known revision is confirmed again, since the control host may have missed
  // the confirmation.
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
  const OpenWork Remaining{Statements.openStatements(),
                           Statements.openTransactions()};
  if (OnStopped && Stop->update(Remaining, Now))
    std::exchange(OnStopped, nullptr)();
}

void ProxyNode::handle(const HttpRequest &Request,
                       std::shared_ptr<HttpExchange> Exchange) {
  if (const auto Operation = operationFor(Request.Path))
    Statements.handle(*Operation, Request, std::move(Exchange));
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
  TargetAnnouncement Announcement{
      Request.header("Target-Name"),
      Request.header("Target-Database"),
      {Request.header("Target-Region"), Request.header("Target-Failure-Domain"),
       Request.header("Target-Host")},
      Address.value_or(Endpoint()),
      numberOr(Request.header("Target-Sequence"), 0),
      Request.header("Target-Leaving") == "true",
      Request.header("Target-Log")};
  if (!Address || Announcement.Name.empty() || Announcement.Database.empty() ||
      Announcement.Sequence == 0) {
    Exchange.respond({StatusBadRequest,
                      {},
                      "Target-Name, Target-Database, Target-Address and "
                      "Target-Sequence are needed\n"});
    return;
  }
  Deps.Peers.send(leader().PeerEndpoint, Delivery::Stream,
                  ForwardedAnnouncement{std::move(Announcement)});
  Exchange.respond({StatusAccepted, {}, "passed on\n"});
}

} // namespace corianderdyke
