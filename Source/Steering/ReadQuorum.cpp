/// \file
/// Decides whether the targets of a group that answered hold every acknowledged
/// commit.

#include "Steering/ReadQuorum.h"

#include <algorithm>

namespace corianderdyke {

namespace {

const char *const FormerPrimary = "the former primary";

} // namespace

void ReadQuorum::update(const std::vector<TargetRecord> &Present,
                        std::uint32_t SyncReplicas) {
  if (SyncReplicas == 0) {
    *this = ReadQuorum();
    IsNew = false;
    return;
  }
  // If no target is recorded as primary, the last one may have left.
  if (IsNew && std::none_of(Present.begin(), Present.end(),
                            [](const auto &Each) { return Each.IsPrimary; }))
    Departed[FormerPrimary] = {{}, ++Changes};
  IsNew = false;
  recordDepartures(Present);
  Members.clear();
  for (const TargetRecord &Each : Present)
    Members[Each.Id] = Each;
  if (Newest > 0 && SyncReplicas > Newest)
    RaisedBy = ++Changes;
  Fewest = Newest == 0 ? SyncReplicas : std::min(Fewest, SyncReplicas);
  Newest = SyncReplicas;
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
  return Out.size() <= Fewest ? std::set<std::string>() : Out;
}

bool ReadQuorum::isSettled() const {
  return Departed.empty() && Fewest == Newest;
}

void ReadQuorum::settle(std::uint64_t AsOf) {
  std::erase_if(Departed, [AsOf](const auto &Each) {
    return Each.second.Change <= AsOf;
  });
  if (RaisedBy <= AsOf)
    Fewest = Newest;
}

} // namespace corianderdyke
