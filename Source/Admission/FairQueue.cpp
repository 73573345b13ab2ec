/// \file
/// Weighted fair queueing over organisations, then over kinds.

#include "Admission/FairQueue.h"

#include <algorithm>

namespace corianderdyke {

namespace {

constexpr double LeastWeight = 1e-6;

template <class Map, class Pick>
std::vector<typename Map::iterator> byTime(Map &All, const Pick &IsWaiting) {
  std::vector<typename Map::iterator> Out;
  for (auto Each = All.begin(); Each != All.end(); ++Each)
    if (IsWaiting(Each->second))
      Out.push_back(Each);
  std::stable_sort(Out.begin(), Out.end(), [](const auto &A, const auto &B) {
    return A->second.Time < B->second.Time;
  });
  return Out;
}

} // namespace

double FairQueue::shareOf(const std::string &Organisation) const {
  return std::max(Share(Organisation), LeastWeight);
}

double FairQueue::weightOf(const std::string &Kind) const {
  return std::max(KindWeight(Kind), LeastWeight);
}

void FairQueue::push(QueuedRequest Request) {
  Member &Of = Members[Request.Organisation];
  if (Of.Length == 0)
    Of.Time = std::max(Of.Time, Time);
  Flow &To = Of.Flows[Request.Kind];
  if (To.Requests.empty())
    To.Time = std::max(To.Time, Of.KindTime);
  ++Length;
  ++Of.Length;
  Cost += Request.Cost;
  Of.Cost += Request.Cost;
  To.Cost += Request.Cost;
  To.Requests.push_back(std::move(Request));
}

void FairQueue::takeOut(Member &Of, Flow &From,
                        std::deque<QueuedRequest>::iterator At) {
  --Length;
  --Of.Length;
  Cost -= At->Cost;
  Of.Cost -= At->Cost;
  From.Cost -= At->Cost;
  From.Requests.erase(At);
}

std::optional<QueuedRequest> FairQueue::pop(const Fits &CanRun) {
  const auto Waits = [](const Member &Each) { return Each.Length > 0; };
  const auto Holds = [](const Flow &Each) { return !Each.Requests.empty(); };
  for (const auto &Found : byTime(Members, Waits)) {
    Member &Of = Found->second;
    for (const auto &Inner : byTime(Of.Flows, Holds)) {
      Flow &From = Inner->second;
      if (!CanRun(From.Requests.front()))
        continue;
      QueuedRequest Out = From.Requests.front();
      takeOut(Of, From, From.Requests.begin());
      Time = std::max(Time, Of.Time);
      Of.KindTime = std::max(Of.KindTime, From.Time);
      Of.Time += Out.Cost / shareOf(Out.Organisation);
      From.Time += Out.Cost / weightOf(Out.Kind);
      ++Of.Running;
      return Out;
    }
  }
  return std::nullopt;
}

void FairQueue::finished(const QueuedRequest &Request, double Spent) {
  const auto Found = Members.find(Request.Organisation);
  if (Found == Members.end())
    return;
  Member &Of = Found->second;
  if (Of.Running > 0)
    --Of.Running;
  const double Correction = Spent - Request.Cost;
  Of.Time += Correction / shareOf(Request.Organisation);
  Of.Flows[Request.Kind].Time += Correction / weightOf(Request.Kind);
}

std::optional<QueuedRequest> FairQueue::remove(std::uint64_t Id) {
  for (auto &[Name, Of] : Members)
    for (auto &[Kind, From] : Of.Flows) {
      const auto Found =
          std::find_if(From.Requests.begin(), From.Requests.end(),
                       [Id](const auto &Each) { return Each.Id == Id; });
      if (Found == From.Requests.end())
        continue;
      QueuedRequest Out = *Found;
      takeOut(Of, From, Found);
      return Out;
    }
  return std::nullopt;
}

std::optional<std::uint64_t>
FairQueue::displacedBy(const std::string &Organisation) const {
  // The flooding organisation fills the queue first; without displacement
  // every other caller would find it full.
  const auto Crowding = [this](const std::string &Name, std::size_t Waiting) {
    return static_cast<double>(Waiting) / shareOf(Name);
  };
  const auto Own = Members.find(Organisation);
  double Most =
      Crowding(Organisation, Own == Members.end() ? 1 : Own->second.Length + 1);
  const Member *Worst = nullptr;
  for (const auto &[Name, Each] : Members) {
    if (Name == Organisation || Crowding(Name, Each.Length) <= Most)
      continue;
    Most = Crowding(Name, Each.Length);
    Worst = &Each;
  }
  if (Worst == nullptr)
    return std::nullopt;
  const auto Longest = std::max_element(
      Worst->Flows.begin(), Worst->Flows.end(),
      [](const auto &A, const auto &B) {
        return A.second.Requests.size() < B.second.Requests.size();
      });
  return Longest->second.Requests.back().Id;
}

double FairQueue::activeShares(const std::string &Organisation) const {
  double Sum = shareOf(Organisation);
  for (const auto &[Name, Each] : Members)
    if (Name != Organisation && (Each.Length > 0 || Each.Running > 0))
      Sum += shareOf(Name);
  return Sum;
}

double FairQueue::portion(const std::string &Organisation) const {
  return shareOf(Organisation) / activeShares(Organisation);
}

/// A flow's turn comes at the pace of its weight among the busy ones, or
/// sooner: never more than all that waits is sent before it.
double FairQueue::ahead(const std::string &Organisation,
                        const std::string &Kind, double InFlow) const {
  const auto Found = Members.find(Organisation);
  if (Found == Members.end())
    return 0;
  double Weights = weightOf(Kind);
  for (const auto &[Name, Each] : Found->second.Flows)
    if (Name != Kind && !Each.Requests.empty())
      Weights += weightOf(Name);
  const double InMember =
      std::min(Found->second.Cost, InFlow * Weights / weightOf(Kind));
  return std::min(Cost, InMember / portion(Organisation));
}

double FairQueue::costAhead(const std::string &Organisation,
                            const std::string &Kind) const {
  const auto Found = Members.find(Organisation);
  if (Found == Members.end())
    return 0;
  const auto Inner = Found->second.Flows.find(Kind);
  const double InFlow =
      Inner == Found->second.Flows.end() ? 0 : Inner->second.Cost;
  return ahead(Organisation, Kind, InFlow);
}

std::vector<QueueDiscipline::Ahead> FairQueue::waiting() const {
  std::vector<Ahead> Out;
  for (const auto &[Name, Of] : Members)
    for (const auto &[Kind, From] : Of.Flows) {
      double InFlow = 0;
      for (const QueuedRequest &Each : From.Requests) {
        Out.push_back({Each, ahead(Name, Kind, InFlow)});
        InFlow += Each.Cost;
      }
    }
  return Out;
}

} // namespace corianderdyke
