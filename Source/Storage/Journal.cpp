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
/// A run of zeros this long is taken for a block that wasn't written.
constexpr std::size_t ZeroBytes = 64;

void putNumber(std::string &Out, std::uint64_t Value, int Bytes) {
  for (int Index = 0; Index < Bytes; ++Index)
    Out.push_back(static_cast<char>((Value >> (8 * Index)) & 0xffU));
}

std::uint64_t number(const std::string &In, std::size_t At, int Bytes) {
  std::uint64_t Value = 0;
  for (int Index = Bytes - 1; Index >= 0; --Index)
    Value = (Value << 8U) | static_cast<unsigned char>(In[At + Index]);
  return Value;
}

std::uint64_t checksum(const std::string &Payload, std::uint64_t SyncedTo) {
  // The size and the place are in the seed, so that a record that landed at
  // another offset isn't taken for a good one.
  return XXH64(Payload.data(), Payload.size(), SyncedTo ^ Payload.size());
}

std::string record(const std::string &Payload, std::uint64_t SyncedTo) {
  std::string Out;
  Out.reserve(HeaderBytes + Payload.size());
  putNumber(Out, Magic ^ Payload.size(), 4);
  putNumber(Out, Payload.size(), 4);
  putNumber(Out, SyncedTo, 8);
  putNumber(Out, checksum(Payload, SyncedTo), 8);
  Out += Payload;
  return Out;
}

struct ParsedRecord {
  std::string Payload;
  std::uint64_t SyncedTo = 0;
};

/// The length in a header; nothing where no good header begins here.
std::optional<std::uint64_t> statedLength(const std::string &Bytes,
                                          std::size_t At) {
  if (Bytes.size() - At < HeaderBytes)
    return std::nullopt;
  const std::uint64_t Length = number(Bytes, At + 4, 4);
  if (number(Bytes, At, 4) != (Magic ^ Length))
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
  Out.SyncedTo = number(Bytes, At + 8, 8);
  Out.Payload = Bytes.substr(At + HeaderBytes, Length);
  if (number(Bytes, At + 16, 8) != checksum(Out.Payload, Out.SyncedTo))
    return std::nullopt;
  return Out;
}

/// True where a good record behind \p Fault says that \p Fault was synced.
bool wasSynced(const std::string &Bytes, std::size_t Fault) {
  for (std::size_t At = Fault + 1; At + HeaderBytes <= Bytes.size(); ++At) {
    const auto Later = parse(Bytes, At);
    if (Later && Later->SyncedTo > Fault)
      return true;
  }
  return false;
}

/// True where the bytes from \p Fault on hold a whole record that is wrong in
/// its content. A write that a crash cut short ends before its record does, or
/// has a block of zeros where the data didn't reach the disk.
bool looksDamaged(const std::string &Bytes, std::size_t Fault) {
  if (Bytes.size() - Fault < HeaderBytes)
    return false;
  const auto Length = statedLength(Bytes, Fault);
  if (Length && Bytes.size() - Fault - HeaderBytes < *Length)
    return false;
  const std::string Zeros(ZeroBytes, '\0');
  return Bytes.find_first_not_of('\0', Fault) != std::string::npos &&
         Bytes.find(Zeros, Fault) == std::string::npos;
}

} // namespace

Expected<Journal::Content> Journal::load() {
  Content Out;
  if (auto Bytes = Files.read(SnapshotName)) {
    const auto Whole = parse(*Bytes, 0);
    if (!Whole || Whole->Payload.size() + HeaderBytes != Bytes->size())
      return fail(ErrorCode::Corrupt,
                  "the snapshot file fails its checksum; this host can't go "
                  "on from this disk: see Help/task/lost-disk.md");
    Out.Snapshot = Whole->Payload;
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
    // Cutting a damaged middle would forget entries that this host has
    // voted for, and a committed change could vanish.
    if (wasSynced(*Bytes, At))
      return fail(ErrorCode::Corrupt,
                  "journal damaged at byte " + std::to_string(At) +
                      " with good records behind it; this host can't go on "
                      "from this disk: see Help/task/lost-disk.md");
    Out.CutBytes = Bytes->size() - At;
    Out.TailDamaged = looksDamaged(*Bytes, At);
    // A damaged tail stays until replace(), so that a crash before it can't
    // make the journal look whole.
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
    Bytes += record(Each, Size);
  if (auto Done = recordFailure(Files.append(JournalName, Bytes)); !Done)
    return Done;
  if (auto Done = recordFailure(Files.sync(JournalName)); !Done)
    return Done;
  Size += Bytes.size();
  return {};
}

// A sync that failed may have left its bytes readable but not on disk. They
// are cut rather than synced again: whether a second sync covers them isn't
// known, and nothing was promised on their strength.
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
          Files.writeAtomically(SnapshotName, record(Snapshot, 0)));
      !Done)
    return Done;
  // The file appears only when all of it is synced, so each record may vouch
  // for those before it, and an empty one at the end for the last.
  std::string Bytes;
  for (const std::string &Each : Records)
    Bytes += record(Each, Bytes.size());
  Bytes += record("", Bytes.size());
  if (auto Done = recordFailure(Files.writeAtomically(JournalName, Bytes));
      !Done) {
    IsAmbiguous = true;
    return Done;
  }
  Size = Bytes.size();
  return {};
}

} // namespace corianderdyke
