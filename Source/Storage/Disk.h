/// \file
/// File operations for durable state.

#ifndef CORIANDERDYKE_STORAGE_DISK_H
#define CORIANDERDYKE_STORAGE_DISK_H

#include "Common/Error.h"

#include <string>

namespace corianderdyke {

/// One data folder. No change is durable before sync() or writeAtomically() has
/// returned without an error.
class Disk {
public:
  virtual ~Disk() = default;

  /// Returns the bytes of a file, or NotFound if it does not exist.
  virtual Expected<std::string> read(const std::string &Name) = 0;

  /// Appends bytes to a file and creates it if it is missing.
  virtual Expected<void> append(const std::string &Name,
                                const std::string &Bytes) = 0;

  /// Makes all appended bytes of a file durable.
  virtual Expected<void> sync(const std::string &Name) = 0;

  /// Durably truncates a file to its first \p Size bytes.
  virtual Expected<void> truncate(const std::string &Name,
                                  std::size_t Size) = 0;

  /// Durably replaces the whole content of a file. After a crash the file holds
  /// either the old bytes or the new ones.
  virtual Expected<void> writeAtomically(const std::string &Name,
                                         const std::string &Bytes) = 0;
};

} // namespace corianderdyke

#endif
