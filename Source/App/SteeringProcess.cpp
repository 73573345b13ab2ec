/// \file
/// A running process where targets enforce leadership themselves.

#include "App/SteeringProcess.h"

#include "App/ReadFile.h"
#include "App/StatementLogs.h"
#include "Common/RandomNumber.h"
#include "Common/Version.h"
#include "Logs/LogEvents.h"

#include <csignal>

namespace corianderdyke {

namespace {

constexpr Millis StopCheckInterval(50);
/// How long a stopping control host waits to be removed from its group. Several
/// elections fit in; without a majority the group cannot remove it anyway.
constexpr Millis LeaveTimeout(3000);

std::vector<std::string> addressesOf(const std::vector<Endpoint> &All) {
  std::vector<std::string> Out;
  Out.reserve(All.size());
  for (const Endpoint &Each : All)
    Out.push_back(Each.Address);
  return Out;
}

} // namespace

Expected<std::unique_ptr<SteeringProcess>>
SteeringProcess::make(const Settings &Options, std::string File,
                      std::unique_ptr<ProtocolAdapter> Adapter) {
  std::unique_ptr<SteeringProcess> Created(
      new SteeringProcess(Options, std::move(File), std::move(Adapter)));
  if (auto Done = Created->open(); !Done)
    return tl::unexpected(Done.error());
  return Created;
}

Expected<void> SteeringProcess::open() {
  auto Transport = SocketTransport::listen(Loop, Options.PeerEndpoint,
                                           Options.Name, Options.PeerKey);
  if (!Transport)
    return tl::unexpected(Transport.error());
  Peers = std::move(*Transport);
  Targets = Adapter->makeTargetConnector(Loop);
  if (Options.IsControl)
    if (auto Done = openControl(); !Done)
      return Done;
  if (Options.IsProxy)
    if (auto Done = openProxy(); !Done)
      return Done;
  return openMetrics();
}

Expected<void> SteeringProcess::openMetrics() {
  Metrics = std::make_unique<SteeringMetrics>(SteeringSources{
      Time, *Peers, Pipeline.get(), Broker.get(), ConnectionSharing.get(),
      Quotas.get(), Permits.get(), Client.get(), Control.get(),
      CallerPort.get(), [this] { return isReady(); },
      ProcessLatencies{&Loop.timerLatency(),
                       Disk ? &Disk->syncDurations() : nullptr}});
  if (Options.OperatorEndpoint.Port == 0)
    return {};
  auto Opened = listen(Options.OperatorEndpoint, *Metrics);
  if (!Opened)
    return tl::unexpected(Opened.error());
  MetricsPort = std::move(*Opened);
  return {};
}

bool SteeringProcess::isReady() const {
  return Pipeline && !Stopping && Client->isConfirmed() &&
         Pipeline->plan().Version > 0;
}

Expected<std::unique_ptr<EventHttpServer>>
SteeringProcess::listen(const Endpoint &At, HttpService &Service) {
  return EventHttpServer::listen(Loop, At, Service);
}

Expected<void> SteeringProcess::openControl() {
  auto Folder = FileDisk::open(Options.DataFolder);
  if (!Folder)
    return tl::unexpected(Folder.error());
  Disk.emplace(std::move(*Folder));
  Records.emplace(*Disk);
  Log.emplace(*Records);
  if (auto Loaded = Log->load(std::to_string(randomNumber())); !Loaded)
    return Loaded;
  TargetCommands = Adapter->makeTargetCommandPort(Loop, *Targets);
  Promotions = Adapter->makePromotionPort(
      Loop, Connector, {Options.PromotionEndpoint, Options.Name});
  SteeringOptions NodeOptions;
  NodeOptions.Name = Options.PeerEndpoint.Address;
  NodeOptions.ProcessName = Options.Name;
  NodeOptions.PeerPort = Options.PeerEndpoint.Port;
  NodeOptions.Seeds = addressesOf(Options.Seeds);
  NodeOptions.MayBootstrap = Options.MayBootstrap;
  NodeOptions.ToleratedDiskLosses = Options.ToleratedDiskLosses;
  NodeOptions.KeySecret = Options.PeerKey;
  NodeOptions.LeadRelief = Options.Load.LeadRelief;
  NodeOptions.PermitForwarding = Options.Load.PermitForwarding;
  Control = std::make_unique<SteeringNode>(
      NodeOptions,
      SteeringDependencies{Time, Loop, *Peers, *TargetCommands, *Promotions},
      *Log, randomNumber());
  DirectoryHandler =
      Adapter->makeDirectoryService(*Control, Options.DirectoryEndpoint);
  auto Opened = listen(Options.DirectoryEndpoint, *DirectoryHandler);
  if (!Opened)
    return tl::unexpected(Opened.error());
  DirectoryPort = std::move(*Opened);
  return {};
}

Expected<void> SteeringProcess::openRelay() {
  auto Opened =
      SocketPeerStreams::listen(Loop, Options.RelayEndpoint, Options.PeerKey);
  if (!Opened)
    return tl::unexpected(Opened.error());
  Streams = std::move(*Opened);
  Frames = std::make_unique<RelayCodec>();
  Broker = std::make_unique<TargetBroker>(Time, Loop, *Targets, Options.Load);
  ConnectionSharing = std::make_unique<SharedConnector>(
      SharedConnector::Dependencies{Time, Loop, *Targets, *Broker, *Streams,
                                    *Frames, SessionFloors, Options.Load,
                                    sharedReplicas()},
      Options.Name);
  Relay = std::make_unique<RelayServer>(Time, Loop, *Streams, *Frames, *Broker,
                                        SessionFloors, sharedReplicas());
  if (Options.Load.ReachReports)
    Relay->reportReach(*Broker);
  return {};
}

Expected<void> SteeringProcess::openProxy() {
  if (Options.RelayEndpoint.Port != 0)
    if (auto Done = openRelay(); !Done)
      return Done;
  TargetConnector &Connections =
      ConnectionSharing ? *ConnectionSharing : *Targets;
  const ProcessId Self{Options.Name, randomNumber()};
  Quotas = std::make_unique<QuotaSeats>(
      Self,
      QuotaTolerance{Options.QuotaOverageRatio, Options.QuotaOverageOperations,
                     Options.QuotaWindow});
  OperationPermits::Dependencies PermitDeps{Time, Loop, *Peers,
                                            Options.Load.QuotaForecast};
  if (Options.Load.PermitForwarding)
    PermitDeps.ForwardingHost = [this] {
      return Client ? Client->contact() : Endpoint{};
    };
  Permits = std::make_unique<OperationPermits>(
      std::move(PermitDeps), Options.Name, Options.PeerEndpoint.Port, *Quotas);
  Pipeline = std::make_unique<SessionPipeline>(
      SessionPipeline::Dependencies{
          Time, Loop, Connections, SessionFloors,
          [this] { return Client && Client->isCurrent(); }, Options.PeerKey,
          Permits.get(), Options.Load, sharedReplicas()},
      Options.OwnLocality);
  Client = std::make_unique<ControlClient>(
      ControlClientOptions{Self,
                           Options.PeerEndpoint.Port,
                           addressesOf(Options.Seeds),
                           {Options.Name, Options.RelayEndpoint,
                            Options.OwnLocality.FailureDomain}},
      Time, Loop, *Peers);
  Client->setQuotaSeats(Quotas.get());
  auto Callers =
      Adapter->listenForCallers(Loop, Options.SessionEndpoint, *Pipeline);
  if (!Callers)
    return tl::unexpected(Callers.error());
  CallerPort = std::move(*Callers);
  ReadinessHandler =
      Adapter->makeReadinessService([this] { return isReady(); });
  auto Opened = listen(Options.ReadinessEndpoint, *ReadinessHandler);
  if (!Opened)
    return tl::unexpected(Opened.error());
  ReadinessPort = std::move(*Opened);
  return {};
}

void SteeringProcess::connectControl() {
  Control->signalAudited().connect([](const AuditRecord &Record) {
    logEvent(EventId::StateChanged, {{"action", Record.Action},
                                     {"actor", Record.Actor},
                                     {"subject", Record.Subject},
                                     {"from", Record.From},
                                     {"to", Record.To},
                                     {"reason", Record.Reason}});
  });
  Control->signalReplayed().connect([this] {
    logEvent(EventId::StateRecalled,
             {{"plan", std::to_string(Control->state().plan().Version)},
              {"targets", std::to_string(Control->state().targets().size())},
              {"last", std::to_string(Control->consensus().commitIndex())}});
  });
  Control->signalLeadership().connect([](bool IsLeading) {
    logEvent(IsLeading ? EventId::LeadershipGained : EventId::LeadershipLost,
             {});
  });
  Control->signalConsensusStatus().connect([this] {
    const Consensus &Group = Control->consensus();
    if (admitEvent(EventId::GroupStanding))
      logEvent(EventId::GroupStanding,
               {{"role", roleName(Group.role())},
                {"term", std::to_string(Group.term())},
                {"last", std::to_string(Group.log().lastIndex())},
                {"voters", describe(Group.voters())}});
  });
  Control->promotionCoordinator().signalStep().connect(
      [](const std::string &Group, const std::string &Step,
         const std::string &Reason) {
        logEvent(EventId::PromotionStep,
                 {{"group", Group}, {"step", Step}, {"reason", Reason}});
      });
  Control->signalHeartbeatRefused().connect(
      [](const TargetRecord &Reported, HeartbeatConflict Conflict) {
        if (admitEvent(EventId::HeartbeatRefused))
          logEvent(EventId::HeartbeatRefused,
                   {{"target", Reported.Id},
                    {"group", Reported.Group},
                    {"address", Reported.Address.text()},
                    {"conflict", conflictName(Conflict)}});
      });
  Control->signalDiskStatus().connect([](const std::string &Refusal) {
    logEvent(Refusal.empty() ? EventId::DiskUsable : EventId::DiskRefuses,
             {{"error", Refusal}});
  });
  Control->signalFailed().connect([this](const Error &Problem) {
    // Later messages of this host could contradict those of the other hosts, so
    // it stops.
    logEvent(EventId::DiskFailed, {{"error", Problem.Message}});
    ExitCode = 1;
    Loop.stop();
  });
}

void SteeringProcess::connectProxy() {
  Client->signalPlan().connect([this] {
    logEvent(EventId::PlanInForce,
             {{"version", std::to_string(Client->plan().Version)},
              {"before", std::to_string(Pipeline->plan().Version)}});
    if (ConnectionSharing)
      ConnectionSharing->setPlan(Client->plan());
    Permits->adopt(Client->plan());
    Pipeline->adopt(Client->plan());
    Pipeline->updateTargets(Client->directory());
  });
  Client->signalDirectory().connect([this] {
    if (ConnectionSharing)
      ConnectionSharing->updateTargets(Client->directory());
    Pipeline->updateTargets(Client->directory());
  });
  Client->signalProxies().connect(
      [this](std::size_t Count) { Pipeline->setProxyCount(Count); });
  Client->signalQuotas().connect([this] { Permits->handleSeatsChanged(); });
  if (ConnectionSharing)
    connectRelay();
  Client->signalConnectivity().connect([](bool IsConnected) {
    logEvent(IsConnected ? EventId::ControlFound : EventId::ControlLost, {});
  });
  Pipeline->signalTargetFailure().connect(
      sigc::mem_fun(*this, &SteeringProcess::reportTargetFailure));
  Pipeline->signalPrimaryAnswered().connect(
      [this](const std::string &Id) { Client->recordReachable(Id); });
  if (Options.Load.LeadRelief)
    Pipeline->signalReadPressure().connect(
        [this](const std::string &Group, bool IsRefused) {
          Client->recordPressure(Group, IsRefused);
        });
  subscribeStatementLogs(*Pipeline, Time);
  CallerPort->signalMalformedLine().connect(&logMalformedLine);
}

void SteeringProcess::connectRelay() {
  Client->signalProxyList().connect([this](
                                        const std::vector<ProxyRecord> &All) {
    logEvent(EventId::ProxiesKnown, {{"proxies", std::to_string(All.size())}});
    ConnectionSharing->setProxies(All);
    Permits->setProxies(All);
    Pipeline->setProxyCount(All.size());
    // Statements may have waited for the list.
    Pipeline->updateTargets(Client->directory());
  });
  ConnectionSharing->signalPeerReach().connect(
      [](const std::string &Name, bool IsReachable) {
        const EventId Event =
            IsReachable ? EventId::PeerReachable : EventId::PeerUnreachable;
        if (admitEvent(Event))
          logEvent(Event, {{"proxy", Name}});
      });
  Broker->signalTargetFailure().connect(
      sigc::mem_fun(*this, &SteeringProcess::reportTargetFailure));
  Broker->signalPrimaryAnswered().connect(
      [this](const std::string &Id) { Client->recordReachable(Id); });
  Broker->signalUnexpectedAnswer().connect(&logUnexpectedAnswer);
}

void SteeringProcess::reportTargetFailure(const TargetFailure &Problem) {
  if (admitEvent(EventId::TargetUnusable))
    logEvent(EventId::TargetUnusable,
             {{"target", Problem.Id},
              {"how", Problem.IsRefused ? "refused" : "silent"}});
  Client->recordUnreachable(Problem.Id);
}

int SteeringProcess::run() {
  std::signal(SIGPIPE, SIG_IGN);
  for (const int Signal : {SIGTERM, SIGINT})
    Loop.onSignal(Signal, [this] { beginStop(); });
  Loop.onSignal(SIGHUP, [this] { reload(); });
  logEvent(EventId::Started, {{"name", Options.Name},
                              {"version", ProgramVersion},
                              {"revision", SourceRevision}});
  if (Control) {
    connectControl();
    Control->start();
  }
  if (Client) {
    connectProxy();
    Client->start();
  }
  Loop.run();
  logEvent(EventId::Stopped, {{"name", Options.Name}});
  return ExitCode;
}

void SteeringProcess::beginStop() {
  if (std::exchange(Stopping, true))
    return;
  logEvent(EventId::Stopping, {{"reason", "signal"}});
  const StopSchedule Schedule(Time.now(), Options.StopTimeout,
                              Options.DrainDelay);
  if (DirectoryPort) {
    DirectoryPort->stopListening();
    DirectoryPort->closeConnectionsAfterResponse();
  }
  if (Control) {
    Control->beginStop();
    LeaveBy = std::min(Time.now() + LeaveTimeout, Schedule.bound());
  }
  if (Pipeline) {
    Client->announceStop();
    if (Relay)
      Relay->announceStop(
          Schedule.lastStart(Pipeline->plan().longestObjective()));
    Pipeline->beginStop(Schedule);
  }
  stopWhenIdle(Schedule);
}

bool SteeringProcess::isIdle() const {
  if (DirectoryPort && DirectoryPort->pendingRequests() > 0)
    return false;
  return !Pipeline || (Pipeline->hasNoSessions() && !CallerPort->hasUnsent() &&
                       (!Broker || !Broker->isBusy()));
}

bool SteeringProcess::hasLeftGroup() const {
  return !Control || Control->hasLeft();
}

void SteeringProcess::stopWhenIdle(const StopSchedule &Schedule) {
  const Millis Now = Time.now();
  const bool IsIdle = isIdle();
  // The balancer sends callers here until it has observed that this process is
  // not ready, so a proxy does not stop before then, even if idle.
  const bool MayStop = (!Pipeline || Now >= Schedule.unnoticedUntil()) &&
                       (hasLeftGroup() || Now >= LeaveBy);
  if ((IsIdle && MayStop) || Now >= Schedule.bound()) {
    if (!IsIdle || !hasLeftGroup())
      logStopBoundReached();
    Loop.stop();
    return;
  }
  Loop.after(StopCheckInterval, [this, Schedule] { stopWhenIdle(Schedule); });
}

void SteeringProcess::logStopBoundReached() const {
  const std::size_t Sessions = Pipeline ? Pipeline->sessions() : 0;
  const std::size_t Statements =
      Pipeline ? Pipeline->statementsInProgress() : 0;
  const std::size_t Requests =
      DirectoryPort ? DirectoryPort->pendingRequests() : 0;
  logEvent(EventId::StopBoundReached,
           {{"unfinished", std::to_string(Sessions)},
            {"statements", std::to_string(Statements)},
            {"requests", std::to_string(Requests)},
            {"leaves_group", hasLeftGroup() ? "true" : "false"}});
}

void SteeringProcess::reload() {
  const auto New = readFile(File);
  if (!New)
    return logEvent(EventId::SettingsRefused, {{"error", New.error().Message}});
  const auto Parsed = parseSettings(File, *New);
  if (!Parsed) {
    for (const Finding &Each : Parsed.error())
      logEvent(EventId::SettingsRefused, {{"error", Each.text()}});
    return;
  }
  if (Client)
    Client->setSeeds(addressesOf(Parsed->Seeds));
  logEvent(EventId::SettingsReloaded, {{"key", "group.seeds"}});
}

} // namespace corianderdyke
