/// \file
/// The known targets, according to their own heartbeats.

#include "Directory/TargetDirectory.h"

#include <algorithm>

namespace corianderdyke {

const char *conflictName(HeartbeatConflict What) {
  switch (What) {
  case HeartbeatConflict::None:
    return "none";
  case HeartbeatConflict::Id:
    return "id";
  case HeartbeatConflict::Address:
    return "address";
  case HeartbeatConflict::Limit:
    break;
  }
  return "limit";
}

bool TargetDirectory::hasUndeclared() const {
  return std::any_of(Targets.begin(), Targets.end(), [this](const auto &Each) {
    return !isDeclared(Each.second.Record.Group);
  });
}

HeartbeatConflict
TargetDirectory::conflictOf(const TargetRecord &Reported) const {
  if (isDeclared(Reported.Group))
    return HeartbeatConflict::None;
  std::size_t Undeclared = 0;
  for (const auto &[Id, Each] : Targets) {
    const TargetRecord &Known = Each.Record;
    if (!isDeclared(Known.Group))
      ++Undeclared;
    else if (Id == Reported.Id)
      return HeartbeatConflict::Id;
    else if (Known.Address == Reported.Address && !Known.IsGone)
      return HeartbeatConflict::Address;
  }
  return Undeclared >= MaxUndeclared && Targets.count(Reported.Id) == 0
             ? HeartbeatConflict::Limit
             : HeartbeatConflict::None;
}

void TargetDirectory::beginTerm(std::uint64_t Term) {
  FirstPrimaryEpoch = std::max(FirstPrimaryEpoch, Term * EpochsPerTerm);
}

std::uint64_t
TargetDirectory::nextPrimaryEpoch(const std::string &Group) const {
  std::uint64_t Last = FirstPrimaryEpoch - 1;
  const auto Members = ByGroup.find(Group);
  if (Members != ByGroup.end())
    for (const std::string &Id : Members->second)
      if (const TargetRecord *Each = find(Id))
        Last = std::max(Last, Each->PrimaryEpoch);
  return Last + 1;
}

void TargetDirectory::insert(const std::string &Id, TrackedTarget New) {
  ByGroup[New.Record.Group].insert(Id);
  Targets[Id] = std::move(New);
}

bool TargetDirectory::applyHeartbeat(TargetRecord Reported, Millis Now) {
  const auto Found = Targets.find(Reported.Id);
  const bool IsNewIncarnation =
      Found == Targets.end() ||
      Reported.Incarnation > Found->second.Record.Incarnation ||
      yields(Found->second.Record.Group, Reported.Group);
  const bool HasAddress = isDeclared(Reported.Group);
  if (IsNewIncarnation) {
    if (!takeAddress(Reported, Now))
      return false;
    if (Reported.IsPrimary)
      Reported.PrimaryEpoch = nextPrimaryEpoch(Reported.Group);
    insert(Reported.Id, {Reported, Now, Millis(), ++Revision, HasAddress});
    return true;
  }
  TrackedTarget &Old = Found->second;
  if (Reported.Incarnation < Old.Record.Incarnation || Old.Record.IsGone ||
      Reported.Sequence <= Old.Record.Sequence)
    return false;
  const std::uint64_t Before = Revision;
  if (HasAddress && !Old.HasAddress && !takeAddress(Reported, Now))
    return false;
  Old.HasAddress = HasAddress;
  Old.LastUpdate = Now;
  Reported.PrimaryEpoch = Old.Record.PrimaryEpoch;
  if (Reported.IsPrimary && !Old.Record.IsPrimary)
    Reported.PrimaryEpoch = nextPrimaryEpoch(Reported.Group);
  // Leaving is final for an incarnation: proxies that received it have closed
  // their connections permanently.
  Reported.IsLeaving = Reported.IsLeaving || Old.Record.IsLeaving;
  ByGroup[Reported.Group].insert(Reported.Id);
  const bool IsChange = !Reported.equalsIgnoringSequence(Old.Record);
  Old.Record = std::move(Reported);
  if (IsChange)
    Old.ChangedRevision = ++Revision;
  return Revision != Before;
}

bool TargetDirectory::takeAddress(const TargetRecord &Reported, Millis Now) {
  if (isSuperseded(Reported))
    return false;
  if (!isDeclared(Reported.Group))
    return true;
  for (auto &[Id, Each] : Targets)
    if (Id != Reported.Id && Each.Record.Address == Reported.Address &&
        !Each.Record.IsGone) {
      Each.Record.IsGone = true;
      Each.GoneAt = Now;
      Each.ChangedRevision = ++Revision;
    }
  return true;
}

bool TargetDirectory::isSuperseded(const TargetRecord &Reported) const {
  return std::any_of(
      Targets.begin(), Targets.end(), [this, &Reported](const auto &Each) {
        const TargetRecord &Known = Each.second.Record;
        return Known.Id != Reported.Id && Known.Address == Reported.Address &&
               Known.Incarnation > Reported.Incarnation &&
               Reported.Incarnation > 0 && !yields(Known.Group, Reported.Group);
      });
}

bool TargetDirectory::deregister(const std::string &Id,
                                 std::uint64_t Incarnation, Millis Now) {
  const auto Found = Targets.find(Id);
  if (Found == Targets.end() || Found->second.Record.IsGone ||
      Incarnation < Found->second.Record.Incarnation)
    return false;
  Found->second.Record.IsGone = true;
  Found->second.GoneAt = Now;
  Found->second.ChangedRevision = ++Revision;
  return true;
}

bool TargetDirectory::merge(const std::vector<TargetRecord> &Others,
                            Millis Now) {
  bool IsChange = false;
  const std::uint64_t Next = Revision + 1;
  for (const TargetRecord &Each : Others) {
    const auto Found = Targets.find(Each.Id);
    if (Found == Targets.end()) {
      insert(Each.Id, {Each, Now, Each.IsGone ? Now : Millis(), Next,
                       isDeclared(Each.Group)});
      IsChange = true;
      continue;
    }
    TrackedTarget &Old = Found->second;
    const bool IsReplaced = yields(Old.Record.Group, Each.Group);
    if (yields(Each.Group, Old.Record.Group) ||
        (Each.Incarnation < Old.Record.Incarnation && !IsReplaced))
      continue;
    if (Each.Incarnation > Old.Record.Incarnation || IsReplaced) {
      insert(Each.Id, {Each, Now, Each.IsGone ? Now : Millis(), Next,
                       isDeclared(Each.Group)});
      IsChange = true;
      continue;
    }
    TargetRecord New = Each.Sequence >= Old.Record.Sequence ? Each : Old.Record;
    New.IsGone = Each.IsGone || Old.Record.IsGone;
    New.IsLeaving = Each.IsLeaving || Old.Record.IsLeaving;
    New.PrimaryEpoch = std::max(Each.PrimaryEpoch, Old.Record.PrimaryEpoch);
    if (New.IsGone && !Old.Record.IsGone)
      Old.GoneAt = Now;
    if (Each.Sequence > Old.Record.Sequence)
      Old.LastUpdate = Now;
    if (New == Old.Record)
      continue;
    Old.Record = std::move(New);
    Old.ChangedRevision = Next;
    IsChange = true;
  }
  if (IsChange)
    ++Revision;
  return IsChange;
}

void TargetDirectory::purgeGone(Millis Now) {
  for (auto &[Id, Each] : Targets)
    if (!Each.Record.IsGone && !isDeclared(Each.Record.Group) &&
        Now - Each.LastUpdate > GoneRetention) {
      Each.Record.IsGone = true;
      Each.GoneAt = Now;
      Each.ChangedRevision = ++Revision;
    }
  for (auto Each = Targets.begin(); Each != Targets.end();)
    if (Each->second.Record.IsGone &&
        Now - Each->second.GoneAt > GoneRetention) {
      ByGroup[Each->second.Record.Group].erase(Each->first);
      Each = Targets.erase(Each);
    } else {
      ++Each;
    }
}

std::vector<TargetRecord> TargetDirectory::all() const {
  std::vector<TargetRecord> Out;
  Out.reserve(Targets.size());
  for (const auto &[Id, Each] : Targets)
    Out.push_back(Each.Record);
  return Out;
}

std::vector<TargetRecord>
TargetDirectory::changedSince(std::uint64_t Since) const {
  std::vector<TargetRecord> Out;
  for (const auto &[Id, Each] : Targets)
    if (Each.ChangedRevision > Since)
      Out.push_back(Each.Record);
  return Out;
}

const TargetRecord *TargetDirectory::find(const std::string &Id) const {
  const auto Found = Targets.find(Id);
  return Found == Targets.end() ? nullptr : &Found->second.Record;
}

std::vector<TargetRecord>
TargetDirectory::ofGroup(const std::string &Group) const {
  std::vector<TargetRecord> Out;
  const auto Members = ByGroup.find(Group);
  if (Members == ByGroup.end())
    return Out;
  for (const std::string &Id : Members->second) {
    const TargetRecord *Each = find(Id);
    // A later incarnation may serve another group.
    if (Each != nullptr && Each->Group == Group && !Each->IsGone)
      Out.push_back(*Each);
  }
  return Out;
}

std::optional<TargetRecord>
TargetDirectory::primaryOf(const std::string &Group) const {
  std::optional<TargetRecord> Out;
  for (const TargetRecord &Each : ofGroup(Group))
    if (Each.IsPrimary && (!Out || Each.PrimaryEpoch > Out->PrimaryEpoch))
      Out = Each;
  return Out;
}

Millis TargetDirectory::lastUpdate(const std::string &Id) const {
  const auto Found = Targets.find(Id);
  return Found == Targets.end() ? Millis() : Found->second.LastUpdate;
}

} // namespace corianderdyke
