/// \file
/// Measures the failover gap as callers see it, on the fakes in virtual time,
/// with the latencies and sizes of both deployments.
///
/// Writes are sent every two milliseconds, at each proxy in turn. The gap
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

constexpr std::size_t Controls = 3;
constexpr std::size_t Proxies = 8;
constexpr Millis Step(1);
constexpr Millis SendEvery(2);
constexpr Millis GiveUpAfter(10000);

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

/// The gap's parts, one after the other. Positions are asked for from the
/// commit of the fence on, beside the revocation.
enum Part : std::uint8_t {
  Detection,  ///< From the last success to the majority's suspicion.
  Fence,      ///< To the commit of the fence.
  Revocation, ///< To the end of every lease without it.
  Promotion,  ///< To the commit of the promotion, with what positions lack.
  Notice,     ///< To the first success that a caller gets.
  Gap,
  PartCount
};

const std::array<const char *, PartCount> PartNames = {
    "detection", "fence", "revocation", "promotion", "notice", "gap"};

using Parts = std::array<std::int64_t, PartCount>;

std::string manifestOf(const Deployment &Of) {
  std::string Out = "version = 1\n[[organisation]]\nname = \"port-clerks\"\n";
  for (int Index = 1; Index <= 3; ++Index)
    Out += "[[database]]\nname = \"" + std::string(Of.Databases) +
           std::to_string(Index) +
           "\"\nconnections_per_target = " + std::to_string(Of.Connections) +
           "\n";
  return Out + "[[kind]]\nname = \"handover\"\naccess = \"write\"\n"
               "repeatable = false\n";
}

/// One failover of one cluster.
class Run {
public:
  Run(const Deployment &Of, std::uint64_t Seed)
      : Database(std::string(Of.Databases) + "1"),
        Cluster(Seed, Controls, Proxies), Random(Seed) {
    Cluster.Net.LeastLatency = Cluster.Net.MostLatency = Of.Between;
    Cluster.Net.ClientLatency["caller"] = Of.ToCallers;
    Cluster.TargetOptions.Connections =
        static_cast<std::size_t>(Of.Connections);
    Cluster.startAndAwaitWritable(manifestOf(Of));
  }

  std::optional<Parts> measure(const std::string &Fault) {
    const Millis Warm(std::uniform_int_distribution<int>(500, 1000)(Random));
    const Millis FaultAt = Cluster.Loop.now() + Warm;
    Old = primaryOf(Cluster, Database);
    while (Cluster.Loop.now() < FaultAt)
      advance();
    cause(Fault);
    const Millis End = Cluster.Loop.now() + GiveUpAfter;
    while (!FirstNew && Cluster.Loop.now() < End) {
      advance();
      notePhases();
    }
    if (!FirstNew || !Suspected || !Fenced || !Revoked || !Promoted)
      return std::nullopt;
    const auto Between = [](Millis From, Millis To) {
      return (To - From).count();
    };
    return Parts{Between(LastOld, *Suspected),  Between(*Suspected, *Fenced),
                 Between(*Fenced, *Revoked),    Between(*Revoked, *Promoted),
                 Between(*Promoted, *FirstNew), Between(LastOld, *FirstNew)};
  }

private:
  void cause(const std::string &Fault) {
    if (Fault == "kill")
      Cluster.kill(Old);
    if (Fault == "freeze")
      Cluster.Hosts[Old]->freeze();
    if (Fault == "cut")
      for (const auto &[Name, Host] : Cluster.Hosts)
        Cluster.Net.cutBoth(Name, Old);
  }

  void advance() {
    if (Cluster.Loop.now() >= NextSend) {
      NextSend = Cluster.Loop.now() + SendEvery;
      const std::string Proxy = "entry-" + std::to_string(1 + Sent % Proxies);
      Asked.push_back(Cluster.send(Proxy, {.Database = Database,
                                           .Key = std::to_string(Sent),
                                           .Body = "add moves 1"}));
      ++Sent;
    }
    Cluster.Loop.runFor(Step);
    std::erase_if(Asked, [this](const std::shared_ptr<CallerResponse> &Each) {
      if (Each->Arrived && Each->Outcome == "done") {
        if (Each->Target == Old)
          LastOld = Cluster.Loop.now();
        else if (!FirstNew)
          FirstNew = Cluster.Loop.now();
      }
      return Each->Arrived;
    });
  }

  void notePhases() {
    ControlNode *Leader = Cluster.leader();
    if (Leader == nullptr)
      return;
    const Millis Now = Cluster.Loop.now();
    const ClusterView &View = Leader->appliedState().view();
    const GroupRecord &Group = *View.group(Database);
    const bool Ended = Group.Primary != Old;
    if (!Suspected &&
        (Ended || isSuspected(Old, Leader->leases(),
                              View.CurrentManifest->Failover, Now)))
      Suspected = Now;
    if (!Fenced && Ended) {
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
  std::string Old;
  std::deque<std::shared_ptr<CallerResponse>> Asked;
  std::size_t Sent = 0;
  Millis NextSend;
  Millis LastOld;
  std::uint64_t FenceRevision = 0;
  std::optional<Millis> Suspected;
  std::optional<Millis> Fenced;
  std::optional<Millis> Revoked;
  std::optional<Millis> Promoted;
  std::optional<Millis> FirstNew;
};

/// The value that a share of the values doesn't exceed.
std::int64_t quantile(std::vector<std::int64_t> Of, double Share) {
  std::sort(Of.begin(), Of.end());
  const auto Index =
      static_cast<std::size_t>(Share * static_cast<double>(Of.size() - 1));
  return Of[Index];
}

void printRow(const Deployment &Of, const std::string &Fault,
              const std::vector<Parts> &All, int Failed) {
  std::cout << std::left << std::setw(10) << Of.Name << std::setw(8) << Fault
            << std::right;
  for (std::size_t Each = 0; Each < PartCount; ++Each) {
    std::vector<std::int64_t> Values;
    Values.reserve(All.size());
    for (const Parts &One : All)
      Values.push_back(One[Each]);
    std::cout << std::setw(7) << quantile(Values, 0.5);
    if (Each == Gap)
      std::cout << std::setw(7) << quantile(Values, 0.99) << std::setw(7)
                << quantile(Values, 1);
  }
  std::cout << std::setw(7) << All.size() << std::setw(7) << Failed << "\n";
}

} // namespace

int main(int Count, char **Arguments) {
  CLI::App App("Measures the failover gap on the fakes", "measure-failover");
  int Seeds = 100;
  std::string Csv;
  App.add_option("--seeds", Seeds, "Runs of each fault and deployment");
  App.add_option("--csv", Csv, "File for one line a run");
  CLI11_PARSE(App, Count, Arguments);
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
  for (const Deployment &Of : Deployments)
    for (const std::string Fault : Faults) {
      std::vector<Parts> All;
      int Failed = 0;
      for (int Seed = 1; Seed <= Seeds; ++Seed) {
        const auto Got =
            Run(Of, static_cast<std::uint64_t>(Seed)).measure(Fault);
        if (!Got) {
          ++Failed;
          continue;
        }
        All.push_back(*Got);
        Lines << Of.Name << "," << Fault << "," << Seed;
        for (const std::int64_t Each : *Got)
          Lines << "," << Each;
        Lines << "\n";
      }
      if (!All.empty())
        printRow(Of, Fault, All, Failed);
      else
        std::cout << Of.Name << " " << Fault << ": no run ended\n";
    }
  return 0;
}
