/// \file
/// Assigns to each target the proxies that hold its connections.

#include "Relay/GatewayTable.h"

#include "Common/TextHash.h"

#include <algorithm>

namespace corianderdyke {

namespace {

constexpr std::size_t MinGateways = 2;
/// More gateways would split the target's connections and its queue without
/// benefit: one gateway carries a third of the statements of a busy primary
/// with a small part of its processor time and bandwidth.
constexpr std::size_t MaxGateways = 4;
/// Proxies that take over if a partition or a restart makes all gateways
/// unavailable.
constexpr std::size_t SpareGateways = 2;
/// Limit of the targets for which one proxy is a gateway, as a multiple of the
/// mean: with the mean itself as limit each change of the list would move
/// nearly all assignments.
constexpr std::size_t MaxLoadFactor = 2;

/// A proxy ranked for one target. All proxies compute the same ranking, and it
/// does not change when others join or leave (rendezvous hashing, Thaler and
/// Ravishankar 1998).
struct Candidate {
  std::size_t Index = 0;
  bool IsSameDomain = false;
  std::uint64_t Score = 0;
};

/// Returns the \p Limit highest-ranked proxies for a target.
std::vector<Candidate> rankProxies(const std::vector<ProxyRecord> &Proxies,
                                   const TargetRecord &Target,
                                   std::size_t Limit) {
  std::vector<Candidate> Out;
  Out.reserve(Proxies.size());
  const std::uint64_t Seed = hashText(Target.Id);
  for (std::size_t Index = 0; Index < Proxies.size(); ++Index) {
    const ProxyRecord &Each = Proxies[Index];
    Out.push_back({Index, Each.FailureDomain == Target.FailureDomain,
                   hashText(Each.Name, Seed)});
  }
  // With a gateway in the target's failure domain a statement crosses failure
  // domains once, otherwise twice.
  Limit = std::min(Limit, Out.size());
  std::partial_sort(Out.begin(),
                    Out.begin() + static_cast<std::ptrdiff_t>(Limit), Out.end(),
                    [](const Candidate &Left, const Candidate &Right) {
                      if (Left.IsSameDomain != Right.IsSameDomain)
                        return Left.IsSameDomain;
                      return Left.Score > Right.Score;
                    });
  Out.resize(Limit);
  return Out;
}

} // namespace

std::size_t gatewayCount(std::size_t Connections) {
  return std::clamp(Connections / ConnectionsPerGateway, MinGateways,
                    MaxGateways);
}

GatewayTable::GatewayTable(const std::vector<ProxyRecord> &Proxies,
                           const std::vector<TargetRecord> &Targets,
                           const std::map<std::string, std::size_t> &Gateways)
    : Proxies(Proxies) {
  if (Proxies.empty())
    return;
  std::size_t Total = 0;
  std::vector<TargetRecord> SharedTargets;
  for (const TargetRecord &Each : Targets) {
    const auto Count = Gateways.find(Each.Group);
    if (Count == Gateways.end() || Each.IsGone)
      continue;
    Total += Count->second;
    SharedTargets.push_back(Each);
  }
  std::sort(SharedTargets.begin(), SharedTargets.end(),
            [](const TargetRecord &Left, const TargetRecord &Right) {
              return Left.Id < Right.Id;
            });
  this->Targets = SharedTargets;
  const std::size_t Mean = (Total + Proxies.size() - 1) / Proxies.size();
  std::vector<std::size_t> Load(Proxies.size(), 0);
  for (const TargetRecord &Each : SharedTargets) {
    const std::size_t Count = Gateways.at(Each.Group);
    std::vector<ProxyRecord> &Chosen = ByTarget[Each.Id];
    std::vector<ProxyRecord> Spares;
    // The first limit suffices for nearly all targets; if too many of these
    // proxies are fully loaded, all proxies are considered.
    for (const std::size_t Limit :
         {Count * MaxLoadFactor + SpareGateways, Proxies.size()}) {
      std::vector<std::size_t> Taken;
      Spares.clear();
      for (const Candidate &Next : rankProxies(Proxies, Each, Limit)) {
        if (Taken.size() < Count && Load[Next.Index] < Mean * MaxLoadFactor)
          Taken.push_back(Next.Index);
        else if (Spares.size() < SpareGateways)
          Spares.push_back(Proxies[Next.Index]);
      }
      if (Taken.size() < Count && Limit < Proxies.size())
        continue;
      for (const std::size_t Index : Taken) {
        ++Load[Index];
        Chosen.push_back(Proxies[Index]);
      }
      break;
    }
    Chosen.insert(Chosen.end(), Spares.begin(), Spares.end());
  }
}

const std::vector<ProxyRecord> &
GatewayTable::gatewaysOf(const std::string &Target) const {
  static const std::vector<ProxyRecord> None;
  const auto Found = ByTarget.find(Target);
  return Found == ByTarget.end() ? None : Found->second;
}

std::size_t GatewayTable::candidates(const std::string &Target) const {
  return ByTarget.count(Target) == 0 ? 0 : Proxies.size();
}

const ProxyRecord &GatewayTable::candidate(const std::string &Target,
                                           std::size_t Rank) const {
  const std::vector<ProxyRecord> &First = gatewaysOf(Target);
  if (Rank < First.size())
    return First[Rank];
  return Proxies[furtherCandidates(Target)[Rank - First.size()]];
}

std::optional<std::size_t>
GatewayTable::rankOf(const std::string &Target,
                     const std::string &Proxy) const {
  for (std::size_t Rank = 0; Rank < candidates(Target); ++Rank)
    if (candidate(Target, Rank).Name == Proxy)
      return Rank;
  return std::nullopt;
}

const std::vector<std::size_t> &
GatewayTable::furtherCandidates(const std::string &Target) const {
  const auto [Entry, IsNew] = Further.try_emplace(Target);
  if (!IsNew)
    return Entry->second;
  const auto Of = std::find_if(
      Targets.begin(), Targets.end(),
      [&Target](const TargetRecord &Each) { return Each.Id == Target; });
  // Each of the first is left out once, so that the number of candidates is
  // that of the proxies even if the list names one twice.
  std::vector<ProxyRecord> First = gatewaysOf(Target);
  for (const Candidate &Next : rankProxies(Proxies, *Of, Proxies.size())) {
    const auto Found =
        std::find(First.begin(), First.end(), Proxies[Next.Index]);
    if (Found == First.end())
      Entry->second.push_back(Next.Index);
    else
      First.erase(Found);
  }
  return Entry->second;
}

} // namespace corianderdyke
