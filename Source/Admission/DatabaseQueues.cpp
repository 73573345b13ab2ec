/// \file
/// The request queues of a proxy, by database and access mode.

#include "Admission/DatabaseQueues.h"

#include "Admission/FairQueue.h"

namespace corianderdyke {

namespace {

WeightFunction weightLookup(const std::map<std::string, double> &In) {
  return [&In](const std::string &Name) {
    const auto Found = In.find(Name);
    return Found == In.end() ? 1.0 : Found->second;
  };
}

} // namespace

void DatabaseQueues::update(const Manifest &Current) {
  Shares.clear();
  for (const OrganisationPolicy &Each : Current.Organisations)
    Shares[Each.Name] = Each.Weight;
  Weights.clear();
  for (const RequestKindPolicy &Each : Current.Kinds)
    Weights[Each.Name] = Each.Weight;
  QueueLimit = Current.Limits.QueuePerDatabase;
  for (auto &[Key, Each] : Controllers)
    Each->setQueueLimit(QueueLimit);
}

AdmissionController &DatabaseQueues::controller(const QueueKey &Key) {
  std::unique_ptr<AdmissionController> &Found = Controllers[Key];
  if (!Found)
    Found = std::make_unique<AdmissionController>(
        std::make_unique<FairQueue>(weightLookup(Shares),
                                    weightLookup(Weights)),
        QueueLimit, Seed + Controllers.size());
  return *Found;
}

void DatabaseQueues::forget(const std::vector<Refusal> &Refused) {
  for (const Refusal &Each : Refused)
    Requests.erase(Each.Request.Id);
}

std::vector<Refusal> DatabaseQueues::admit(const AdmissionRequest &Request,
                                           Millis Now) {
  const QueueKey Key(Request.Database, Request.Mode);
  Requests[Request.Id] = {Key, std::nullopt, Millis()};
  auto Refused =
      controller(Key).admit({Request.Id, Request.Organisation, Request.Kind,
                             Now, Request.DeadlineAt, 0, 0},
                            Now);
  forget(Refused);
  return Refused;
}

std::optional<std::uint64_t>
DatabaseQueues::next(const std::string &Database,
                     const RunnablePredicate &CanRun, Millis Now,
                     std::vector<Refusal> &GivenUp) {
  for (const Access Mode : {Access::Write, Access::Read}) {
    const auto Found = Controllers.find({Database, Mode});
    if (Found == Controllers.end())
      continue;
    auto Next = Found->second->next(
        [&CanRun](const QueuedRequest &Each) { return CanRun(Each.Id); }, Now,
        GivenUp);
    forget(GivenUp);
    if (!Next)
      continue;
    RequestState &State = Requests[Next->Id];
    State.Running = *Next;
    State.SentAt = Now;
    return Next->Id;
  }
  return std::nullopt;
}

void DatabaseQueues::remove(std::uint64_t Id, bool IsAnswered, Millis Now) {
  const auto Found = Requests.find(Id);
  if (Found == Requests.end())
    return;
  const RequestState State = std::move(Found->second);
  Requests.erase(Found);
  AdmissionController &From = controller(State.Queue);
  if (!State.Running) {
    From.remove(Id);
    return;
  }
  std::optional<double> Spent;
  if (IsAnswered)
    Spent = static_cast<double>(
        std::max((Now - State.SentAt).count(), std::int64_t(1)));
  From.complete(*State.Running, Spent);
}

std::vector<Refusal> DatabaseQueues::shedUnservable(Millis Now) {
  std::vector<Refusal> Out;
  for (auto &[Key, Each] : Controllers)
    for (Refusal &One : Each->shedUnservable(Now))
      Out.push_back(std::move(One));
  forget(Out);
  return Out;
}

std::size_t DatabaseQueues::queued(const std::string &Database,
                                   Access Mode) const {
  const auto Found = Controllers.find({Database, Mode});
  return Found == Controllers.end() ? 0 : Found->second->queued();
}

std::vector<QueueStatus> DatabaseQueues::status() const {
  std::vector<QueueStatus> Out;
  for (const auto &[Key, Each] : Controllers)
    Out.push_back({Key.first, Key.second, Each->queued(), Each->running(),
                   Each->counts()});
  return Out;
}

} // namespace corianderdyke
