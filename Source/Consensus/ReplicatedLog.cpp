/// \file
/// The entries, term and vote of one control host, kept on its disk.

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
  const auto Content = Records.load();
  if (!Content)
    return tl::unexpected(Content.error());
  if (!Content->Snapshot.empty()) {
    const auto Snapshot = decode<SnapshotRecord>(Content->Snapshot);
    if (!Snapshot)
      return tl::unexpected(Snapshot.error());
    SnapshotIndex = Snapshot->Index;
    SnapshotTerm = Snapshot->Term;
    SnapshotVoters = Snapshot->Voters;
    SnapshotState = Snapshot->State;
  }
  for (const std::string &Bytes : Content->Records) {
    const auto Record = decode<LogRecord>(Bytes);
    if (!Record)
      return tl::unexpected(Record.error());
    if (const auto *Identity = std::get_if<IdentityRecord>(&*Record))
      DiskId = Identity->DiskId;
    if (const auto *State = std::get_if<TermRecord>(&*Record)) {
      Term = State->Term;
      VotedFor = State->VotedFor;
    }
    if (const auto *Cut = std::get_if<TruncationRecord>(&*Record)) {
      while (!Entries.empty() && Entries.back().Index >= Cut->FromIndex)
        Entries.pop_back();
    }
    if (const auto *Next = std::get_if<Entry>(&*Record)) {
      // A crash between the two files of an installed snapshot leaves the
      // old journal: its entries are covered, or of a term that lost.
      if (Next->Index <= SnapshotIndex || Next->Term < SnapshotTerm)
        continue;
      if (Next->Index != lastIndex() + 1)
        return fail(ErrorCode::Corrupt,
                    "journal skips from entry " + std::to_string(lastIndex()) +
                        " to " + std::to_string(Next->Index));
      Entries.push_back(*Next);
    }
  }
  if (!DiskId.empty())
    return {};
  DiskId = FreshDiskId;
  return Records.append({recordOf(IdentityRecord{DiskId})});
}

Expected<void> ReplicatedLog::setTerm(std::uint64_t NewTerm,
                                      const std::string &Vote) {
  if (NewTerm == Term && Vote == VotedFor)
    return {};
  Term = NewTerm;
  VotedFor = Vote;
  return Records.append({recordOf(TermRecord{Term, VotedFor})});
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
  const Entry *Found = at(Index);
  if (Found == nullptr)
    return std::nullopt;
  return Found->Term;
}

const Entry *ReplicatedLog::at(std::uint64_t Index) const {
  if (Index <= SnapshotIndex || Index > lastIndex())
    return nullptr;
  return &Entries[Index - SnapshotIndex - 1];
}

std::vector<Entry> ReplicatedLog::from(std::uint64_t First,
                                       std::size_t MaxBytes) const {
  std::vector<Entry> Out;
  std::size_t Bytes = 0;
  for (std::uint64_t Index = First; Index <= lastIndex(); ++Index) {
    const Entry *Next = at(Index);
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
  return Records.append(Bytes);
}

Expected<void> ReplicatedLog::truncateFrom(std::uint64_t Index) {
  while (!Entries.empty() && Entries.back().Index >= Index)
    Entries.pop_back();
  return Records.append({recordOf(TruncationRecord{Index})});
}

Expected<void> ReplicatedLog::compact(std::uint64_t Index, Members Voters,
                                      std::string State) {
  const auto KeptTerm = termAt(Index);
  if (!KeptTerm || Index <= SnapshotIndex)
    return {};
  const auto FirstKept =
      std::find_if(Entries.begin(), Entries.end(),
                   [Index](const Entry &Each) { return Each.Index > Index; });
  Entries.erase(Entries.begin(), FirstKept);
  SnapshotIndex = Index;
  SnapshotTerm = *KeptTerm;
  SnapshotVoters = std::move(Voters);
  SnapshotState = std::move(State);
  return rewrite();
}

Expected<void> ReplicatedLog::install(const SnapshotInstall &Snapshot) {
  Entries.clear();
  SnapshotIndex = Snapshot.LastIndex;
  SnapshotTerm = Snapshot.LastTerm;
  SnapshotVoters = Snapshot.Voters;
  SnapshotState = Snapshot.State;
  return rewrite();
}

Expected<void> ReplicatedLog::rewrite() {
  std::vector<std::string> Kept = {recordOf(IdentityRecord{DiskId}),
                                   recordOf(TermRecord{Term, VotedFor})};
  for (const Entry &Each : Entries)
    Kept.push_back(recordOf(Each));
  return Records.replace(encode(SnapshotRecord{SnapshotIndex, SnapshotTerm,
                                               SnapshotVoters, SnapshotState}),
                         Kept);
}

std::uint64_t ReplicatedLog::votersIndex() const {
  for (auto Each = Entries.rbegin(); Each != Entries.rend(); ++Each)
    if (Each->Kind == EntryKind::Membership)
      return Each->Index;
  return SnapshotIndex;
}

Members ReplicatedLog::voters() const {
  const Entry *Last = at(votersIndex());
  if (Last == nullptr)
    return SnapshotVoters;
  return decode<Members>(Last->Bytes).value_or(SnapshotVoters);
}

} // namespace corianderdyke
