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
  putNumber(Out, Magic, 4);
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

std::optional<ParsedRecord> parse(const std::string &Bytes, std::size_t At) {
  if (Bytes.size() - At < HeaderBytes || number(Bytes, At, 4) != Magic)
    return std::nullopt;
  const std::uint64_t Length = number(Bytes, At + 4, 4);
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
    if (auto Done = Files.truncate(JournalName, At); !Done)
      return tl::unexpected(Done.error());
    Out.CutBytes = Bytes->size() - At;
  }
  Size = At;
  return Out;
}

Expected<void> Journal::append(const std::vector<std::string> &Records) {
  std::string Bytes;
  for (const std::string &Each : Records)
    Bytes += record(Each, Size);
  if (auto Done = Files.append(JournalName, Bytes); !Done)
    return Done;
  if (auto Done = Files.sync(JournalName); !Done)
    return Done;
  Size += Bytes.size();
  return {};
}

Expected<void> Journal::replace(const std::string &Snapshot,
                                const std::vector<std::string> &Records) {
  if (auto Done = Files.writeAtomically(SnapshotName, record(Snapshot, 0));
      !Done)
    return Done;
  std::string Bytes;
  for (const std::string &Each : Records)
    Bytes += record(Each, 0);
  if (auto Done = Files.writeAtomically(JournalName, Bytes); !Done)
    return Done;
  Size = Bytes.size();
  return {};
}

} // namespace corianderdyke
