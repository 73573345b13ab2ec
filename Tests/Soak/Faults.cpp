/// \file
/// The faults that the soak puts in, one by one or in series.

#include "App/ReadFile.h"
#include "Soak.h"

#include <csignal>
#include <filesystem>
#include <fstream>

namespace corianderdyke::soak {

namespace {

/// With limits: descriptors of a proxy, some below what its callers take.
constexpr unsigned FewFiles = 60;
constexpr int StormPlans = 12;
/// A process has read its settings well before this.
constexpr Millis StartTakes(1000);

} // namespace

void Soak::harmSomething() {
  if (!IsHarming)
    return;
  ++Harms;
  if (Given.IsSeries && Random() % 2 == 0) {
    harmSeries();
    return void(Loop.after(draw(100, 600), [this] { harmSomething(); }));
  }
  switch (Random() % 8) {
  case 0:
  case 1:
    harmProcess(*Proxies[Random() % Proxies.size()]);
    break;
  case 2:
    harmProcess(*Controls[Random() % Controls.size()]);
    break;
  case 3: {
    const std::size_t Which = Random() % CallerLinks.size();
    harmLink(*CallerLinks[Which], "callers of " + Proxies[Which]->Name);
    break;
  }
  case 4: {
    auto &Servers = Targets.servers();
    Server &Which = *Servers[Random() % Servers.size()];
    harmLink(Which.Link, "way to " + Which.Id);
    break;
  }
  case 5:
    wipe(*Controls[Random() % Controls.size()]);
    break;
  default:
    harmServer();
  }
  Loop.after(draw(100, 900), [this] { harmSomething(); });
}

void Soak::harmProcess(Node &Which) {
  if (!Which.MayRun || Which.IsStopping || Which.IsPaused)
    return;
  switch (Random() % 3) {
  case 0:
    note("kill " + Which.Name);
    Which.MayRun = false;
    Which.Process.kill();
    restartLater(Which, draw(50, 1500));
    break;
  case 1:
    note("pause " + Which.Name);
    Which.IsPaused = true;
    Which.Process.signal(SIGSTOP);
    Loop.after(draw(200, 2500), [&Which] {
      Which.IsPaused = false;
      Which.Process.signal(SIGCONT);
    });
    break;
  default:
    stop(Which);
  }
}

bool Soak::isProxy(const Node &Which) const { return Which.Folder.empty(); }

void Soak::mendSettings(Node &Which) {
  if (!Which.GoodSettings.empty())
    writeSettings(Which.Name, std::exchange(Which.GoodSettings, ""));
}

// A start with broken settings is refused; only a reload may meet them.
void Soak::startProcess(Node &Which) {
  mendSettings(Which);
  Which.StartedAt = Time.now();
  Which.Process.start(Given.IsLimited && isProxy(Which) ? FewFiles : 0);
}

void Soak::restartLater(Node &Which, Millis After) {
  Loop.after(After, [this, &Which] {
    startProcess(Which);
    Which.MayRun = true;
  });
}

void Soak::stop(Node &Which) {
  note("stop " + Which.Name);
  Which.IsStopping = true;
  Which.Process.signal(SIGTERM);
}

void Soak::harmSeries() {
  switch (Random() % 5) {
  case 0:
    return roll();
  case 1:
    return herd();
  case 2:
    note("plans in quick succession");
    return Operations.storm(StormPlans);
  case 3:
    return reloadBroken(*Proxies[Random() % Proxies.size()]);
  default:
    return signalSeries(*Proxies[Random() % Proxies.size()], 6);
  }
}

// Each stops while the one before it still does.
void Soak::roll() {
  note("stop all proxies in turn");
  const Millis Gap = draw(30, 500);
  Millis At;
  for (auto &Each : Proxies) {
    Loop.after(At, [this, &Which = *Each] {
      if (Which.MayRun && !Which.IsStopping && !Which.IsPaused)
        stop(Which);
    });
    At += Gap;
  }
}

void Soak::herd() {
  note("kill half of the proxies");
  for (auto &Each : Proxies) {
    if (Random() % 2 == 0 || !Each->MayRun || Each->IsPaused)
      continue;
    Each->MayRun = false;
    Each->IsStopping = false;
    Each->Process.kill();
    restartLater(*Each, draw(50, 400));
  }
}

void Soak::signalSeries(Node &Which, int Left) {
  if (Left == 0 || !Which.MayRun || Which.IsPaused)
    return;
  static constexpr int Kinds[] = {SIGTERM, SIGHUP, SIGINT, SIGHUP};
  const int Kind = Kinds[Random() % 4];
  note("signal " + std::to_string(Kind) + " to " + Which.Name);
  Which.IsStopping = Which.IsStopping || Kind != SIGHUP;
  Which.Process.signal(Kind);
  Loop.after(draw(1, 400),
             [this, &Which, Left] { signalSeries(Which, Left - 1); });
}

void Soak::reloadBroken(Node &Which) {
  if (!Which.MayRun || Which.IsStopping || Which.IsPaused ||
      Time.now() - Which.StartedAt < StartTakes)
    return;
  note("reload broken settings at " + Which.Name);
  const std::string File = Given.Folder + "/" + Which.Name + ".toml";
  Which.GoodSettings = readFile(File).value();
  std::ofstream(File) << Which.GoodSettings.substr(
                             0, Which.GoodSettings.size() / 2)
                      << "\n= broken";
  Which.Process.signal(SIGHUP);
  Loop.after(Millis(40), [this, &Which] {
    mendSettings(Which);
    if (Which.MayRun && !Which.IsPaused)
      Which.Process.signal(SIGHUP);
  });
}

void Soak::harmLink(FaultyLink &Which, const std::string &Name) {
  constexpr Harm Kinds[] = {Harm::Delayed, Harm::Silent, Harm::OneWay,
                            Harm::Refused, Harm::None};
  const Harm Kind = Kinds[Random() % 5];
  note("link " + std::to_string(static_cast<int>(Kind)) + ", " + Name);
  if (Kind == Harm::None || Kind == Harm::Refused)
    Which.reset();
  Which.harm(Kind);
  Loop.after(draw(200, 2000), [&Which] {
    Which.harm(Harm::None);
    Which.reset();
  });
}

void Soak::harmServer() {
  auto &Servers = Targets.servers();
  Server &Which = *Servers[Random() % Servers.size()];
  switch (Random() % 4) {
  case 0:
    if (!Which.IsUp)
      return;
    note("crash " + Which.Id + (Which.IsPrimary ? ", the primary" : ""));
    Which.crash();
    Loop.after(draw(300, 3000), [this, &Which] { Targets.bringBack(Which); });
    break;
  case 1:
    note("answers of " + Which.Id + " get lost");
    Which.LosesAnswers = true;
    Loop.after(draw(200, 1000), [&Which] { Which.LosesAnswers = false; });
    break;
  case 2:
    note("replicas lag");
    Targets.Lag = Millis(3000);
    Loop.after(draw(300, 3000), [this] { Targets.Lag = Millis(10); });
    break;
  default:
    note("promotions are carried out late and not answered");
    Targets.LosesPromotions = true;
    Loop.after(draw(300, 3000), [this] { Targets.LosesPromotions = false; });
  }
}

// It comes back with an empty disk, as another member.
void Soak::wipe(Node &Which) {
  if (IsWiping || !Which.MayRun || Which.IsStopping || Which.IsPaused)
    return;
  note("lose the disk of " + Which.Name);
  IsWiping = true;
  Which.MayRun = false;
  Which.Process.kill();
  std::filesystem::remove_all(Which.Folder);
  std::filesystem::create_directories(Which.Folder);
  for (int Each = 1; Each <= 3; ++Each)
    if (Controls[static_cast<std::size_t>(Each - 1)].get() == &Which)
      writeSettings(Which.Name, controlSettings(Which, Each, false));
  restartLater(Which, draw(50, 500));
  // Until it has surely been taken in again, no other disk is lost.
  Loop.after(Millis(8000), [this] { IsWiping = false; });
}

void Soak::healAll() {
  for (auto &Each : CallerLinks) {
    Each->harm(Harm::None);
    Each->reset();
  }
  for (auto &Each : Targets.servers()) {
    Each->Link.harm(Harm::None);
    Each->Link.reset();
    Each->LosesAnswers = false;
    Targets.bringBack(*Each);
  }
  Targets.Lag = Millis(10);
  Targets.LosesPromotions = false;
}

} // namespace corianderdyke::soak
