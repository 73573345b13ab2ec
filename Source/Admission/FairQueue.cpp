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
    return A->second.Time < B->second.Time;
  });
  return Out;
}

} // namespace

double FairQueue::shareOf(const std::string &Organisation) const {
  return std::max(Share(Organisation), LeastWeight);
}

double FairQueue::charge(const QueuedRequest &For) const {
  return Service.of({For.Organisation, For.Kind}).value_or(For.Cost);
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
      Out.Charged = charge(Out);
      Of.Time += Out.Charged / shareOf(Out.Organisation);
      From.Time += Out.Charged / weightOf(Out.Kind);
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
  const double Due = charged(Request, Spent);
  const double Gain =
      std::min(Due / std::max(MeanCharge, 1.0) / UseWindow, 0.5);
  for (auto &[Name, Each] : Members)
    Each.Use += ((Name == Request.Organisation ? 1 : 0) - Each.Use) * Gain;
  const double Correction = Due - Request.Charged;
  Of.Time += Correction / shareOf(Request.Organisation);
  Of.Flows[Request.Kind].Time += Correction / weightOf(Request.Kind);
}

/// What a statement costs in the end; nothing where it wasn't run.
double FairQueue::charged(const QueuedRequest &Request, double Spent) {
  if (Spent <= 0)
    return 0;
  Service.observe({Request.Organisation, Request.Kind}, Spent);
  const double Due = charge(Request);
  MeanCharge += (Due - MeanCharge) / UseWindow;
  return Due;
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
    if (Name != Organisation &&
        (Each.Length > 0 || Each.Running > 0 || Each.Use > LeastUse))
      Sum += shareOf(Name);
  return Sum;
}

/// What the others leave: an organisation with a backlog takes its share, any
/// other what it used lately. By who waits at this moment alone, a flooding
/// organisation would count on all of the database whenever the others'
/// queues are empty, and be refused after a long wait instead of at once.
double FairQueue::portion(const std::string &Organisation) const {
  const double Shares = activeShares(Organisation);
  double Left = 1;
  for (const auto &[Name, Each] : Members) {
    if (Name == Organisation)
      continue;
    const double Part = shareOf(Name) / Shares;
    Left -= Each.Length > 0 ? Part : std::min(Part, Each.Use);
  }
  return std::max(Left, shareOf(Organisation) / Shares);
}

/// A flow's turn comes at the pace of its weight among the busy ones. Of each
/// other organisation its share goes first, or less where its backlog and
/// what it goes on offering are less.
double FairQueue::ahead(const std::string &Organisation,
                        const std::string &Kind, double InFlow) const {
  const auto Found = Members.find(Organisation);
  if (Found == Members.end())
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
    for (const auto &[Name, Each] : Members) {
      const double Part = shareOf(Name) / Shares;
      if (Name != Organisation)
        Next += std::min(Part * Total,
                         Each.Cost + std::min(Part, Each.Use) * Total);
    }
    Total = Next;
  }
  return Total;
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
