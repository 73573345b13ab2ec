/// \file
/// One running process where targets enforce their leadership themselves.

#include "App/SteeringProcess.h"

#include "App/ReadFile.h"
#include "App/StatementLogs.h"
#include "Common/RandomNumber.h"
#include "Logs/LogEvents.h"

#include <csignal>

namespace corianderdyke {

namespace {

constexpr Millis StopCheckInterval(50);
/// Part of the time for a stop in which sessions between statements are asked
/// to leave; the rest is for those that are still at work.
constexpr std::int64_t SessionsLeaveBy = 4; // of 6
constexpr std::int64_t TransactionsEndBy = 3;
constexpr std::int64_t StopParts = 6;

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
  std::unique_ptr<SteeringProcess> Made(
      new SteeringProcess(Options, std::move(File), std::move(Adapter)));
  if (auto Done = Made->open(); !Done)
    return tl::unexpected(Done.error());
  return Made;
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
      Time, *Peers, Pipeline.get(), Broker.get(), Quotas.get(), Feed.get(),
      Control.get(), [this] { return isReady(); },
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
  return Pipeline && !Stopping && Feed->isConfirmed() &&
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
  SteeringOptions Given;
  Given.Name = Options.PeerEndpoint.Address;
  Given.ProcessName = Options.Name;
  Given.PeerPort = Options.PeerEndpoint.Port;
  Given.Seeds = addressesOf(Options.Seeds);
  Given.MayBootstrap = Options.MayBootstrap;
  Given.ToleratedDiskLosses = Options.ToleratedDiskLosses;
  Given.KeySecret = Options.PeerKey;
  Control = std::make_unique<SteeringNode>(
      Given,
      SteeringDependencies{Time, Loop, *Peers, *TargetCommands, *Promotions},
      *Log, randomNumber());
  DirectoryCalls =
      Adapter->makeDirectoryService(*Control, Options.DirectoryEndpoint);
  auto Opened = listen(Options.DirectoryEndpoint, *DirectoryCalls);
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
  Broker = std::make_unique<TargetBroker>(Time, Loop, *Targets);
  ConnectionSharing = std::make_unique<SharedConnector>(
      SharedConnector::Dependencies{Time, Loop, *Targets, *Broker, *Streams,
                                    *Frames, SessionFloors},
      Options.Name);
  Relay = std::make_unique<RelayServer>(Time, Loop, *Streams, *Frames, *Broker,
                                        SessionFloors);
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
  Permits = std::make_unique<OperationPermits>(
      OperationPermits::Dependencies{Time, Loop, *Peers}, Options.Name,
      Options.PeerEndpoint.Port, *Quotas);
  Pipeline = std::make_unique<SessionPipeline>(
      SessionPipeline::Dependencies{
          Time, Loop, Connections, SessionFloors,
          [this] { return Feed && Feed->isCurrent(); }, Options.PeerKey,
          Permits.get()},
      Options.OwnLocality);
  Feed = std::make_unique<ControlClient>(
      ControlClientOptions{Self,
                           Options.PeerEndpoint.Port,
                           addressesOf(Options.Seeds),
                           {Options.Name, Options.RelayEndpoint,
                            Options.OwnLocality.FailureDomain}},
      Time, Loop, *Peers);
  Feed->setQuotaSeats(Quotas.get());
  auto Callers =
      Adapter->listenForCallers(Loop, Options.SessionEndpoint, *Pipeline);
  if (!Callers)
    return tl::unexpected(Callers.error());
  CallerPort = std::move(*Callers);
  ReadinessCalls = Adapter->makeReadinessService([this] { return isReady(); });
  auto Opened = listen(Options.ReadinessEndpoint, *ReadinessCalls);
  if (!Opened)
    return tl::unexpected(Opened.error());
  ReadinessPort = std::move(*Opened);
  return {};
}

void SteeringProcess::connectControl() {
  Control->signalAudited().connect([](const AuditRecord &Line) {
    logEvent(EventId::StateChanged, {{"action", Line.Action},
                                     {"actor", Line.Actor},
                                     {"subject", Line.Subject},
                                     {"from", Line.From},
                                     {"to", Line.To},
                                     {"reason", Line.Reason}});
  });
  Control->signalReplayed().connect([this] {
    logEvent(EventId::StateRecalled,
             {{"plan", std::to_string(Control->state().plan().Version)},
              {"targets", std::to_string(Control->state().targets().size())},
              {"last", std::to_string(Control->consensus().commitIndex())}});
  });
  Control->signalLeadership().connect([](bool Leads) {
    logEvent(Leads ? EventId::LeadershipGained : EventId::LeadershipLost, {});
  });
  Control->signalConsensusStatus().connect([this] {
    const Consensus &Group = Control->consensus();
    if (admitEvent(EventId::GroupStanding))
      logEvent(EventId::GroupStanding,
               {{"role", refusalText(Group.role())},
                {"term", std::to_string(Group.term())},
                {"last", std::to_string(Group.log().lastIndex())},
                {"voters", describe(Group.voters())}});
  });
  Control->promotionCoordinator().signalStep().connect(
      [](const std::string &Group, const std::string &What,
         const std::string &Why) {
        logEvent(EventId::PromotionStep,
                 {{"group", Group}, {"step", What}, {"reason", Why}});
      });
  Control->signalDiskStatus().connect([](const std::string &Refusal) {
    logEvent(Refusal.empty() ? EventId::DiskUsable : EventId::DiskRefuses,
             {{"error", Refusal}});
  });
  Control->signalFailed().connect([this](const Error &Problem) {
    // What this host would say from here on could contradict the others.
    logEvent(EventId::DiskFailed, {{"error", Problem.Message}});
    ExitCode = 1;
    Loop.stop();
  });
}

void SteeringProcess::connectProxy() {
  Feed->signalPlan().connect([this] {
    logEvent(EventId::PlanInForce,
             {{"version", std::to_string(Feed->plan().Version)},
              {"before", std::to_string(Pipeline->plan().Version)}});
    if (ConnectionSharing)
      ConnectionSharing->setPlan(Feed->plan());
    Permits->adopt(Feed->plan());
    Pipeline->adopt(Feed->plan());
    Pipeline->updateTargets(Feed->directory());
  });
  Feed->signalDirectory().connect([this] {
    if (ConnectionSharing)
      ConnectionSharing->updateTargets(Feed->directory());
    Pipeline->updateTargets(Feed->directory());
  });
  Feed->signalProxies().connect(
      [this](std::size_t Count) { Pipeline->setProxyCount(Count); });
  Feed->signalQuotas().connect([this] { Permits->handleSeatsChanged(); });
  if (ConnectionSharing)
    connectRelay();
  Feed->signalConnectivity().connect([](bool HasContact) {
    logEvent(HasContact ? EventId::ControlFound : EventId::ControlLost, {});
  });
  Pipeline->signalTargetFailure().connect(
      sigc::mem_fun(*this, &SteeringProcess::reportTargetFailure));
  Pipeline->signalPrimaryAnswered().connect(
      [this](const std::string &Id) { Feed->recordReachable(Id); });
  subscribeStatementLogs(*Pipeline, Time);
}

void SteeringProcess::connectRelay() {
  Feed->signalProxyList().connect([this](const std::vector<ProxyRecord> &All) {
    logEvent(EventId::ProxiesKnown, {{"proxies", std::to_string(All.size())}});
    ConnectionSharing->setProxies(All);
    Permits->setProxies(All);
    Pipeline->setProxyCount(All.size());
    // Statements may have waited for the list.
    Pipeline->updateTargets(Feed->directory());
  });
  Broker->signalTargetFailure().connect(
      sigc::mem_fun(*this, &SteeringProcess::reportTargetFailure));
  Broker->signalPrimaryAnswered().connect(
      [this](const std::string &Id) { Feed->recordReachable(Id); });
}

void SteeringProcess::reportTargetFailure(const TargetFailure &Seen) {
  if (admitEvent(EventId::TargetUnusable))
    logEvent(
        EventId::TargetUnusable,
        {{"target", Seen.Id}, {"how", Seen.IsRefused ? "refused" : "silent"}});
  Feed->recordUnreachable(Seen.Id);
}

int SteeringProcess::run() {
  std::signal(SIGPIPE, SIG_IGN);
  for (const int Signal : {SIGTERM, SIGINT})
    Loop.onSignal(Signal, [this] { beginStop(); });
  Loop.onSignal(SIGHUP, [this] { reload(); });
  logEvent(EventId::Started, {{"name", Options.Name}});
  if (Control) {
    connectControl();
    Control->start();
  }
  if (Feed) {
    connectProxy();
    Feed->start();
  }
  Loop.run();
  logEvent(EventId::Stopped, {{"name", Options.Name}});
  return ExitCode;
}

void SteeringProcess::beginStop() {
  if (std::exchange(Stopping, true))
    return;
  logEvent(EventId::Stopping, {{"reason", "signal"}});
  if (!Pipeline) {
    Loop.stop();
    return;
  }
  Feed->announceStop();
  if (Relay)
    Relay->announceStop();
  const Millis Now = Time.now();
  const Millis Part = Options.StopTimeout / StopParts;
  Pipeline->beginStop(Now + Part * TransactionsEndBy,
                      Now + Part * SessionsLeaveBy);
  stopWhenIdle(Now + Part * (StopParts - 1));
}

void SteeringProcess::stopWhenIdle(Millis Until) {
  // The balancer sends callers here until it has seen that this process isn't
  // ready, so an early quiet moment is no reason to go.
  const Millis Notice = Until -
                        Options.StopTimeout / StopParts * (StopParts - 1) +
                        Options.DrainDelay;
  const Millis Now = Time.now();
  const bool IsQuiet =
      Pipeline->hasNoSessions() && (!Broker || !Broker->isBusy());
  if ((IsQuiet && Now >= Notice) || Now >= Until) {
    if (!IsQuiet)
      logEvent(EventId::StopBoundReached,
               {{"unfinished", std::to_string(Pipeline->sessions())}});
    Loop.stop();
    return;
  }
  Loop.after(StopCheckInterval, [this, Until] { stopWhenIdle(Until); });
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
  if (Feed)
    Feed->setSeeds(addressesOf(Parsed->Seeds));
  logEvent(EventId::SettingsReloaded, {{"key", "group.seeds"}});
}

} // namespace corianderdyke
