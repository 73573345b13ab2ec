/// \file
/// A data folder on the file system of the host.

#include "Storage/FileDisk.h"

#include "Common/SystemClock.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/file.h>
#include <unistd.h>
#include <utility>

namespace corianderdyke {

namespace {

constexpr int FileMode = 0600;

tl::unexpected<Error> systemError(const std::string &Operation) {
  return fail(ErrorCode::System, Operation + ": " + std::strerror(errno));
}

Expected<void> writeAll(int Descriptor, const std::string &Bytes,
                        const std::string &Path) {
  std::size_t Done = 0;
  while (Done < Bytes.size()) {
    const ssize_t Count =
        ::write(Descriptor, Bytes.data() + Done, Bytes.size() - Done);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0)
      return systemError("cannot write " + Path);
    Done += static_cast<std::size_t>(Count);
  }
  return {};
}

} // namespace

Expected<FileDisk> FileDisk::open(const std::string &Folder) {
  std::error_code Code;
  std::filesystem::create_directories(Folder, Code);
  if (Code)
    return fail(ErrorCode::System,
                "can't make data folder " + Folder + ": " + Code.message());
  const std::string Path = Folder + "/lock";
  const int LockDescriptor =
      ::open(Path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, FileMode);
  if (LockDescriptor < 0)
    return systemError("can't write data folder " + Folder);
  if (::flock(LockDescriptor, LOCK_EX | LOCK_NB) != 0) {
    ::close(LockDescriptor);
    return fail(ErrorCode::Conflict,
                "data folder " + Folder + " is held by another process");
  }
  return FileDisk(Folder, LockDescriptor);
}

FileDisk::FileDisk(std::string Folder, int LockDescriptor)
    : Folder(std::move(Folder)), LockDescriptor(LockDescriptor) {}

FileDisk::FileDisk(FileDisk &&Other) noexcept
    : Folder(std::move(Other.Folder)),
      LockDescriptor(std::exchange(Other.LockDescriptor, -1)),
      Descriptors(std::exchange(Other.Descriptors, {})),
      SyncDurations(Other.SyncDurations) {}

FileDisk::~FileDisk() {
  for (const auto &[Name, Descriptor] : Descriptors)
    ::close(Descriptor);
  if (LockDescriptor >= 0)
    ::close(LockDescriptor);
}

Expected<std::string> FileDisk::read(const std::string &Name) {
  std::ifstream In(Folder + "/" + Name, std::ios::binary);
  if (!In)
    return fail(ErrorCode::NotFound, Folder + "/" + Name + " doesn't exist");
  std::ostringstream Out;
  Out << In.rdbuf();
  return std::move(Out).str();
}

Expected<int> FileDisk::descriptor(const std::string &Name) {
  const auto Known = Descriptors.find(Name);
  if (Known != Descriptors.end())
    return Known->second;
  const std::string Path = Folder + "/" + Name;
  const int Descriptor =
      ::open(Path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, FileMode);
  if (Descriptor < 0)
    return systemError("cannot open " + Path);
  Descriptors[Name] = Descriptor;
  // A new file is durable only once its folder entry is.
  if (auto Done = syncFolder(); !Done)
    return tl::unexpected(Done.error());
  return Descriptor;
}

void FileDisk::closeDescriptor(const std::string &Name) {
  const auto Known = Descriptors.find(Name);
  if (Known == Descriptors.end())
    return;
  ::close(Known->second);
  Descriptors.erase(Known);
}

Expected<void> FileDisk::append(const std::string &Name,
                                const std::string &Bytes) {
  const Expected<int> Descriptor = descriptor(Name);
  if (!Descriptor)
    return tl::unexpected(Descriptor.error());
  return writeAll(*Descriptor, Bytes, Folder + "/" + Name);
}

Expected<void> FileDisk::sync(const std::string &Name) {
  const Expected<int> Descriptor = descriptor(Name);
  if (!Descriptor)
    return tl::unexpected(Descriptor.error());
  if (timedSync(::fdatasync, *Descriptor) != 0)
    return systemError("cannot sync " + Folder + "/" + Name);
  return {};
}

Expected<void> FileDisk::truncate(const std::string &Name, std::size_t Size) {
  const Expected<int> Descriptor = descriptor(Name);
  if (!Descriptor)
    return tl::unexpected(Descriptor.error());
  if (::ftruncate(*Descriptor, static_cast<off_t>(Size)) != 0 ||
      timedSync(::fsync, *Descriptor) != 0)
    return systemError("cannot truncate " + Folder + "/" + Name);
  return {};
}

Expected<void> FileDisk::writeAtomically(const std::string &Name,
                                         const std::string &Bytes) {
  const std::string Path = Folder + "/" + Name;
  const std::string Temporary = Path + ".new";
  const int Descriptor = ::open(
      Temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FileMode);
  if (Descriptor < 0)
    return systemError("cannot open " + Temporary);
  Expected<void> Written = writeAll(Descriptor, Bytes, Temporary);
  if (Written && timedSync(::fsync, Descriptor) != 0)
    Written = systemError("cannot sync " + Temporary);
  ::close(Descriptor);
  if (!Written)
    return Written;
  if (::rename(Temporary.c_str(), Path.c_str()) != 0)
    return systemError("cannot rename " + Temporary);
  closeDescriptor(Name);
  return syncFolder();
}

int FileDisk::timedSync(int (*Sync)(int), int Descriptor) {
  const SystemClock Time;
  const Millis Begin = Time.now();
  const int Result = Sync(Descriptor);
  SyncDurations.observe(Time.now() - Begin);
  return Result;
}

Expected<void> FileDisk::syncFolder() {
  const int Descriptor =
      ::open(Folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (Descriptor < 0)
    return systemError("cannot open " + Folder);
  const int Result = timedSync(::fsync, Descriptor);
  ::close(Descriptor);
  if (Result != 0)
    return systemError("cannot sync " + Folder);
  return {};
}

} // namespace corianderdyke
