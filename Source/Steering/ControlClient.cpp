/// \file
/// A proxy's line to control.

#include "Steering/ControlClient.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// How often a proxy speaks to control: a lost datagram delays a plan by
/// this, well below the seconds in which it must be in force.
constexpr Millis AskInterval(500);
/// Until a plan is known, and while the leader is looked for at all hosts.
constexpr Millis AskIntervalWhenLost(150);
/// An answer that came longer ago says nothing of a failure that others report
/// now.
constexpr Millis ReachedCounts(200);
/// Sightings of failed targets go out at most this often.
constexpr Millis ReportInterval(40);
/// Without an answer for this long the next host is asked.
constexpr Millis Patience(700);
/// Without an answer for this long contact counts as lost.
constexpr Millis LostAfter(2000);

/// True where an update that begins at \p From leaves nothing out for someone
/// who has \p Known.
bool continues(const DirectoryVersion &From, const DirectoryVersion &Known) {
  return From == DirectoryVersion{} ||
         (From.Term == Known.Term && From.Revision <= Known.Revision);
}

} // namespace

ControlClient::ControlClient(ControlClientOptions Given, Clock &Time,
                             Scheduler &Timers, Transport &Peers)
    : Options(std::move(Given)), Time(Time), Timers(Timers), Peers(Peers),
      Hosts(Options.Seeds) {
  if (!Hosts.empty())
    Leader = Hosts[Options.Self.Incarnation % Hosts.size()];
}

void ControlClient::start() {
  Peers.signalReceived().connect(sigc::mem_fun(*this, &ControlClient::receive));
  tick();
}

void ControlClient::setSeeds(std::vector<std::string> Seeds) {
  for (std::string &Each : Seeds)
    if (std::find(Hosts.begin(), Hosts.end(), Each) == Hosts.end())
      Hosts.push_back(std::move(Each));
}

void ControlClient::tick() {
  const Millis Now = Time.now();
  const bool IsLost = Now - LastAnswer > Patience;
  const bool LacksSeat = Quotas != nullptr && Quotas->lacksSeat(Now);
  const Millis Interval =
      IsLost || !IsProven || LacksSeat ? AskIntervalWhenLost : AskInterval;
  if (Now - LastAsked >= Interval)
    sendRequest(IsLost);
  if (HasContact && Now - LastAnswer > LostAfter) {
    HasContact = false;
    ContactChanged.emit(false);
  }
  Timers.after(Interval / 2, [this] { tick(); });
}

void ControlClient::sendRequest(bool Everyone) {
  LastAsked = Time.now();
  SubscribeRequest Request{
      Options.Self, ++Sequence, Plan.Version,          DirectorySeen,
      !IsProven,    {},         Options.GatewayRecord, IsLeaving,
      ProxiesSeen,  {}};
  if (Quotas != nullptr)
    Request.Seats = Quotas->request(LastAsked);
  for (const auto &[Target, Seen] : std::exchange(PendingReports, {}))
    if (!Seen.Report.IsReachable || LastAsked - Seen.RecordedAt < ReachedCounts)
      Request.Reports.push_back(Seen.Report);
  // Those that don't lead tell who does, where they know.
  const std::vector<std::string> To =
      Everyone ? Hosts : std::vector<std::string>{Leader};
  for (const std::string &Each : To)
    Peers.send({Each, Options.PeerPort}, Delivery::Datagram, Request);
}

ReachabilityReport ControlClient::makeReport(const std::string &Target,
                                             bool IsReached) const {
  const TargetRecord *Known = Directory.find(Target);
  return {Target, Known == nullptr ? 0 : Known->Incarnation, IsReached};
}

void ControlClient::recordReachable(const std::string &Target) {
  PendingReports[Target] = {makeReport(Target, true), Time.now()};
}

void ControlClient::recordUnreachable(const std::string &Target) {
  const auto Known = PendingReports.find(Target);
  const bool IsNews =
      Known == PendingReports.end() || Known->second.Report.IsReachable;
  PendingReports[Target] = {makeReport(Target, false), Time.now()};
  if (IsNews)
    Timers.after(ReportInterval, [this] {
      const bool HasFailed = std::any_of(
          PendingReports.begin(), PendingReports.end(),
          [](const auto &Each) { return !Each.second.Report.IsReachable; });
      if (HasFailed)
        sendRequest(false);
    });
}

void ControlClient::receive(const Envelope &Arrived) {
  std::visit([&](const auto &Body) { on(Body, Arrived); }, Arrived.Body);
}

void ControlClient::on(const SubscribeReply &Body, const Envelope &From) {
  LastAnswer = Time.now();
  if (!HasContact) {
    HasContact = true;
    ContactChanged.emit(true);
  }
  Leader = From.ReplyTo.Address;
  std::vector<std::string> All = Body.ControlHosts;
  for (const std::string &Each : Options.Seeds)
    if (std::find(All.begin(), All.end(), Each) == All.end())
      All.push_back(Each);
  Hosts = std::move(All);
  if (Body.IsConfirmed && Body.PlanVersion > 0) {
    ProvenVersion = std::max(ProvenVersion, Body.PlanVersion);
    IsProven = Plan.Version >= ProvenVersion;
  }
  if (Body.ProxyCount > 0)
    ProxiesChanged.emit(Body.ProxyCount);
}

void ControlClient::announceStop() {
  IsLeaving = true;
  sendRequest(false);
}

void ControlClient::on(const SubscribeRedirect &Body, const Envelope &) {
  if (Body.Leader.empty() || Body.Leader == Leader)
    return;
  Leader = Body.Leader;
  sendRequest(false);
}

void ControlClient::on(const ReachabilityQuery &, const Envelope &) {
  sendRequest(false);
}

void ControlClient::on(const SeatGrant &Body, const Envelope &) {
  if (Quotas == nullptr)
    return;
  if (Quotas->apply(Body, Time.now()))
    sendRequest(false);
  QuotasChanged.emit();
}

void ControlClient::on(const PlanUpdate &Body, const Envelope &) {
  // Never back within one life: callers have seen the later one.
  if (Body.Plan.Version <= Plan.Version)
    return;
  Plan = Body.Plan;
  IsProven = IsProven || (ProvenVersion > 0 && Plan.Version >= ProvenVersion);
  PlanChanged.emit();
  sendRequest(false);
}

void ControlClient::on(const DirectoryUpdate &Body, const Envelope &) {
  // Records replace older ones wherever they come from. What lies between is
  // missing where this update begins later than what is known.
  if (continues(Body.From, DirectorySeen))
    DirectorySeen = std::max(DirectorySeen, Body.Version);
  if (Directory.merge(Body.Targets, Time.now()))
    DirectoryChanged.emit();
}

void ControlClient::on(const ProxyListUpdate &Body, const Envelope &) {
  if (Body.Version <= ProxiesSeen || !continues(Body.From, ProxiesSeen))
    return;
  ProxiesSeen = Body.Version;
  std::map<std::string, ProxyRecord> ByName;
  if (Body.From != DirectoryVersion{})
    for (const ProxyRecord &Each : ProxyRecords)
      ByName[Each.Name] = Each;
  for (const ProxyRecord &Each : Body.Present)
    ByName[Each.Name] = Each;
  for (const std::string &Each : Body.Removed)
    ByName.erase(Each);
  std::vector<ProxyRecord> New;
  New.reserve(ByName.size());
  for (const auto &[Name, Each] : ByName)
    New.push_back(Each);
  // A new leader's version of the same list moves nothing.
  if (New == ProxyRecords)
    return;
  ProxyRecords = std::move(New);
  ProxyListChanged.emit(ProxyRecords);
}

} // namespace corianderdyke
