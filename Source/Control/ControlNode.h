/// \file
/// A control host: consensus, the replicated state, leases, failover and the
/// distribution of views to proxies.

#ifndef CORIANDERDYKE_CONTROL_CONTROLNODE_H
#define CORIANDERDYKE_CONTROL_CONTROLNODE_H

#include "Common/Clock.h"
#include "Consensus/ReadBarriers.h"
#include "Control/TargetOrderSender.h"
#include "Loop/Scheduler.h"
#include "Membership/AnnouncementGate.h"
#include "Rights/ConnectionLedger.h"
#include "Settings/Settings.h"
#include "State/ControlState.h"
#include "Transport/Transport.h"

namespace corianderdyke {

/// External services that a control host uses.
struct ControlDependencies {
  Clock &Time;
  Scheduler &Timers;
  Transport &Peers;
  HttpConnector &Connector;
};

class ControlNode : public sigc::trackable {
public:
  /// Receives the result of a committed change, or the error if it was not
  /// made.
  using ChangeHandler = std::function<void(Expected<ApplyResult>)>;
  /// Receives the latest state, or Unavailable if this host does not lead.
  using ReadHandler = std::function<void(Expected<const ControlState *>)>;

  ControlNode(const Settings &Options, ControlDependencies Deps,
              ReplicatedLog &Log, std::uint64_t Seed);

  void start();

  /// Proposes a change. The handler runs once it is committed or refused, or
  /// with Unavailable if this host can no longer determine the outcome.
  void propose(std::string Actor, CommandBody Body, ChangeHandler OnDone);

  /// Adds a control host that has caught up to the voters, or permanently
  /// removes one from the group. Only one change is possible at a time:
  /// Conflict while another is pending. docs/design/control-state.md describes
  /// the steps for an operator.
  void addControlHost(const std::string &Name, ChangeHandler OnDone);
  void removeControlHost(const std::string &Name, ChangeHandler OnDone);

  /// Reads the state after a quorum has confirmed that this host leads.
  void readLatest(const ReadHandler &OnRead);

  /// Emitted with the error of the disk when it refuses writes, and with an
  /// empty text when it accepts them again. In the meantime this host neither
  /// leads nor votes.
  sigc::signal<void(const std::string &)> &signalDiskStatus() {
    return DiskChanged;
  }
  /// Emitted when the state on the disk is invalid. The process must exit.
  sigc::signal<void(const Error &)> &signalFailed() { return Failed; }
  /// Emitted for each record that this host adds to its audit trail.
  sigc::signal<void(const AuditRecord &)> &signalAudited() { return Audited; }
  /// Emitted when this host gains or loses the leadership.
  sigc::signal<void(bool)> &signalLeadership() { return Leadership; }

  const Consensus &consensus() const { return Agreement; }
  const LeaseRegistry &leases() const { return Leases; }
  const ConnectionLedger &connections() const { return Connections; }
  /// The state that this host has applied. It may be outdated unless this host
  /// leads.
  const ControlState &appliedState() const { return State; }
  /// True once no proxy can act without \p Revision.
  bool isInForce(std::uint64_t Revision) const;

private:
  struct PendingLease {
    LeaseRequest Request;
    Endpoint ReplyTo;
    Millis ReceivedAt;
  };

  struct PendingRights {
    RightsRequest Request;
    Endpoint ReplyTo;
    Millis ReceivedAt;
  };

  struct PendingChange {
    std::uint64_t Term = 0;
    ChangeHandler OnDone;
  };

  void tick();
  void receive(const Envelope &Arrived);
  void on(const Envelope &From, const ConsensusMessage &Body);
  void on(const Envelope &From, const LeaseRequest &Body);
  void on(const Envelope &From, const ViewApplied &Body);
  void on(const Envelope &From, const ForwardedAnnouncement &Body);
  void on(const Envelope &From, const RightsRequest &Body);
  template <class Other> void on(const Envelope &, const Other &) {}

  /// Processes the outputs of the consensus and the actions that follow from
  /// them.
  void processOutputs();
  void updateDiskStatus();
  void applyOutputs(ConsensusOutputs Outputs);
  void await(const Expected<std::uint64_t> &Index, ChangeHandler OnDone);
  void apply(const Entry &Committed);
  void grant(const PendingLease &Pending);
  void grantRights(const PendingRights &Pending);
  void updateLeadership();
  void publish();
  /// Sends the whole view to a proxy that is behind, unless a view or delta was
  /// sent to it very recently.
  void sendView(const ProcessId &Proxy, const Endpoint &To);
  void runFailover();
  void removeExpiredProxies();
  void removeExpiredTargets();
  void compactIfLong();
  void failPending();

  Settings Options;
  ControlDependencies Deps;
  Consensus Agreement;
  ControlState State;
  LeaseRegistry Leases;
  ConnectionLedger Connections;
  FailoverCoordinator Failover;
  AnnouncementGate Announcements;
  TargetOrderSender Orders;
  bool Leading = false;
  bool ProcessingOutputs = false;
  std::uint64_t AppliedIndex = 0;
  /// Base of the next delta: the view as of the last delta, or as of the start
  /// of this leadership.
  ClusterView Published;
  /// When a view or delta was last sent to each proxy.
  std::map<ProcessId, Millis> ViewSentAt;
  std::map<std::uint64_t, PendingChange> Changes;
  ReadBarriers Reads;
  std::map<ProcessId, Millis> ProposedRemoval;
  bool DiskRefuses = false;
  sigc::signal<void(const Error &)> Failed;
  sigc::signal<void(const std::string &)> DiskChanged;
  sigc::signal<void(const AuditRecord &)> Audited;
  sigc::signal<void(bool)> Leadership;
};

} // namespace corianderdyke

#endif
