/// \file
/// Decides whether the targets of a group that answered hold every acknowledged
/// commit.

#include "Steering/ReadQuorum.h"

#include <algorithm>

namespace corianderdyke {

void ReadQuorum::addDeparted(const TargetRecord &Last) {
  Departed[Last.Id] = {Last, ++Changes};
}

void ReadQuorum::update(const std::vector<TargetRecord> &Present,
                        std::uint32_t SyncReplicas) {
  if (SyncReplicas == 0) {
    *this = ReadQuorum();
    return;
  }
  recordDepartures(Present);
  Members.clear();
  for (const TargetRecord &Each : Present)
    Members[Each.Id] = Each;
  if (RequiredReplicas > 0 && SyncReplicas > RequiredReplicas)
    RaisedBy = ++Changes;
  GuaranteedReplicas = RequiredReplicas == 0
                           ? SyncReplicas
                           : std::min(GuaranteedReplicas, SyncReplicas);
  RequiredReplicas = SyncReplicas;
}

void ReadQuorum::recordDepartures(const std::vector<TargetRecord> &Present) {
  for (const auto &[Id, Each] : Members)
    if (std::none_of(
            Present.begin(), Present.end(),
            [&Id = Id](const TargetRecord &Other) { return Other.Id == Id; }))
      Departed[Id] = {Each, ++Changes};
  // The log of a target that left as planned passes to its successor at the
  // same address.
  std::erase_if(Departed, [&Present](const auto &Each) {
    const TargetRecord &Last = Each.second.Last;
    return Last.IsLeaving && std::any_of(Present.begin(), Present.end(),
                                         [&Last](const TargetRecord &Other) {
                                           return Other.Id != Last.Id &&
                                                  Other.Address == Last.Address;
                                         });
  });
}

std::set<std::string>
ReadQuorum::missing(const std::set<std::string> &Answered) const {
  std::set<std::string> Out;
  for (const auto &[Id, Each] : Members)
    if (Answered.count(Id) == 0)
      Out.insert(Id);
  for (const auto &[Id, Change] : Departed)
    Out.insert(Id);
  return Out.size() <= GuaranteedReplicas ? std::set<std::string>() : Out;
}

bool ReadQuorum::counts(const std::string &Id) const {
  return Members.count(Id) != 0 || Departed.count(Id) != 0;
}

bool ReadQuorum::isSettled() const {
  return Departed.empty() && GuaranteedReplicas == RequiredReplicas;
}

void ReadQuorum::settle(std::uint64_t AsOf) {
  std::erase_if(Departed, [AsOf](const auto &Each) {
    return Each.second.Change <= AsOf;
  });
  if (RaisedBy <= AsOf)
    GuaranteedReplicas = RequiredReplicas;
}

} // namespace corianderdyke
