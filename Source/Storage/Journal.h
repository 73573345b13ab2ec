/// \file
/// The durable log of a control host: a snapshot file and a journal file.
///
/// A record is a fixed header and a payload:
///   magic xor length (4) | length (4) | synced-to (8) | xxh64 (8) | payload
/// in little-endian order. The first field tells a length that a flipped bit
/// changed from one that a crash left without its payload. "synced-to" is the
/// size of the file that was known to be on disk when the record was written.
/// It tells a torn tail, which a crash leaves and which is cut, from a damaged
/// middle, which is refused: a readable record behind the fault that was
/// written after the faulty bytes were synced proves that they were whole once.

#ifndef CORIANDERDYKE_STORAGE_JOURNAL_H
#define CORIANDERDYKE_STORAGE_JOURNAL_H

#include "Storage/Disk.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace corianderdyke {

/// A file of checksummed records, and a snapshot that stands for the records
/// before it.
class Journal {
public:
  explicit Journal(Disk &Disk) : Files(Disk) {}

  /// What a start found on disk.
  struct Content {
    std::string Snapshot; ///< Empty where there is none.
    std::vector<std::string> Records;
    std::size_t CutBytes = 0; ///< Size of the torn tail that was cut.
    /// The tail that was cut is all there and yet wrong. A crash leaves a
    /// short record or blocks of zeros; this looks like a flipped bit in a
    /// batch that had been synced.
    bool TailDamaged = false;
  };

  /// Reads both files and cuts a torn tail. Corrupt where a record that had
  /// been synced is damaged, or the snapshot is. Where TailDamaged is set,
  /// only replace() may follow.
  Expected<Content> load();

  /// Adds records, none of them empty, and syncs once; they last when this
  /// returns.
  Expected<void> append(const std::vector<std::string> &Records);

  /// Makes a journal usable whose last write failed (a full disk, say): what
  /// follows the last synced record is cut, and load() must follow. An error
  /// where the disk still refuses, or where it isn't known which of two
  /// journals the folder holds.
  Expected<void> repair();

  /// Replaces the snapshot first and the journal after it, each atomically.
  /// A crash between the two leaves records that the new snapshot already
  /// covers; the reader skips them by their index.
  Expected<void> replace(const std::string &Snapshot,
                         const std::vector<std::string> &Records);

  /// Bytes in the journal file.
  std::size_t size() const { return Size; }

  /// The largest payload that is taken for one.
  static constexpr std::uint32_t MaxRecordBytes = 64U << 20U;

private:
  Expected<void> recordFailure(Expected<void> Result);

  Disk &Files;
  /// Set by the first failed write or sync. What the file holds from there on
  /// isn't known, and a later sync may succeed without it.
  std::optional<Error> WriteFailure;
  /// A replacement of the journal file itself failed on the way.
  bool IsAmbiguous = false;
  /// Size of the journal file; all of it is synced between two calls.
  std::size_t Size = 0;
};

} // namespace corianderdyke

#endif
