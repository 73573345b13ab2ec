/// \file
/// Weighted fair queueing over organisations, then over kinds.

#include "Admission/FairQueue.h"

#include <algorithm>

namespace corianderdyke {

namespace {

constexpr double LeastWeight = 1e-6;
/// Use is a moving mean over about this many statements: the half second in
/// which a proxy in Riga sends as many is the span of a deadline.
constexpr double UseWindow = 64;
/// The estimate starts too high and falls; what is left of the error halves
/// with each turn where the others use half.
constexpr int EstimateTurns = 3;
/// Below it an organisation counts as gone.
constexpr double LeastUse = 0.01;

template <class Map, class Pick>
std::vector<typename Map::iterator> byTime(Map &All, const Pick &IsWaiting) {
  std::vector<typename Map::iterator> Out;
  for (auto Each = All.begin(); Each != All.end(); ++Each)
    if (IsWaiting(Each->second))
      Out.push_back(Each);
  std::stable_sort(Out.begin(), Out.end(), [](const auto &A, const auto &B) {
    return A->second.VirtualTime < B->second.VirtualTime;
  });
  return Out;
}

} // namespace

double FairQueue::shareOf(const std::string &Organisation) const {
  return std::max(Share(Organisation), LeastWeight);
}

double FairQueue::estimateCharge(const QueuedRequest &For) const {
  return Service.serviceTime({For.Organisation, For.Kind}).value_or(For.Cost);
}

double FairQueue::weightOf(const std::string &Kind) const {
  return std::max(KindWeight(Kind), LeastWeight);
}

void FairQueue::push(QueuedRequest Request) {
  OrganisationState &Of = Organisations[Request.Organisation];
  if (Of.Length == 0)
    Of.VirtualTime = std::max(Of.VirtualTime, VirtualTime);
  Flow &To = Of.Flows[Request.Kind];
  if (To.Requests.empty())
    To.VirtualTime = std::max(To.VirtualTime, Of.KindVirtualTime);
  ++Length;
  ++Of.Length;
  Cost += Request.Cost;
  Of.Cost += Request.Cost;
  To.Cost += Request.Cost;
  To.Requests.push_back(std::move(Request));
}

void FairQueue::erase(OrganisationState &Of, Flow &From,
                      std::deque<QueuedRequest>::iterator At) {
  --Length;
  --Of.Length;
  Cost -= At->Cost;
  Of.Cost -= At->Cost;
  From.Cost -= At->Cost;
  From.Requests.erase(At);
}

std::optional<QueuedRequest> FairQueue::pop(const RunnablePredicate &CanRun) {
  const auto Waits = [](const OrganisationState &Each) {
    return Each.Length > 0;
  };
  const auto Holds = [](const Flow &Each) { return !Each.Requests.empty(); };
  for (const auto &Found : byTime(Organisations, Waits)) {
    OrganisationState &Of = Found->second;
    for (const auto &Inner : byTime(Of.Flows, Holds)) {
      Flow &From = Inner->second;
      if (!CanRun(From.Requests.front()))
        continue;
      QueuedRequest Out = From.Requests.front();
      erase(Of, From, From.Requests.begin());
      VirtualTime = std::max(VirtualTime, Of.VirtualTime);
      Of.KindVirtualTime = std::max(Of.KindVirtualTime, From.VirtualTime);
      Out.Charged = estimateCharge(Out);
      Of.VirtualTime += Out.Charged / shareOf(Out.Organisation);
      From.VirtualTime += Out.Charged / weightOf(Out.Kind);
      ++Of.Running;
      return Out;
    }
  }
  return std::nullopt;
}

void FairQueue::complete(const QueuedRequest &Request, double Spent) {
  const auto Found = Organisations.find(Request.Organisation);
  if (Found == Organisations.end())
    return;
  OrganisationState &Of = Found->second;
  if (Of.Running > 0)
    --Of.Running;
  const double Due = recordCharge(Request, Spent);
  const double Gain =
      std::min(Due / std::max(MeanCharge, 1.0) / UseWindow, 0.5);
  for (auto &[Name, Each] : Organisations)
    Each.RecentUse +=
        ((Name == Request.Organisation ? 1 : 0) - Each.RecentUse) * Gain;
  const double Correction = Due - Request.Charged;
  Of.VirtualTime += Correction / shareOf(Request.Organisation);
  Of.Flows[Request.Kind].VirtualTime += Correction / weightOf(Request.Kind);
}

/// What a statement costs in the end; nothing where it wasn't run.
double FairQueue::recordCharge(const QueuedRequest &Request, double Spent) {
  if (Spent <= 0)
    return 0;
  Service.observe({Request.Organisation, Request.Kind}, Spent);
  const double Due = estimateCharge(Request);
  MeanCharge += (Due - MeanCharge) / UseWindow;
  return Due;
}

std::optional<QueuedRequest> FairQueue::remove(std::uint64_t Id) {
  for (auto &[Name, Of] : Organisations)
    for (auto &[Kind, From] : Of.Flows) {
      const auto Found =
          std::find_if(From.Requests.begin(), From.Requests.end(),
                       [Id](const auto &Each) { return Each.Id == Id; });
      if (Found == From.Requests.end())
        continue;
      QueuedRequest Out = *Found;
      erase(Of, From, Found);
      return Out;
    }
  return std::nullopt;
}

std::optional<std::uint64_t>
FairQueue::displacementVictim(const std::string &Organisation) const {
  // The flooding organisation fills the queue first; without displacement
  // every other caller would find it full.
  const auto Crowding = [this](const std::string &Name, std::size_t Waiting) {
    return static_cast<double>(Waiting) / shareOf(Name);
  };
  const auto Own = Organisations.find(Organisation);
  double Most = Crowding(
      Organisation, Own == Organisations.end() ? 1 : Own->second.Length + 1);
  const OrganisationState *Worst = nullptr;
  for (const auto &[Name, Each] : Organisations) {
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
  for (const auto &[Name, Each] : Organisations)
    if (Name != Organisation &&
        (Each.Length > 0 || Each.Running > 0 || Each.RecentUse > LeastUse))
      Sum += shareOf(Name);
  return Sum;
}

/// What the others leave: an organisation with a backlog takes its share, any
/// other what it used lately. By who waits at this moment alone, a flooding
/// organisation would count on all of the database whenever the others'
/// queues are empty, and be refused after a long wait instead of at once.
double FairQueue::expectedShare(const std::string &Organisation) const {
  const double Shares = activeShares(Organisation);
  double Left = 1;
  for (const auto &[Name, Each] : Organisations) {
    if (Name == Organisation)
      continue;
    const double Part = shareOf(Name) / Shares;
    Left -= Each.Length > 0 ? Part : std::min(Part, Each.RecentUse);
  }
  return std::max(Left, shareOf(Organisation) / Shares);
}

/// A flow's turn comes at the pace of its weight among the busy ones. Of each
/// other organisation its share goes first, or less where its backlog and
/// what it goes on offering are less.
double FairQueue::estimateCostAhead(const std::string &Organisation,
                                    const std::string &Kind,
                                    double InFlow) const {
  const auto Found = Organisations.find(Organisation);
  if (Found == Organisations.end())
    return 0;
  double Weights = weightOf(Kind);
  for (const auto &[Name, Each] : Found->second.Flows)
    if (Name != Kind && !Each.Requests.empty())
      Weights += weightOf(Name);
  const double Own =
      std::min(Found->second.Cost, InFlow * Weights / weightOf(Kind));
  const double Shares = activeShares(Organisation);
  double Total = Own * Shares / shareOf(Organisation);
  for (int Turn = 0; Turn < EstimateTurns; ++Turn) {
    double Next = Own;
    for (const auto &[Name, Each] : Organisations) {
      const double Part = shareOf(Name) / Shares;
      if (Name != Organisation)
        Next += std::min(Part * Total,
                         Each.Cost + std::min(Part, Each.RecentUse) * Total);
    }
    Total = Next;
  }
  return Total;
}

double FairQueue::costAhead(const std::string &Organisation,
                            const std::string &Kind) const {
  const auto Found = Organisations.find(Organisation);
  if (Found == Organisations.end())
    return 0;
  const auto Inner = Found->second.Flows.find(Kind);
  const double InFlow =
      Inner == Found->second.Flows.end() ? 0 : Inner->second.Cost;
  return estimateCostAhead(Organisation, Kind, InFlow);
}

std::vector<QueueDiscipline::WaitingRequest> FairQueue::waiting() const {
  std::vector<WaitingRequest> Out;
  for (const auto &[Name, Of] : Organisations)
    for (const auto &[Kind, From] : Of.Flows) {
      double InFlow = 0;
      for (const QueuedRequest &Each : From.Requests) {
        Out.push_back({Each, estimateCostAhead(Name, Kind, InFlow)});
        InFlow += Each.Cost;
      }
    }
  return Out;
}

} // namespace corianderdyke
