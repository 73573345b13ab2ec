/// \file
/// Consensus objects on fake disks, with a bad network between them, and what
/// must hold among them whatever happens.

#ifndef CORIANDERDYKE_TESTS_SUPPORT_FAKECONTROLGROUP_H
#define CORIANDERDYKE_TESTS_SUPPORT_FAKECONTROLGROUP_H

#include "Consensus/Consensus.h"
#include "FakeDisk.h"

#include <memory>

namespace corianderdyke {

/// Rates out of a thousand messages, and the longest delay of one.
struct MessageFaults {
  int Lost = 0;
  int Duplicated = 0;
  Millis MaxDelay = Millis(10);
};

class FakeControlGroup {
public:
  /// In an open group the first three hosts are the seeds.
  FakeControlGroup(std::uint64_t Seed, std::size_t Hosts,
                   MembershipMode Membership = MembershipMode::Listed);

  /// Lets time pass in steps of some milliseconds and checks after each that
  /// a term has one leader, that all hosts apply the same entries and that
  /// confirmed reads are up to date. Throws with what was broken.
  void run(Millis Span);
  /// Runs until the condition holds; false where it doesn't within \p Timeout.
  bool runUntil(const std::function<bool()> &Condition,
                Millis Timeout = Millis(20000));
  /// Entries with the same index and term must be the same on all hosts.
  void checkLogs() const;

  /// Starts a host, with the disk that its name had before if any.
  void start(const std::string &Name);
  /// Ends a host; of its unsynced bytes \p Torn stay.
  void crash(const std::string &Name, std::size_t Torn = 0);
  void loseDisk(const std::string &Name) { Disks.erase(Name); }
  /// Ends a host for good and starts another, which knows the seeds alone.
  void replace(const std::string &Old, const std::string &New);
  /// Proposes through the leader and runs until it outlives the loss of so
  /// many disks; the index, 0 where that doesn't come about.
  std::uint64_t proposeDurably(const std::string &Text, std::size_t LostDisks);

  /// The settled leader that the most hosts follow; null where there's none.
  Consensus *leader();
  Consensus *host(const std::string &Name);
  /// True once every running host has applied what the leader has committed,
  /// and every seat belongs to a running disk.
  bool isSettled();
  /// A line a host, for a test that fails.
  std::string describe();
  /// Lets the state stand for the log on a host, as a long journal does.
  void compact(const std::string &Name);
  /// Begins a read at a host that takes itself for the leader.
  void read(const std::string &Name);

  std::vector<std::string> Names;
  std::map<std::string, std::shared_ptr<FakeDisk>> Disks;
  std::set<std::string> Frozen;
  /// Ordered pairs of which the second hears nothing from the first.
  std::set<std::pair<std::string, std::string>> Cuts;
  MessageFaults Faults;
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
    /// Highest index committed anywhere when a read began, by ticket.
    std::map<std::uint64_t, std::uint64_t> Reads;
    std::vector<ConsensusMessage> WhileFrozen;
  };
  struct InFlight {
    std::string To;
    ConsensusMessage Message;
  };

  void step();
  void deliver();
  void collect(const std::string &Name);
  void apply(const std::string &Name, Host &At, const Entry &Each);
  void post(const std::string &From, const OutgoingConsensusMessage &Each);
  int chance() { return static_cast<int>(Random() % 1000); }

  MembershipMode Membership;
  std::vector<std::string> Seeds; ///< Of an open group.
  bool IsFounding = true;         ///< The hosts start for the first time.
  std::map<std::string, std::unique_ptr<Host>> Hosts;
  std::multimap<Millis, InFlight> Network;
  /// What any host has applied, and the state after it, by index.
  std::map<std::uint64_t, Entry> Committed;
  std::map<std::uint64_t, std::string> States;
  std::map<std::uint64_t, Member> Leaders;
  std::uint64_t NextDisk = 1;
};

} // namespace corianderdyke

#endif
