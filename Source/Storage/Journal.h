/// \file
/// The durable log of a control host: a snapshot file and a journal file.
///
/// A record is a fixed header and a payload:
///   magic xor length (4) | length (4) | synced-to (8) | xxh64 (8) | payload
/// in little-endian order. The first field distinguishes a length that a
/// flipped bit changed from a valid length whose payload is missing after a
/// crash. "synced-to" is the size of the file that was known to be on disk when
/// the record was written. It distinguishes a torn tail, which a crash leaves
/// and which is truncated, from damage in the middle, which is an error: a
/// readable record after the damaged bytes that was written after they were
/// synced proves that they were valid before.

#ifndef CORIANDERDYKE_STORAGE_JOURNAL_H
#define CORIANDERDYKE_STORAGE_JOURNAL_H

#include "Storage/Disk.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace corianderdyke {

/// A file of checksummed records, and a snapshot that replaces the records
/// before it.
class Journal {
public:
  explicit Journal(Disk &Disk) : Files(Disk) {}

  /// Content of the disk at start.
  struct Content {
    std::string Snapshot; ///< Empty if there is none.
    std::vector<std::string> Records;
    std::size_t TornTailBytes = 0; ///< Size of the torn tail.
    /// The tail is complete but invalid. A crash leaves a short record or
    /// blocks of zeros, so this indicates a flipped bit in a batch that had
    /// been synced.
    bool TailDamaged = false;
  };

  /// Reads both files and truncates a torn tail. Returns Corrupt if a record
  /// that had been synced is damaged, or if the snapshot is. If TailDamaged is
  /// set, only replace() may follow.
  Expected<Content> load();

  /// Appends records, none of them empty, and syncs once. They are durable when
  /// this returns.
  Expected<void> append(const std::vector<std::string> &Records);

  /// Repairs a journal whose last write failed, for example because of a full
  /// disk: truncates the file after the last synced record. load() must follow.
  /// Returns an error if the disk still refuses writes, or if it is unknown
  /// which of two journals the folder holds.
  Expected<void> repair();

  /// Replaces the snapshot and then the journal, each atomically. A crash
  /// between the two leaves records that the new snapshot already covers. The
  /// reader skips them by their index.
  Expected<void> replace(const std::string &Snapshot,
                         const std::vector<std::string> &Records);

  /// Bytes in the journal file.
  std::size_t size() const { return Size; }

  /// Maximum size of a payload. A larger length is invalid.
  static constexpr std::uint32_t MaxRecordBytes = 64U << 20U;

private:
  Expected<void> recordFailure(Expected<void> Result);

  Disk &Files;
  /// Set by the first failed write or sync. The content of the file after the
  /// last synced record is then unknown, and a later sync may succeed without
  /// making it durable.
  std::optional<Error> WriteFailure;
  /// Set if a replacement of the journal file failed before it was complete.
  bool IsAmbiguous = false;
  /// Size of the journal file. All of it is synced between two calls.
  std::size_t Size = 0;
};

} // namespace corianderdyke

#endif
