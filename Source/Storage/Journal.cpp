/// \file
/// The durable log of a control host.

#include "Storage/Journal.h"

#include <cstring>
#include <optional>
#include <xxhash.h>

namespace corianderdyke {

namespace {

constexpr const char *JournalName = "journal";
constexpr const char *SnapshotName = "snapshot";
constexpr std::uint32_t Magic = 0x4b59'4443; // "CDYK"
constexpr std::size_t HeaderBytes = 24;
/// Minimum length of a run of zeros that is taken for an unwritten block.
constexpr std::size_t MinZeroRunBytes = 64;

void appendNumber(std::string &Out, std::uint64_t Value, int Bytes) {
  for (int Index = 0; Index < Bytes; ++Index)
    Out.push_back(static_cast<char>((Value >> (8 * Index)) & 0xffU));
}

std::uint64_t readNumber(const std::string &In, std::size_t At, int Bytes) {
  std::uint64_t Value = 0;
  for (int Index = Bytes - 1; Index >= 0; --Index)
    Value = (Value << 8U) | static_cast<unsigned char>(In[At + Index]);
  return Value;
}

std::uint64_t checksum(const std::string &Payload, std::uint64_t SyncedTo) {
  // The seed contains the size and the offset, so that a record that was
  // written at another offset is not accepted.
  return XXH64(Payload.data(), Payload.size(), SyncedTo ^ Payload.size());
}

std::string encodeRecord(const std::string &Payload, std::uint64_t SyncedTo) {
  std::string Out;
  Out.reserve(HeaderBytes + Payload.size());
  appendNumber(Out, Magic ^ Payload.size(), 4);
  appendNumber(Out, Payload.size(), 4);
  appendNumber(Out, SyncedTo, 8);
  appendNumber(Out, checksum(Payload, SyncedTo), 8);
  Out += Payload;
  return Out;
}

struct ParsedRecord {
  std::string Payload;
  std::uint64_t SyncedTo = 0;
};

/// Returns the length in the header at \p At, or std::nullopt if there is no
/// valid header.
std::optional<std::uint64_t> statedLength(const std::string &Bytes,
                                          std::size_t At) {
  if (Bytes.size() - At < HeaderBytes)
    return std::nullopt;
  const std::uint64_t Length = readNumber(Bytes, At + 4, 4);
  if (readNumber(Bytes, At, 4) != (Magic ^ Length))
    return std::nullopt;
  return Length;
}

std::optional<ParsedRecord> parse(const std::string &Bytes, std::size_t At) {
  const auto Stated = statedLength(Bytes, At);
  if (!Stated)
    return std::nullopt;
  const std::uint64_t Length = *Stated;
  if (Length > Journal::MaxRecordBytes ||
      Bytes.size() - At - HeaderBytes < Length)
    return std::nullopt;
  ParsedRecord Out;
  Out.SyncedTo = readNumber(Bytes, At + 8, 8);
  Out.Payload = Bytes.substr(At + HeaderBytes, Length);
  if (readNumber(Bytes, At + 16, 8) != checksum(Out.Payload, Out.SyncedTo))
    return std::nullopt;
  return Out;
}

/// True if a valid record after \p DamagedAt shows that the bytes at \p
/// DamagedAt had been synced.
bool wasSynced(const std::string &Bytes, std::size_t DamagedAt) {
  for (std::size_t At = DamagedAt + 1; At + HeaderBytes <= Bytes.size(); ++At) {
    const auto Later = parse(Bytes, At);
    if (Later && Later->SyncedTo > DamagedAt)
      return true;
  }
  return false;
}

/// True if the bytes from \p DamagedAt on hold a complete record with invalid
/// content. A write that a crash interrupted ends before the end of its record,
/// or contains a block of zeros where data did not reach the disk.
bool looksDamaged(const std::string &Bytes, std::size_t DamagedAt) {
  if (Bytes.size() - DamagedAt < HeaderBytes)
    return false;
  const auto Length = statedLength(Bytes, DamagedAt);
  if (Length && Bytes.size() - DamagedAt - HeaderBytes < *Length)
    return false;
  const std::string Zeros(MinZeroRunBytes, '\0');
  return Bytes.find_first_not_of('\0', DamagedAt) != std::string::npos &&
         Bytes.find(Zeros, DamagedAt) == std::string::npos;
}

} // namespace

Expected<Journal::Content> Journal::load() {
  Content Out;
  if (auto Bytes = Files.read(SnapshotName)) {
    const auto SnapshotRecord = parse(*Bytes, 0);
    if (!SnapshotRecord ||
        SnapshotRecord->Payload.size() + HeaderBytes != Bytes->size())
      return fail(ErrorCode::Corrupt,
                  "the snapshot file fails its checksum; this host can't go "
                  "on from this disk: see Help/task/lost-disk.md");
    Out.Snapshot = SnapshotRecord->Payload;
  } else if (Bytes.error().Code != ErrorCode::NotFound) {
    return tl::unexpected(Bytes.error());
  }
  const auto Bytes = Files.read(JournalName);
  if (!Bytes && Bytes.error().Code == ErrorCode::NotFound)
    return Out;
  if (!Bytes)
    return tl::unexpected(Bytes.error());
  std::size_t At = 0;
  while (At < Bytes->size()) {
    auto Next = parse(*Bytes, At);
    if (!Next)
      break;
    At += HeaderBytes + Next->Payload.size();
    if (!Next->Payload.empty())
      Out.Records.push_back(std::move(Next->Payload));
  }
  if (At < Bytes->size()) {
    // Truncating damage in the middle would drop entries that this host has
    // acknowledged, and a committed change could be lost.
    if (wasSynced(*Bytes, At))
      return fail(ErrorCode::Corrupt,
                  "journal damaged at byte " + std::to_string(At) +
                      " with good records behind it; this host can't go on "
                      "from this disk: see Help/task/lost-disk.md");
    Out.TornTailBytes = Bytes->size() - At;
    Out.TailDamaged = looksDamaged(*Bytes, At);
    // A damaged tail stays in the file until replace(), so that the journal
    // does not appear intact after a crash before that.
    if (Out.TailDamaged)
      return Out;
    if (auto Done = Files.truncate(JournalName, At); !Done)
      return tl::unexpected(Done.error());
  }
  Size = At;
  return Out;
}

Expected<void> Journal::recordFailure(Expected<void> Result) {
  if (!Result)
    WriteFailure = Result.error();
  return Result;
}

Expected<void> Journal::append(const std::vector<std::string> &Records) {
  if (WriteFailure)
    return tl::unexpected(*WriteFailure);
  std::string Bytes;
  for (const std::string &Each : Records)
    Bytes += encodeRecord(Each, Size);
  if (auto Done = recordFailure(Files.append(JournalName, Bytes)); !Done)
    return Done;
  if (auto Done = recordFailure(Files.sync(JournalName)); !Done)
    return Done;
  Size += Bytes.size();
  return {};
}

// After a failed sync, bytes may be readable but not on disk. They are
// truncated instead of synced again, because it is unknown whether a second
// sync covers them, and no message depends on them.
Expected<void> Journal::repair() {
  if (!WriteFailure)
    return {};
  if (IsAmbiguous)
    return tl::unexpected(*WriteFailure);
  if (auto Done = Files.truncate(JournalName, Size); !Done)
    return Done;
  WriteFailure.reset();
  return {};
}

Expected<void> Journal::replace(const std::string &Snapshot,
                                const std::vector<std::string> &Records) {
  if (WriteFailure)
    return tl::unexpected(*WriteFailure);
  if (auto Done = recordFailure(
          Files.writeAtomically(SnapshotName, encodeRecord(Snapshot, 0)));
      !Done)
    return Done;
  // The file becomes visible only when all of it is synced. Each record may
  // therefore mark the records before it as synced, and an empty record at the
  // end marks the last one.
  std::string Bytes;
  for (const std::string &Each : Records)
    Bytes += encodeRecord(Each, Bytes.size());
  Bytes += encodeRecord("", Bytes.size());
  if (auto Done = recordFailure(Files.writeAtomically(JournalName, Bytes));
      !Done) {
    IsAmbiguous = true;
    return Done;
  }
  Size = Bytes.size();
  return {};
}

} // namespace corianderdyke
