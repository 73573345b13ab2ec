/// \file
/// Weighted fair queueing over organisations, then over kinds.

#include "Admission/FairQueue.h"

#include <algorithm>

namespace corianderdyke {

namespace {

constexpr double MinWeight = 1e-6;
/// Recent use is a moving mean over about this many statements. A proxy in Riga
/// sends as many in half a second, which is the span of a deadline.
constexpr double UseWindow = 64;
/// The estimate starts too high and decreases: if the other organisations use
/// half of the database, each iteration halves the remaining error.
constexpr int EstimateIterations = 3;
/// An organisation with less recent use counts as inactive.
constexpr double MinRecentUse = 0.01;

template <class Map, class Pick>
std::vector<typename Map::iterator> sortedByVirtualTime(Map &All,
                                                        const Pick &IsWaiting) {
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
  return std::max(Share(Organisation), MinWeight);
}

double FairQueue::estimateCharge(const QueuedRequest &For) const {
  return Service.serviceTime({For.Organisation, For.Kind}).value_or(For.Cost);
}

double FairQueue::weightOf(const std::string &Kind) const {
  return std::max(KindWeight(Kind), MinWeight);
}

void FairQueue::push(QueuedRequest Request) {
  OrganisationState &State = Organisations[Request.Organisation];
  if (State.Length == 0)
    State.VirtualTime = std::max(State.VirtualTime, VirtualTime);
  Flow &To = State.Flows[Request.Kind];
  if (To.Requests.empty())
    To.VirtualTime = std::max(To.VirtualTime, State.KindVirtualTime);
  ++Length;
  ++State.Length;
  Cost += Request.Cost;
  State.Cost += Request.Cost;
  To.Cost += Request.Cost;
  To.Requests.push_back(std::move(Request));
}

void FairQueue::erase(OrganisationState &State, Flow &From,
                      std::deque<QueuedRequest>::iterator At) {
  --Length;
  --State.Length;
  Cost -= At->Cost;
  State.Cost -= At->Cost;
  From.Cost -= At->Cost;
  From.Requests.erase(At);
}

std::optional<QueuedRequest> FairQueue::pop(const RunnablePredicate &CanRun) {
  const auto HasWaiting = [](const OrganisationState &Each) {
    return Each.Length > 0;
  };
  const auto HasRequests = [](const Flow &Each) {
    return !Each.Requests.empty();
  };
  for (const auto &Found : sortedByVirtualTime(Organisations, HasWaiting)) {
    OrganisationState &State = Found->second;
    for (const auto &FlowIt : sortedByVirtualTime(State.Flows, HasRequests)) {
      Flow &From = FlowIt->second;
      if (!CanRun(From.Requests.front()))
        continue;
      QueuedRequest Out = From.Requests.front();
      erase(State, From, From.Requests.begin());
      VirtualTime = std::max(VirtualTime, State.VirtualTime);
      State.KindVirtualTime = std::max(State.KindVirtualTime, From.VirtualTime);
      Out.Charged = estimateCharge(Out);
      State.VirtualTime += Out.Charged / shareOf(Out.Organisation);
      From.VirtualTime += Out.Charged / weightOf(Out.Kind);
      ++State.Running;
      return Out;
    }
  }
  return std::nullopt;
}

void FairQueue::complete(const QueuedRequest &Request, double Spent) {
  const auto Found = Organisations.find(Request.Organisation);
  if (Found == Organisations.end())
    return;
  OrganisationState &State = Found->second;
  if (State.Running > 0)
    --State.Running;
  const double FinalCharge = recordCharge(Request, Spent);
  const double Gain =
      std::min(FinalCharge / std::max(MeanCharge, 1.0) / UseWindow, 0.5);
  for (auto &[Name, Each] : Organisations)
    Each.RecentUse +=
        ((Name == Request.Organisation ? 1 : 0) - Each.RecentUse) * Gain;
  const double Correction = FinalCharge - Request.Charged;
  State.VirtualTime += Correction / shareOf(Request.Organisation);
  State.Flows[Request.Kind].VirtualTime += Correction / weightOf(Request.Kind);
}

/// Records a statement's service time and returns its final charge; 0 if it was
/// not run.
double FairQueue::recordCharge(const QueuedRequest &Request, double Spent) {
  if (Spent <= 0)
    return 0;
  Service.observe({Request.Organisation, Request.Kind}, Spent);
  const double FinalCharge = estimateCharge(Request);
  MeanCharge += (FinalCharge - MeanCharge) / UseWindow;
  return FinalCharge;
}

std::optional<QueuedRequest> FairQueue::remove(std::uint64_t Id) {
  for (auto &[Name, State] : Organisations)
    for (auto &[Kind, From] : State.Flows) {
      const auto Found =
          std::find_if(From.Requests.begin(), From.Requests.end(),
                       [Id](const auto &Each) { return Each.Id == Id; });
      if (Found == From.Requests.end())
        continue;
      QueuedRequest Out = *Found;
      erase(State, From, Found);
      return Out;
    }
  return std::nullopt;
}

std::optional<std::uint64_t>
FairQueue::displacementVictim(const std::string &Organisation) const {
  // An overloading organisation fills the queue first; without displacement
  // all requests of other organisations would be refused.
  const auto LengthPerShare = [this](const std::string &Name,
                                     std::size_t Waiting) {
    return static_cast<double>(Waiting) / shareOf(Name);
  };
  const auto Own = Organisations.find(Organisation);
  double Most = LengthPerShare(
      Organisation, Own == Organisations.end() ? 1 : Own->second.Length + 1);
  const OrganisationState *Overloading = nullptr;
  for (const auto &[Name, Each] : Organisations) {
    if (Name == Organisation || LengthPerShare(Name, Each.Length) <= Most)
      continue;
    Most = LengthPerShare(Name, Each.Length);
    Overloading = &Each;
  }
  if (Overloading == nullptr)
    return std::nullopt;
  const auto Longest = std::max_element(
      Overloading->Flows.begin(), Overloading->Flows.end(),
      [](const auto &A, const auto &B) {
        return A.second.Requests.size() < B.second.Requests.size();
      });
  return Longest->second.Requests.back().Id;
}

double FairQueue::activeShares(const std::string &Organisation) const {
  double Sum = shareOf(Organisation);
  for (const auto &[Name, Each] : Organisations)
    if (Name != Organisation &&
        (Each.Length > 0 || Each.Running > 0 || Each.RecentUse > MinRecentUse))
      Sum += shareOf(Name);
  return Sum;
}

/// Returns what the other organisations leave: one with a backlog uses its
/// share, any other uses what it used recently. If only the current queues
/// counted, an overloading organisation would expect the whole database
/// whenever the other queues are empty, and its requests would be refused after
/// a long wait instead of at once.
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

/// A flow is served in proportion to its weight among the busy flows. Each
/// other organisation is served up to its share before that, or less if its
/// backlog and its recent use amount to less.
double FairQueue::estimateCostAhead(const std::string &Organisation,
                                    const std::string &Kind,
                                    double FlowCost) const {
  const auto Found = Organisations.find(Organisation);
  if (Found == Organisations.end())
    return 0;
  double Weights = weightOf(Kind);
  for (const auto &[Name, Each] : Found->second.Flows)
    if (Name != Kind && !Each.Requests.empty())
      Weights += weightOf(Name);
  const double Own =
      std::min(Found->second.Cost, FlowCost * Weights / weightOf(Kind));
  const double Shares = activeShares(Organisation);
  double Total = Own * Shares / shareOf(Organisation);
  for (int Iteration = 0; Iteration < EstimateIterations; ++Iteration) {
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
  const auto FlowIt = Found->second.Flows.find(Kind);
  const double FlowCost =
      FlowIt == Found->second.Flows.end() ? 0 : FlowIt->second.Cost;
  return estimateCostAhead(Organisation, Kind, FlowCost);
}

std::vector<QueueDiscipline::WaitingRequest> FairQueue::waiting() const {
  std::vector<WaitingRequest> Out;
  for (const auto &[Name, State] : Organisations)
    for (const auto &[Kind, From] : State.Flows) {
      double FlowCost = 0;
      for (const QueuedRequest &Each : From.Requests) {
        Out.push_back({Each, estimateCostAhead(Name, Kind, FlowCost)});
        FlowCost += Each.Cost;
      }
    }
  return Out;
}

} // namespace corianderdyke
