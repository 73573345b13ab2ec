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
                      std::unique_ptr<Edge> Outer) {
  std::unique_ptr<SteeringProcess> Made(
      new SteeringProcess(Options, std::move(File), std::move(Outer)));
  if (auto Done = Made->open(); !Done)
    return tl::unexpected(Done.error());
  return Made;
}

Expected<void> SteeringProcess::open() {
  auto Transport = SocketTransport::listen(Loop, Options.Peers, Options.Name,
                                           Options.PeerKey);
  if (!Transport)
    return tl::unexpected(Transport.error());
  Peers = std::move(*Transport);
  Targets = Outer->targets(Loop);
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
      ProcessDelays{&Loop.timerDelays(), Disk ? &Disk->syncs() : nullptr}});
  if (Options.Operators.Port == 0)
    return {};
  auto Opened = listen(Options.Operators, *Metrics);
  if (!Opened)
    return tl::unexpected(Opened.error());
  MetricsPort = std::move(*Opened);
  return {};
}

bool SteeringProcess::isReady() const {
  return Pipeline && !Stopping && Feed->isProven() &&
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
  Orders = Outer->orders(Loop, *Targets);
  Promotions =
      Outer->promotions(Loop, Connector, {Options.Promotions, Options.Name});
  SteeringOptions Given;
  Given.Name = Options.Peers.Address;
  Given.Process = Options.Name;
  Given.PeerPort = Options.Peers.Port;
  Given.Seeds = addressesOf(Options.Seeds);
  Given.MayFound = Options.MayFound;
  Given.LostDisksBorne = Options.LostDisksBorne;
  Given.KeySecret = Options.PeerKey;
  Control = std::make_unique<SteeringNode>(
      Given, SteeringPorts{Time, Loop, *Peers, *Orders, *Promotions}, *Log,
      randomNumber());
  DirectoryCalls = Outer->directory(*Control, Options.Directory);
  auto Opened = listen(Options.Directory, *DirectoryCalls);
  if (!Opened)
    return tl::unexpected(Opened.error());
  DirectoryPort = std::move(*Opened);
  return {};
}

Expected<void> SteeringProcess::openRelay() {
  auto Opened = SocketPeerStreams::listen(Loop, Options.Relay, Options.PeerKey);
  if (!Opened)
    return tl::unexpected(Opened.error());
  Streams = std::move(*Opened);
  Frames = std::make_unique<RelayFrames>();
  Broker = std::make_unique<TargetBroker>(Time, Loop, *Targets);
  Shared = std::make_unique<SharedConnector>(
      SharedConnector::Ports{Time, Loop, *Targets, *Broker, *Streams, *Frames,
                             Floors},
      Options.Name);
  Relay = std::make_unique<RelayHost>(Time, Loop, *Streams, *Frames, *Broker,
                                      Floors);
  return {};
}

Expected<void> SteeringProcess::openProxy() {
  if (Options.Relay.Port != 0)
    if (auto Done = openRelay(); !Done)
      return Done;
  TargetConnector &Connections = Shared ? *Shared : *Targets;
  const ProcessId Self{Options.Name, randomNumber()};
  Quotas = std::make_unique<QuotaSeats>(
      Self, QuotaTolerance{Options.QuotaOverage, Options.QuotaSlack,
                           Options.QuotaWindow});
  Permits = std::make_unique<OperationPermits>(
      OperationPermits::Ports{Time, Loop, *Peers}, Options.Name,
      Options.Peers.Port, *Quotas);
  Pipeline = std::make_unique<SessionPipeline>(
      SessionPipeline::Ports{Time, Loop, Connections, Floors,
                             [this] { return Feed && Feed->isCurrent(); },
                             Options.PeerKey, Permits.get()},
      Options.Where);
  Feed = std::make_unique<ControlFeed>(
      FeedOptions{Self,
                  Options.Peers.Port,
                  addressesOf(Options.Seeds),
                  {Options.Name, Options.Relay, Options.Where.FailureDomain}},
      Time, Loop, *Peers);
  Feed->setQuotas(Quotas.get());
  auto Callers = Outer->listenForCallers(Loop, Options.Sessions, *Pipeline);
  if (!Callers)
    return tl::unexpected(Callers.error());
  CallerPort = std::move(*Callers);
  ReadinessCalls = Outer->readiness([this] { return isReady(); });
  auto Opened = listen(Options.Readiness, *ReadinessCalls);
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
  Control->signalRecalled().connect([this] {
    logEvent(EventId::StateRecalled,
             {{"plan", std::to_string(Control->state().plan().Version)},
              {"targets", std::to_string(Control->state().targets().size())},
              {"last", std::to_string(Control->consensus().commitIndex())}});
  });
  Control->signalLeadership().connect([](bool Leads) {
    logEvent(Leads ? EventId::LeadershipGained : EventId::LeadershipLost, {});
  });
  Control->signalStanding().connect([this] {
    const Consensus &Group = Control->consensus();
    if (wantsEvent(EventId::GroupStanding))
      logEvent(EventId::GroupStanding,
               {{"role", text(Group.role())},
                {"term", std::to_string(Group.term())},
                {"last", std::to_string(Group.log().lastIndex())},
                {"voters", describe(Group.voters())}});
  });
  Control->promotions().signalStep().connect([](const std::string &Group,
                                                const std::string &What,
                                                const std::string &Why) {
    logEvent(EventId::PromotionStep,
             {{"group", Group}, {"step", What}, {"reason", Why}});
  });
  Control->signalDisk().connect([](const std::string &Refusal) {
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
    if (Shared)
      Shared->adopt(Feed->plan());
    Permits->adopt(Feed->plan());
    Pipeline->adopt(Feed->plan());
    Pipeline->update(Feed->directory());
  });
  Feed->signalDirectory().connect([this] {
    if (Shared)
      Shared->update(Feed->directory());
    Pipeline->update(Feed->directory());
  });
  Feed->signalProxies().connect(
      [this](std::size_t Count) { Pipeline->setProxyCount(Count); });
  Feed->signalQuotas().connect([this] { Permits->seatsChanged(); });
  if (Shared)
    connectRelay();
  Feed->signalContact().connect([](bool HasContact) {
    logEvent(HasContact ? EventId::ControlFound : EventId::ControlLost, {});
  });
  Pipeline->signalTrouble().connect(
      sigc::mem_fun(*this, &SteeringProcess::noteTrouble));
  Pipeline->signalReached().connect(
      [this](const std::string &Id) { Feed->noteReached(Id); });
  logStatements(*Pipeline, Time);
}

void SteeringProcess::connectRelay() {
  Feed->signalProxyList().connect([this](const std::vector<ProxyRecord> &All) {
    logEvent(EventId::ProxiesKnown, {{"proxies", std::to_string(All.size())}});
    Shared->setProxies(All);
    Permits->setProxies(All);
    Pipeline->setProxyCount(All.size());
    // Statements may have waited for the list.
    Pipeline->update(Feed->directory());
  });
  Broker->signalTrouble().connect(
      sigc::mem_fun(*this, &SteeringProcess::noteTrouble));
  Broker->signalReached().connect(
      [this](const std::string &Id) { Feed->noteReached(Id); });
}

void SteeringProcess::noteTrouble(const TargetTrouble &Seen) {
  if (wantsEvent(EventId::TargetUnusable))
    logEvent(
        EventId::TargetUnusable,
        {{"target", Seen.Id}, {"how", Seen.IsRefused ? "refused" : "silent"}});
  Feed->noteFailed(Seen.Id);
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
    Relay->beginStop();
  const Millis Now = Time.now();
  const Millis Part = Options.StopBound / StopParts;
  Pipeline->beginStop(Now + Part * TransactionsEndBy,
                      Now + Part * SessionsLeaveBy);
  stopWhenQuiet(Now + Part * (StopParts - 1));
}

void SteeringProcess::stopWhenQuiet(Millis Until) {
  // The balancer sends callers here until it has seen that this process isn't
  // ready, so an early quiet moment is no reason to go.
  const Millis Notice = Until -
                        Options.StopBound / StopParts * (StopParts - 1) +
                        Options.StopNotice;
  const Millis Now = Time.now();
  const bool IsQuiet = Pipeline->isQuiet() && (!Broker || !Broker->isBusy());
  if ((IsQuiet && Now >= Notice) || Now >= Until) {
    if (!IsQuiet)
      logEvent(EventId::StopBoundReached,
               {{"unfinished", std::to_string(Pipeline->sessions())}});
    Loop.stop();
    return;
  }
  Loop.after(StopCheckInterval, [this, Until] { stopWhenQuiet(Until); });
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
