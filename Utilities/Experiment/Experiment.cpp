/// \file
/// Runs a scenario.

#include "Experiment.h"

#include "ModelProxy.h"
#include "Rights/ConnectionLedger.h"

#include <cmath>
#include <random>

namespace corianderdyke {

namespace {

constexpr Micros PerSecond = 1000000;
constexpr Micros Tenth = 100000;
/// Interval between requests for connection rights, as in the proxy. A proxy
/// with queued requests uses the shorter one.
constexpr Micros RightsInterval = 500000;
constexpr Micros ShortageRightsInterval = 50000;
/// Forwarding proxies detect the crash of a home when its lease expires.
constexpr Micros CrashDetectionDelay = 600000;
constexpr Micros RestartTime = 1000000;

class Run {
public:
  Run(const Scenario &Spec, const Variant &Config)
      : Spec(Spec), Config(Config), Random(Spec.Seed) {
    const std::uint32_t Count = Config.Sizes.Databases * Config.Sizes.Targets;
    Targets.reserve(Count);
    for (std::uint32_t Index = 0; Index < Count; ++Index)
      Targets.emplace_back(Time, this->Config.Sizes);
    makeView(Count);
    Ledger.startTerm(1, View, Millis(-20000));
    for (std::uint32_t Index = 0; Index < Config.Sizes.Proxies; ++Index)
      start(Index);
    for (const Load &Each : Spec.Loads)
      scheduleNext(Each, Each.From);
    for (const Fault &Each : Spec.Faults)
      Time.after(Each.At, [this, &Each] { injectFault(Each); });
  }

  Measured measure() {
    Time.runUntil(Spec.Length + 2 * PerSecond);
    for (const ModelTarget &Each : Targets)
      Out.MostConnections = std::max(Out.MostConnections, Each.mostOpen());
    return std::move(Out);
  }

private:
  void makeView(std::uint32_t Count) {
    Manifest Current;
    DatabasePolicy Policy;
    Policy.Name = "database";
    Policy.ConnectionsPerTarget = Config.Sizes.Connections;
    Current.Databases.push_back(Policy);
    View.CurrentManifest = Current;
    for (std::uint32_t Index = 0; Index < Count; ++Index) {
      const std::string Name = "target-" + std::to_string(Index);
      View.Targets[Name] = {Name, Policy.Name, {}, {}, 1, false, {}};
    }
  }

  double uniform() {
    constexpr double Range = 18446744073709551616.0;
    return (static_cast<double>(Random()) + 1) / (Range + 1);
  }

  std::uint32_t homes() const {
    constexpr std::size_t Prefix = 6; // "homes-"
    return Config.Rights.rfind("homes-", 0) == 0
               ? static_cast<std::uint32_t>(
                     std::stoul(Config.Rights.substr(Prefix)))
               : 0;
  }

  void start(std::uint32_t Index) {
    const ProcessId Id{"entry-" + std::to_string(Index), ++Incarnation};
    Instances.push_back(
        std::make_unique<ModelProxy>(Time, Spec, Config, Targets, Id));
    if (Proxies.size() <= Index)
      Proxies.resize(Index + 1);
    Proxies[Index] = Instances.back().get();
    View.Proxies[Id] = {};
    if (Config.Rights == "demand")
      requestRights(*Instances.back());
    else
      setFixedLimits();
  }

  /// Divides the connections evenly among all proxies, or among the homes.
  void setFixedLimits() {
    const std::uint32_t Count = static_cast<std::uint32_t>(Proxies.size());
    for (std::uint32_t Index = 0; Index < Count; ++Index)
      for (std::uint32_t At = 0; At < Targets.size(); ++At) {
        const std::uint32_t Database = At / Config.Sizes.Targets;
        std::uint32_t Limit =
            std::max(Config.Sizes.Connections / Config.Sizes.Proxies, 1U);
        if (const std::uint32_t Homes = homes(); Homes > 0)
          Limit =
              isHome(Index, Database) ? Config.Sizes.Connections / Homes : 0;
        if (Proxies[Index] != nullptr && !Proxies[Index]->hasCrashed())
          Proxies[Index]->setLimit(At, Limit);
      }
  }

  /// The homes of a database are the first live proxies of a ring that starts
  /// at the number of the database. The rights of a successor begin when
  /// those of the crashed proxy have expired.
  bool isHome(std::uint32_t Proxy, std::uint32_t Database) const {
    std::uint32_t Found = 0;
    for (std::uint32_t Step = 0; Step < Proxies.size(); ++Step) {
      const std::uint32_t At = (Database * homes() + Step) %
                               static_cast<std::uint32_t>(Config.Sizes.Proxies);
      const auto Crash = CrashedHomes.find(At);
      const bool HasCrashed = Crash != CrashedHomes.end();
      if (At == Proxy && Found < homes())
        return !HasCrashed;
      if (!HasCrashed)
        ++Found;
    }
    return false;
  }

  void requestRights(ModelProxy &Proxy) {
    if (Proxy.hasCrashed())
      return;
    const RightsRequest Request = Proxy.makeRightsRequest();
    Time.after(Config.Sizes.TargetHop, [this, &Proxy, Request] {
      const auto Grant = Ledger.handleRequest(Request, View, Time.millis());
      if (!Grant)
        return;
      Time.after(Config.Sizes.TargetHop, [this, &Proxy, Grant] {
        if (Proxy.hasCrashed())
          return;
        const bool IsTermNotice = Grant->Duration == Millis();
        Proxy.applyGrant(*Grant);
        if (IsTermNotice)
          requestRights(Proxy);
      });
    });
    if (Request.LeaderTerm != 0)
      Time.after(Proxy.hasQueuedRequests() ? ShortageRightsInterval
                                           : RightsInterval,
                 [this, &Proxy] { requestRights(Proxy); });
  }

  void scheduleNext(const Load &Source, Micros At) {
    const double Gap = -std::log(uniform()) / Source.PerSecond;
    const Micros Next = At + static_cast<Micros>(Gap * PerSecond);
    if (Next >= std::min(Source.Until, Spec.Length) || Source.PerSecond <= 0)
      return;
    Time.after(Next - Time.now(), [this, &Source, Next] {
      offerRequest(Source);
      scheduleNext(Source, Next);
    });
  }

  void offerRequest(const Load &Source) {
    auto Each = std::make_shared<Statement>();
    Each->Source = &Source;
    for (const RequestKindPolicy &Kind : Spec.Kinds)
      if (Kind.Name == Source.Kind)
        Each->Kind = &Kind;
    Each->Database =
        static_cast<std::uint32_t>(Random() % Config.Sizes.Databases);
    Each->Service =
        Source.Exponential
            ? static_cast<Micros>(-std::log(uniform()) *
                                  static_cast<double>(Source.Service))
            : Source.Service;
    if (isCounted())
      ++Out.Organisations[Source.Organisation].Offered;
    startRequest(Each);
  }

  bool isCounted() const { return Time.now() >= Spec.CountFrom; }

  void startRequest(const StatementPtr &Each) {
    Each->Intended = Time.now();
    Each->Answered = false;
    const bool Counts = isCounted();
    const std::string Organisation = Each->Source->Organisation;
    Received &Results = Out.Organisations[Organisation];
    // A shared pointer would be a reference cycle: the statement owns Answer.
    const std::weak_ptr<Statement> Weak = Each;
    Each->Answer = [this, Weak, Counts, &Results](bool IsServed,
                                                  Millis RetryAfter) {
      const StatementPtr Locked = Weak.lock();
      if (Locked == nullptr)
        return;
      Time.after(Config.Sizes.CallerHop,
                 [this, Locked, Counts, &Results, IsServed, RetryAfter] {
                   handleAnswer(Locked, Counts, Results, IsServed, RetryAfter);
                 });
    };
    Time.after(Each->Kind->Deadline.count() * 1000, [Each, Counts, &Results] {
      if (Each->Answered)
        return;
      Each->Answered = true;
      if (Counts)
        ++Results.Late;
    });
    Time.after(Config.Sizes.CallerHop, [this, Each] { routeRequest(Each); });
  }

  void handleAnswer(const StatementPtr &Each, bool Counts, Received &Results,
                    bool IsServed, Millis RetryAfter) {
    if (Each->Answered)
      return;
    Each->Answered = true;
    const Micros Latency = Time.now() - Each->Intended;
    if (IsServed) {
      if (!Counts)
        return;
      ++Results.Served;
      if (Time.now() < Spec.Length)
        ++Results.ServedMeanwhile;
      Results.ServedAfter.push_back(Latency);
      ++Results.Timeline[Time.now() / Tenth];
      return;
    }
    if (Counts) {
      Results.RefusedAfter.push_back(Latency);
      Results.RetryDelays.push_back(RetryAfter.count() * 1000);
    }
    if (Each->Retries >= Spec.MaxRetries) {
      if (Counts)
        ++Results.Refused;
      return;
    }
    auto Retry = std::make_shared<Statement>(*Each);
    ++Retry->Retries;
    ++Results.Retries;
    Time.after(RetryAfter.count() * 1000,
               [this, Retry] { startRequest(Retry); });
  }

  /// Sends a request to the proxy that the load balancer chooses, and on to a
  /// home of the database if there are homes.
  void routeRequest(const StatementPtr &Each) {
    const std::uint32_t Count = static_cast<std::uint32_t>(Proxies.size());
    const std::uint32_t EntryProxies =
        Each->Source->Proxies == 0 ? Count : Each->Source->Proxies;
    std::uint32_t At = static_cast<std::uint32_t>(Random() % EntryProxies);
    for (std::uint32_t Step = 0; Step < Count && !isServing(At); ++Step)
      At = (At + 1) % Count;
    if (homes() == 0 || isHome(At, Each->Database)) {
      Proxies[At]->admitRequest(Each);
      return;
    }
    std::vector<std::uint32_t> Homes;
    for (std::uint32_t Index = 0; Index < Count; ++Index)
      if (isHome(Index, Each->Database))
        Homes.push_back(Index);
    const std::uint32_t Home = Homes[Random() % Homes.size()];
    const auto Answer = Each->Answer;
    Each->Answer = [this, Answer](bool IsServed, Millis RetryAfter) {
      Time.after(Config.Sizes.TargetHop, [Answer, IsServed, RetryAfter] {
        Answer(IsServed, RetryAfter);
      });
    };
    Time.after(Config.Sizes.TargetHop, [this, Each, Home] {
      if (isServing(Home))
        Proxies[Home]->admitRequest(Each);
    });
  }

  bool isServing(std::uint32_t Index) const {
    const ModelProxy &Proxy = *Proxies[Index];
    return !Proxy.hasCrashed() && !Proxy.isDraining() &&
           (homes() > 0 || Proxy.hasConnections());
  }

  void injectFault(const Fault &Injected) {
    switch (Injected.Kind) {
    case FaultKind::SlowTarget:
      Targets[Injected.Index].slowDown(Injected.Factor);
      Time.after(Injected.Until - Injected.At,
                 [this, &Injected] { Targets[Injected.Index].slowDown(1); });
      break;
    case FaultKind::ProxyDies:
      crashProxy(Injected.Index);
      break;
    case FaultKind::RollingRestart:
      restartFrom(0);
      break;
    }
  }

  void crashProxy(std::uint32_t Index) {
    Proxies[Index]->crash();
    if (homes() == 0)
      return;
    // Forwarding proxies keep sending to the crashed proxy until they detect
    // the crash. The successor may open connections only when the rights of
    // the crashed proxy have expired.
    Time.after(CrashDetectionDelay, [this, Index] {
      CrashedHomes[Index] = Time.now();
      Time.after(RightsDuration.count() * 1000 - CrashDetectionDelay,
                 [this] { setFixedLimits(); });
    });
  }

  void restartFrom(std::uint32_t Index) {
    if (Index >= Proxies.size())
      return;
    ModelProxy &Old = *Proxies[Index];
    Old.drain();
    // Requests in flight complete before the process stops and restarts.
    Time.after(RestartTime, [this, &Old, Index] {
      Old.shutDown();
      if (Config.Rights == "demand")
        Ledger.handleRequest(Old.makeRightsRequest(), View, Time.millis());
      start(Index);
      Time.after(RestartTime / 2, [this, Index] { restartFrom(Index + 1); });
    });
  }

  const Scenario &Spec;
  const Variant Config;
  EventQueue Time;
  std::mt19937_64 Random;
  std::vector<ModelTarget> Targets;
  ClusterView View;
  ConnectionLedger Ledger;
  std::vector<std::unique_ptr<ModelProxy>> Instances;
  std::vector<ModelProxy *> Proxies;
  std::map<std::uint32_t, Micros> CrashedHomes;
  std::uint64_t Incarnation = 0;
  Measured Out;
};

} // namespace

Measured runExperiment(const Scenario &Spec, const Variant &Config) {
  return Run(Spec, Config).measure();
}

Micros percentile(std::vector<Micros> Values, double Percent) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const auto Rank = static_cast<std::size_t>(
      std::ceil(Percent / 100 * static_cast<double>(Values.size())));
  return Values[std::max<std::size_t>(Rank, 1) - 1];
}

} // namespace corianderdyke
