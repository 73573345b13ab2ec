/// \file
/// Model of a proxy.

#include "ModelProxy.h"

#include "Admission/FairQueue.h"
#include "Admission/FifoQueue.h"
#include "Admission/StaticSplitQueue.h"

namespace corianderdyke {

namespace {

constexpr Micros ShedInterval = 10000;
constexpr double PerMilli = 1000;

std::string targetName(std::uint32_t Target) {
  return "target-" + std::to_string(Target);
}

} // namespace

ModelProxy::ModelProxy(EventQueue &Time, const Scenario &Spec,
                       const Variant &Config, std::vector<ModelTarget> &Targets,
                       ProcessId Id)
    : Time(Time), Spec(Spec), Config(Config), Targets(Targets),
      Rights(std::move(Id)), Pools(Targets.size()) {
  for (std::uint32_t Index = 0; Index < Config.Sizes.Databases; ++Index)
    for (const Access Mode : {Access::Read, Access::Write})
      Admissions.push_back(std::make_unique<AdmissionController>(
          makeQueue(Mode), Spec.QueueLimit,
          Spec.Seed * 1000 + Index + Rights.id().Incarnation * 16));
  shedPeriodically();
}

std::unique_ptr<QueueDiscipline> ModelProxy::makeQueue(Access Mode) const {
  if (Config.Order == "first-come")
    return std::make_unique<FifoQueue>();
  const auto Share = [this](const std::string &Name) {
    for (const OrganisationPolicy &Each : Spec.Organisations)
      if (Each.Name == Name)
        return static_cast<double>(Each.Weight);
    return 1.0;
  };
  if (Config.Order == "static-split") {
    double Sum = 0;
    for (const OrganisationPolicy &Each : Spec.Organisations)
      Sum += Each.Weight;
    const std::uint32_t Servers =
        Mode == Access::Write ? 1 : Config.Sizes.Targets - 1;
    return std::make_unique<StaticSplitQueue>(
        [Share, Sum](const std::string &Name) { return Share(Name) / Sum; },
        std::max(Servers * capacity().maxStatements() / Config.Sizes.Proxies,
                 1U));
  }
  return std::make_unique<FairQueue>(Share, [this](const std::string &Name) {
    for (const RequestKindPolicy &Each : Spec.Kinds)
      if (Each.Name == Name)
        return static_cast<double>(Each.Weight);
    return 1.0;
  });
}

TargetCapacity ModelProxy::capacity() const {
  return {Config.Sizes.Slots, Config.Sizes.Connections};
}

void ModelProxy::shedPeriodically() {
  if (Crashed)
    return;
  for (auto &Each : Admissions)
    refuse(Each->shedUnservable(Time.millis()));
  Time.after(ShedInterval, [this] { shedPeriodically(); });
}

void ModelProxy::admitRequest(const StatementPtr &Request) {
  const std::uint64_t Id = NextId++;
  Waiting[Id] = Request;
  const Millis DeadlineAt =
      Millis(Request->Intended / 1000) + Request->Kind->Deadline;
  refuse(admission(Request->Database, Request->Kind->Mode)
             .admit({Id, Request->Source->Organisation, Request->Kind->Name,
                     Time.millis(), DeadlineAt, 0},
                    Time.millis()));
  dispatch(Request->Database);
}

void ModelProxy::refuse(const std::vector<Refusal> &Refusals) {
  for (const Refusal &Each : Refusals) {
    const StatementPtr Refused = Waiting[Each.Request.Id];
    Waiting.erase(Each.Request.Id);
    Refused->Answer(false, Each.RetryAfter);
  }
}

bool ModelProxy::isEligible(std::uint32_t Target,
                            const RequestKindPolicy &Kind) const {
  const bool IsPrimary = Target % Config.Sizes.Targets == 0;
  const bool NeedsPrimary =
      Kind.Mode == Access::Write || Kind.MaxStaleness < Config.Sizes.Lag;
  return IsPrimary == NeedsPrimary;
}

std::optional<std::uint32_t>
ModelProxy::freeTarget(const Statement &For) const {
  std::optional<std::uint32_t> Best;
  const std::uint32_t First = For.Database * Config.Sizes.Targets;
  for (std::uint32_t At = First; At < First + Config.Sizes.Targets; ++At) {
    if (!isEligible(At, *For.Kind) ||
        Pools[At].Busy >= maxConcurrentStatements(Pools[At].Limit, capacity()))
      continue;
    if (!Best || Pools[At].Busy < Pools[*Best].Busy)
      Best = At;
  }
  return Best;
}

void ModelProxy::dispatch(std::uint32_t Database) {
  if (Crashed)
    return;
  const auto CanRun = [this](const QueuedRequest &Each) {
    return freeTarget(*Waiting.at(Each.Id)).has_value();
  };
  for (const Access Mode : {Access::Read, Access::Write}) {
    std::vector<Refusal> Expired;
    while (const auto Next =
               admission(Database, Mode).next(CanRun, Time.millis(), Expired)) {
      const StatementPtr Each = Waiting[Next->Id];
      Waiting.erase(Next->Id);
      send(Each, *Next);
    }
    refuse(Expired);
  }
}

void ModelProxy::send(const StatementPtr &Each, const QueuedRequest &Queued) {
  const std::uint32_t Target = *freeTarget(*Each);
  Pool &TargetPool = Pools[Target];
  const Micros SentAt = Time.now();
  ++TargetPool.Busy;
  if (TargetPool.Idle > 0) {
    --TargetPool.Idle;
    execute(Target, Each, Queued, SentAt);
    return;
  }
  ++TargetPool.Open;
  Targets[Target].connect([this, Target, Each, Queued, SentAt] {
    if (!Crashed)
      execute(Target, Each, Queued, SentAt);
  });
}

void ModelProxy::execute(std::uint32_t Target, const StatementPtr &Each,
                         const QueuedRequest &Queued, Micros SentAt) {
  Targets[Target].execute(Each->Service, [this, Target, Each, Queued, SentAt] {
    if (Crashed)
      return;
    --Pools[Target].Busy;
    ++Pools[Target].Idle;
    closeExcess(Target);
    admission(Each->Database, Each->Kind->Mode)
        .complete(Queued, static_cast<double>(Time.now() - SentAt) / PerMilli);
    Each->Answer(true, Millis());
    dispatch(Each->Database);
  });
}

void ModelProxy::closeExcess(std::uint32_t Target) {
  Pool &TargetPool = Pools[Target];
  while (TargetPool.Idle > 0 && TargetPool.Open > TargetPool.Limit) {
    --TargetPool.Idle;
    --TargetPool.Open;
    Targets[Target].disconnect(1);
  }
}

void ModelProxy::setLimit(std::uint32_t Target, std::uint32_t Connections) {
  Pools[Target].Limit = Connections;
  closeExcess(Target);
}

std::map<std::string, ConnectionUse> ModelProxy::connectionUse() const {
  std::map<std::string, ConnectionUse> Out;
  const std::uint32_t Replicas = std::max(Config.Sizes.Targets - 1, 1U);
  for (std::uint32_t At = 0; At < Pools.size(); ++At) {
    const std::uint32_t Database = At / Config.Sizes.Targets;
    const bool IsPrimary = At % Config.Sizes.Targets == 0;
    const std::size_t Queued =
        Admissions[Database * 2 + (IsPrimary ? 1 : 0)]->queued();
    const std::size_t QueuedHere =
        IsPrimary ? Queued : (Queued + Replicas - 1) / Replicas;
    Out[targetName(At)] = {
        Pools[At].Open,
        connectionsFor(Pools[At].Busy + static_cast<std::uint32_t>(QueuedHere),
                       capacity())};
  }
  return Out;
}

RightsRequest ModelProxy::makeRightsRequest() {
  return Rights.request(connectionUse(), Time.millis());
}

void ModelProxy::applyGrant(const RightsGrant &Grant) {
  Rights.apply(Grant);
  for (std::uint32_t At = 0; At < Pools.size(); ++At)
    setLimit(At, Rights.limit(targetName(At), Time.millis()));
  for (std::uint32_t Index = 0; Index < Config.Sizes.Databases; ++Index)
    dispatch(Index);
}

bool ModelProxy::hasQueuedRequests() const {
  for (const auto &Each : Admissions)
    if (Each->queued() > 0)
      return true;
  return false;
}

bool ModelProxy::hasConnections() const {
  return std::all_of(Pools.begin(), Pools.end(),
                     [](const Pool &Each) { return Each.Limit > 0; });
}

void ModelProxy::crash() {
  Crashed = true;
  for (std::uint32_t At = 0; At < Pools.size(); ++At)
    Targets[At].disconnect(Pools[At].Open);
  Pools.assign(Pools.size(), Pool());
}

void ModelProxy::shutDown() {
  crash();
  Rights.relinquish();
}

} // namespace corianderdyke
