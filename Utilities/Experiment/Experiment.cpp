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
/// As the proxy asks; a proxy that is short asks sooner.
constexpr Micros AskEvery = 500000;
constexpr Micros AskWhenShort = 50000;
/// A forwarding proxy learns of a home's death when its lease has ended.
constexpr Micros DeathNotice = 600000;
constexpr Micros RestartTime = 1000000;

class Run {
public:
  Run(const Scenario &What, const Variant &How)
      : What(What), How(How), Random(What.Seed) {
    const std::uint32_t Count = How.Sizes.Databases * How.Sizes.Targets;
    Targets.reserve(Count);
    for (std::uint32_t Index = 0; Index < Count; ++Index)
      Targets.emplace_back(Time, this->How.Sizes);
    makeView(Count);
    Ledger.startTerm(1, View, Millis(-20000));
    for (std::uint32_t Index = 0; Index < How.Sizes.Proxies; ++Index)
      start(Index);
    for (const Load &Each : What.Loads)
      offerNext(Each, Each.From);
    for (const Fault &Each : What.Faults)
      Time.after(Each.At, [this, &Each] { cause(Each); });
  }

  Measured measure() {
    Time.runUntil(What.Length + 2 * PerSecond);
    for (const ModelTarget &Each : Targets)
      Out.MostConnections = std::max(Out.MostConnections, Each.mostOpen());
    return std::move(Out);
  }

private:
  void makeView(std::uint32_t Count) {
    Manifest Current;
    DatabasePolicy Policy;
    Policy.Name = "database";
    Policy.ConnectionsPerTarget = How.Sizes.Connections;
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
    return How.Rights.rfind("homes-", 0) == 0
               ? static_cast<std::uint32_t>(
                     std::stoul(How.Rights.substr(Prefix)))
               : 0;
  }

  void start(std::uint32_t Index) {
    const ProcessId Id{"entry-" + std::to_string(Index), ++Incarnation};
    Kept.push_back(std::make_unique<ModelProxy>(Time, What, How, Targets, Id));
    if (Proxies.size() <= Index)
      Proxies.resize(Index + 1);
    Proxies[Index] = Kept.back().get();
    View.Proxies[Id] = {};
    if (How.Rights == "demand")
      ask(*Kept.back());
    else
      setFixedLimits();
  }

  /// Even parts for all proxies, or all connections at the homes.
  void setFixedLimits() {
    const std::uint32_t Count = static_cast<std::uint32_t>(Proxies.size());
    for (std::uint32_t Index = 0; Index < Count; ++Index)
      for (std::uint32_t At = 0; At < Targets.size(); ++At) {
        const std::uint32_t Database = At / How.Sizes.Targets;
        std::uint32_t Limit =
            std::max(How.Sizes.Connections / How.Sizes.Proxies, 1U);
        if (const std::uint32_t Homes = homes(); Homes > 0)
          Limit = isHome(Index, Database) ? How.Sizes.Connections / Homes : 0;
        if (Proxies[Index] != nullptr && !Proxies[Index]->isTerminated())
          Proxies[Index]->setLimit(At, Limit);
      }
  }

  /// Homes of a database: the first living proxies of a ring that starts at
  /// its number. A successor's rights begin when those of the dead have
  /// ended.
  bool isHome(std::uint32_t Proxy, std::uint32_t Database) const {
    std::uint32_t Found = 0;
    for (std::uint32_t Step = 0; Step < Proxies.size(); ++Step) {
      const std::uint32_t At = (Database * homes() + Step) %
                               static_cast<std::uint32_t>(How.Sizes.Proxies);
      const auto Lost = LostHomes.find(At);
      const bool IsGone = Lost != LostHomes.end();
      if (At == Proxy && Found < homes())
        return !IsGone;
      if (!IsGone)
        ++Found;
    }
    return false;
  }

  void ask(ModelProxy &Of) {
    if (Of.isTerminated())
      return;
    const RightsRequest Request = Of.askForRights();
    Time.after(How.Sizes.TargetHop, [this, &Of, Request] {
      const auto Grant = Ledger.handleRequest(Request, View, Time.millis());
      if (!Grant)
        return;
      Time.after(How.Sizes.TargetHop, [this, &Of, Grant] {
        if (Of.isTerminated())
          return;
        const bool IsTermAnnouncement = Grant->Duration == Millis();
        Of.take(*Grant);
        if (IsTermAnnouncement)
          ask(Of);
      });
    });
    if (Request.LeaderTerm != 0)
      Time.after(Of.isShort() ? AskWhenShort : AskEvery,
                 [this, &Of] { ask(Of); });
  }

  void offerNext(const Load &Of, Micros At) {
    const double Gap = -std::log(uniform()) / Of.PerSecond;
    const Micros Next = At + static_cast<Micros>(Gap * PerSecond);
    if (Next >= std::min(Of.Until, What.Length) || Of.PerSecond <= 0)
      return;
    Time.after(Next - Time.now(), [this, &Of, Next] {
      offer(Of);
      offerNext(Of, Next);
    });
  }

  void offer(const Load &Of) {
    auto Each = std::make_shared<Statement>();
    Each->Of = &Of;
    for (const RequestKindPolicy &Kind : What.Kinds)
      if (Kind.Name == Of.Kind)
        Each->Kind = &Kind;
    Each->Database = static_cast<std::uint32_t>(Random() % How.Sizes.Databases);
    Each->Service = Of.Exponential
                        ? static_cast<Micros>(-std::log(uniform()) *
                                              static_cast<double>(Of.Service))
                        : Of.Service;
    if (isCounted())
      ++Out.Organisations[Of.Organisation].Offered;
    begin(Each);
  }

  bool isCounted() const { return Time.now() >= What.CountFrom; }

  void begin(const StatementPtr &Each) {
    Each->Intended = Time.now();
    Each->Answered = false;
    const bool Counts = isCounted();
    const std::string Organisation = Each->Of->Organisation;
    Received &Of = Out.Organisations[Organisation];
    // Not the statement itself: it would hold itself for ever.
    const std::weak_ptr<Statement> Asked = Each;
    Each->Answer = [this, Asked, Counts, &Of](bool IsServed,
                                              Millis RetryAfter) {
      const StatementPtr Held = Asked.lock();
      if (Held == nullptr)
        return;
      Time.after(How.Sizes.CallerHop,
                 [this, Held, Counts, &Of, IsServed, RetryAfter] {
                   answered(Held, Counts, Of, IsServed, RetryAfter);
                 });
    };
    Time.after(Each->Kind->Deadline.count() * 1000, [Each, Counts, &Of] {
      if (Each->Answered)
        return;
      Each->Answered = true;
      if (Counts)
        ++Of.Late;
    });
    Time.after(How.Sizes.CallerHop, [this, Each] { enter(Each); });
  }

  void answered(const StatementPtr &Each, bool Counts, Received &Of,
                bool IsServed, Millis RetryAfter) {
    if (Each->Answered)
      return;
    Each->Answered = true;
    const Micros Took = Time.now() - Each->Intended;
    if (IsServed) {
      if (!Counts)
        return;
      ++Of.Served;
      if (Time.now() < What.Length)
        ++Of.ServedMeanwhile;
      Of.ServedAfter.push_back(Took);
      ++Of.Timeline[Time.now() / Tenth];
      return;
    }
    if (Counts) {
      Of.RefusedAfter.push_back(Took);
      Of.RetryDelays.push_back(RetryAfter.count() * 1000);
    }
    if (Each->Returns >= What.Returns) {
      if (Counts)
        ++Of.Refused;
      return;
    }
    auto Again = std::make_shared<Statement>(*Each);
    ++Again->Returns;
    ++Of.Returned;
    Time.after(RetryAfter.count() * 1000, [this, Again] { begin(Again); });
  }

  /// The balancer's choice, then a hop to a home where there are homes.
  void enter(const StatementPtr &Each) {
    const std::uint32_t Count = static_cast<std::uint32_t>(Proxies.size());
    const std::uint32_t Open =
        Each->Of->Proxies == 0 ? Count : Each->Of->Proxies;
    std::uint32_t At = static_cast<std::uint32_t>(Random() % Open);
    for (std::uint32_t Step = 0; Step < Count && !isServing(At); ++Step)
      At = (At + 1) % Count;
    if (homes() == 0 || isHome(At, Each->Database)) {
      Proxies[At]->arrive(Each);
      return;
    }
    std::vector<std::uint32_t> Homes;
    for (std::uint32_t Index = 0; Index < Count; ++Index)
      if (isHome(Index, Each->Database))
        Homes.push_back(Index);
    const std::uint32_t Home = Homes[Random() % Homes.size()];
    const auto Answer = Each->Answer;
    Each->Answer = [this, Answer](bool IsServed, Millis RetryAfter) {
      Time.after(How.Sizes.TargetHop, [Answer, IsServed, RetryAfter] {
        Answer(IsServed, RetryAfter);
      });
    };
    Time.after(How.Sizes.TargetHop, [this, Each, Home] {
      if (isServing(Home))
        Proxies[Home]->arrive(Each);
    });
  }

  bool isServing(std::uint32_t Index) const {
    const ModelProxy &Of = *Proxies[Index];
    return !Of.isTerminated() && !Of.isDraining() &&
           (homes() > 0 || Of.hasConnections());
  }

  void cause(const Fault &Of) {
    switch (Of.Kind) {
    case FaultKind::SlowTarget:
      Targets[Of.Index].slowDown(Of.Factor);
      Time.after(Of.Until - Of.At,
                 [this, &Of] { Targets[Of.Index].slowDown(1); });
      break;
    case FaultKind::ProxyDies:
      lose(Of.Index);
      break;
    case FaultKind::RollingRestart:
      restartFrom(0);
      break;
    }
  }

  void lose(std::uint32_t Index) {
    Proxies[Index]->terminate();
    if (homes() == 0)
      return;
    // The forwarders go on sending to it until they know; its successor has
    // no connections before the dead one's rights have ended.
    Time.after(DeathNotice, [this, Index] {
      LostHomes[Index] = Time.now();
      Time.after(RightsDuration.count() * 1000 - DeathNotice,
                 [this] { setFixedLimits(); });
    });
  }

  void restartFrom(std::uint32_t Index) {
    if (Index >= Proxies.size())
      return;
    ModelProxy &Old = *Proxies[Index];
    Old.drain();
    // What is in flight ends; then the process goes and comes back.
    Time.after(RestartTime, [this, &Old, Index] {
      Old.leave();
      if (How.Rights == "demand")
        Ledger.handleRequest(Old.askForRights(), View, Time.millis());
      start(Index);
      Time.after(RestartTime / 2, [this, Index] { restartFrom(Index + 1); });
    });
  }

  const Scenario &What;
  const Variant How;
  EventQueue Time;
  std::mt19937_64 Random;
  std::vector<ModelTarget> Targets;
  ClusterView View;
  ConnectionLedger Ledger;
  std::vector<std::unique_ptr<ModelProxy>> Kept;
  std::vector<ModelProxy *> Proxies;
  std::map<std::uint32_t, Micros> LostHomes;
  std::uint64_t Incarnation = 0;
  Measured Out;
};

} // namespace

Measured runExperiment(const Scenario &What, const Variant &How) {
  return Run(What, How).measure();
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
