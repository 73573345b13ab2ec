/// \file
/// A control host, for systems in which targets enforce their leadership
/// themselves: replicates the plan, maintains the directory of targets and
/// updates subscribed proxies.

#ifndef CORIANDERDYKE_STEERING_STEERINGNODE_H
#define CORIANDERDYKE_STEERING_STEERINGNODE_H

#include "Consensus/ReadBarriers.h"
#include "Loop/Scheduler.h"
#include "Quota/PermitForwarder.h"
#include "Quota/SeatLedger.h"
#include "Steering/PromotionCoordinator.h"
#include "Steering/ProxyList.h"
#include "Transport/Transport.h"

namespace corianderdyke {

struct SteeringOptions {
  std::string Name;               ///< The host's address, its member name.
  std::string ProcessName;        ///< For display and as order holder.
  std::uint16_t PeerPort = 0;     ///< The same on all hosts.
  std::vector<std::string> Seeds; ///< Addresses of hosts to start from.
  bool MayBootstrap = false;
  /// Disks that may fail at once without losing an acknowledged change.
  std::size_t ToleratedDiskLosses = 1;
  /// Secret for the digests of callers' keys that are sent to proxies.
  std::string KeySecret = {};
  /// Moves the lead of a group off a saturated primary if all replicas lag.
  bool LeadRelief = false;
  /// Whether requests for permits are passed on to holders of quota seats.
  bool PermitForwarding = false;
};

struct SteeringDependencies {
  Clock &Time;
  Scheduler &Timers;
  Transport &Peers;
  TargetCommandPort &TargetCommands;
  PromotionPort &Promotions;
};

/// The error of requests that only the leader serves.
tl::unexpected<Error> notLeadingError();

class SteeringNode : public sigc::trackable {
public:
  /// The plan in force when the handler runs, or Unavailable.
  using PlanHandler = std::function<void(Expected<const RoutePlan *>)>;
  /// Success, or Unavailable if this host does not lead or has lost the
  /// leadership meanwhile.
  using DoneHandler = std::function<void(Expected<void>)>;

  SteeringNode(SteeringOptions Given, SteeringDependencies Deps,
               ReplicatedLog &Log, std::uint64_t Seed);

  void start();

  /// Puts a plan in force; succeeds without effect if its version is not higher
  /// than the current one. Done once the plan in force survives the tolerated
  /// loss of disks, also if it was sent before. The caller has validated it.
  void acceptPlan(RoutePlan Plan, DoneHandler OnDone);
  /// Reads through the quorum.
  void readPlan(PlanHandler OnRead);
  /// Applies a target's heartbeat; done once the update to the proxies is sent
  /// or due. Conflict if the plan does not name the group and a target of a
  /// named one has the id or address.
  void applyHeartbeat(const TargetRecord &Reported, DoneHandler OnDone);
  /// Deregisters one incarnation of a target.
  void deregister(const std::string &Target, std::uint64_t Incarnation,
                  DoneHandler OnDone);

  /// Prepares the end of the process: a voter that the group can do without
  /// asks to be removed, once its own changes are done.
  void beginStop() { IsStopping = true; }
  /// True if the process may end without the group missing this host.
  bool hasLeft() const { return Agreement.hasLeft(); }

  bool leads() const { return Leading; }
  /// Address of the leading host; empty if none is known.
  const std::string &leader() const { return Agreement.leader(); }
  const Consensus &consensus() const { return Agreement; }
  const ReplicatedState &state() const { return State; }
  const TargetDirectory &directory() const { return Directory; }
  std::size_t subscriberCount() const { return Subscribers.size(); }
  const PermitForwardCounts &permitForwards() const {
    return Forwarder.counts();
  }

  /// Emitted with the disk's error when it refuses writes, and with nothing
  /// when it takes them again. Meanwhile this host neither leads nor votes.
  sigc::signal<void(const std::string &)> &signalDiskStatus() {
    return DiskChanged;
  }
  /// Emitted when the data on disk is corrupt: the process must end.
  sigc::signal<void(const Error &)> &signalFailed() { return Failed; }
  /// Emitted with each change committed after the entries that were on this
  /// host's disk at the start.
  sigc::signal<void(const AuditRecord &)> &signalAudited() { return Audited; }
  /// Emitted once all entries that were on the disk at the start are applied.
  sigc::signal<void()> &signalReplayed() { return Replayed; }
  sigc::signal<void(bool)> &signalLeadership() { return Leadership; }
  /// Emitted when the consensus role, term or voters change.
  sigc::signal<void()> &signalConsensusStatus() {
    return ConsensusStatusChanged;
  }
  PromotionCoordinator &promotionCoordinator() { return Coordinator; }
  /// Emitted with each heartbeat that was refused as a conflict.
  sigc::signal<void(const TargetRecord &, HeartbeatConflict)> &
  signalHeartbeatRefused() {
    return HeartbeatRefused;
  }
  /// Number of refused heartbeats by conflict.
  const std::map<std::string, std::uint64_t> &refusedHeartbeats() const {
    return RefusedHeartbeats;
  }

private:
  using CommitHandler = std::function<void(std::optional<std::uint64_t>)>;

  struct PendingChange {
    std::uint64_t Term = 0;
    bool IsCommitted = false;
    CommitHandler OnDone;
  };

  /// A plan that was sent again and waits until the one in force is durable.
  struct RepeatedPlan {
    std::uint64_t Index = 0;
    Millis Since;
    DoneHandler OnDone;
  };

  struct Subscriber {
    Endpoint Address;
    Millis LastContact;
    std::uint64_t PlanVersion = 0;
    DirectoryVersion Directory;
    DirectoryVersion Proxies;
    /// Version after the last update sent, from which the next one continues.
    /// If an update is lost, the subscriber's next request shows it.
    DirectoryVersion DirectorySent;
    Millis PlanSentAt;
    Millis DirectorySentAt;
    Millis ProxiesSentAt;
  };

  /// Updates to one version, encoded once for all subscribers that hold the
  /// same earlier version.
  struct SharedUpdates {
    DirectoryVersion To;
    std::map<DirectoryVersion, PreparedMessage> ByFrom;

    /// Returns the update from \p From to \p Version, created by \p Make if
    /// missing.
    const PreparedMessage &of(const DirectoryVersion &From,
                              const DirectoryVersion &Version,
                              const std::function<PreparedMessage()> &Make);
  };

  /// A seat request that waits until this host's leadership is confirmed.
  struct PendingSeats {
    Endpoint From;
    SeatRequest Request;
  };

  /// A proxy's request that arrived while there was no leader.
  struct WaitingSubscribe {
    Envelope Message;
    Millis Since;
  };

  void tick();
  void receive(const Envelope &Arrived);
  void on(const Envelope &From, const ConsensusMessage &Body);
  void on(const Envelope &From, const SubscribeRequest &Body);
  void on(const Envelope &From, const DirectoryUpdate &Body);
  void on(const Envelope &From, const ForwardedPermitRequest &Body);
  void on(const Envelope &From, const PermitReply &Body);
  template <class Other> void on(const Envelope &, const Other &) {}

  void processOutputs();
  void checkDisk();
  void applyOutputs(ConsensusOutputs Outputs);
  void apply(const Entry &Done);
  /// Emits signalReplayed once all entries from the disk are applied.
  void checkReplayed();
  void propose(ReplicatedCommand Command, CommitHandler OnDone);
  void finishChanges();
  void awaitPlan(DoneHandler OnDone);
  void finishRepeatedPlans();
  void failChanges();
  void updateLeadership();
  void checkConsensusStatus();
  void awaitReadBarrier(const DoneHandler &OnDone);
  void answer(const Endpoint &To, const SubscribeRequest &Request,
              bool IsConfirmed);
  /// Answers requests that arrived before there was a leader.
  void answerWaiting();
  void bringUpToDate(Subscriber &To);
  const PreparedMessage &planUpdate();
  /// Returns the version from which an update for a holder of \p Known starts.
  DirectoryVersion baseOf(const DirectoryVersion &Known) const;
  const PreparedMessage &directoryUpdate(const DirectoryVersion &Known);
  const PreparedMessage &proxyListUpdate(const DirectoryVersion &Known);
  void sendDirectory(Subscriber &To, const DirectoryVersion &Known);
  void publish();
  void queueSeatRequest(const Envelope &From, const SubscribeRequest &Body);
  void answerSeats();
  void recordSeats();
  void removeExpiredSubscribers();
  void recordTargets();
  void recordProxies();
  void compactIfLong();
  DirectoryVersion directoryVersion() const {
    return {Agreement.term(), Directory.revision()};
  }
  DirectoryVersion proxiesVersion() const {
    return {Agreement.term(), Proxies.revision()};
  }
  std::vector<std::string> members() const;
  /// True if the change at \p Index may be acknowledged.
  bool isDurable(std::uint64_t Index) const;

  SteeringOptions Options;
  SteeringDependencies Deps;
  Consensus Agreement;
  ReplicatedState State;
  TargetDirectory Directory;
  PromotionCoordinator Coordinator;
  bool Leading = false;
  bool IsStopping = false;
  bool IsProcessingOutputs = false;
  std::uint64_t AppliedIndex = 0;
  /// Of the entry that put the plan in force, or of the snapshot that holds it.
  std::uint64_t PlanIndex = 0;
  /// The last entry on the disk at the start. signalAudited is not emitted for
  /// entries up to it: otherwise readers of the logs would see, at each
  /// restart, one change per target and plan that nobody made.
  std::uint64_t ReplayEndIndex;
  bool IsReplayed; ///< Initially true if the disk was empty.
  DirectoryVersion Published;
  Millis PublishedAt;
  bool IsRecordingTargets = false;    ///< A record is being committed.
  std::uint64_t RecordedRevision = 0; ///< Recorded revision of the directory.
  bool IsRecordingProxies = false;
  std::map<std::uint64_t, PendingChange> Changes;
  std::vector<RepeatedPlan> RepeatedPlans;
  ReadBarriers Barriers;
  /// Leaving targets that were acknowledged in this leadership, and their
  /// incarnations.
  std::map<std::string, std::uint64_t> ConfirmedLeaving;
  std::map<ProcessId, Subscriber> Subscribers;
  std::map<ProcessId, WaitingSubscribe> WaitingRequests;
  ProxyList Proxies;
  SeatLedger Seats;
  PermitForwarder Forwarder;
  std::map<ProcessId, PendingSeats> SeatRequests;
  bool IsConfirmingSeats = false;
  bool IsRecordingSeats = false;
  Millis SeatsAnsweredAt;
  std::uint64_t SharedPlanVersion = 0;
  PreparedMessage SharedPlan; ///< Of SharedPlanVersion.
  SharedUpdates SharedDirectory;
  SharedUpdates SharedProxies;
  Millis LastWatch;
  Millis LeadingSince;
  bool DiskRefuses = false;
  std::map<std::string, std::uint64_t> RefusedHeartbeats;
  sigc::signal<void(const TargetRecord &, HeartbeatConflict)> HeartbeatRefused;
  sigc::signal<void(const Error &)> Failed;
  sigc::signal<void(const std::string &)> DiskChanged;
  sigc::signal<void()> Replayed;
  sigc::signal<void(const AuditRecord &)> Audited;
  sigc::signal<void(bool)> Leadership;
  sigc::signal<void()> ConsensusStatusChanged;
  ConsensusRole LastRole = ConsensusRole::Founding;
  std::uint64_t LastTerm = 0;
  Members LastVoters;
};

} // namespace corianderdyke

#endif
