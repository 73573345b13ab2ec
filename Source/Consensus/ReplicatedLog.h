/// \file
/// Durable entries, term and vote of one control host.

#ifndef CORIANDERDYKE_CONSENSUS_REPLICATEDLOG_H
#define CORIANDERDYKE_CONSENSUS_REPLICATEDLOG_H

#include "Consensus/Messages.h"
#include "Storage/Journal.h"

#include <optional>

namespace corianderdyke {

/// Durable consensus state. Every change is synced before the method returns,
/// so that no message to another host depends on state that exists only in
/// memory.
class ReplicatedLog {
public:
  explicit ReplicatedLog(Journal &Journal) : DurableJournal(Journal) {}

  /// Reads the state from the disk, and assigns and stores \p FreshDiskId if
  /// the disk is empty. A disk whose last batch is damaged also gets a new
  /// DiskId: the batch may have held a vote or entries that other hosts rely
  /// on, so the host must join again.
  Expected<void> load(const std::string &FreshDiskId);

  /// Recovers from a failed write: discards the state in memory that is not on
  /// the disk.
  Expected<void> reload();

  const std::string &diskId() const { return DiskId; }
  std::uint64_t term() const { return Term; }
  const std::string &votedFor() const { return VotedFor; }
  Expected<void> setTerm(std::uint64_t NewTerm, const std::string &Vote);

  std::uint64_t lastIndex() const;
  std::uint64_t lastTerm() const;
  /// Index of the last entry that the snapshot covers.
  std::uint64_t snapshotIndex() const { return SnapshotIndex; }
  std::uint64_t snapshotTerm() const { return SnapshotTerm; }
  const std::string &snapshotState() const { return SnapshotState; }
  const Members &snapshotVoters() const { return SnapshotVoters; }

  /// Term of an entry, or std::nullopt if the index is neither in the log nor
  /// the last index of the snapshot.
  std::optional<std::uint64_t> termAt(std::uint64_t Index) const;
  const Entry *entryAt(std::uint64_t Index) const;
  /// Returns entries from \p First on, limited to about \p MaxBytes.
  std::vector<Entry> entriesFrom(std::uint64_t First,
                                 std::size_t MaxBytes) const;

  Expected<void> append(const std::vector<Entry> &New);
  /// Drops the entries from \p Index on.
  Expected<void> truncateFrom(std::uint64_t Index);
  /// Replaces all entries up to \p Index by the snapshot \p State. Later
  /// entries stay.
  Expected<void> compact(std::uint64_t Index, Members Voters,
                         std::string State);
  /// Installs a snapshot of another host. Later entries stay if this log
  /// contains the last entry of the snapshot; otherwise the whole log is
  /// dropped.
  Expected<void> install(const SnapshotInstall &Snapshot);

  /// The voters in force: those of the last membership entry, committed or not,
  /// otherwise those of the snapshot. Empty before the group is founded.
  Members voters() const;
  /// Index of the last membership entry, or of the snapshot if there is none.
  std::uint64_t votersIndex() const;

  /// Bytes in the journal file.
  std::size_t journalBytes() const { return DurableJournal.size(); }
  /// Number of writes that waited for the disk, failed ones included.
  std::uint64_t syncedWrites() const { return SyncedWrites; }

private:
  Expected<void> loadSnapshot(const std::string &Bytes);
  Expected<void> loadRecord(const std::string &Bytes);
  /// Returns false if a replacement was interrupted and must be completed.
  Expected<bool> reconcileWithSnapshot();
  Expected<void> replaceDamagedDiskId(const std::string &FreshDiskId);
  void dropCoveredEntries();
  void dropFrom(std::uint64_t Index);
  Expected<void> rewrite();
  Expected<void> write(const std::vector<std::string> &Records);

  Journal &DurableJournal;
  std::string DiskId;
  std::uint64_t Term = 0;
  std::string VotedFor;
  std::uint64_t SnapshotIndex = 0;
  std::uint64_t SnapshotTerm = 0;
  Members SnapshotVoters;
  std::string SnapshotState;
  /// Entries[I].Index == SnapshotIndex + 1 + I.
  std::vector<Entry> Entries;
  std::uint64_t SyncedWrites = 0;
};

} // namespace corianderdyke

#endif
