/// \file
/// Two hosts of the control group are replaced as planned work. Later two hosts
/// lose their disks, right after a desired state was acknowledged, while the
/// other hosts are killed and come back with theirs. Checks that the
/// acknowledged desired state can be read back.

#include "../standin/Fleet.h"
#include "../standin/Main.h"

#include <algorithm>

namespace review {

namespace {

constexpr std::size_t ProxyCount = 2;
constexpr int StartMs = 15000;
/// From the start of a replacement to the SIGTERM of the host that it replaces.
constexpr std::int64_t OverlapMs = 2000;
/// Twice catch_up_s: until then a replaced host counts as lost.
constexpr std::int64_t CatchUpMs = 8000;
constexpr std::int64_t DownMs = 1300;
/// recovery_s, and the time for which the operator reads, and some more.
constexpr int ReadMs = 30000;

const std::vector<std::size_t> Replaced = {3, 4};
const std::vector<std::size_t> Replacements = {5, 6};
/// The hosts that remain, and those of them that lose their disks.
const std::vector<std::size_t> Remaining = {0, 1, 2, 5, 6};
const std::vector<std::size_t> WithoutDisk = {1, 5};

} // namespace

int run(const Arguments &Given, Record &Log) {
  Fleet System(Given.Program, Given.Folder, Log);
  System.start(ProxyCount);
  if (!System.replaceConfig(desiredState(1, "bale-ledger", 0), StartMs) ||
      !System.awaitReady(StartMs))
    return CannotRun;
  if (Given.HasTrouble) {
    for (const std::size_t Each : Replacements)
      System.startControl(Each, false);
    sleepMs(OverlapMs);
    for (const std::size_t Each : Replaced)
      System.endControl(Each, true);
  }
  sleepMs(CatchUpMs);
  if (!System.replaceConfig(desiredState(2, "bale-ledger", 0), StartMs))
    return CannotRun;
  if (Given.HasTrouble) {
    for (const std::size_t Each : Remaining)
      System.endControl(Each, false);
    sleepMs(DownMs);
    for (const std::size_t Each : Remaining)
      System.startControl(Each, false,
                          std::find(WithoutDisk.begin(), WithoutDisk.end(),
                                    Each) != WithoutDisk.end());
  }
  const std::string Read = System.describeConfig(ReadMs);
  const bool IsNewest = Read.rfind(R"({"version":2,)", 0) == 0;
  Log.write("check", Read.empty() ? "the acknowledged desired state, version "
                                    "2, doesn't come within " +
                                        std::to_string(ReadMs) + " ms"
                     : IsNewest ? "version 2 is read back"
                                : "another version is read back");
  return IsNewest ? Held : Broken;
}

} // namespace review
