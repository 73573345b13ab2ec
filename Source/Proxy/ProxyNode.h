/// \file
/// A proxy process: its lease, its cluster view and the service for callers.

#ifndef CORIANDERDYKE_PROXY_PROXYNODE_H
#define CORIANDERDYKE_PROXY_PROXYNODE_H

#include "Proxy/GracefulStop.h"
#include "Proxy/StatementService.h"
#include "Proxy/WriteGapMeter.h"
#include "Settings/Settings.h"
#include "Transport/Transport.h"

namespace corianderdyke {

struct ProxyDependencies {
  Clock &Time;
  Scheduler &Timers;
  Transport &Peers;
  HttpConnector &Connector;
};

/// Serves callers and targets on the callers' port.
class ProxyNode final : public HttpService, public sigc::trackable {
public:
  ProxyNode(const Settings &Options, ProxyDependencies Deps,
            std::uint64_t Incarnation);

  void start();

  void handle(const HttpRequest &Request,
              std::shared_ptr<HttpExchange> Exchange) override;
  void handleDisconnect(const std::string &Peer) override;
  bool isBound(const std::string &Peer) const override {
    return Statements.isBound(Peer);
  }

  /// Closes idle connections and returns the rights to them before a planned
  /// stop. Otherwise no proxy could use them until the rights expire.
  void releaseRights();

  /// True while the balancer may send callers here.
  bool isReady() const;

  /// Begins a planned stop: the proxy is not ready any more, serves the
  /// statements in flight and queued, ends open transactions by their idle
  /// timeout and then calls \p OnDone once. A second call does nothing.
  void drain(std::function<void()> OnDone);

  const ClusterView &view() const { return View; }
  const LeaseHolder &lease() const { return Lease; }
  const TargetTable &targets() const { return Table; }
  const ConnectionRights &rights() const { return Rights; }
  const StatementService &statements() const { return Statements; }
  const WriteGapMeter &writeGaps() const { return WriteGaps; }
  const ProcessId &id() const { return Id; }

  /// Emitted when the lease is gained or lost.
  sigc::signal<void(bool)> &signalLease() { return LeaseChanged; }

private:
  void tick();
  void advanceStop();
  void requestLease();
  void requestRights();
  void renewRights(Millis Now);
  void reportUnreachable(Millis Now);
  void receive(const Envelope &Message);
  void on(const Envelope &From, const LeaseGrant &Body);
  void on(const Envelope &From, const NotLeader &Body);
  void on(const Envelope &From, const RightsGrant &Body);
  void on(const Envelope &From, const ViewUpdate &Body);
  void on(const Envelope &From, const ViewDelta &Body);
  void applyView(const ClusterView &New, const Endpoint &Sender);
  template <class Other> void on(const Envelope &, const Other &) {}
  void announce(const HttpRequest &Request, HttpExchange &Exchange);
  const ControlHost &leader() const;

  Settings Options;
  ProxyDependencies Deps;
  ProcessId Id;
  ClusterView View;
  LeaseHolder Lease;
  ConnectionRights Rights;
  TargetTable Table;
  TargetWatcher Watcher;
  StatementService Statements;
  std::optional<GracefulStop> Stop;
  std::function<void()> OnStopped;
  WriteGapMeter WriteGaps;
  /// Index in Options.ControlHosts of the host that receives the requests.
  std::size_t LeaderIndex = 0;
  Millis LastLeaseRequest = Millis(-1000000);
  Millis LastAnswer;
  Millis LastRightsRequest = Millis(-1000000);
  bool HeldRights = false;
  bool HeldLease = false;
  Millis LastReachabilityCheck;
  std::set<std::string> Unreachable; ///< At the last check.
  sigc::signal<void(bool)> LeaseChanged;
};

} // namespace corianderdyke

#endif
