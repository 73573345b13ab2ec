/// \file
/// A running process with its roles, on real sockets and files.

#include "App/Process.h"

#include "App/ReadFile.h"
#include "Common/RandomNumber.h"
#include "Common/Version.h"
#include "Logs/LogEvents.h"

#include <csignal>

namespace corianderdyke {

namespace {

constexpr Millis StopCheckInterval(10);

std::string newDiskId() { return std::to_string(randomNumber()); }

} // namespace

Expected<std::unique_ptr<Process>>
Process::make(const Settings &Options, std::string File, std::string Text) {
  std::unique_ptr<Process> Created(
      new Process(Options, std::move(File), std::move(Text)));
  if (auto Done = Created->open(); !Done)
    return tl::unexpected(Done.error());
  return Created;
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
  if (auto Loaded = Log->load(newDiskId()); !Loaded)
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
    Control->signalAudited().connect([](const AuditRecord &Record) {
      logEvent(EventId::StateChanged, {{"action", Record.Action},
                                       {"subject", Record.Subject},
                                       {"from", Record.From},
                                       {"to", Record.To},
                                       {"reason", Record.Reason}});
    });
    Control->signalLeadership().connect([](bool IsLeading) {
      logEvent(IsLeading ? EventId::LeadershipGained : EventId::LeadershipLost,
               {});
    });
    Control->signalDiskStatus().connect([](const std::string &Refusal) {
      logEvent(Refusal.empty() ? EventId::DiskUsable : EventId::DiskRefuses,
               {{"error", Refusal}});
    });
    Control->signalFailed().connect([this](const Error &Problem) {
      // Later messages of this host could contradict those of the other hosts,
      // so it stops.
      logEvent(EventId::DiskFailed, {{"error", Problem.Message}});
      ExitCode = 1;
      Loop.stop();
    });
  }
  if (Proxy)
    Proxy->signalLease().connect([](bool IsHeld) {
      logEvent(IsHeld ? EventId::LeaseGained : EventId::LeaseLost, {});
    });
}

void Process::beginStop(const std::string &Reason) {
  if (Stopping)
    return;
  Stopping = true;
  logEvent(EventId::Stopping, {{"reason", Reason}});
  Operators->beginStopping();
  const Millis DeadlineAt =
      Time.now() + Options.DrainDelay + Options.StopTimeout;
  if (!Proxy) {
    stopWhenIdle(DeadlineAt);
    return;
  }
  // Connections that callers keep open are closed after their next answer. New
  // callers are still served, since the balancer sends them until it has
  // observed that this process is not ready.
  CallerPort->closeConnectionsAfterResponse();
  Loop.after(Options.DrainDelay, [this] { CallerPort->stopListening(); });
  Proxy->drain([this, DeadlineAt] { stopWhenIdle(DeadlineAt); });
  Loop.after(DeadlineAt - Time.now(),
             [this, DeadlineAt] { stopWhenIdle(DeadlineAt); });
}

std::size_t Process::pendingWork() const {
  std::size_t Out = OperatorPort->pendingRequests();
  if (CallerPort)
    Out += CallerPort->pendingRequests();
  if (Proxy)
    Out += Proxy->statements().openTransactions();
  return Out;
}

void Process::stopWhenIdle(Millis DeadlineAt) {
  const std::size_t Pending = pendingWork();
  if (Pending > 0 && Time.now() < DeadlineAt) {
    Loop.after(StopCheckInterval,
               [this, DeadlineAt] { stopWhenIdle(DeadlineAt); });
    return;
  }
  if (Pending > 0)
    logEvent(EventId::StopBoundReached,
             {{"unfinished", std::to_string(Pending)}});
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
  // Text remains the content at the start, so that each change that needs a
  // restart is logged again at every reload.
  for (const ItemDifference &Each : diffDocuments(settingKeys(), Text, *New)) {
    const std::size_t Dot = Each.Item.find('.');
    const KeyDescription *Key = settingKeys().find(
        "[" + Each.Item.substr(0, Dot) + "]", Each.Item.substr(Dot + 1));
    const bool IsReloadable = Key != nullptr && Key->IsReloadable;
    const bool IsSecret = Each.Item.rfind("keys.", 0) == 0;
    logEvent(IsReloadable ? EventId::SettingsReloaded : EventId::RestartNeeded,
             {{"key", Each.Item},
              {"from", IsSecret ? "" : Each.From},
              {"to", IsSecret ? "" : Each.To}});
  }
}

int Process::run() {
  connectLogs();
  std::signal(SIGPIPE, SIG_IGN);
  for (const int Signal : {SIGTERM, SIGINT})
    Loop.onSignal(Signal, [this] { beginStop("signal"); });
  Loop.onSignal(SIGHUP, [this] { reload(); });
  Operators->signalDrainRequested().connect([this] { beginStop("operator"); });
  logEvent(EventId::Started, {{"name", Options.Name},
                              {"version", ProgramVersion},
                              {"revision", SourceRevision}});
  if (Control)
    Control->start();
  if (Proxy)
    Proxy->start();
  Loop.run();
  logEvent(EventId::Stopped, {{"name", Options.Name}});
  return ExitCode;
}

} // namespace corianderdyke
