/// \file
/// One running process where targets enforce their leadership themselves, on
/// real sockets and files.

#ifndef CORIANDERDYKE_APP_STEERINGPROCESS_H
#define CORIANDERDYKE_APP_STEERINGPROCESS_H

#include "App/SteeringMetrics.h"
#include "Common/SystemClock.h"
#include "Http/EventHttpConnector.h"
#include "Http/EventHttpServer.h"
#include "Quota/OperationPermits.h"
#include "Relay/RelayServer.h"
#include "Relay/SharedConnector.h"
#include "Settings/Settings.h"
#include "Steering/ControlClient.h"
#include "Steering/ProtocolAdapter.h"
#include "Storage/FileDisk.h"
#include "Transport/SocketPeerStreams.h"
#include "Transport/SocketTransport.h"

#include <optional>

namespace corianderdyke {

/// Puts the slices together. Only this layer and the edge know sockets.
class SteeringProcess : public sigc::trackable {
public:
  /// Opens the data folder and the ports; the first that fails is the error.
  static Expected<std::unique_ptr<SteeringProcess>>
  make(const Settings &Options, std::string File,
       std::unique_ptr<ProtocolAdapter> Adapter);

  /// Runs until a signal ends it; the exit code.
  int run();

private:
  SteeringProcess(const Settings &Options, std::string File,
                  std::unique_ptr<ProtocolAdapter> Outer)
      : Options(Options), File(std::move(File)), Adapter(std::move(Outer)) {}

  Expected<void> open();
  Expected<void> openControl();
  Expected<void> openProxy();
  Expected<void> openRelay();
  Expected<void> openMetrics();
  bool isReady() const;
  Expected<std::unique_ptr<EventHttpServer>> listen(const Endpoint &At,
                                                    HttpService &Service);
  void connectControl();
  void connectProxy();
  void connectRelay();
  void reportTargetFailure(const TargetFailure &Seen);
  void beginStop();
  void stopWhenIdle(Millis Until);
  void reload();

  Settings Options;
  std::string File;
  SystemClock Time;
  EventLoop Loop;
  EventHttpConnector Connector{Loop};
  std::unique_ptr<ProtocolAdapter> Adapter;
  std::unique_ptr<SocketTransport> Peers;
  std::unique_ptr<TargetConnector> Targets;
  // Control.
  std::unique_ptr<TargetCommandPort> TargetCommands;
  std::unique_ptr<PromotionPort> Promotions;
  std::optional<FileDisk> Disk;
  std::optional<Journal> Records;
  std::optional<ReplicatedLog> Log;
  std::unique_ptr<SteeringNode> Control;
  std::unique_ptr<HttpService> DirectoryCalls;
  std::unique_ptr<EventHttpServer> DirectoryPort;
  // Proxy.
  FloorTable SessionFloors;
  std::unique_ptr<QuotaSeats> Quotas;
  std::unique_ptr<OperationPermits> Permits;
  std::unique_ptr<SocketPeerStreams> Streams;
  std::unique_ptr<RelayCodec> Frames;
  std::unique_ptr<TargetBroker> Broker;
  std::unique_ptr<SharedConnector> ConnectionSharing;
  std::unique_ptr<RelayServer> Relay;
  std::unique_ptr<SessionPipeline> Pipeline;
  std::unique_ptr<ControlClient> Feed;
  std::unique_ptr<CallerListener> CallerPort;
  std::unique_ptr<HttpService> ReadinessCalls;
  std::unique_ptr<EventHttpServer> ReadinessPort;
  std::unique_ptr<SteeringMetrics> Metrics;
  std::unique_ptr<EventHttpServer> MetricsPort;
  bool Stopping = false;
  int ExitCode = 0;
};

} // namespace corianderdyke

#endif
