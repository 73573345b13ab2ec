/// \file
/// Measures the failover gap that callers observe, on simulated hosts in
/// virtual time, with the latencies and sizes of both deployments.
///
/// A write is sent every two milliseconds, to each proxy in turn. The gap
/// begins with the arrival of the last success under the old primary and ends
/// with the first under the new one. Latencies are rounded up to whole
/// milliseconds: Riga's 0.5 and 1 ms to 1 and 1, Taichung's 1.5 and 3 ms to 2
/// and 3.

#include "FailoverSupport.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <deque>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <random>

using namespace corianderdyke;

namespace {

constexpr std::size_t ControlHosts = 3;
constexpr std::size_t Proxies = 8;
constexpr Millis Step(1);
constexpr Millis SendInterval(2);
constexpr Millis RunTimeout(10000);

struct Deployment {
  const char *Name;
  const char *Databases;
  int Connections;
  Millis Between;
  Millis ToCallers;
};

const std::array<Deployment, 2> Deployments = {
    Deployment{"riga", "bale-ledger-", 16, Millis(1), Millis(1)},
    Deployment{"taichung", "swap-ledger-", 30, Millis(2), Millis(3)}};

const std::array<const char *, 3> Faults = {"kill", "freeze", "cut"};

/// The consecutive parts of the gap. Targets are asked for their positions
/// from the commit of the fence on, in parallel with the revocation.
enum Part : std::uint8_t {
  Detection,  ///< From the last success to suspicion by the majority.
  Fence,      ///< To the commit of the fence.
  Revocation, ///< To the end of every lease granted without the fence.
  Promotion,  ///< To the commit of the promotion, including the wait for
              ///< positions that are still missing.
  Notice,     ///< To the first success that a caller receives.
  Gap,
  PartCount
};

const std::array<const char *, PartCount> PartNames = {
    "detection", "fence", "revocation", "promotion", "notice", "gap"};

using Parts = std::array<std::int64_t, PartCount>;

std::string manifestOf(const Deployment &Sizes) {
  std::string Out = "version = 1\n[[organisation]]\nname = \"port-clerks\"\n";
  for (int Index = 1; Index <= 3; ++Index)
    Out += "[[database]]\nname = \"" + std::string(Sizes.Databases) +
           std::to_string(Index) +
           "\"\nconnections_per_target = " + std::to_string(Sizes.Connections) +
           "\n";
  return Out + "[[kind]]\nname = \"handover\"\naccess = \"write\"\n"
               "repeatable = false\n";
}

/// One failover of one cluster.
class Run {
public:
  Run(const Deployment &Sizes, std::uint64_t Seed)
      : Database(std::string(Sizes.Databases) + "1"),
        Cluster(Seed, ControlHosts, Proxies), Random(Seed) {
    Cluster.Net.LeastLatency = Cluster.Net.MostLatency = Sizes.Between;
    Cluster.Net.ClientLatency["caller"] = Sizes.ToCallers;
    Cluster.TargetOptions.Connections =
        static_cast<std::size_t>(Sizes.Connections);
    Cluster.startAndAwaitWritable(manifestOf(Sizes));
  }

  std::optional<Parts> measure(const std::string &Fault) {
    const Millis WarmUp(std::uniform_int_distribution<int>(500, 1000)(Random));
    const Millis FaultAt = Cluster.Loop.now() + WarmUp;
    FormerPrimary = primaryOf(Cluster, Database);
    while (Cluster.Loop.now() < FaultAt)
      advance();
    injectFault(Fault);
    const Millis End = Cluster.Loop.now() + RunTimeout;
    while (!FirstNewSuccess && Cluster.Loop.now() < End) {
      advance();
      recordPhases();
    }
    if (!FirstNewSuccess || !Suspected || !Fenced || !Revoked || !Promoted)
      return std::nullopt;
    const auto Between = [](Millis From, Millis To) {
      return (To - From).count();
    };
    return Parts{Between(LastFormerSuccess, *Suspected),
                 Between(*Suspected, *Fenced),
                 Between(*Fenced, *Revoked),
                 Between(*Revoked, *Promoted),
                 Between(*Promoted, *FirstNewSuccess),
                 Between(LastFormerSuccess, *FirstNewSuccess)};
  }

private:
  void injectFault(const std::string &Fault) {
    if (Fault == "kill")
      Cluster.kill(FormerPrimary);
    if (Fault == "freeze")
      Cluster.Hosts[FormerPrimary]->freeze();
    if (Fault == "cut")
      for (const auto &[Name, Host] : Cluster.Hosts)
        Cluster.Net.cutBoth(Name, FormerPrimary);
  }

  void advance() {
    if (Cluster.Loop.now() >= NextSend) {
      NextSend = Cluster.Loop.now() + SendInterval;
      const std::string Proxy = "entry-" + std::to_string(1 + Sent % Proxies);
      Pending.push_back(Cluster.send(Proxy, {.Database = Database,
                                             .Key = std::to_string(Sent),
                                             .Body = "add moves 1"}));
      ++Sent;
    }
    Cluster.Loop.runFor(Step);
    std::erase_if(Pending, [this](const std::shared_ptr<CallerResponse> &Each) {
      if (Each->Arrived && Each->Outcome == "done") {
        if (Each->Target == FormerPrimary)
          LastFormerSuccess = Cluster.Loop.now();
        else if (!FirstNewSuccess)
          FirstNewSuccess = Cluster.Loop.now();
      }
      return Each->Arrived;
    });
  }

  void recordPhases() {
    ControlNode *Leader = Cluster.leader();
    if (Leader == nullptr)
      return;
    const Millis Now = Cluster.Loop.now();
    const ClusterView &View = Leader->appliedState().view();
    const GroupRecord &Group = *View.group(Database);
    const bool IsReplaced = Group.Primary != FormerPrimary;
    if (!Suspected &&
        (IsReplaced || isSuspected(FormerPrimary, Leader->leases(),
                                   View.CurrentManifest->Failover, Now)))
      Suspected = Now;
    if (!Fenced && IsReplaced) {
      Fenced = Now;
      FenceRevision = View.Revision;
    }
    if (Fenced && !Revoked &&
        (Group.isWritable() || Leader->isInForce(FenceRevision)))
      Revoked = Now;
    if (Fenced && !Promoted && Group.isWritable())
      Promoted = Now;
  }

  std::string Database;
  FakeCluster Cluster;
  std::mt19937_64 Random;
  std::string FormerPrimary;
  std::deque<std::shared_ptr<CallerResponse>> Pending;
  std::size_t Sent = 0;
  Millis NextSend;
  Millis LastFormerSuccess;
  std::uint64_t FenceRevision = 0;
  std::optional<Millis> Suspected;
  std::optional<Millis> Fenced;
  std::optional<Millis> Revoked;
  std::optional<Millis> Promoted;
  std::optional<Millis> FirstNewSuccess;
};

/// Returns the quantile \p Share of the values.
std::int64_t quantile(std::vector<std::int64_t> Values, double Share) {
  std::sort(Values.begin(), Values.end());
  const auto Index =
      static_cast<std::size_t>(Share * static_cast<double>(Values.size() - 1));
  return Values[Index];
}

void printRow(const Deployment &Sizes, const std::string &Fault,
              const std::vector<Parts> &Runs, int Failed) {
  std::cout << std::left << std::setw(10) << Sizes.Name << std::setw(8) << Fault
            << std::right;
  for (std::size_t Each = 0; Each < PartCount; ++Each) {
    std::vector<std::int64_t> Values;
    Values.reserve(Runs.size());
    for (const Parts &Sample : Runs)
      Values.push_back(Sample[Each]);
    std::cout << std::setw(7) << quantile(Values, 0.5);
    if (Each == Gap)
      std::cout << std::setw(7) << quantile(Values, 0.99) << std::setw(7)
                << quantile(Values, 1);
  }
  std::cout << std::setw(7) << Runs.size() << std::setw(7) << Failed << "\n";
}

} // namespace

int main(int ArgCount, char **Args) {
  CLI::App App("Measures the failover gap on simulated hosts",
               "measure-failover");
  int Seeds = 100;
  std::string Csv;
  App.add_option("--seeds", Seeds, "Runs of each fault and deployment");
  App.add_option("--csv", Csv, "File for one line a run");
  CLI11_PARSE(App, ArgCount, Args);
  std::ofstream Lines;
  if (!Csv.empty())
    Lines.open(Csv);
  Lines << "deployment,fault,seed";
  for (const char *Each : PartNames)
    Lines << "," << Each << "_ms";
  Lines << "\n";
  std::cout << "Median of the parts, then the gap's median, p99 and worst, "
               "in ms; runs; runs without an end.\n"
            << "deployment fault  detect  fence revoke promot notice    gap"
               "    p99  worst   runs failed\n";
  for (const Deployment &Sizes : Deployments)
    for (const std::string Fault : Faults) {
      std::vector<Parts> Runs;
      int Failed = 0;
      for (int Seed = 1; Seed <= Seeds; ++Seed) {
        const auto Result =
            Run(Sizes, static_cast<std::uint64_t>(Seed)).measure(Fault);
        if (!Result) {
          ++Failed;
          continue;
        }
        Runs.push_back(*Result);
        Lines << Sizes.Name << "," << Fault << "," << Seed;
        for (const std::int64_t Each : *Result)
          Lines << "," << Each;
        Lines << "\n";
      }
      if (!Runs.empty())
        printRow(Sizes, Fault, Runs, Failed);
      else
        std::cout << Sizes.Name << " " << Fault << ": no run ended\n";
    }
  return 0;
}
