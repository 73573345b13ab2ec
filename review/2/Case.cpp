/// \file
/// A proxy is stopped while clients send single statements, one after the
/// other, on open sessions. Checks that no statement that a server got is left
/// without a complete answer.

#include "../standin/Client.h"
#include "../standin/Database.h"
#include "../standin/Fleet.h"
#include "../standin/Main.h"

#include <atomic>
#include <csignal>

namespace review {

namespace {

constexpr std::size_t ProxyCount = 3;
constexpr std::size_t ClientCount = 24;
/// Of one statement, as the sheet has it for most of its requests.
constexpr std::int64_t WorkMs = 24;
constexpr std::size_t Slots = 3;
constexpr std::size_t MaxConnections = 22;
constexpr std::int64_t GraceMs = 6000;
/// The shortest of the routes.
constexpr std::int64_t RouteTimeoutMs = 800;
/// The rule excuses an answer that is cut in the last sixth of the grace time
/// if its statement was sent no later than this after the SIGTERM.
constexpr std::int64_t ExcusedUntilMs = 3000;

struct Cut {
  Answer Statement;
  std::string Client;
};

} // namespace

int run(const Arguments &Given, Record &Log) {
  Fleet System(Given.Program, Given.Folder, Log);
  DatabaseOptions Options = optionsFor(System);
  Options.WorkMs = WorkMs;
  Options.Slots = Slots;
  Options.MaxConnections = MaxConnections;
  Database &Servers = keep(std::make_unique<Database>(Options, Log));
  Servers.start();
  System.start(ProxyCount);
  if (!System.replaceConfig(desiredState(1, Options.Service, 0), 15000) ||
      !System.awaitReady(15000))
    return CannotRun;

  std::atomic<bool> IsOver = false;
  std::mutex Lock;
  std::vector<Cut> Cuts;
  std::size_t Done = 0;
  const auto Work = [&](std::size_t Number) {
    Client Own("c" + std::to_string(Number), Log);
    const std::string Database = Number % 2 == 0 ? "certify" : "lookup";
    if (!Own.open(System.frontend(0), Database))
      return;
    for (std::uint64_t Count = 0; !IsOver && Own.isOpen(); ++Count) {
      const bool IsWrite = Number % 2 == 0 && Count % 2 == 0;
      const std::string Item = "k" + std::to_string(Number);
      const Answer Got =
          Own.query(IsWrite ? "STORE " + Item + " v" + std::to_string(Count)
                            : "FETCH " + Item);
      const std::lock_guard<std::mutex> Guard(Lock);
      if (Got.IsCut)
        Cuts.push_back({Got, "c" + std::to_string(Number)});
      else
        ++Done;
    }
  };
  std::vector<std::thread> Clients;
  for (std::size_t Each = 0; Each < ClientCount; ++Each)
    Clients.emplace_back(Work, Each);
  constexpr std::int64_t CalmMs = 5000;
  sleepMs(CalmMs);

  const std::int64_t StoppedAt = nowMs();
  if (Given.HasTrouble) {
    Log.write("provider", "SIGTERM to " + System.proxy(0).name());
    System.proxy(0).signal(SIGTERM);
  }
  while (nowMs() < StoppedAt + GraceMs && System.proxy(0).isRunning())
    sleepMs(10);
  const std::int64_t EndedAt = nowMs();
  if (Given.HasTrouble && System.proxy(0).isRunning())
    System.proxy(0).signal(SIGKILL);
  if (Given.HasTrouble)
    Log.write("provider", System.proxy(0).name() + " ended " +
                              std::to_string(EndedAt - StoppedAt) +
                              " ms after the SIGTERM");
  IsOver = true;
  for (std::thread &Each : Clients)
    Each.join();

  bool IsBroken = false;
  for (const Cut &Each : Cuts) {
    const Answer &Lost = Each.Statement;
    const std::int64_t Since = Lost.SentAt - StoppedAt;
    const bool IsExcused =
        Since <= ExcusedUntilMs && Lost.EndedAt - StoppedAt >= GraceMs * 5 / 6;
    // Planned work lasts from the SIGTERM to a second after the grace time.
    const bool IsAtStop = Given.HasTrouble && Lost.EndedAt >= StoppedAt &&
                          Lost.EndedAt <= StoppedAt + GraceMs + 1000;
    const bool IsCounted = IsAtStop && Servers.hasReceived(Lost.Id) &&
                           !IsExcused &&
                           Lost.EndedAt - Lost.SentAt < RouteTimeoutMs;
    Log.write("check",
              Lost.Id + " was sent " + std::to_string(Since) +
                  " ms after the SIGTERM and cut " +
                  std::to_string(Lost.EndedAt - Lost.SentAt) +
                  " ms later; a server " +
                  (Servers.hasReceived(Lost.Id) ? "got it" : "didn't get it") +
                  (IsCounted ? ": LOST" : ": not counted"));
    IsBroken = IsBroken || IsCounted;
  }
  Log.write("check", std::to_string(Done) + " statements were answered, " +
                         std::to_string(Cuts.size()) + " were cut");
  if (Done == 0)
    return CannotRun;
  return IsBroken ? Broken : Held;
}

} // namespace review
