/// \file
/// The entries, term and vote of one control host, kept on its disk.

#ifndef CORIANDERDYKE_CONSENSUS_REPLICATEDLOG_H
#define CORIANDERDYKE_CONSENSUS_REPLICATEDLOG_H

#include "Consensus/Messages.h"
#include "Storage/Journal.h"

#include <optional>

namespace corianderdyke {

/// Durable state of the agreement. Every change is synced before the method
/// returns, so that nothing is promised to another host from memory alone.
class ReplicatedLog {
public:
  explicit ReplicatedLog(Journal &Journal) : Records(Journal) {}

  /// Reads what the disk holds; makes and keeps a DiskId where it's empty. A
  /// disk whose last batch is damaged gets a new one too: the batch may have
  /// held a vote or entries that others count on, so its host must join anew.
  Expected<void> load(const std::string &FreshDiskId);

  /// After a failed write: drops from memory what the disk doesn't hold.
  Expected<void> reload();

  const std::string &diskId() const { return DiskId; }
  std::uint64_t term() const { return Term; }
  const std::string &votedFor() const { return VotedFor; }
  Expected<void> setTerm(std::uint64_t NewTerm, const std::string &Vote);

  std::uint64_t lastIndex() const;
  std::uint64_t lastTerm() const;
  /// Index of the last entry that the snapshot stands for.
  std::uint64_t snapshotIndex() const { return SnapshotIndex; }
  std::uint64_t snapshotTerm() const { return SnapshotTerm; }
  const std::string &snapshotState() const { return SnapshotState; }
  const Members &snapshotVoters() const { return SnapshotVoters; }

  /// Term of an entry; nothing where the index is neither in the log nor the
  /// snapshot's last.
  std::optional<std::uint64_t> termAt(std::uint64_t Index) const;
  const Entry *entryAt(std::uint64_t Index) const;
  /// Entries from \p First on, up to about \p MaxBytes.
  std::vector<Entry> entriesFrom(std::uint64_t First,
                                 std::size_t MaxBytes) const;

  Expected<void> append(const std::vector<Entry> &New);
  /// Drops the entries from \p Index on.
  Expected<void> truncateFrom(std::uint64_t Index);
  /// Lets \p State stand for all up to \p Index; later entries stay.
  Expected<void> compact(std::uint64_t Index, Members Voters,
                         std::string State);
  /// Takes another host's snapshot. Entries behind it stay where this log
  /// holds its last entry too; otherwise the whole log goes.
  Expected<void> install(const SnapshotInstall &Snapshot);

  /// The voters in force: those of the last membership entry, committed or
  /// not, else the snapshot's. Empty before the group is founded.
  Members voters() const;
  /// Index of the last membership entry, the snapshot's where there's none.
  std::uint64_t votersIndex() const;

  /// Bytes in the journal file.
  std::size_t journalBytes() const { return Records.size(); }

private:
  Expected<void> loadSnapshot(const std::string &Bytes);
  Expected<void> loadRecord(const std::string &Bytes);
  /// False where a replacement was interrupted and has to be completed.
  Expected<bool> reconcileWithSnapshot();
  Expected<void> replaceDamagedDiskId(const std::string &FreshDiskId);
  void dropCoveredEntries();
  void dropFrom(std::uint64_t Index);
  Expected<void> rewrite();

  Journal &Records;
  std::string DiskId;
  std::uint64_t Term = 0;
  std::string VotedFor;
  std::uint64_t SnapshotIndex = 0;
  std::uint64_t SnapshotTerm = 0;
  Members SnapshotVoters;
  std::string SnapshotState;
  /// Entries[I].Index == SnapshotIndex + 1 + I.
  std::vector<Entry> Entries;
};

} // namespace corianderdyke

#endif
