/// \file
/// A data folder on the file system of the host.

#ifndef CORIANDERDYKE_STORAGE_FILEDISK_H
#define CORIANDERDYKE_STORAGE_FILEDISK_H

#include "Common/DurationHistogram.h"
#include "Storage/Disk.h"

#include <map>

namespace corianderdyke {

/// Implements Disk on a folder. A lock file ensures that only one process uses
/// the folder at a time.
class FileDisk final : public Disk {
public:
  /// Opens a folder and creates it if it is missing. Returns System if it
  /// cannot be written, and Conflict if another process holds it.
  static Expected<FileDisk> open(const std::string &Folder);

  FileDisk(FileDisk &&Other) noexcept;
  FileDisk &operator=(FileDisk &&) = delete;
  ~FileDisk() override;

  Expected<std::string> read(const std::string &Name) override;
  Expected<void> append(const std::string &Name,
                        const std::string &Bytes) override;
  Expected<void> sync(const std::string &Name) override;
  Expected<void> truncate(const std::string &Name, std::size_t Size) override;
  Expected<void> writeAtomically(const std::string &Name,
                                 const std::string &Bytes) override;

  /// Durations of the syncs on this host.
  const DurationHistogram &syncDurations() const { return SyncDurations; }

private:
  FileDisk(std::string Folder, int LockDescriptor);

  Expected<int> descriptor(const std::string &Name);
  void closeDescriptor(const std::string &Name);
  Expected<void> syncFolder();
  /// Calls fsync or fdatasync and records its duration; returns its result.
  int timedSync(int (*Sync)(int), int Descriptor);

  std::string Folder;
  int LockDescriptor = -1;
  /// Open descriptors for appending, by file name.
  std::map<std::string, int> Descriptors;
  DurationHistogram SyncDurations;
};

} // namespace corianderdyke

#endif
