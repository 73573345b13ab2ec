/// \file
/// Measures the share of reads that replicas serve, and compares it with the
/// best possible share for the same load, lag and manifest. The best share is
/// computed by an oracle that reads the logs of all targets at the time of the
/// request.

#include "FakeCluster.h"

#include <cstdio>

using namespace corianderdyke;

namespace {

struct Scenario {
  const char *Name;
  std::size_t Proxies;
  Millis LeastLatency;
  Millis MostLatency;
  Millis Lag;
  int WritesPerMille;
  int RequestsPerSecond;
};

constexpr Scenario Scenarios[] = {
    {"riga, lag 5 ms", 8, Millis(1), Millis(2), Millis(5), 200, 400},
    {"riga, lag 100 ms", 8, Millis(1), Millis(2), Millis(100), 200, 400},
    {"riga, lag 600 ms", 8, Millis(1), Millis(2), Millis(600), 200, 400},
    {"taichung, lag 5 ms", 7, Millis(2), Millis(3), Millis(5), 50, 400},
    {"taichung, lag 100 ms", 7, Millis(2), Millis(3), Millis(100), 50, 400},
    {"taichung, lag 600 ms", 7, Millis(2), Millis(3), Millis(600), 50, 400},
};

constexpr const char *Manifest = R"(
version = 1
[[organisation]]
name = "port-clerks"
[[database]]
name = "ledger-1"
[[database]]
name = "ledger-2"
[[database]]
name = "ledger-3"
[[kind]]
name = "within-250"
access = "read"
accepted_age_ms = 250
[[kind]]
name = "within-1000"
access = "read"
accepted_age_ms = 1000
[[kind]]
name = "within-5000"
access = "read"
accepted_age_ms = 5000
[[kind]]
name = "handover"
access = "write"
repeatable = false
[failover]
suspect_after_ms = 2000
)";

constexpr std::int64_t Ages[] = {250, 1000, 5000};
constexpr std::size_t Sessions = 60;
constexpr Millis Duration = Millis(10000);

class Run {
public:
  Run(const Scenario &Spec, std::uint64_t Seed)
      : Spec(Spec), Cluster(Seed, 3, Spec.Proxies), Random(Seed) {
    Cluster.Net.LeastLatency = Spec.LeastLatency;
    Cluster.Net.MostLatency = Spec.MostLatency;
    Cluster.TargetOptions.Lag = Spec.Lag;
    Cluster.startAndAwaitWritable(Manifest);
  }

  void run() {
    const Millis End = Cluster.Loop.now() + Duration;
    while (Cluster.Loop.now() < End) {
      recordWrites();
      if (draw(1000) < static_cast<std::size_t>(Spec.RequestsPerSecond))
        sendRequest();
      Cluster.Loop.runFor(Millis(1));
      collectResponses();
    }
    Cluster.Loop.runFor(Millis(6000));
    collectResponses();
  }

  void print() const {
    const double Share = ratio(ByReplica, Completed);
    const double Best = ratio(ReplicaPossible, Reads);
    std::printf("%-22s %6zu %6zu %8.3f %8.3f %8.3f %8.1f\n", Spec.Name, Reads,
                Reads - Completed, Share, Best, Share / Best,
                ratio(TotalLatencyMs, Completed));
  }

private:
  struct Session {
    std::string Database;
    std::string Token;
    std::uint64_t Floor = 0;
    std::shared_ptr<CallerResponse> Pending;
    bool Writes = false;
    Millis AskedAt;
  };

  std::size_t draw(std::size_t Below) {
    return std::uniform_int_distribution<std::size_t>(0, Below - 1)(Random);
  }

  /// Records the time at which each position of each primary was written.
  void recordWrites() {
    for (const auto &[Name, Each] : Cluster.Targets)
      if (Each->isPrimary())
        while (WrittenAt[databaseOf(Name)].size() < Each->position())
          WrittenAt[databaseOf(Name)].push_back(Cluster.Loop.now());
  }

  static std::string databaseOf(const std::string &Target) {
    return Target.substr(0, Target.rfind('-'));
  }

  /// True if some replica could serve the read at this moment.
  bool canReplicaServe(const Session &Caller, Millis AcceptedAge) {
    for (const auto &[Name, Each] : Cluster.Targets) {
      if (databaseOf(Name) != Caller.Database || Each->isPrimary() ||
          Each->position() < Caller.Floor)
        continue;
      const auto &Times = WrittenAt[Caller.Database];
      const bool IsUpToDate = Each->position() >= Times.size();
      if (IsUpToDate ||
          Cluster.Loop.now() - Times[Each->position()] <= AcceptedAge)
        return true;
    }
    return false;
  }

  void sendRequest() {
    Session &Caller = CallerSessions[draw(Sessions)];
    if (Caller.Pending)
      return;
    if (Caller.Database.empty())
      Caller.Database = "ledger-" + std::to_string(1 + draw(3));
    const std::string Proxy = "entry-" + std::to_string(1 + draw(Spec.Proxies));
    Caller.Writes = draw(1000) < static_cast<std::size_t>(Spec.WritesPerMille);
    Caller.AskedAt = Cluster.Loop.now();
    CallerRequest Request{.Database = Caller.Database,
                          .Body = "put a b",
                          .Session = Caller.Token};
    if (Caller.Writes) {
      Request.Key = "k" + std::to_string(++NextKey);
    } else {
      const std::int64_t Age = Ages[draw(std::size(Ages))];
      Request.Kind = "within-" + std::to_string(Age);
      Request.Body = "get a";
      ++Reads;
      ReplicaPossible += canReplicaServe(Caller, Millis(Age)) ? 1 : 0;
    }
    Caller.Pending = Cluster.send(Proxy, Request);
  }

  void collectResponses() {
    for (Session &Each : CallerSessions) {
      if (!Each.Pending || !Each.Pending->Arrived)
        continue;
      const CallerResponse Response = *std::exchange(Each.Pending, nullptr);
      if (Response.Outcome != "done")
        continue;
      if (Each.Writes) {
        Each.Token = Response.Session;
        Each.Floor = verifyToken(Response.Session, FakeCluster::SharedKey)
                         ->floor(Each.Database)
                         ->Position;
        continue;
      }
      ++Completed;
      ByReplica += Response.ServedBy == "replica" ? 1 : 0;
      TotalLatencyMs +=
          static_cast<std::size_t>((Response.At - Each.AskedAt).count());
    }
  }

  static double ratio(std::size_t Part, std::size_t Total) {
    return static_cast<double>(Part) / static_cast<double>(Total);
  }

  const Scenario &Spec;
  FakeCluster Cluster;
  std::mt19937_64 Random;
  std::vector<Session> CallerSessions{Sessions};
  std::map<std::string, std::vector<Millis>> WrittenAt;
  std::size_t NextKey = 0;
  std::size_t Reads = 0;
  std::size_t ReplicaPossible = 0;
  std::size_t Completed = 0;
  std::size_t ByReplica = 0;
  std::size_t TotalLatencyMs = 0; ///< Of completed reads.
};

} // namespace

int main(int ArgCount, char **Args) {
  const std::uint64_t Seed = ArgCount > 1 ? numberOr(Args[1], 1) : 1;
  std::printf("seed %llu\n%-22s %6s %6s %8s %8s %8s %8s\n",
              static_cast<unsigned long long>(Seed), "scenario", "reads",
              "undone", "share", "best", "ratio", "mean ms");
  for (const Scenario &Each : Scenarios) {
    Run Current(Each, Seed);
    Current.run();
    Current.print();
  }
  return 0;
}
