/// \file
/// Durable entries, term and vote of one control host.

#include "Consensus/ReplicatedLog.h"

#include "Common/Codec.h"

#include <algorithm>

namespace corianderdyke {

namespace {

struct IdentityRecord {
  std::string DiskId;
  template <class Archive> void serialize(Archive &Ar) { Ar(DiskId); }
};

struct TermRecord {
  std::uint64_t Term = 0;
  std::string VotedFor;
  template <class Archive> void serialize(Archive &Ar) { Ar(Term, VotedFor); }
};

struct TruncationRecord {
  std::uint64_t FromIndex = 0;
  template <class Archive> void serialize(Archive &Ar) { Ar(FromIndex); }
};

using LogRecord =
    std::variant<IdentityRecord, TermRecord, TruncationRecord, Entry>;

struct SnapshotRecord {
  std::uint64_t Index = 0;
  std::uint64_t Term = 0;
  Members Voters;
  std::string State;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Index, Term, Voters, State);
  }
};

template <class T> std::string recordOf(T Value) {
  return encode(LogRecord(std::move(Value)));
}

} // namespace

Expected<void> ReplicatedLog::load(const std::string &FreshDiskId) {
  const auto Content = DurableJournal.load();
  if (!Content)
    return tl::unexpected(Content.error());
  if (auto Done = loadSnapshot(Content->Snapshot); !Done)
    return Done;
  for (const std::string &Bytes : Content->Records)
    if (auto Done = loadRecord(Bytes); !Done)
      return Done;
  const auto IsConsistent = reconcileWithSnapshot();
  if (!IsConsistent)
    return tl::unexpected(IsConsistent.error());
  if (Content->TailDamaged)
    if (auto Done = replaceDamagedDiskId(FreshDiskId); !Done)
      return Done;
  if (Content->TailDamaged || !*IsConsistent)
    return rewrite();
  if (!DiskId.empty())
    return {};
  DiskId = FreshDiskId;
  return write({recordOf(IdentityRecord{DiskId})});
}

Expected<void> ReplicatedLog::write(const std::vector<std::string> &Records) {
  ++SyncedWrites;
  return DurableJournal.append(Records);
}

Expected<void> ReplicatedLog::reload() {
  ++SyncedWrites;
  if (auto Done = DurableJournal.repair(); !Done)
    return Done;
  const std::string OldDiskId = DiskId;
  Entries.clear();
  SnapshotIndex = 0;
  SnapshotTerm = 0;
  SnapshotVoters.clear();
  SnapshotState.clear();
  Term = 0;
  VotedFor.clear();
  return load(OldDiskId);
}

Expected<void> ReplicatedLog::loadSnapshot(const std::string &Bytes) {
  if (Bytes.empty())
    return {};
  const auto Snapshot = decode<SnapshotRecord>(Bytes);
  if (!Snapshot)
    return tl::unexpected(Snapshot.error());
  SnapshotIndex = Snapshot->Index;
  SnapshotTerm = Snapshot->Term;
  SnapshotVoters = Snapshot->Voters;
  SnapshotState = Snapshot->State;
  return {};
}

Expected<void> ReplicatedLog::loadRecord(const std::string &Bytes) {
  const auto Record = decode<LogRecord>(Bytes);
  if (!Record)
    return tl::unexpected(Record.error());
  if (const auto *Identity = std::get_if<IdentityRecord>(&*Record))
    DiskId = Identity->DiskId;
  if (const auto *State = std::get_if<TermRecord>(&*Record)) {
    Term = State->Term;
    VotedFor = State->VotedFor;
  }
  if (const auto *Truncation = std::get_if<TruncationRecord>(&*Record))
    dropFrom(Truncation->FromIndex);
  const auto *Next = std::get_if<Entry>(&*Record);
  if (Next == nullptr)
    return {};
  if (!Entries.empty() && Next->Index != Entries.back().Index + 1)
    return fail(ErrorCode::Corrupt, "journal skips from entry " +
                                        std::to_string(Entries.back().Index) +
                                        " to " + std::to_string(Next->Index));
  Entries.push_back(*Next);
  return {};
}

// A crash between writing the two files of a replacement leaves the new
// snapshot and the old journal. The journal entries after the snapshot belong
// to the same log only if the journal also contains the last entry of the
// snapshot. The interrupted replacement is completed, so that the next start
// finds consistent files.
Expected<bool> ReplicatedLog::reconcileWithSnapshot() {
  if (Entries.empty() || Entries.front().Index == SnapshotIndex + 1)
    return true;
  if (Entries.front().Index > SnapshotIndex + 1)
    return fail(ErrorCode::Corrupt,
                "the snapshot ends at entry " + std::to_string(SnapshotIndex) +
                    " and the journal begins at entry " +
                    std::to_string(Entries.front().Index) +
                    "; this host can't go on from this disk: see "
                    "Help/task/lost-disk.md");
  dropCoveredEntries();
  return false;
}

void ReplicatedLog::dropCoveredEntries() {
  const auto AtSnapshot =
      std::find_if(Entries.begin(), Entries.end(), [this](const Entry &Each) {
        return Each.Index == SnapshotIndex && Each.Term == SnapshotTerm;
      });
  if (AtSnapshot == Entries.end())
    Entries.clear();
  else
    Entries.erase(Entries.begin(), AtSnapshot + 1);
}

Expected<void>
ReplicatedLog::replaceDamagedDiskId(const std::string &FreshDiskId) {
  const Members Last = voters();
  if (Last == Members{{Last.empty() ? "" : Last.front().Name, DiskId}})
    return fail(ErrorCode::Corrupt,
                "the last batch of the journal fails its checksum and no "
                "other control host holds it; changes after entry " +
                    std::to_string(lastIndex()) +
                    " may be lost: see Help/task/lost-disk.md");
  DiskId = FreshDiskId;
  return {};
}

Expected<void> ReplicatedLog::setTerm(std::uint64_t NewTerm,
                                      const std::string &Vote) {
  if (NewTerm == Term && Vote == VotedFor)
    return {};
  Term = NewTerm;
  VotedFor = Vote;
  return write({recordOf(TermRecord{Term, VotedFor})});
}

std::uint64_t ReplicatedLog::lastIndex() const {
  return Entries.empty() ? SnapshotIndex : Entries.back().Index;
}

std::uint64_t ReplicatedLog::lastTerm() const {
  return Entries.empty() ? SnapshotTerm : Entries.back().Term;
}

std::optional<std::uint64_t> ReplicatedLog::termAt(std::uint64_t Index) const {
  if (Index == SnapshotIndex)
    return SnapshotTerm;
  const Entry *Found = entryAt(Index);
  if (Found == nullptr)
    return std::nullopt;
  return Found->Term;
}

const Entry *ReplicatedLog::entryAt(std::uint64_t Index) const {
  if (Index <= SnapshotIndex || Index > lastIndex())
    return nullptr;
  return &Entries[Index - SnapshotIndex - 1];
}

std::vector<Entry> ReplicatedLog::entriesFrom(std::uint64_t First,
                                              std::size_t MaxBytes) const {
  std::vector<Entry> Out;
  std::size_t Bytes = 0;
  for (std::uint64_t Index = First; Index <= lastIndex(); ++Index) {
    const Entry *Next = entryAt(Index);
    if (Next == nullptr ||
        (!Out.empty() && Bytes + Next->Bytes.size() > MaxBytes))
      break;
    Bytes += Next->Bytes.size();
    Out.push_back(*Next);
  }
  return Out;
}

Expected<void> ReplicatedLog::append(const std::vector<Entry> &New) {
  std::vector<std::string> Bytes;
  for (const Entry &Each : New) {
    Entries.push_back(Each);
    Bytes.push_back(recordOf(Each));
  }
  return write(Bytes);
}

Expected<void> ReplicatedLog::truncateFrom(std::uint64_t Index) {
  dropFrom(Index);
  return write({recordOf(TruncationRecord{Index})});
}

void ReplicatedLog::dropFrom(std::uint64_t Index) {
  while (!Entries.empty() && Entries.back().Index >= Index)
    Entries.pop_back();
}

Expected<void> ReplicatedLog::compact(std::uint64_t Index, Members Voters,
                                      std::string State) {
  const auto SnapshotEntryTerm = termAt(Index);
  if (!SnapshotEntryTerm || Index <= SnapshotIndex)
    return {};
  SnapshotIndex = Index;
  SnapshotTerm = *SnapshotEntryTerm;
  SnapshotVoters = std::move(Voters);
  SnapshotState = std::move(State);
  dropCoveredEntries();
  return rewrite();
}

Expected<void> ReplicatedLog::install(const SnapshotInstall &Snapshot) {
  SnapshotIndex = Snapshot.LastIndex;
  SnapshotTerm = Snapshot.LastTerm;
  SnapshotVoters = Snapshot.Voters;
  SnapshotState = Snapshot.State;
  // A late snapshot must not drop later entries that this host has
  // acknowledged, because the leader may have committed them on the basis of
  // that acknowledgement.
  dropCoveredEntries();
  return rewrite();
}

Expected<void> ReplicatedLog::rewrite() {
  std::vector<std::string> Kept = {recordOf(IdentityRecord{DiskId}),
                                   recordOf(TermRecord{Term, VotedFor})};
  for (const Entry &Each : Entries)
    Kept.push_back(recordOf(Each));
  ++SyncedWrites;
  return DurableJournal.replace(
      encode(SnapshotRecord{SnapshotIndex, SnapshotTerm, SnapshotVoters,
                            SnapshotState}),
      Kept);
}

std::uint64_t ReplicatedLog::votersIndex() const {
  for (auto Each = Entries.rbegin(); Each != Entries.rend(); ++Each)
    if (Each->Kind == EntryKind::Membership)
      return Each->Index;
  return SnapshotIndex;
}

Members ReplicatedLog::voters() const {
  const Entry *Last = entryAt(votersIndex());
  if (Last == nullptr)
    return SnapshotVoters;
  return decode<Members>(Last->Bytes).value_or(SnapshotVoters);
}

} // namespace corianderdyke
