/// \file
/// A running process with its roles, on real sockets and files.

#ifndef CORIANDERDYKE_APP_PROCESS_H
#define CORIANDERDYKE_APP_PROCESS_H

#include "Common/SystemClock.h"
#include "Http/EventHttpConnector.h"
#include "Http/EventHttpServer.h"
#include "Loop/EventLoop.h"
#include "Operators/OperatorService.h"
#include "Storage/FileDisk.h"
#include "Transport/SocketTransport.h"

#include <optional>

namespace corianderdyke {

/// Connects the components. Only this layer knows sockets and files.
class Process {
public:
  /// Opens the data folder and the ports; returns the first error. \p File is
  /// read again on SIGHUP; \p Text is its present content.
  static Expected<std::unique_ptr<Process>>
  make(const Settings &Options, std::string File, std::string Text);

  /// Runs until a signal ends it; returns the exit code.
  int run();

private:
  Process(const Settings &Options, std::string File, std::string Text)
      : Options(Options), File(std::move(File)), Text(std::move(Text)) {}

  Expected<void> open();
  Expected<void> openControl();
  Expected<void> openListeners();
  void connectLogs();
  void beginStop(const std::string &Reason);
  void stopWhenIdle(Millis DeadlineAt);
  std::size_t pendingWork() const;
  void reload();

  Settings Options;
  std::string File;
  std::string Text;
  SystemClock Time;
  EventLoop Loop;
  EventHttpConnector Connector{Loop};
  std::unique_ptr<SocketTransport> Peers;
  std::optional<FileDisk> Disk;
  std::optional<Journal> Records;
  std::optional<ReplicatedLog> Log;
  std::unique_ptr<ControlNode> Control;
  std::unique_ptr<ProxyNode> Proxy;
  std::unique_ptr<OperatorService> Operators;
  std::unique_ptr<EventHttpServer> OperatorPort;
  std::unique_ptr<EventHttpServer> CallerPort;
  bool Stopping = false;
  int ExitCode = 0;
};

} // namespace corianderdyke

#endif
