/// \file
/// Delays the disk syncs of the program that it is linked into by SLOW_SYNC_MS.

#include <cstdlib>
#include <ctime>
#include <sys/syscall.h>

// Not from unistd.h, whose declarations of fsync and fdatasync name their
// parameters differently.
extern "C" long syscall(long Number, ...);

namespace {

void delay() {
  const char *Text = std::getenv("SLOW_SYNC_MS");
  const long Ms = Text == nullptr ? 0 : std::strtol(Text, nullptr, 10);
  constexpr long MsPerSecond = 1000;
  constexpr long NsPerMs = 1000000;
  timespec Left{Ms / MsPerSecond, Ms % MsPerSecond * NsPerMs};
  while (nanosleep(&Left, &Left) != 0)
    ;
}

} // namespace

extern "C" int fsync(int File) {
  delay();
  return static_cast<int>(syscall(SYS_fsync, File));
}

extern "C" int fdatasync(int File) {
  delay();
  return static_cast<int>(syscall(SYS_fdatasync, File));
}
