/// \file
/// Which proxies hold the connections to which target.

#include "Relay/GatewayTable.h"

#include "Common/TextHash.h"

#include <algorithm>

namespace corianderdyke {

namespace {

constexpr std::size_t FewestGateways = 2;
/// More would divide the target's connections, and the order of those that
/// wait for one, without need: one gateway carries a third of the statements
/// of a busy primary on a small part of its processor and its network.
constexpr std::size_t MostGateways = 4;
/// Proxies that take over where a cut or a restart leaves none of the
/// gateways.
constexpr std::size_t SpareGateways = 2;
/// Targets that one proxy may be a gateway of, in parts of the mean: at the
/// mean itself each change of the list would move nearly all of them.
constexpr std::size_t LoadParts = 2;

/// A proxy in the order of one target: the same at all proxies, whatever
/// others join or leave (rendezvous hashing, Thaler and Ravishankar 1998).
struct Candidate {
  std::size_t Index = 0;
  bool IsNear = false;
  std::uint64_t Score = 0;
};

/// The \p Most first proxies of a target's order.
std::vector<Candidate> firstInOrder(const std::vector<ProxyRecord> &Proxies,
                                    const TargetRecord &Target,
                                    std::size_t Most) {
  std::vector<Candidate> Out;
  Out.reserve(Proxies.size());
  const std::uint64_t Seed = hashText(Target.Id);
  for (std::size_t Index = 0; Index < Proxies.size(); ++Index) {
    const ProxyRecord &Each = Proxies[Index];
    Out.push_back({Index, Each.FailureDomain == Target.FailureDomain,
                   hashText(Each.Name, Seed)});
  }
  // A gateway beside its target costs bytes between failure domains once on
  // the way, one elsewhere twice.
  Most = std::min(Most, Out.size());
  std::partial_sort(Out.begin(),
                    Out.begin() + static_cast<std::ptrdiff_t>(Most), Out.end(),
                    [](const Candidate &Left, const Candidate &Right) {
                      if (Left.IsNear != Right.IsNear)
                        return Left.IsNear;
                      return Left.Score > Right.Score;
                    });
  Out.resize(Most);
  return Out;
}

} // namespace

std::size_t gatewayCount(std::size_t Connections) {
  return std::clamp(Connections / ConnectionsPerGateway, FewestGateways,
                    MostGateways);
}

GatewayTable::GatewayTable(const std::vector<ProxyRecord> &Proxies,
                           const std::vector<TargetRecord> &Targets,
                           const std::map<std::string, std::size_t> &Gateways) {
  if (Proxies.empty())
    return;
  std::size_t Wanted = 0;
  std::vector<TargetRecord> Shared;
  for (const TargetRecord &Each : Targets) {
    const auto Count = Gateways.find(Each.Group);
    if (Count == Gateways.end() || Each.IsGone)
      continue;
    Wanted += Count->second;
    Shared.push_back(Each);
  }
  std::sort(Shared.begin(), Shared.end(),
            [](const TargetRecord &Left, const TargetRecord &Right) {
              return Left.Id < Right.Id;
            });
  const std::size_t Mean = (Wanted + Proxies.size() - 1) / Proxies.size();
  std::vector<std::size_t> Load(Proxies.size(), 0);
  for (const TargetRecord &Each : Shared) {
    const std::size_t Count = Gateways.at(Each.Group);
    std::vector<ProxyRecord> &Chosen = ByTarget[Each.Id];
    std::vector<ProxyRecord> Others;
    // Enough of them for nearly all targets; where too many are fully loaded
    // all are looked at.
    for (const std::size_t Most :
         {Count * LoadParts + SpareGateways, Proxies.size()}) {
      std::vector<std::size_t> Taken;
      Others.clear();
      for (const Candidate &Next : firstInOrder(Proxies, Each, Most)) {
        if (Taken.size() < Count && Load[Next.Index] < Mean * LoadParts)
          Taken.push_back(Next.Index);
        else if (Others.size() < SpareGateways)
          Others.push_back(Proxies[Next.Index]);
      }
      if (Taken.size() < Count && Most < Proxies.size())
        continue;
      for (const std::size_t Index : Taken) {
        ++Load[Index];
        Chosen.push_back(Proxies[Index]);
      }
      break;
    }
    Chosen.insert(Chosen.end(), Others.begin(), Others.end());
  }
}

const std::vector<ProxyRecord> &
GatewayTable::gatewaysOf(const std::string &Target) const {
  static const std::vector<ProxyRecord> None;
  const auto Found = ByTarget.find(Target);
  return Found == ByTarget.end() ? None : Found->second;
}

} // namespace corianderdyke
