/// \file
/// A primary with one synchronous replica crashes while the other replica is
/// behind, and the replica that is being promoted crashes too before it leads.
/// Checks that whoever is promoted holds all acknowledged writes.

#include "../standin/Main.h"
#include "../standin/Writers.h"

#include <atomic>

namespace review {

namespace {

constexpr std::size_t ProxyCount = 3;
constexpr std::size_t ClientCount = 6;
constexpr std::size_t Primary = 0;
constexpr std::size_t Behind = 2;
// As on the sheet.
constexpr std::size_t MaxConnections = 30;
constexpr std::int64_t PromoteMs = 1000;
constexpr std::int64_t CalmMs = 3000;
/// How long one replica has received nothing when the primary crashes.
constexpr std::int64_t DeafMs = 1000;
/// From the order to the crash of the replica that it names: well within the
/// time that a promotion takes.
constexpr std::int64_t CrashAfterOrderMs = 300;
/// How long a crashed server stays down.
constexpr std::int64_t DownMs = 7000;
constexpr std::int64_t ObservationMs = 16000;

} // namespace

int run(const Arguments &Given, Record &Log) {
  Fleet &System =
      keep(std::make_unique<Fleet>(Given.Program, Given.Folder, Log));
  DatabaseOptions Options = optionsFor(System);
  Options.SyncReplicas = 1;
  Options.MaxConnections = MaxConnections;
  Options.PromoteMs = PromoteMs;
  Database &Servers = keep(std::make_unique<Database>(Options, Log));
  auto &Clients = keep(std::make_unique<Writers>(System, Log));
  auto &IsBroken = keep(std::make_unique<std::atomic<bool>>(false));
  auto &HasCrashed = keep(std::make_unique<std::atomic<bool>>(false));
  Servers.OnOrder = [&](std::size_t Which) {
    if (HasCrashed.exchange(true))
      return;
    std::thread([&, Which] {
      sleepMs(CrashAfterOrderMs);
      Servers.crash(Which);
      sleepMs(DownMs);
      Servers.restart(Which);
    }).detach();
  };
  Servers.OnPromoted = [&](std::size_t Which, const std::set<std::string> &) {
    if (Clients.countMissing(Servers, Which) > 0)
      IsBroken = true;
  };
  Servers.start();
  System.start(ProxyCount);
  if (!System.replaceConfig(desiredState(1, Options.Service, 1), 15000) ||
      !System.awaitReady(15000))
    return CannotRun;
  Clients.start(ClientCount, ProxyCount);
  sleepMs(CalmMs);
  if (Given.HasTrouble) {
    Servers.setDeaf(Behind, true);
    sleepMs(DeafMs);
    Servers.crash(Primary);
    Servers.setDeaf(Behind, false);
  }
  sleepMs(DownMs);
  if (Given.HasTrouble)
    Servers.restart(Primary);
  sleepMs(ObservationMs - DownMs);
  Clients.stop();
  System.stop();
  Log.write("check", std::to_string(Clients.acknowledged()) +
                         " writes were acknowledged");
  // Without an order the second crash did not happen.
  if (Clients.acknowledged() == 0 || (Given.HasTrouble && !HasCrashed))
    return CannotRun;
  return IsBroken ? Broken : Held;
}

} // namespace review
