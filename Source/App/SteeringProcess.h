/// \file
/// A running process where targets enforce leadership themselves, on real
/// sockets and files.

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

/// Connects the components. Only this layer and the protocol adapter know
/// sockets.
class SteeringProcess : public sigc::trackable {
public:
  /// Opens the data folder and the ports; returns the first error.
  static Expected<std::unique_ptr<SteeringProcess>>
  make(const Settings &Options, std::string File,
       std::unique_ptr<ProtocolAdapter> Adapter);

  /// Runs until a signal ends it; returns the exit code.
  int run();

private:
  SteeringProcess(const Settings &Options, std::string File,
                  std::unique_ptr<ProtocolAdapter> Adapter)
      : Options(Options), File(std::move(File)), Adapter(std::move(Adapter)) {}

  Expected<void> open();
  Expected<void> openControl();
  Expected<void> openProxy();
  Expected<void> openRelay();
  Expected<void> openMetrics();
  bool isReady() const;
  /// Null unless reads follow the progress of replicas.
  ReplicaTable *sharedReplicas() {
    return Options.Load.ReplicaProgress ? &Replicas : nullptr;
  }
  Expected<std::unique_ptr<EventHttpServer>> listen(const Endpoint &At,
                                                    HttpService &Service);
  void connectControl();
  void connectProxy();
  void connectRelay();
  void reportTargetFailure(const TargetFailure &Problem);
  void beginStop();
  /// True if no caller or operator waits for anything from this process.
  bool isIdle() const;
  /// True if the control group does not wait for this host, if it is one.
  bool hasLeftGroup() const;
  void stopWhenIdle(const StopSchedule &Schedule);
  void logStopBoundReached() const;
  void reload();

  Settings Options;
  std::string File;
  SystemClock Time;
  EventLoop Loop;
  EventHttpConnector Connector{Loop};
  std::unique_ptr<ProtocolAdapter> Adapter;
  std::unique_ptr<SocketTransport> Peers;
  std::unique_ptr<TargetConnector> Targets;
  // The control role.
  std::unique_ptr<TargetCommandPort> TargetCommands;
  std::unique_ptr<PromotionPort> Promotions;
  std::optional<FileDisk> Disk;
  std::optional<Journal> Records;
  std::optional<ReplicatedLog> Log;
  std::unique_ptr<SteeringNode> Control;
  std::unique_ptr<HttpService> DirectoryHandler;
  std::unique_ptr<EventHttpServer> DirectoryPort;
  // The proxy role.
  FloorTable SessionFloors;
  ReplicaTable Replicas;
  std::unique_ptr<QuotaSeats> Quotas;
  std::unique_ptr<OperationPermits> Permits;
  std::unique_ptr<SocketPeerStreams> Streams;
  std::unique_ptr<RelayCodec> Frames;
  std::unique_ptr<TargetBroker> Broker;
  std::unique_ptr<SharedConnector> ConnectionSharing;
  std::unique_ptr<RelayServer> Relay;
  std::unique_ptr<SessionPipeline> Pipeline;
  std::unique_ptr<ControlClient> Client;
  std::unique_ptr<CallerListener> CallerPort;
  std::unique_ptr<HttpService> ReadinessHandler;
  std::unique_ptr<EventHttpServer> ReadinessPort;
  std::unique_ptr<SteeringMetrics> Metrics;
  std::unique_ptr<EventHttpServer> MetricsPort;
  bool Stopping = false;
  Millis LeaveBy; ///< A stopping control host ends by then as a voter too.
  int ExitCode = 0;
};

} // namespace corianderdyke

#endif
