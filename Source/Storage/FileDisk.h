/// \file
/// A data folder on the machine's file system.

#ifndef CORIANDERDYKE_STORAGE_FILEDISK_H
#define CORIANDERDYKE_STORAGE_FILEDISK_H

#include "Common/DurationHistogram.h"
#include "Storage/Disk.h"

#include <map>

namespace corianderdyke {

/// Disk on a folder, held by one process at a time through a lock file.
class FileDisk final : public Disk {
public:
  /// Opens a folder, made where it's missing; System where it can't be
  /// written, Conflict where another process holds it.
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

  /// How long the host took for each sync.
  const DurationHistogram &syncDurations() const { return Syncs; }

private:
  FileDisk(std::string Folder, int Lock);

  Expected<int> descriptor(const std::string &Name);
  void closeDescriptor(const std::string &Name);
  Expected<void> syncFolder();
  /// Calls fsync or fdatasync and records its duration; returns its result.
  int timedSync(int (*Sync)(int), int Descriptor);

  std::string Folder;
  int Lock = -1;
  /// Open descriptors for appending, by file name.
  std::map<std::string, int> Open;
  DurationHistogram Syncs;
};

} // namespace corianderdyke

#endif
