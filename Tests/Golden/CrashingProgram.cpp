/// \file
/// Crashes in the way that the first argument names: by a bad access, by stack
/// exhaustion, by access to an empty container or by abort.

#include "App/CrashReport.h"
#include "Logs/LogEvents.h"

#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <vector>

namespace {

/// An address that is never mapped.
constexpr std::uintptr_t Unmapped = 0x1234;

__attribute__((noinline)) int readAt(std::uintptr_t Address) {
  // No object exists at this address.
  // NOLINTNEXTLINE(performance-no-int-to-ptr)
  return *reinterpret_cast<const volatile int *>(Address);
}

__attribute__((noinline)) int exhaustStack(const char *Caller) {
  volatile char Used[4096] = {};
  // Never true; the compiler cannot prove it and keeps the recursion.
  if (Caller == nullptr)
    return 0;
  return exhaustStack(const_cast<const char *>(Used)) + Used[0];
}

// Not inlined, so that the compiler does not know that the container is empty.
__attribute__((noinline)) int firstOf(const std::vector<int> &Values) {
  return Values.front();
}

} // namespace

int main(int Count, char **Words) {
  corianderdyke::configureLogging(Count > 2, corianderdyke::Severity::Info);
  corianderdyke::installCrashHandler();
  if (Count < 2)
    return 2;
  if (std::strcmp(Words[1], "access") == 0)
    return 1 + readAt(Unmapped);
  if (std::strcmp(Words[1], "stack") == 0)
    return exhaustStack(Words[1]);
  if (std::strcmp(Words[1], "empty") == 0)
    return 1 + firstOf({});
  std::abort();
}
