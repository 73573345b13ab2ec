/// \file
/// A proxy: its lease, its view of the decisions, and its callers.

#include "Proxy/ProxyNode.h"

#include "Common/KeyedDigest.h"

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

ProxyNode::ProxyNode(const Settings &Options, ProxyPorts Ports,
                     std::uint64_t Incarnation)
    : Options(Options), Ports(Ports), Id{Options.Name, Incarnation}, Lease(Id),
      Rights(Id), Watcher(Ports.Time, Ports.Timers, Ports.Connector, Table),
      Statements({Ports.Time, Ports.Timers, Ports.Connector}, Id, View, Lease,
                 Table, Watcher, Rights, Options.SessionKey) {}

void ProxyNode::start() {
  Ports.Peers.signalReceived().connect(
      sigc::mem_fun(*this, &ProxyNode::receive));
  // A dead primary is reported at once, not with the next renewal: it's the
  // first part of the failover gap.
  Watcher.signalRefused().connect(
      sigc::hide(sigc::mem_fun(*this, &ProxyNode::requestLease)));
  tick();
}

void ProxyNode::tick() {
  const Millis Now = Ports.Time.now();
  const Millis Interval =
      View.Current ? View.Current->Failover.LeaseDuration / RequestsPerLease
                   : RequestIntervalWithoutManifest;
  if (Now - LastAnswer > LeaderPatience && Now - LastRequest >= Interval)
    Leader = (Leader + 1) % Options.Controls.size();
  if (Now - LastRequest >= Interval)
    requestLease();
  renewRights(Now);
  Statements.tick();
  reportSilence(Now);
  if (Lease.isHeld(Now) != HeldLease) {
    HeldLease = !HeldLease;
    LeaseChanged.emit(HeldLease);
  }
  WriteGaps.update(View, Table, HeldLease, Now);
  if (Stop)
    continueStop();
  Ports.Timers.after(TickInterval, [this] { tick(); });
}

void ProxyNode::reportSilence(Millis Now) {
  // Left to the next renewal, a silent primary would be missed later by up to
  // the whole interval of renewals.
  if (!View.Current)
    return;
  const Millis SuspectAfter = View.Current->Failover.SuspectAfter;
  if (Now - LastSilenceCheck < SuspectAfter / SilenceChecks)
    return;
  LastSilenceCheck = Now;
  std::set<std::string> Found = Table.unreachable(SuspectAfter, Now);
  const bool News = !std::includes(Unreachable.begin(), Unreachable.end(),
                                   Found.begin(), Found.end());
  Unreachable = std::move(Found);
  if (News)
    requestLease();
}

const ControlHost &ProxyNode::leader() const {
  return Options.Controls[Leader];
}

void ProxyNode::requestLease() {
  const Millis Now = Ports.Time.now();
  LastRequest = Now;
  Ports.Peers.send(leader().Peers, Delivery::Datagram,
                   LeaseRequest{Id, Options.Where, Lease.nextSequence(), Now,
                                Lease.appliedRevision(),
                                Table.reports(View, Now),
                                Statements.running()});
}

void ProxyNode::renewRights(Millis Now) {
  if (HeldRights && Now >= Rights.end()) {
    HeldRights = false;
    Statements.rightsChanged();
  }
  const Millis Interval =
      Statements.isShort() ? RightsIntervalWhenShort : RightsInterval;
  if (View.Current && Now - LastRightsRequest >= Interval)
    requestRights();
}

void ProxyNode::requestRights() {
  LastRightsRequest = Ports.Time.now();
  Ports.Peers.send(
      leader().Peers, Delivery::Datagram,
      Rights.request(Statements.connectionUse(), LastRightsRequest));
}

void ProxyNode::giveBackRights() {
  Rights.leave();
  Statements.rightsChanged();
  requestRights();
}

void ProxyNode::on(const Envelope &, const RightsGrant &Body) {
  if (Rights.apply(Body)) {
    requestRights();
    return;
  }
  HeldRights = Ports.Time.now() < Rights.end();
  if (HeldRights)
    Statements.rightsChanged();
}

void ProxyNode::receive(const Envelope &Arrived) {
  std::visit([&](const auto &Body) { on(Arrived, Body); }, Arrived.Body);
}

void ProxyNode::on(const Envelope &, const LeaseGrant &Body) {
  LastAnswer = Ports.Time.now();
  Lease.grant(Body);
}

void ProxyNode::on(const Envelope &, const NotLeader &Body) {
  for (std::size_t Index = 0; Index < Options.Controls.size(); ++Index) {
    if (Options.Controls[Index].Name != Body.Leader || Index == Leader)
      continue;
    Leader = Index;
    LastAnswer = Ports.Time.now();
    requestLease();
    return;
  }
}

void ProxyNode::on(const Envelope &From, const ViewUpdate &Body) {
  adopt(Body.View, From.ReplyTo);
}

void ProxyNode::on(const Envelope &From, const ViewDelta &Body) {
  if (const auto New = withDelta(View, Body))
    adopt(*New, From.ReplyTo);
}

void ProxyNode::adopt(const ClusterView &New, const Endpoint &Sender) {
  LastAnswer = Ports.Time.now();
  if (Lease.apply(New.Revision)) {
    View = New;
    Watcher.update(View);
    Statements.viewChanged();
    // A new target has no connections here yet.
    requestRights();
  }
  // Also for one that was known: the control host may have missed the
  // confirmation.
  Ports.Peers.send(Sender, Delivery::Datagram,
                   ViewApplied{Id, Lease.appliedRevision()});
}

bool ProxyNode::isReady() const {
  return !Stop && Lease.isHeld(Ports.Time.now());
}

void ProxyNode::drain(std::function<void()> OnDone) {
  if (Stop)
    return;
  OnStopped = std::move(OnDone);
  Stop.emplace(Ports.Time.now(), Options.StopNotice,
               View.Current ? View.Current->Limits.TransactionIdle : Millis());
  continueStop();
}

void ProxyNode::continueStop() {
  const Millis Now = Ports.Time.now();
  Statements.setIntake(Stop->intake(Now));
  if (Stop->endsTransactions(Now))
    Statements.endIdleTransactions();
  const OpenWork Left{Statements.inFlight(), Statements.openTransactions()};
  if (OnStopped && Stop->isDone(Left, Now))
    std::exchange(OnStopped, nullptr)();
}

void ProxyNode::handle(const HttpRequest &Request,
                       std::shared_ptr<HttpExchange> Exchange) {
  if (const auto What = verbOf(Request.Path))
    Statements.handle(*What, Request, std::move(Exchange));
  else if (Request.Path == "/announce")
    announce(Request, *Exchange);
  else
    Exchange->respond({StatusNotFound, {}, "no such path\n"});
}

void ProxyNode::disconnected(const std::string &Peer) {
  Statements.disconnected(Peer);
}

void ProxyNode::announce(const HttpRequest &Request, HttpExchange &Exchange) {
  if (!sameDigest(Request.header("Target-Key"), Options.TargetKey)) {
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
  Ports.Peers.send(leader().Peers, Delivery::Stream,
                   ForwardedAnnouncement{std::move(Said)});
  Exchange.respond({StatusAccepted, {}, "passed on\n"});
}

} // namespace corianderdyke
