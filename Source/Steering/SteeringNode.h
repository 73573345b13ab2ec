/// \file
/// A control host where targets enforce their leadership themselves: the
/// agreement on the plan, the directory of targets, and the proxies that
/// follow.

#ifndef CORIANDERDYKE_STEERING_STEERINGNODE_H
#define CORIANDERDYKE_STEERING_STEERINGNODE_H

#include "Consensus/ReadBarriers.h"
#include "Loop/Scheduler.h"
#include "Quota/SeatLedger.h"
#include "Steering/PromotionCoordinator.h"
#include "Steering/ProxyList.h"
#include "Transport/Transport.h"

namespace corianderdyke {

struct SteeringOptions {
  std::string Name;           ///< The host's address: members are named by it.
  std::string ProcessName;    ///< For people and as the holder of orders.
  std::uint16_t PeerPort = 0; ///< The same on all hosts.
  std::vector<std::string> Seeds; ///< Addresses of hosts to start from.
  bool MayBootstrap = false;
  /// Disks that may be lost at once without losing an acknowledged change.
  std::size_t ToleratedDiskLosses = 1;
  /// What callers' keys are digested with for proxies.
  std::string KeySecret = {};
};

struct SteeringDependencies {
  Clock &Time;
  Scheduler &Timers;
  Transport &Peers;
  TargetCommandPort &TargetCommands;
  PromotionPort &Promotions;
};

class SteeringNode : public sigc::trackable {
public:
  /// The plan in force when the handler runs, or Unavailable.
  using PlanHandler = std::function<void(Expected<const RoutePlan *>)>;
  /// Nothing, or Unavailable where the leader must be asked.
  using DoneHandler = std::function<void(Expected<void>)>;

  SteeringNode(SteeringOptions Given, SteeringDependencies Deps,
               ReplicatedLog &Log, std::uint64_t Seed);

  void start();

  /// Makes a plan the one in force; succeeds without effect where its version
  /// isn't higher. The caller has checked it.
  void acceptPlan(RoutePlan Plan, DoneHandler OnDone);
  /// Reads through the quorum.
  void readPlan(PlanHandler OnRead);
  /// A target's heartbeat; done once the proxies are being told.
  void applyHeartbeat(const TargetRecord &Said, DoneHandler OnDone);
  /// The life of a target that began at \p BornAt says goodbye.
  void deregister(const std::string &Target, std::uint64_t BornAt,
                  DoneHandler OnDone);

  bool leads() const { return Leading; }
  /// Address of the leading host; empty where none is known.
  const std::string &leader() const { return Agreement.leader(); }
  const Consensus &consensus() const { return Agreement; }
  const ReplicatedState &state() const { return State; }
  const TargetDirectory &directory() const { return Directory; }
  std::size_t subscriberCount() const { return Followers.size(); }

  /// Emitted with the disk's error when it refuses writes, and with nothing
  /// when it takes them again. Meanwhile this host neither leads nor votes.
  sigc::signal<void(const std::string &)> &signalDiskStatus() {
    return DiskChanged;
  }
  /// Emitted when the disk holds what can't be right: the process must end.
  sigc::signal<void(const Error &)> &signalFailed() { return Failed; }
  /// Emitted with each change that was decided since this host's disk was
  /// read.
  sigc::signal<void(const AuditRecord &)> &signalAudited() { return Audited; }
  /// Emitted once all that the disk held at the start is in the state.
  sigc::signal<void()> &signalReplayed() { return Replayed; }
  sigc::signal<void(bool)> &signalLeadership() { return Leadership; }
  /// Emitted when the role, term or voters in the agreement change.
  sigc::signal<void()> &signalConsensusStatus() {
    return ConsensusStatusChanged;
  }
  PromotionCoordinator &promotionCoordinator() { return Coordinator; }

private:
  using CommitHandler = std::function<void(std::optional<std::uint64_t>)>;

  struct PendingChange {
    std::uint64_t Term = 0;
    bool IsCommitted = false;
    CommitHandler OnDone;
  };

  struct Subscriber {
    Endpoint Address;
    Millis LastContact;
    std::uint64_t PlanVersion = 0;
    DirectoryVersion Directory;
    DirectoryVersion Proxies;
    /// What the last update led to. The next one begins there: where it got
    /// lost the follower's own word shows it.
    DirectoryVersion DirectorySent;
    Millis PlanSentAt;
    Millis DirectorySentAt;
    Millis ProxiesSentAt;
  };

  /// Updates to one version, made once for all followers that have the same
  /// one before it.
  struct SharedUpdates {
    DirectoryVersion To;
    std::map<DirectoryVersion, PreparedMessage> ByFrom;

    /// The update from \p From to \p Version; \p Make makes a missing one.
    const PreparedMessage &of(const DirectoryVersion &From,
                              const DirectoryVersion &Version,
                              const std::function<PreparedMessage()> &Make);
  };

  /// A request for seats that waits until this host is known to lead still.
  struct PendingSeats {
    Endpoint From;
    SeatRequest Request;
  };

  /// The word of a proxy that spoke while nobody led.
  struct WaitingSubscribe {
    Envelope Message;
    Millis Since;
  };

  void tick();
  void receive(const Envelope &Arrived);
  void on(const Envelope &From, const ConsensusMessage &Body);
  void on(const Envelope &From, const SubscribeRequest &Body);
  void on(const Envelope &From, const DirectoryUpdate &Body);
  template <class Other> void on(const Envelope &, const Other &) {}

  void processOutputs();
  void checkDisk();
  void applyOutputs(ConsensusOutputs Outputs);
  void apply(const Entry &Done);
  /// Tells once that the state holds what the disk did.
  void checkReplayed();
  void propose(ReplicatedCommand Command, CommitHandler OnDone);
  void finishChanges();
  void failChanges();
  void updateLeadership();
  void checkConsensusStatus();
  void awaitReadBarrier(const DoneHandler &OnDone);
  void answer(const Endpoint &To, const SubscribeRequest &Request, bool Proven);
  /// Answers those that asked before anybody led.
  void answerWaiting();
  void bringUpToDate(Subscriber &To);
  const PreparedMessage &planUpdate();
  /// The version that an update for someone who has \p Known begins at.
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
  /// True where the change at an index may be acknowledged.
  bool isDurable(std::uint64_t Index) const;

  SteeringOptions Options;
  SteeringDependencies Deps;
  Consensus Agreement;
  ReplicatedState State;
  TargetDirectory Directory;
  PromotionCoordinator Coordinator;
  bool Leading = false;
  bool IsProcessingOutputs = false;
  std::uint64_t AppliedIndex = 0;
  /// The last entry that the disk held at the start. Told again as if decided
  /// now, these would have readers of the logs look for changes that nobody
  /// made: at each restart one for each target and plan.
  std::uint64_t ReplayEndIndex;
  bool IsReplayed; ///< At once where the disk was empty.
  DirectoryVersion Published;
  Millis PublishedAt;
  bool IsRecordingTargets = false; ///< A note on targets is under way.
  std::uint64_t RecordedRevision =
      0; ///< Revision of the directory that was noted.
  bool IsRecordingProxies = false;
  std::map<std::uint64_t, PendingChange> Changes;
  ReadBarriers Barriers;
  std::map<ProcessId, Subscriber> Followers;
  std::map<ProcessId, WaitingSubscribe> Waiting;
  ProxyList Proxies;
  SeatLedger Seats;
  std::map<ProcessId, PendingSeats> SeatRequests;
  bool IsConfirmingSeats = false;
  bool IsRecordingSeats = false;
  Millis SeatsAnsweredAt;
  std::uint64_t SharedPlanVersion = 0;
  PreparedMessage SharedPlan; ///< Of that version.
  SharedUpdates SharedDirectory;
  SharedUpdates SharedProxies;
  Millis LastWatch;
  Millis LeadingSince;
  bool DiskRefuses = false;
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
