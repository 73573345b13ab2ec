/// \file
/// One running process with its roles, on real sockets and files.

#include "App/Process.h"

#include "Logs/LogEvents.h"

#include <csignal>
#include <random>

namespace corianderdyke {

namespace {

std::uint64_t randomNumber() {
  std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32U) | Device();
}

std::string freshDiskId() { return std::to_string(randomNumber()); }

} // namespace

Expected<std::unique_ptr<Process>> Process::make(const Settings &Options) {
  std::unique_ptr<Process> Made(new Process(Options));
  if (auto Done = Made->open(); !Done)
    return tl::unexpected(Done.error());
  return Made;
}

Expected<void> Process::open() {
  auto Transport = SocketTransport::listen(Loop, Options.Peers, Options.Name,
                                           Options.PeerKey);
  if (!Transport)
    return tl::unexpected(Transport.error());
  Peers = std::move(*Transport);
  if (Options.IsControl)
    if (auto Done = openControl(); !Done)
      return Done;
  if (Options.IsProxy)
    Proxy = std::make_unique<ProxyNode>(
        Options, ProxyPorts{Time, Loop, *Peers, Connector}, randomNumber());
  Operators = std::make_unique<OperatorService>(Control.get(), Proxy.get());
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
      Options, ControlPorts{Time, Loop, *Peers, Connector}, *Log,
      randomNumber());
  return {};
}

Expected<void> Process::openListeners() {
  auto Opened = EventHttpServer::listen(Loop, Options.Operators, *Operators);
  if (!Opened)
    return tl::unexpected(Opened.error());
  OperatorPort = std::move(*Opened);
  if (!Proxy)
    return {};
  auto Callers = EventHttpServer::listen(Loop, Options.Callers, *Proxy);
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
    Control->signalFailed().connect([this](const Error &Problem) {
      // Nothing may be promised any more once a write to disk failed.
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

int Process::run() {
  connectLogs();
  std::signal(SIGPIPE, SIG_IGN);
  for (const int Signal : {SIGTERM, SIGINT})
    Loop.onSignal(Signal, [this] { Loop.stop(); });
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
