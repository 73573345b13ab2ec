/// \file
/// A group of consensus nodes on simulated disks with an unreliable network,
/// and the invariants that must hold in every run.

#ifndef CORIANDERDYKE_TESTS_SUPPORT_FAKECONTROLGROUP_H
#define CORIANDERDYKE_TESTS_SUPPORT_FAKECONTROLGROUP_H

#include "Consensus/Consensus.h"
#include "FakeDisk.h"

#include <deque>
#include <memory>

namespace corianderdyke {

/// Message loss and duplication per thousand, and the maximum delay.
struct MessageFaults {
  int Lost = 0;
  int Duplicated = 0;
  Millis MaxDelay = Millis(10);
};

class FakeControlGroup {
public:
  /// In MembershipMode::Open the first three hosts are the seeds.
  FakeControlGroup(std::uint64_t Seed, std::size_t Hosts,
                   MembershipMode Membership = MembershipMode::Listed);

  /// Advances time in steps of 5 ms and checks after each step that no term has
  /// two leaders, that all hosts apply the same entries and that confirmed
  /// reads are up to date. Throws std::runtime_error on a violation.
  void run(Millis Span);
  /// Runs until \p Condition holds; false if it does not within \p Timeout.
  bool runUntil(const std::function<bool()> &Condition,
                Millis Timeout = Millis(20000));
  /// Throws std::runtime_error if entries with the same index and term differ
  /// between hosts.
  void checkLogs() const;

  /// Starts a host with the disk it had before, if any.
  void start(const std::string &Name);
  /// Stops a host; the first \p Torn unsynced bytes of each file survive.
  void crash(const std::string &Name, std::size_t Torn = 0);
  /// Announces the stop of these hosts at the same time and stops each as soon
  /// as it has left, or after \p Timeout. Returns true if all have left by
  /// then.
  bool stop(const std::vector<std::string> &Which,
            Millis Timeout = Millis(3000));
  void loseDisk(const std::string &Name) { Disks.erase(Name); }
  /// Stops a host permanently and starts another one, which knows only the
  /// seeds.
  void replace(const std::string &Old, const std::string &New);
  /// Starts another host, which knows only the seeds.
  void add(const std::string &New);
  /// Stops a host permanently.
  void remove(const std::string &Old);
  /// Stops all hosts at the same time and starts them again, those of \p Lost
  /// with empty disks.
  void restartWithLostDisks(const std::vector<std::string> &Lost);
  /// Proposes \p Text through the leader and runs until the entry survives the
  /// loss of \p LostDisks disks. Returns its index, 0 if that is not reached.
  std::uint64_t proposeDurably(const std::string &Text, std::size_t LostDisks);

  /// Returns the ready leader with the highest term; null if there is none.
  Consensus *leader();
  Consensus *host(const std::string &Name);
  /// True once every running host has applied all entries that the leader has
  /// committed and every voter runs with the disk of its membership record.
  bool isSettled();
  /// True if there is a ready leader that knows of \p Count voters.
  bool hasVoters(std::size_t Count);
  /// True if there is a ready leader that has the entry \p Text at \p Index.
  bool isHeld(std::uint64_t Index, const std::string &Text);
  /// Returns one line of state for each host, for failure messages.
  std::string describe();
  /// Replaces the applied part of the log of a host by a snapshot.
  void compact(const std::string &Name);
  /// Begins a read at a host if it considers itself the leader.
  void read(const std::string &Name);

  std::vector<std::string> Names;
  std::map<std::string, std::shared_ptr<FakeDisk>> Disks;
  std::set<std::string> Frozen;
  /// Pairs (from, to) between which all messages are lost.
  std::set<std::pair<std::string, std::string>> Cuts;
  MessageFaults Faults;
  /// Duration of each disk sync. A host that syncs processes no messages and
  /// timers meanwhile, and sends its messages afterwards.
  Millis SyncDuration = Millis(0);
  std::mt19937_64 Random;
  Millis Now = Millis(1000);
  std::uint64_t ConfirmedReads = 0;
  std::uint64_t SentMessages = 0;

private:
  struct Host {
    std::shared_ptr<FakeDisk> Disk;
    std::unique_ptr<Journal> Records;
    std::unique_ptr<ReplicatedLog> Log;
    std::unique_ptr<Consensus> Node;
    std::uint64_t Applied = 0;
    std::string State;
    /// Highest index committed on any host when the read began, by ticket.
    std::map<std::uint64_t, std::uint64_t> Reads;
    std::deque<ConsensusMessage> WhileStopped;
    std::size_t Syncs = 0; ///< Of the disk, up to the last collect().
    Millis SyncingUntil;
  };
  struct InFlight {
    std::string To;
    ConsensusMessage Message;
  };

  /// Lists the first hosts other than \p Joining in the settings.
  void updateSeeds(const std::string &Joining);
  void step();
  void deliver();
  void collect(const std::string &Name);
  void apply(const std::string &Name, Host &At, const Entry &Each);
  void post(const std::string &From, const OutgoingConsensusMessage &Each,
            Millis At);
  bool isSyncing(const Host &Which) const { return Now < Which.SyncingUntil; }
  int chance() { return static_cast<int>(Random() % 1000); }

  MembershipMode Membership;
  const std::size_t ToleratedDiskLosses; ///< A minority of the first hosts.
  std::vector<std::string> Seeds;        ///< Used in MembershipMode::Open.
  bool IsFounding = true;                ///< True during the first start.
  std::map<std::string, std::unique_ptr<Host>> Hosts;
  std::multimap<Millis, InFlight> Network;
  /// Entries applied by any host and the state after each, by index.
  std::map<std::uint64_t, Entry> Committed;
  std::map<std::uint64_t, std::string> States;
  std::map<std::uint64_t, Member> Leaders;
  std::uint64_t NextDisk = 1;
};

} // namespace corianderdyke

#endif
