/// \file
/// A proxy's subscription to control.

#include "Steering/ControlClient.h"

#include <algorithm>

namespace corianderdyke {

namespace {

/// Interval of requests to control. A lost datagram delays a plan by this much,
/// well below the seconds within which it must be in force.
constexpr Millis RequestInterval(500);
/// Interval until a plan is confirmed, while quota seats are missing, and while
/// all hosts are asked for the leader.
constexpr Millis RequestIntervalWhenLost(150);
/// A target's answer that is older than this does not contradict a failure that
/// other proxies report now.
constexpr Millis ReachedValidity(200);
/// Delay of a report of a failed target, so that the failures within this time
/// share one request.
constexpr Millis ReportDelay(40);
/// Counts of refused reads are sent at least this often while they grow.
/// Control sums them over one second, so the regular interval would delay its
/// decision by half of that.
constexpr Millis PressureInterval(250);
/// Without an answer for this long all hosts are asked.
constexpr Millis AnswerTimeout(700);
/// Without an answer for this long contact counts as lost.
constexpr Millis ContactTimeout(2000);

/// True if an update that begins at \p From leaves no gap after version
/// \p Known.
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
  const bool IsLost = Now - LastReplyAt > AnswerTimeout;
  const bool LacksSeat = Quotas != nullptr && Quotas->lacksSeat(Now);
  const Millis Interval = IsLost || !IsPlanConfirmed || LacksSeat
                              ? RequestIntervalWhenLost
                              : RequestInterval;
  if (Now - LastRequestAt >= Interval)
    sendRequest(IsLost);
  if (HasContact && Now - LastReplyAt > ContactTimeout) {
    HasContact = false;
    ContactChanged.emit(false);
  }
  Timers.after(Interval / 2, [this] { tick(); });
}

void ControlClient::sendRequest(bool ToAllHosts) {
  LastRequestAt = Time.now();
  SubscribeRequest Request{Options.Self,
                           ++Sequence,
                           Plan.Version,
                           DirectoryHeld,
                           !IsPlanConfirmed,
                           {},
                           Options.GatewayRecord,
                           IsLeaving,
                           ProxiesHeld,
                           {},
                           {}};
  if (Quotas != nullptr)
    Request.Seats = Quotas->request(LastRequestAt);
  for (const auto &[Target, Pending] : std::exchange(PendingReports, {}))
    if (!Pending.Report.IsReachable ||
        LastRequestAt - Pending.RecordedAt < ReachedValidity)
      Request.Reports.push_back(Pending.Report);
  for (auto &[Group, Each] : std::exchange(PendingPressure, {}))
    Request.Pressure.push_back(Each);
  // Hosts that do not lead answer with the leader's address if they know it.
  const std::vector<std::string> To =
      ToAllHosts ? Hosts : std::vector<std::string>{Leader};
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
  const bool IsChange =
      Known == PendingReports.end() || Known->second.Report.IsReachable;
  PendingReports[Target] = {makeReport(Target, false), Time.now()};
  if (IsChange)
    Timers.after(ReportDelay, [this] {
      const bool HasFailed = std::any_of(
          PendingReports.begin(), PendingReports.end(),
          [](const auto &Each) { return !Each.second.Report.IsReachable; });
      if (HasFailed)
        sendRequest(false);
    });
}

void ControlClient::recordPressure(const std::string &Group, bool IsRefused) {
  GroupPressure &Known = PendingPressure[Group];
  Known.Group = Group;
  ++(IsRefused ? Known.RefusedReads : Known.LaggingReads);
  if (!IsRefused || std::exchange(IsPressureDue, true))
    return;
  const Millis Since = Time.now() - LastRequestAt;
  Timers.after(std::max(PressureInterval - Since, Millis(0)), [this] {
    IsPressureDue = false;
    if (!PendingPressure.empty())
      sendRequest(false);
  });
}

void ControlClient::receive(const Envelope &Arrived) {
  std::visit([&](const auto &Body) { on(Body, Arrived); }, Arrived.Body);
}

void ControlClient::on(const SubscribeReply &Body, const Envelope &From) {
  LastReplyAt = Time.now();
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
    ConfirmedVersion = std::max(ConfirmedVersion, Body.PlanVersion);
    IsPlanConfirmed = Plan.Version >= ConfirmedVersion;
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
  // A process never returns to an older plan, because callers have already
  // been served by the newer one.
  if (Body.Plan.Version <= Plan.Version)
    return;
  const bool HasOtherGroups = Body.Plan.groupNames() != Plan.groupNames();
  Plan = Body.Plan;
  Directory.declareGroups(Plan.groupNames());
  // Records that the plan has made valid may have been passed over before.
  if (HasOtherGroups && Directory.hasUndeclared())
    DirectoryHeld = {};
  IsPlanConfirmed = IsPlanConfirmed ||
                    (ConfirmedVersion > 0 && Plan.Version >= ConfirmedVersion);
  PlanChanged.emit();
  sendRequest(false);
}

void ControlClient::on(const DirectoryUpdate &Body, const Envelope &) {
  // Records replace older ones from any source. The version is adopted only if
  // the update leaves no gap after the known one.
  if (continues(Body.From, DirectoryHeld))
    DirectoryHeld = std::max(DirectoryHeld, Body.Version);
  if (Directory.merge(Body.Targets, Time.now()))
    DirectoryChanged.emit();
}

void ControlClient::on(const ProxyListUpdate &Body, const Envelope &) {
  if (Body.Version <= ProxiesHeld || !continues(Body.From, ProxiesHeld))
    return;
  ProxiesHeld = Body.Version;
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
  // A new leader's version may contain the same list.
  if (New == ProxyRecords)
    return;
  ProxyRecords = std::move(New);
  ProxyListChanged.emit(ProxyRecords);
}

} // namespace corianderdyke
