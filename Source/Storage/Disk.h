/// \file
/// The few file operations that durable state needs.

#ifndef CORIANDERDYKE_STORAGE_DISK_H
#define CORIANDERDYKE_STORAGE_DISK_H

#include "Common/Error.h"

#include <string>

namespace corianderdyke {

/// One data folder. Nothing counts as kept before sync() or
/// writeAtomically() has returned without an error.
class Disk {
public:
  virtual ~Disk() = default;

  /// The bytes of a file; NotFound where it doesn't exist.
  virtual Expected<std::string> read(const std::string &Name) = 0;

  /// Adds bytes at the end of a file, which is made where it's missing.
  virtual Expected<void> append(const std::string &Name,
                                const std::string &Bytes) = 0;

  /// Makes all appended bytes of a file last.
  virtual Expected<void> sync(const std::string &Name) = 0;

  /// Cuts a file to its first \p Size bytes, lastingly.
  virtual Expected<void> truncate(const std::string &Name,
                                  std::size_t Size) = 0;

  /// Replaces a file's whole content lastingly: after a crash the file holds
  /// either the old bytes or the new ones.
  virtual Expected<void> writeAtomically(const std::string &Name,
                                         const std::string &Bytes) = 0;
};

} // namespace corianderdyke

#endif
