/// \file
/// A proxy in an experiment.

#include "ModelProxy.h"

#include "Admission/FairQueue.h"
#include "Admission/FifoQueue.h"
#include "Admission/StaticSplitQueue.h"

namespace corianderdyke {

namespace {

constexpr Micros LookEvery = 10000;
constexpr double PerMilli = 1000;

std::string targetName(std::uint32_t Target) {
  return "target-" + std::to_string(Target);
}

} // namespace

ModelProxy::ModelProxy(EventQueue &Time, const Scenario &What,
                       const Variant &How, std::vector<ModelTarget> &Targets,
                       ProcessId Id)
    : Time(Time), What(What), How(How), Targets(Targets), Rights(std::move(Id)),
      Pools(Targets.size()) {
  for (std::uint32_t Index = 0; Index < How.Sizes.Databases; ++Index)
    for (const Access Mode : {Access::Read, Access::Write})
      Admissions.push_back(std::make_unique<AdmissionController>(
          order(Mode), What.QueueLimit,
          What.Seed * 1000 + Index + Rights.id().Incarnation * 16));
  look();
}

std::unique_ptr<QueueDiscipline> ModelProxy::order(Access Mode) const {
  if (How.Order == "first-come")
    return std::make_unique<FifoQueue>();
  const auto Share = [this](const std::string &Name) {
    for (const OrganisationPolicy &Each : What.Organisations)
      if (Each.Name == Name)
        return static_cast<double>(Each.Weight);
    return 1.0;
  };
  if (How.Order == "static-split") {
    double Sum = 0;
    for (const OrganisationPolicy &Each : What.Organisations)
      Sum += Each.Weight;
    const std::uint32_t Servers =
        Mode == Access::Write ? 1 : How.Sizes.Targets - 1;
    return std::make_unique<StaticSplitQueue>(
        [Share, Sum](const std::string &Name) { return Share(Name) / Sum; },
        std::max(Servers * capacity().maxStatements() / How.Sizes.Proxies, 1U));
  }
  return std::make_unique<FairQueue>(Share, [this](const std::string &Name) {
    for (const RequestKindPolicy &Each : What.Kinds)
      if (Each.Name == Name)
        return static_cast<double>(Each.Weight);
    return 1.0;
  });
}

TargetCapacity ModelProxy::capacity() const {
  return {How.Sizes.Slots, How.Sizes.Connections};
}

void ModelProxy::look() {
  if (IsTerminated)
    return;
  for (auto &Each : Admissions)
    refuse(Each->shedUnservable(Time.millis()));
  Time.after(LookEvery, [this] { look(); });
}

void ModelProxy::arrive(const StatementPtr &Request) {
  const std::uint64_t Id = NextId++;
  Waiting[Id] = Request;
  const Millis DeadlineAt =
      Millis(Request->Intended / 1000) + Request->Kind->Deadline;
  refuse(admission(Request->Database, Request->Kind->Mode)
             .admit({Id, Request->Of->Organisation, Request->Kind->Name,
                     Time.millis(), DeadlineAt, 0},
                    Time.millis()));
  dispatch(Request->Database);
}

void ModelProxy::refuse(const std::vector<Refusal> &All) {
  for (const Refusal &Each : All) {
    const StatementPtr Of = Waiting[Each.Request.Id];
    Waiting.erase(Each.Request.Id);
    Of->Answer(false, Each.RetryAfter);
  }
}

bool ModelProxy::isFit(std::uint32_t Target,
                       const RequestKindPolicy &Kind) const {
  const bool IsPrimary = Target % How.Sizes.Targets == 0;
  const bool NeedsPrimary =
      Kind.Mode == Access::Write || Kind.MaxStaleness < How.Sizes.Lag;
  return IsPrimary == NeedsPrimary;
}

std::optional<std::uint32_t>
ModelProxy::freeTarget(const Statement &For) const {
  std::optional<std::uint32_t> Best;
  const std::uint32_t First = For.Database * How.Sizes.Targets;
  for (std::uint32_t At = First; At < First + How.Sizes.Targets; ++At) {
    if (!isFit(At, *For.Kind) ||
        Pools[At].Busy >= maxConcurrentStatements(Pools[At].Limit, capacity()))
      continue;
    if (!Best || Pools[At].Busy < Pools[*Best].Busy)
      Best = At;
  }
  return Best;
}

void ModelProxy::dispatch(std::uint32_t Database) {
  if (IsTerminated)
    return;
  const auto CanRun = [this](const QueuedRequest &Each) {
    return freeTarget(*Waiting.at(Each.Id)).has_value();
  };
  for (const Access Mode : {Access::Read, Access::Write}) {
    std::vector<Refusal> GivenUp;
    while (const auto Next =
               admission(Database, Mode).next(CanRun, Time.millis(), GivenUp)) {
      const StatementPtr Each = Waiting[Next->Id];
      Waiting.erase(Next->Id);
      send(Each, *Next);
    }
    refuse(GivenUp);
  }
}

void ModelProxy::send(const StatementPtr &Each, const QueuedRequest &Queued) {
  const std::uint32_t Target = *freeTarget(*Each);
  Pool &Of = Pools[Target];
  const Micros SentAt = Time.now();
  ++Of.Busy;
  if (Of.Idle > 0) {
    --Of.Idle;
    runOn(Target, Each, Queued, SentAt);
    return;
  }
  ++Of.Open;
  Targets[Target].connect([this, Target, Each, Queued, SentAt] {
    if (!IsTerminated)
      runOn(Target, Each, Queued, SentAt);
  });
}

void ModelProxy::runOn(std::uint32_t Target, const StatementPtr &Each,
                       const QueuedRequest &Queued, Micros SentAt) {
  Targets[Target].execute(Each->Service, [this, Target, Each, Queued, SentAt] {
    if (IsTerminated)
      return;
    --Pools[Target].Busy;
    ++Pools[Target].Idle;
    closeSpare(Target);
    admission(Each->Database, Each->Kind->Mode)
        .complete(Queued, static_cast<double>(Time.now() - SentAt) / PerMilli);
    Each->Answer(true, Millis());
    dispatch(Each->Database);
  });
}

void ModelProxy::closeSpare(std::uint32_t Target) {
  Pool &Of = Pools[Target];
  while (Of.Idle > 0 && Of.Open > Of.Limit) {
    --Of.Idle;
    --Of.Open;
    Targets[Target].disconnect(1);
  }
}

void ModelProxy::setLimit(std::uint32_t Target, std::uint32_t Connections) {
  Pools[Target].Limit = Connections;
  closeSpare(Target);
}

std::map<std::string, ConnectionUse> ModelProxy::use() const {
  std::map<std::string, ConnectionUse> Out;
  const std::uint32_t Replicas = std::max(How.Sizes.Targets - 1, 1U);
  for (std::uint32_t At = 0; At < Pools.size(); ++At) {
    const std::uint32_t Database = At / How.Sizes.Targets;
    const bool IsPrimary = At % How.Sizes.Targets == 0;
    const std::size_t Queued =
        Admissions[Database * 2 + (IsPrimary ? 1 : 0)]->queued();
    const std::size_t Mine =
        IsPrimary ? Queued : (Queued + Replicas - 1) / Replicas;
    Out[targetName(At)] = {
        Pools[At].Open,
        connectionsFor(Pools[At].Busy + static_cast<std::uint32_t>(Mine),
                       capacity())};
  }
  return Out;
}

RightsRequest ModelProxy::askForRights() {
  return Rights.request(use(), Time.millis());
}

void ModelProxy::take(const RightsGrant &Grant) {
  Rights.apply(Grant);
  for (std::uint32_t At = 0; At < Pools.size(); ++At)
    setLimit(At, Rights.limit(targetName(At), Time.millis()));
  for (std::uint32_t Index = 0; Index < How.Sizes.Databases; ++Index)
    dispatch(Index);
}

bool ModelProxy::isShort() const {
  for (const auto &Each : Admissions)
    if (Each->queued() > 0)
      return true;
  return false;
}

bool ModelProxy::hasConnections() const {
  return std::all_of(Pools.begin(), Pools.end(),
                     [](const Pool &Each) { return Each.Limit > 0; });
}

void ModelProxy::terminate() {
  IsTerminated = true;
  for (std::uint32_t At = 0; At < Pools.size(); ++At)
    Targets[At].disconnect(Pools[At].Open);
  Pools.assign(Pools.size(), Pool());
}

void ModelProxy::leave() {
  terminate();
  Rights.relinquish();
}

} // namespace corianderdyke
