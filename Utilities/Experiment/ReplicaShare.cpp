/// \file
/// Measures the share of reads that replicas serve against the best possible
/// for the same load, lags and manifest. The best is told by an oracle that
/// sees the true logs of all targets at the moment of asking.

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
  Run(const Scenario &What, std::uint64_t Seed)
      : What(What), Cluster(Seed, 3, What.Proxies), Random(Seed) {
    Cluster.Net.LeastLatency = What.LeastLatency;
    Cluster.Net.MostLatency = What.MostLatency;
    Cluster.TargetOptions.Lag = What.Lag;
    Cluster.startAndAwaitWritable(Manifest);
  }

  void go() {
    const Millis End = Cluster.Loop.now() + Duration;
    while (Cluster.Loop.now() < End) {
      noteWrites();
      if (draw(1000) < static_cast<std::size_t>(What.RequestsPerSecond))
        act();
      Cluster.Loop.runFor(Millis(1));
      collect();
    }
    Cluster.Loop.runFor(Millis(6000));
    collect();
  }

  void print() const {
    const double Share = ratio(ByReplica, Done);
    const double Best = ratio(Possible, Reads);
    std::printf("%-22s %6zu %6zu %8.3f %8.3f %8.3f %8.1f\n", What.Name, Reads,
                Reads - Done, Share, Best, Share / Best, ratio(Waited, Done));
  }

private:
  struct Session {
    std::string Database;
    std::string Token;
    std::uint64_t Floor = 0;
    std::shared_ptr<CallerResponse> Open;
    bool Writes = false;
    Millis AskedAt;
  };

  std::size_t draw(std::size_t Below) {
    return std::uniform_int_distribution<std::size_t>(0, Below - 1)(Random);
  }

  /// Remembers when each position of each primary was written.
  void noteWrites() {
    for (const auto &[Name, Each] : Cluster.Targets)
      if (Each->isPrimary())
        while (WrittenAt[databaseOf(Name)].size() < Each->position())
          WrittenAt[databaseOf(Name)].push_back(Cluster.Loop.now());
  }

  static std::string databaseOf(const std::string &Target) {
    return Target.substr(0, Target.rfind('-'));
  }

  /// True where some replica could serve the read at this moment.
  bool isPossible(const Session &By, Millis AcceptedAge) {
    for (const auto &[Name, Each] : Cluster.Targets) {
      if (databaseOf(Name) != By.Database || Each->isPrimary() ||
          Each->position() < By.Floor)
        continue;
      const auto &Times = WrittenAt[By.Database];
      const bool Whole = Each->position() >= Times.size();
      if (Whole || Cluster.Loop.now() - Times[Each->position()] <= AcceptedAge)
        return true;
    }
    return false;
  }

  void act() {
    Session &By = All[draw(Sessions)];
    if (By.Open)
      return;
    if (By.Database.empty())
      By.Database = "ledger-" + std::to_string(1 + draw(3));
    const std::string Proxy = "entry-" + std::to_string(1 + draw(What.Proxies));
    By.Writes = draw(1000) < static_cast<std::size_t>(What.WritesPerMille);
    By.AskedAt = Cluster.Loop.now();
    CallerRequest Ask{
        .Database = By.Database, .Body = "put a b", .Session = By.Token};
    if (By.Writes) {
      Ask.Key = "k" + std::to_string(++NextKey);
    } else {
      const std::int64_t Age = Ages[draw(std::size(Ages))];
      Ask.Kind = "within-" + std::to_string(Age);
      Ask.Body = "get a";
      ++Reads;
      Possible += isPossible(By, Millis(Age)) ? 1 : 0;
    }
    By.Open = Cluster.send(Proxy, Ask);
  }

  void collect() {
    for (Session &Each : All) {
      if (!Each.Open || !Each.Open->Arrived)
        continue;
      const CallerResponse Got = *std::exchange(Each.Open, nullptr);
      if (Got.Outcome != "done")
        continue;
      if (Each.Writes) {
        Each.Token = Got.Session;
        Each.Floor = verifyToken(Got.Session, FakeCluster::SharedKey)
                         ->floor(Each.Database)
                         ->Position;
        continue;
      }
      ++Done;
      ByReplica += Got.ServedBy == "replica" ? 1 : 0;
      Waited += static_cast<std::size_t>((Got.At - Each.AskedAt).count());
    }
  }

  static double ratio(std::size_t Part, std::size_t Whole) {
    return static_cast<double>(Part) / static_cast<double>(Whole);
  }

  const Scenario &What;
  FakeCluster Cluster;
  std::mt19937_64 Random;
  std::vector<Session> All{Sessions};
  std::map<std::string, std::vector<Millis>> WrittenAt;
  std::size_t NextKey = 0;
  std::size_t Reads = 0;
  std::size_t Possible = 0;
  std::size_t Done = 0;
  std::size_t ByReplica = 0;
  std::size_t Waited = 0; ///< Milliseconds of all reads that were done.
};

} // namespace

int main(int Count, char **Arguments) {
  const std::uint64_t Seed = Count > 1 ? numberOr(Arguments[1], 1) : 1;
  std::printf("seed %llu\n%-22s %6s %6s %8s %8s %8s %8s\n",
              static_cast<unsigned long long>(Seed), "scenario", "reads",
              "undone", "share", "best", "ratio", "mean ms");
  for (const Scenario &Each : Scenarios) {
    Run Now(Each, Seed);
    Now.go();
    Now.print();
  }
  return 0;
}
