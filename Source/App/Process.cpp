/// \file
/// One running process with its roles, on real sockets and files.

#include "App/Process.h"

#include "App/ReadFile.h"
#include "Common/RandomNumber.h"
#include "Logs/LogEvents.h"

#include <csignal>

namespace corianderdyke {

namespace {

constexpr Millis StopCheckInterval(10);

std::string freshDiskId() { return std::to_string(randomNumber()); }

} // namespace

Expected<std::unique_ptr<Process>>
Process::make(const Settings &Options, std::string File, std::string Text) {
  std::unique_ptr<Process> Made(
      new Process(Options, std::move(File), std::move(Text)));
  if (auto Done = Made->open(); !Done)
    return tl::unexpected(Done.error());
  return Made;
}

Expected<void> Process::open() {
  auto Transport = SocketTransport::listen(Loop, Options.PeerEndpoint,
                                           Options.Name, Options.PeerKey);
  if (!Transport)
    return tl::unexpected(Transport.error());
  Peers = std::move(*Transport);
  if (Options.IsControl)
    if (auto Done = openControl(); !Done)
      return Done;
  if (Options.IsProxy)
    Proxy = std::make_unique<ProxyNode>(
        Options, ProxyDependencies{Time, Loop, *Peers, Connector},
        randomNumber());
  Operators = std::make_unique<OperatorService>(
      OperatorSources{
          Time, *Peers, Control.get(), Proxy.get(),
          ProcessLatencies{&Loop.timerLatency(),
                           Disk ? &Disk->syncDurations() : nullptr}},
      Options.OperatorKey);
  return openListeners();
}

Expected<void> Process::openControl() {
  auto Folder = FileDisk::open(Options.DataFolder);
  if (!Folder)
    return tl::unexpected(Folder.error());
  Disk.emplace(std::move(*Folder));
  Records.emplace(*Disk);
  Log.emplace(*Records);
  if (auto Loaded = Log->load(freshDiskId()); !Loaded)
    return Loaded;
  Control = std::make_unique<ControlNode>(
      Options, ControlDependencies{Time, Loop, *Peers, Connector}, *Log,
      randomNumber());
  return {};
}

Expected<void> Process::openListeners() {
  auto Opened =
      EventHttpServer::listen(Loop, Options.OperatorEndpoint, *Operators);
  if (!Opened)
    return tl::unexpected(Opened.error());
  OperatorPort = std::move(*Opened);
  if (!Proxy)
    return {};
  auto Callers = EventHttpServer::listen(Loop, Options.CallerEndpoint, *Proxy);
  if (!Callers)
    return tl::unexpected(Callers.error());
  CallerPort = std::move(*Callers);
  return {};
}

void Process::connectLogs() {
  if (Control) {
    Control->signalAudited().connect([](const AuditRecord &Line) {
      logEvent(EventId::StateChanged, {{"action", Line.Action},
                                       {"subject", Line.Subject},
                                       {"from", Line.From},
                                       {"to", Line.To},
                                       {"reason", Line.Reason}});
    });
    Control->signalLeadership().connect([](bool Leads) {
      logEvent(Leads ? EventId::LeadershipGained : EventId::LeadershipLost, {});
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
  if (Proxy)
    Proxy->signalLease().connect([](bool Held) {
      logEvent(Held ? EventId::LeaseGained : EventId::LeaseLost, {});
    });
}

void Process::beginStop(const std::string &Reason) {
  if (Stopping)
    return;
  Stopping = true;
  logEvent(EventId::Stopping, {{"reason", Reason}});
  Operators->beginStopping();
  const Millis Until = Time.now() + Options.DrainDelay + Options.StopTimeout;
  if (!Proxy) {
    stopWhenIdle(Until);
    return;
  }
  // Callers that keep their connection are asked to leave with their next
  // answer. New ones are still served, since the balancer sends them until it
  // has seen that this process isn't ready.
  CallerPort->closeConnectionsAfterResponse();
  Loop.after(Options.DrainDelay, [this] { CallerPort->stopListening(); });
  Proxy->drain([this, Until] { stopWhenIdle(Until); });
  Loop.after(Until - Time.now(), [this, Until] { stopWhenIdle(Until); });
}

std::size_t Process::unfinished() const {
  std::size_t Out = OperatorPort->pendingRequests();
  if (CallerPort)
    Out += CallerPort->pendingRequests();
  if (Proxy)
    Out += Proxy->statements().openTransactions();
  return Out;
}

void Process::stopWhenIdle(Millis Until) {
  const std::size_t Left = unfinished();
  if (Left > 0 && Time.now() < Until) {
    Loop.after(StopCheckInterval, [this, Until] { stopWhenIdle(Until); });
    return;
  }
  if (Left > 0)
    logEvent(EventId::StopBoundReached, {{"unfinished", std::to_string(Left)}});
  if (Proxy)
    Proxy->releaseRights();
  Loop.stop();
}

void Process::reload() {
  const auto New = readFile(File);
  if (!New) {
    logEvent(EventId::SettingsRefused, {{"error", New.error().Message}});
    return;
  }
  const auto Parsed = parseSettings(File, *New);
  if (!Parsed) {
    for (const Finding &Each : Parsed.error())
      logEvent(EventId::SettingsRefused, {{"error", Each.text()}});
    return;
  }
  configureLogging(Parsed->JsonLogs, static_cast<Severity>(Parsed->Level));
  // Text stays what the process started with but for the keys that reload,
  // so that each change that waits for a restart is told again each time.
  for (const ItemDifference &Each : diffDocuments(settingKeys(), Text, *New)) {
    const std::size_t Dot = Each.Item.find('.');
    const KeyDescription *Key = settingKeys().find(
        "[" + Each.Item.substr(0, Dot) + "]", Each.Item.substr(Dot + 1));
    const bool Reloads = Key != nullptr && Key->IsReloadable;
    const bool Secret = Each.Item.rfind("keys.", 0) == 0;
    logEvent(Reloads ? EventId::SettingsReloaded : EventId::RestartNeeded,
             {{"key", Each.Item},
              {"from", Secret ? "" : Each.From},
              {"to", Secret ? "" : Each.To}});
  }
}

int Process::run() {
  connectLogs();
  std::signal(SIGPIPE, SIG_IGN);
  for (const int Signal : {SIGTERM, SIGINT})
    Loop.onSignal(Signal, [this] { beginStop("signal"); });
  Loop.onSignal(SIGHUP, [this] { reload(); });
  Operators->signalDrainRequested().connect([this] { beginStop("operator"); });
  logEvent(EventId::Started, {{"name", Options.Name}});
  if (Control)
    Control->start();
  if (Proxy)
    Proxy->start();
  Loop.run();
  logEvent(EventId::Stopped, {{"name", Options.Name}});
  return ExitCode;
}

} // namespace corianderdyke
