/// \file
/// A control host: the agreement, what it decides, and who must know.

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

/// The outside things that a control host works with.
struct ControlDependencies {
  Clock &Time;
  Scheduler &Timers;
  Transport &Peers;
  HttpConnector &Connector;
};

class ControlNode : public sigc::trackable {
public:
  /// The state that a committed change led to, or why it wasn't made.
  using ChangeHandler = std::function<void(Expected<ApplyResult>)>;
  /// The latest state, or Unavailable where this host doesn't lead.
  using ReadHandler = std::function<void(Expected<const ControlState *>)>;

  ControlNode(const Settings &Options, ControlDependencies Deps,
              ReplicatedLog &Log, std::uint64_t Seed);

  void start();

  /// Proposes a change; the handler runs once it's committed or refused, or
  /// with Unavailable where that can't be known here any more.
  void propose(std::string Actor, CommandBody Body, ChangeHandler OnDone);

  /// Makes a control host that has caught up a voter, or takes one out of the
  /// group for good. One change at a time: Conflict while another is under
  /// way. The steps for an operator are in docs/design/control-state.md.
  void addControlHost(const std::string &Name, ChangeHandler OnDone);
  void removeControlHost(const std::string &Name, ChangeHandler OnDone);

  /// Reads through the quorum.
  void readLatest(const ReadHandler &OnRead);

  /// Emitted with the disk's error when it refuses writes, and with nothing
  /// when it takes them again. Meanwhile this host neither leads nor votes.
  sigc::signal<void(const std::string &)> &signalDiskStatus() {
    return DiskChanged;
  }
  /// Emitted when the disk holds what can't be right: the process must end.
  sigc::signal<void(const Error &)> &signalFailed() { return Failed; }
  /// Emitted for each line that is added to the audit trail here.
  sigc::signal<void(const AuditRecord &)> &signalAudited() { return Audited; }
  /// Emitted when this host becomes leader or ceases to be.
  sigc::signal<void(bool)> &signalLeadership() { return Leadership; }

  const Consensus &consensus() const { return Agreement; }
  const LeaseRegistry &leases() const { return Leases; }
  const ConnectionLedger &connections() const { return Connections; }
  /// What this host has applied; it may be behind unless it leads.
  const ControlState &appliedState() const { return State; }
  /// True once no proxy can act without the revision any more.
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

  /// Carries out what the agreement wants done, and what follows from it.
  void processOutputs();
  void updateDiskStatus();
  void applyOutputs(ConsensusOutputs Outputs);
  void await(const Expected<std::uint64_t> &Index, ChangeHandler OnDone);
  void apply(const Entry &Committed);
  void grant(const PendingLease &To);
  void grantRights(const PendingRights &To);
  void updateLeadership();
  void publish();
  /// Sends the whole view to a proxy that is behind, unless something went
  /// to it just now.
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
  /// The view that was last sent out as a delta or is known to all.
  ClusterView Published;
  /// When a view or delta last went to a proxy.
  std::map<ProcessId, Millis> SentAt;
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
