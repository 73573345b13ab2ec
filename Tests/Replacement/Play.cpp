/// \file
/// Implements a play of replaced control hosts with real processes.

#include "Play.h"

#include "Operator.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>
#include <unistd.h>

namespace corianderdyke::replacement {

namespace {

constexpr std::size_t GroupSize = 5;
constexpr std::size_t HostCount = 7;
constexpr std::size_t SeedCount = 3;
constexpr std::uint16_t DirectoryPort = 8782;
constexpr std::uint16_t MetricsPort = 9464;
constexpr int StatusOk = 200;
/// An operator repeats a change for this long.
constexpr Millis ChangeTimeout(15000);
constexpr Millis CallTimeout(1000);
constexpr Millis RecoveryTimeout(12000);
constexpr Millis ReadTimeout(30000);
/// A host that was told to stop is killed after this.
constexpr Millis StopTimeout(6000);

Millis steadyTime() {
  return Millis(std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::steady_clock::now().time_since_epoch())
                    .count());
}

std::string desiredState(std::uint64_t Version) {
  return R"({"version":)" + std::to_string(Version) +
         R"(,"routes":[{"name":"r-lookup","database":"lookup",)"
         R"("path_prefix":"/","type":"primary","timeout_ms":800,)"
         R"("target_latency_ms":100,"priority":1,"service":"ledger",)"
         R"("max_attempts":2}],"services":[{"name":"ledger",)"
         R"("health_check_path":"/health","max_connections":16,)"
         R"("protocol":"h1","tls":false,"sync_replicas":0}],)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000,)"
         R"("tx_idle_ms":3000}})";
}

std::string numbers(const std::vector<std::size_t> &All) {
  std::string Out;
  for (const std::size_t Each : All)
    Out += (Out.empty() ? "" : ",") + std::to_string(Each + 1);
  return Out;
}

/// The hosts that remain after the replacement.
std::vector<std::size_t> remaining(const std::vector<std::size_t> &Replaced) {
  std::vector<std::size_t> Out;
  for (std::size_t Each = 0; Each < HostCount; ++Each)
    if (std::find(Replaced.begin(), Replaced.end(), Each) == Replaced.end())
      Out.push_back(Each);
  return Out;
}

} // namespace

const char *verdictName(Verdict Of) {
  switch (Of) {
  case Verdict::Late:
    return "LATE";
  case Verdict::Refused:
    return "REFUSED";
  case Verdict::Broken:
    return "BROKEN";
  case Verdict::Held:
    break;
  }
  return "held";
}

Steps Steps::draw(std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  const auto Time = [&Random](std::uint64_t MaxMs) {
    return Millis(static_cast<std::int64_t>(Random() % (MaxMs + 1)));
  };
  const auto Pick = [&Random](std::vector<std::size_t> From) {
    std::shuffle(From.begin(), From.end(), Random);
    From.resize(2);
    return From;
  };
  Steps Out;
  Out.SyncDelay = Random() % 2 == 0 ? Millis(0) : Time(300);
  Out.LeaderRestarts = static_cast<int>(Random() % 3);
  Out.Replaced = Pick({0, 1, 2, 3, 4});
  Out.IsKilled = Random() % 3 == 0;
  Out.SecondStartAfter = Time(1000);
  Out.StopAfter = Time(6000);
  Out.SecondStopAfter = Random() % 3 == 0 ? Millis(0) : Time(3000);
  Out.Change = static_cast<ChangeTime>(Random() % 3);
  Out.ChangeAfter = Time(10000);
  Out.LossAfter = Time(1000);
  Out.Downtime = Time(3000);
  const std::vector<std::size_t> Remaining = remaining(Out.Replaced);
  Out.WithoutDisk = Pick(Remaining);
  Out.StartOrder = Remaining;
  std::shuffle(Out.StartOrder.begin(), Out.StartOrder.end(), Random);
  for (std::size_t Each = 0; Each < Out.StartOrder.size(); ++Each)
    Out.StartAfter.push_back(Random() % 2 == 0 ? Millis(0) : Time(1000));
  Out.Paused = Random() % HostCount;
  Out.PausedAfter = Time(12000);
  Out.PausedFor = Random() % 2 == 0 ? Millis(0) : Millis(200) + Time(2800);
  return Out;
}

Steps Steps::lossRightAfterStops(std::uint64_t Seed) {
  Steps Out = draw(Seed);
  Out.SyncDelay = Millis(0);
  Out.IsKilled = false;
  Out.StopAfter = Millis(4500);
  Out.AwaitsVotes = true;
  Out.LossAfter = Out.LossAfter / 4;
  Out.Change = ChangeTime::BeforeStops;
  Out.PausedFor = Millis(0);
  return Out;
}

std::string Steps::text() const {
  const auto Ms = [](Millis Of) { return std::to_string(Of.count()); };
  std::string Starts;
  for (const Millis Each : StartAfter)
    Starts += (Starts.empty() ? "" : ",") + Ms(Each);
  const char *Changes[] = {"before", "between", "after"};
  return "syncs " + Ms(SyncDelay) + ", leader restarts " +
         std::to_string(LeaderRestarts) + ", replaced " + numbers(Replaced) +
         (IsKilled ? " killed" : " stopped") + ", starts +" +
         Ms(SecondStartAfter) + ", stops after " + Ms(StopAfter) + " +" +
         Ms(SecondStopAfter) + ", change " +
         Changes[static_cast<std::size_t>(Change)] + " +" + Ms(ChangeAfter) +
         ", loss +" + Ms(LossAfter) + " of " + numbers(WithoutDisk) +
         ", down " + Ms(Downtime) + ", started " + numbers(StartOrder) + " +" +
         Starts + ", paused " +
         (PausedFor.count() == 0
              ? "none"
              : std::to_string(Paused + 1) + " after " + Ms(PausedAfter) +
                    " for " + Ms(PausedFor));
}

Play::Play(std::string Program, std::string Folder, Steps Drawn)
    : Program(std::move(Program)), Folder(std::move(Folder)),
      Drawn(std::move(Drawn)),
      Network(LoopbackNetwork::claim(static_cast<unsigned>(::getpid()))),
      StartedAt(steadyTime()) {}

void Play::note(const std::string &What) {
  Record += std::to_string(now().count()) + " ms  " + What + "\n";
}

Millis Play::now() const { return steadyTime() - StartedAt; }

void Play::advance(Millis Span) {
  const Millis Until = now() + Span;
  do {
    while (!Due.empty() && Due.begin()->first <= now()) {
      const auto Next = Due.extract(Due.begin());
      Next.mapped()();
    }
    const Millis Left = std::min(Until - now(), Millis(10));
    if (Left.count() > 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(Left.count()));
  } while (now() < Until);
}

std::string Play::address(std::size_t Number) const {
  // The stand-ins of review/ use the addresses below 127.N.5, unclaimed.
  return Network.prefix() + ".11." + std::to_string(Number + 1);
}

// As deploy/control.toml.template.
void Play::startHost(std::size_t Number, bool Founds) {
  const std::string Name = "core-" + std::to_string(Number + 1);
  const std::string Host = address(Number);
  const std::string Data =
      Folder + "/data-" + Name + "-" + std::to_string(LostDisks[Number]);
  std::filesystem::create_directories(Data);
  std::string Seeds;
  for (std::size_t Each = 0; Each < SeedCount; ++Each)
    Seeds += (Each == 0 ? "\"" : ", \"") + address(Each) + ":" +
             std::to_string(DirectoryPort) + "\"";
  const auto At = [&](std::uint16_t Port) {
    return "\"" + Host + ":" + std::to_string(Port) + "\"\n";
  };
  const std::string File = Folder + "/" + Name + ".toml";
  std::ofstream(File) << "[process]\nname = \"" << Name
                      << "\"\nregion = \"riga\"\nfailure_domain = \"here\"\n"
                      << "host = \"" << Host << "\"\nroles = [\"control\"]\n"
                      << "data_folder = \"" << Data
                      << "\"\nleadership = \"targets\"\n"
                      << "log_format = \"json\"\nstop_within = \"6s\"\n"
                      << "[listen]\noperators = " << At(MetricsPort)
                      << "directory = " << At(DirectoryPort)
                      << "peers = " << At(7440)
                      << "[keys]\npeers = \"a key for tests alone\"\n"
                      << "[group]\nseeds = [" << Seeds
                      << "]\nmay_found = " << (Founds ? "true" : "false")
                      << "\nlost_disks_borne = 2\npromotions = \""
                      << Network.prefix() << ".14.1:8783\"\n";
  note(Name + " starts");
  Hosts.erase(Number);
  const auto Made = Hosts.emplace(
      Number, soak::Program(Program, File, Folder + "/" + Name + ".log"));
  Made.first->second.start();
}

void Play::stopHost(std::size_t Number, bool IsKilled) {
  note("core-" + std::to_string(Number + 1) +
       (IsKilled ? " is killed" : " is told to stop"));
  if (IsKilled) {
    Hosts.erase(Number);
    return;
  }
  Hosts.at(Number).signal(SIGTERM);
  Stopping[Number] = now() + StopTimeout;
}

void Play::awaitStops() {
  while (!Stopping.empty()) {
    for (auto Each = Stopping.begin(); Each != Stopping.end();)
      if (!Hosts.at(Each->first).isRunning() || now() >= Each->second) {
        note("core-" + std::to_string(Each->first + 1) + " has ended");
        Hosts.erase(Each->first);
        Each = Stopping.erase(Each);
      } else {
        ++Each;
      }
    if (!Stopping.empty())
      advance(Millis(5));
  }
}

void Play::pauseHost() {
  const auto Found = Hosts.find(Drawn.Paused);
  if (Found == Hosts.end() || Stopping.count(Drawn.Paused) != 0)
    return;
  note("core-" + std::to_string(Drawn.Paused + 1) + " is paused");
  Found->second.signal(SIGSTOP);
  Due.emplace(now() + Drawn.PausedFor, [this] {
    const auto Paused = Hosts.find(Drawn.Paused);
    if (Paused == Hosts.end())
      return;
    Paused->second.signal(SIGCONT);
    note("core-" + std::to_string(Drawn.Paused + 1) + " goes on");
    noteLost();
  });
}

std::optional<std::pair<std::size_t, std::string>> Play::findLeader() {
  for (const auto &[Number, Each] : Hosts) {
    HttpAnswer Got =
        call(address(Number), MetricsPort, "GET", "/metrics", "", CallTimeout);
    if (Got.Body.find("corianderdyke_control_leader 1") != std::string::npos)
      return std::pair(Number, std::move(Got.Body));
  }
  return std::nullopt;
}

void Play::restartLeader() {
  const auto Leader = findLeader();
  if (!Leader)
    return;
  stopHost(Leader->first, true);
  advance(Millis(300));
  startHost(Leader->first, false);
  awaitRunning(Leader->first);
  noteLost();
  advance(Millis(1500));
}

bool Play::awaitRunning(std::size_t Number) {
  for (const Millis Until = now() + ChangeTimeout; now() < Until;) {
    if (call(address(Number), MetricsPort, "GET", "/metrics", "", CallTimeout)
            .Status == StatusOk)
      return true;
    advance(Millis(20));
  }
  return false;
}

bool Play::awaitVoters(std::size_t Count) {
  const std::string Line =
      "corianderdyke_control_voters " + std::to_string(Count) + "\n";
  for (const Millis Until = now() + ChangeTimeout; now() < Until;) {
    const auto Leader = findLeader();
    if (Leader && Leader->second.find(Line) != std::string::npos)
      return true;
    advance(Millis(50));
  }
  note("there are not " + std::to_string(Count) + " voters");
  return false;
}

bool Play::replaceConfig(std::uint64_t Version) {
  const Millis Until = now() + ChangeTimeout;
  const auto Known = Hosts.size();
  for (std::size_t Turn = 0; now() < Until; ++Turn) {
    const auto To =
        std::next(Hosts.begin(), static_cast<std::ptrdiff_t>(Turn % Known));
    const HttpAnswer Got =
        call(address(To->first), DirectoryPort, "POST", "/-/Config.Replace",
             desiredState(Version), CallTimeout);
    if (Got.Status == StatusOk) {
      note("version " + std::to_string(Version) + " is acknowledged");
      return true;
    }
    advance(Millis(100));
  }
  note("version " + std::to_string(Version) + " isn't acknowledged");
  return false;
}

std::uint64_t Play::readVersion(Millis Timeout) {
  const Millis Until = now() + Timeout;
  for (std::size_t Turn = 0; now() < Until; ++Turn) {
    const auto From = std::next(
        Hosts.begin(), static_cast<std::ptrdiff_t>(Turn % Hosts.size()));
    const HttpAnswer Got = call(address(From->first), DirectoryPort, "GET",
                                "/-/Config.Describe", "", CallTimeout);
    constexpr const char *Start = R"({"version":)";
    if (Got.Status == StatusOk && Got.Body.rfind(Start, 0) == 0) {
      const std::uint64_t Version = std::strtoull(
          Got.Body.c_str() + std::string(Start).size(), nullptr, 10);
      note("version " + std::to_string(Version) + " is read");
      return Version;
    }
    advance(Millis(100));
  }
  note("no version is read");
  return 0;
}

bool Play::replaceHosts() {
  if (Drawn.PausedFor.count() != 0)
    Due.emplace(now() + Drawn.PausedAfter, [this] { pauseHost(); });
  startHost(GroupSize, false);
  advance(Drawn.SecondStartAfter);
  startHost(GroupSize + 1, false);
  if (!awaitRunning(GroupSize) || !awaitRunning(GroupSize + 1))
    return false;
  noteLost();
  advance(Drawn.StopAfter);
  if (Drawn.AwaitsVotes && !awaitVoters(HostCount))
    return false;
  bool IsAcknowledged = false;
  const auto Change = [&](ChangeTime When) {
    if (Drawn.Change == When)
      IsAcknowledged = replaceConfig(2);
  };
  Change(ChangeTime::BeforeStops);
  stopHost(Drawn.Replaced[0], Drawn.IsKilled);
  Change(ChangeTime::BetweenStops);
  advance(Drawn.SecondStopAfter);
  stopHost(Drawn.Replaced[1], Drawn.IsKilled);
  awaitStops();
  if (Drawn.Change == ChangeTime::AfterStops)
    advance(Drawn.ChangeAfter);
  Change(ChangeTime::AfterStops);
  return IsAcknowledged;
}

void Play::loseDisks() {
  advance(Drawn.LossAfter);
  LossAt = now();
  Due.clear();
  note("all are killed; lost disks: " + numbers(Drawn.WithoutDisk));
  Hosts.clear();
  advance(Drawn.Downtime);
  for (const std::size_t Each : Drawn.WithoutDisk)
    ++LostDisks[Each];
  for (std::size_t Each = 0; Each < Drawn.StartOrder.size(); ++Each) {
    advance(Drawn.StartAfter[Each]);
    startHost(Drawn.StartOrder[Each], false);
  }
}

Verdict Play::run() {
  for (std::size_t Each = 0; Each < GroupSize; ++Each)
    startHost(Each, true);
  if (!replaceConfig(1))
    return Verdict::Refused;
  for (int Each = 0; Each < Drawn.LeaderRestarts; ++Each)
    restartLeader();
  if (!replaceHosts())
    return Verdict::Refused;
  loseDisks();
  for (const std::size_t Each : Drawn.StartOrder)
    awaitRunning(Each);
  const Millis AllBackAt = now();
  if (readVersion(ReadTimeout) != 2)
    return Verdict::Broken;
  return now() - AllBackAt > RecoveryTimeout ? Verdict::Late : Verdict::Held;
}

} // namespace corianderdyke::replacement
